#include "callers_stats.h"

#include "driver_nodes.h"

namespace rillwall::standin {

namespace json = boost::json;

namespace {

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;

json::object Times(const std::vector<int64_t>& aTimes) {
  json::object text;
  text["p50"] = Quantile(aTimes, kMedian);
  text["p99"] = Quantile(aTimes, kTail);
  text["max"] = Quantile(aTimes, 1);
  return text;
}

json::object StreamsJson(const StreamStats& aStats) {
  json::object text;
  text["started"] = aStats.mStarted;
  text["whole"] = aStats.mWhole;
  text["refused"] = aStats.mRefused;
  text["last_refusal"] = aStats.mLastRefusal;
  text["cut"] = aStats.mCut;
  text["unreachable"] = aStats.mUnreachable;
  text["moved"] = aStats.mMoved;
  text["crossed"] = aStats.mCrossed;
  text["short"] = aStats.mShort;
  text["ran_refused"] = aStats.mRanRefused;
  text["first_token_ms"] = Times(aStats.mFirstToken);
  text["whole_ms"] = Times(aStats.mWholeTime);
  return text;
}

json::object ReadsJson(const ReadStats& aStats) {
  json::object text;
  text["started"] = aStats.mStarted;
  text["answered"] = aStats.mAnswered;
  text["refused"] = aStats.mRefused;
  text["lost"] = aStats.mLost;
  text["unreachable"] = aStats.mUnreachable;
  text["last_failure"] = aStats.mLastFailure;
  text["crossed"] = aStats.mCrossed;
  text["ms"] = Times(aStats.mTime);
  return text;
}

json::object ChargesJson(const ChargeStats& aStats) {
  json::object text;
  text["keys"] = aStats.mKeys;
  text["calls"] = aStats.mCalls;
  text["run"] = aStats.mRun;
  text["not_run"] = aStats.mNotRun;
  text["unknown"] = aStats.mUnknown;
  text["replayed"] = aStats.mReplayed;
  text["twice"] = aStats.mTwice;
  text["lost"] = aStats.mLost;
  text["ran_not_run"] = aStats.mRanNotRun;
  text["crossed"] = aStats.mCrossed;
  text["other_replay"] = aStats.mOtherReplay;
  text["wrong_reuse"] = aStats.mWrongReuse;
  text["journal_read"] = aStats.mJournalRead;
  text["ms"] = Times(aStats.mTime);
  return text;
}

}  // namespace

uint64_t CallersStats::ViolationCount() const {
  const uint64_t streams =
      mStreams.mCrossed + mStreams.mShort + mStreams.mRanRefused;
  const uint64_t charges = mCharges.mTwice + mCharges.mLost +
                           mCharges.mRanNotRun + mCharges.mCrossed +
                           mCharges.mOtherReplay + mCharges.mWrongReuse;
  return streams + mReads.mCrossed + charges + mUnfinished;
}

json::object CallersResult(const CallersStats& aStats) {
  json::object result;
  result["streams"] = StreamsJson(aStats.mStreams);
  result["reads"] = ReadsJson(aStats.mReads);
  result["charges"] = ChargesJson(aStats.mCharges);
  result["unfinished"] = aStats.mUnfinished;
  const bool read = aStats.mCharges.mKeys == 0 || aStats.mCharges.mJournalRead;
  result["ok"] = read && aStats.ViolationCount() == 0;
  return result;
}

}  // namespace rillwall::standin
