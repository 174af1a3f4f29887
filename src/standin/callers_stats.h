/// \file
/// Measurements of the callers, and counts of the guarantees that they found
/// violated.

#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace rillwall::standin {

/// Measurements of streamed completions.
struct StreamStats {
  uint64_t mStarted = 0;
  uint64_t mWhole = 0;       ///< received completely, with the right text
  uint64_t mRefused = 0;     ///< answered with an error status before streaming
  std::string mLastRefusal;  ///< body or error of the last refusal
  uint64_t mCut = 0;  ///< ended early by an error event or a lost connection
  uint64_t mUnreachable = 0;  ///< no node accepted the request
  uint64_t mMoved = 0;    ///< sent again to another node, not run at the first
  uint64_t mCrossed = 0;  ///< violation: text of another request
  uint64_t mShort = 0;    ///< violation: marked as complete, but truncated
  uint64_t mRanRefused =
      0;  ///< violation: reported as "not run", but an engine ran it
  std::vector<int64_t>
      mFirstToken;  ///< milliseconds to the first token of each stream
  std::vector<int64_t>
      mWholeTime;  ///< milliseconds to the end of each complete stream
  std::vector<std::string> mNotRun;  ///< prompt ids refused as not run
};

/// Measurements of idempotent reads.
struct ReadStats {
  uint64_t mStarted = 0;
  uint64_t mAnswered = 0;
  uint64_t mRefused = 0;       ///< answered with an error status
  uint64_t mLost = 0;          ///< sent without a response
  uint64_t mUnreachable = 0;   ///< no node accepted the request
  uint64_t mCrossed = 0;       ///< violation: the response of another request
  std::string mLastFailure;    ///< body or error of the last failed read
  std::vector<int64_t> mTime;  ///< milliseconds, of each answered read
};

/// Measurements of non-idempotent charges.
struct ChargeStats {
  uint64_t mKeys = 0;  ///< idempotency keys used
  uint64_t mCalls = 0;
  uint64_t mRun = 0;       ///< keys whose run was confirmed
  uint64_t mNotRun = 0;    ///< keys of which no call ran
  uint64_t mUnknown = 0;   ///< keys with an unknown outcome
  uint64_t mReplayed = 0;  ///< responses replayed from the stored result
  uint64_t mTwice = 0;     ///< violation: keys that ran more than once
  uint64_t mLost = 0;      ///< violation: confirmed, but not in the journal
  uint64_t mRanNotRun =
      0;  ///< violation: reported as "not run", but in the journal
  uint64_t mCrossed = 0;      ///< violation: the response of another charge
  uint64_t mOtherReplay = 0;  ///< violation: a retry got a different response
  uint64_t mWrongReuse =
      0;  ///< violation: a key was accepted with a different body
  bool mJournalRead = false;   ///< the journal of the service was readable
  std::vector<int64_t> mTime;  ///< milliseconds until each outcome was final
};

/// Measurements of all kinds of callers in one process.
struct CallersStats {
  StreamStats mStreams;
  ReadStats mReads;
  ChargeStats mCharges;
  uint64_t mUnfinished = 0;  ///< calls still open after the drain timeout

  /// \return the number of violated guarantees, including unfinished calls
  uint64_t ViolationCount() const;
};

/// \return the result as JSON; "ok" is true if all guarantees held and the
/// journal of the service could be read
boost::json::object CallersResult(const CallersStats& aStats);

}  // namespace rillwall::standin
