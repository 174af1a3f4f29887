#include "trainer_result.h"

namespace rillwall::standin {

namespace json = boost::json;

namespace {

json::object FaultsText(const FaultCounts& aFaults, uint64_t& aTotal) {
  json::object text;
  for (int kind = 0; kind < static_cast<int>(SampleFault::Count); ++kind) {
    const auto fault = static_cast<SampleFault>(kind);
    const auto found = aFaults.find(fault);
    const uint64_t count = found == aFaults.end() ? 0 : found->second;
    text[SampleFaultName(fault)] = count;
    aTotal += count;
  }
  return text;
}

json::array StepsText(const std::vector<StepTimes>& aSteps) {
  json::array steps;
  for (const StepTimes& times : aSteps) {
    json::object step;
    step["step"] = times.mStep;
    step["receive_ms"] = (times.mReceived - times.mOpened).Count();
    step["train_end_ms"] = (times.mTrained - times.mOpened).Count();
    steps.push_back(std::move(step));
  }
  return steps;
}

json::object StalenessText(const std::map<int64_t, uint64_t>& aHistogram) {
  json::object text;
  for (const auto& [versions, samples] : aHistogram) {
    text[std::to_string(versions)] = samples;
  }
  return text;
}

json::object TruthText(const TruthCounts& aTruth) {
  json::object text;
  text["true"] = aTruth.mTrue;
  text["false"] = aTruth.mFalse;
  text["unknown"] = aTruth.mUnknown;
  text["journals_lost"] = aTruth.mJournalsLost;
  return text;
}

json::object PullsText(const TrainerFigures& aFigures,
                       const RepeatCounts& aRepeats) {
  json::object text;
  text["pulls"] = aFigures.mPulls;
  text["empty"] = aFigures.mEmptyPulls;
  text["unfit_answers"] = aFigures.mUnfitAnswers;
  text["reopened"] = aFigures.mReopened;
  text["superseded"] = aFigures.mSuperseded;
  text["lost"] = aRepeats.mLost;
  text["refused"] = aRepeats.mRefused;
  return text;
}

}  // namespace

json::object TrainerResult(const TrainerOptions& aOptions,
                           const TrainerProgress& aProgress,
                           const TrainerFigures& aFigures,
                           const RepeatCounts& aRepeats,
                           const TruthCounts& aTruth) {
  const uint64_t expected =
      aOptions.mSteps * aOptions.mGroups * aOptions.mGroupSize;
  uint64_t faults = 0;
  json::object result;
  result["trainer"] = aOptions.mName;
  result["samples"] = aProgress.mSamples;
  result["expected"] = expected;
  result["faults"] = FaultsText(aProgress.mFaults, faults);
  result["labels"] = TruthText(aTruth);
  result["staleness"] = StalenessText(aProgress.mStaleness);
  result["newest_version"] = aProgress.mNewest;
  const Millis whole = aFigures.mEnded - aFigures.mStarted;
  result["run_ms"] = whole.Count();
  result["idle_ms"] = aFigures.mIdle.Count();
  result["training_ms"] = aFigures.mTraining.Count();
  result["idle_share"] = whole.Count() > 0
                             ? static_cast<double>(aFigures.mIdle.Count()) /
                                   static_cast<double>(whole.Count())
                             : 0.0;
  result["steps"] = StepsText(aFigures.mSteps);
  result["pulls"] = PullsText(aFigures, aRepeats);
  result["gave_up"] = aFigures.mGaveUp;
  result["ok"] = !aFigures.mGaveUp && faults == 0 && aTruth.mFalse == 0 &&
                 aProgress.mSamples == expected;
  return result;
}

}  // namespace rillwall::standin
