#include "trainer_result.h"

namespace rillwall::standin {

namespace json = boost::json;

namespace {

json::object FaultsJson(const FaultCounts& aFaults, uint64_t& aTotal) {
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

json::array StepsJson(const std::vector<StepTimes>& aSteps) {
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

json::object StalenessJson(const std::map<int64_t, uint64_t>& aHistogram) {
  json::object text;
  for (const auto& [versions, samples] : aHistogram) {
    text[std::to_string(versions)] = samples;
  }
  return text;
}

json::object LabelsJson(const LabelCounts& aLabelCounts) {
  json::object text;
  text["true"] = aLabelCounts.mTrue;
  text["false"] = aLabelCounts.mFalse;
  text["unknown"] = aLabelCounts.mUnknown;
  text["journals_lost"] = aLabelCounts.mJournalsLost;
  return text;
}

json::object PullsJson(const TrainerStats& aStats,
                       const RetryCounts& aRetries) {
  json::object text;
  text["pulls"] = aStats.mPulls;
  text["empty"] = aStats.mEmptyPulls;
  text["unfit_answers"] = aStats.mUnfitAnswers;
  text["reopened"] = aStats.mReopened;
  text["superseded"] = aStats.mSuperseded;
  text["lost"] = aRetries.mLost;
  text["refused"] = aRetries.mRefused;
  return text;
}

}  // namespace

json::object TrainerResult(const TrainerOptions& aOptions,
                           const TrainerProgress& aProgress,
                           const TrainerStats& aStats,
                           const RetryCounts& aRetries,
                           const LabelCounts& aLabelCounts) {
  const uint64_t expected =
      aOptions.mSteps * aOptions.mGroups * aOptions.mGroupSize;
  uint64_t faults = 0;
  json::object result;
  result["trainer"] = aOptions.mName;
  result["samples"] = aProgress.mSamples;
  result["expected"] = expected;
  result["faults"] = FaultsJson(aProgress.mFaults, faults);
  result["labels"] = LabelsJson(aLabelCounts);
  result["staleness"] = StalenessJson(aProgress.mStaleness);
  result["newest_version"] = aProgress.mNewestVersion;
  const Millis whole = aStats.mEnded - aStats.mStarted;
  result["run_ms"] = whole.Count();
  result["idle_ms"] = aStats.mIdle.Count();
  result["training_ms"] = aStats.mTraining.Count();
  result["idle_share"] = whole.Count() > 0
                             ? static_cast<double>(aStats.mIdle.Count()) /
                                   static_cast<double>(whole.Count())
                             : 0.0;
  result["steps"] = StepsJson(aStats.mSteps);
  result["pulls"] = PullsJson(aStats, aRetries);
  result["gave_up"] = aStats.mGaveUp;
  result["ok"] = !aStats.mGaveUp && faults == 0 && aLabelCounts.mFalse == 0 &&
                 aProgress.mSamples == expected;
  return result;
}

}  // namespace rillwall::standin
