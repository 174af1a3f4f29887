/// \file
/// What callers measured, and which promises they found broken.

#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace rillwall::standin {

/// Interactive streams.
struct StreamFigures {
  uint64_t mStarted = 0;
  uint64_t mWhole = 0;
  uint64_t mRefused = 0;      ///< with a status; nothing was streamed
  std::string mLastRefusal;   ///< what the last of these was told
  uint64_t mCut = 0;          ///< visibly: by an error event or a cut
  uint64_t mUnreachable = 0;  ///< no node took the connection
  uint64_t mMoved = 0;        ///< went to another node, not run at the first
  uint64_t mCrossed = 0;      ///< broken: text that is not its own
  uint64_t mShort = 0;        ///< broken: said to be whole and was not
  uint64_t mRanRefused = 0;   ///< broken: "not run", but an engine ran it
  std::vector<int64_t> mFirstToken;  ///< milliseconds, of each that had one
  std::vector<int64_t> mWholeTime;   ///< milliseconds, of each whole one
  std::vector<std::string> mNotRun;  ///< prompt ids refused as not run
};

/// Plain reads.
struct ReadFigures {
  uint64_t mStarted = 0;
  uint64_t mAnswered = 0;
  uint64_t mRefused = 0;      ///< with a status
  uint64_t mLost = 0;         ///< sent, and no answer came
  uint64_t mUnreachable = 0;  ///< no node took the connection
  uint64_t mCrossed = 0;      ///< broken: another request's answer
  std::string mLastFailure;   ///< what the last one of these was told
  std::vector<int64_t> mTime;
};

/// Non-idempotent charges.
struct ChargeFigures {
  uint64_t mKeys = 0;
  uint64_t mCalls = 0;
  uint64_t mRun = 0;          ///< keys whose run was confirmed
  uint64_t mNotRun = 0;       ///< keys all of whose calls were not run
  uint64_t mUnknown = 0;      ///< keys with an unknown outcome
  uint64_t mReplayed = 0;     ///< calls answered from the record
  uint64_t mTwice = 0;        ///< broken: keys that ran more than once
  uint64_t mLost = 0;         ///< broken: confirmed, but not in the journal
  uint64_t mRanNotRun = 0;    ///< broken: "not run", but in the journal
  uint64_t mCrossed = 0;      ///< broken: another charge's answer
  uint64_t mOtherReplay = 0;  ///< broken: a repeat got another answer
  uint64_t mWrongReuse = 0;   ///< broken: a key with another body was taken
  bool mJournalRead = false;
  std::vector<int64_t> mTime;
};

struct CallersFigures {
  StreamFigures mStreams;
  ReadFigures mReads;
  ChargeFigures mCharges;
  uint64_t mUnfinished = 0;  ///< calls still open long after the end

  /// \return how often a promise was broken
  uint64_t Broken() const;
};

/// \return the result as JSON; "ok" says whether all promises held
boost::json::object CallersResult(const CallersFigures& aFigures);

}  // namespace rillwall::standin
