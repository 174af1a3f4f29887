#include "callers_figures.h"

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

json::object StreamsText(const StreamFigures& aFigures) {
  json::object text;
  text["started"] = aFigures.mStarted;
  text["whole"] = aFigures.mWhole;
  text["refused"] = aFigures.mRefused;
  text["last_refusal"] = aFigures.mLastRefusal;
  text["cut"] = aFigures.mCut;
  text["unreachable"] = aFigures.mUnreachable;
  text["moved"] = aFigures.mMoved;
  text["crossed"] = aFigures.mCrossed;
  text["short"] = aFigures.mShort;
  text["ran_refused"] = aFigures.mRanRefused;
  text["first_token_ms"] = Times(aFigures.mFirstToken);
  text["whole_ms"] = Times(aFigures.mWholeTime);
  return text;
}

json::object ReadsText(const ReadFigures& aFigures) {
  json::object text;
  text["started"] = aFigures.mStarted;
  text["answered"] = aFigures.mAnswered;
  text["refused"] = aFigures.mRefused;
  text["lost"] = aFigures.mLost;
  text["unreachable"] = aFigures.mUnreachable;
  text["last_failure"] = aFigures.mLastFailure;
  text["crossed"] = aFigures.mCrossed;
  text["ms"] = Times(aFigures.mTime);
  return text;
}

json::object ChargesText(const ChargeFigures& aFigures) {
  json::object text;
  text["keys"] = aFigures.mKeys;
  text["calls"] = aFigures.mCalls;
  text["run"] = aFigures.mRun;
  text["not_run"] = aFigures.mNotRun;
  text["unknown"] = aFigures.mUnknown;
  text["replayed"] = aFigures.mReplayed;
  text["twice"] = aFigures.mTwice;
  text["lost"] = aFigures.mLost;
  text["ran_not_run"] = aFigures.mRanNotRun;
  text["crossed"] = aFigures.mCrossed;
  text["other_replay"] = aFigures.mOtherReplay;
  text["wrong_reuse"] = aFigures.mWrongReuse;
  text["journal_read"] = aFigures.mJournalRead;
  text["ms"] = Times(aFigures.mTime);
  return text;
}

}  // namespace

uint64_t CallersFigures::Broken() const {
  const uint64_t streams =
      mStreams.mCrossed + mStreams.mShort + mStreams.mRanRefused;
  const uint64_t charges = mCharges.mTwice + mCharges.mLost +
                           mCharges.mRanNotRun + mCharges.mCrossed +
                           mCharges.mOtherReplay + mCharges.mWrongReuse;
  return streams + mReads.mCrossed + charges + mUnfinished;
}

json::object CallersResult(const CallersFigures& aFigures) {
  json::object result;
  result["streams"] = StreamsText(aFigures.mStreams);
  result["reads"] = ReadsText(aFigures.mReads);
  result["charges"] = ChargesText(aFigures.mCharges);
  result["unfinished"] = aFigures.mUnfinished;
  const bool read =
      aFigures.mCharges.mKeys == 0 || aFigures.mCharges.mJournalRead;
  result["ok"] = read && aFigures.Broken() == 0;
  return result;
}

}  // namespace rillwall::standin
