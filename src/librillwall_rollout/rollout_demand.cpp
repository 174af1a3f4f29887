/// \file
/// What the open steps of this node need of a service's replicas.

#include <algorithm>

#include "rillwall/rollout_service.h"
#include "rollout_step.h"

namespace rillwall {

namespace {

/// \return ms per event of a typical replica of the service; 0 if unknown
double TypicalPace(const ReplicaPool& aReplicas, const std::string& aService,
                   Millis aNow) {
  double sum = 0;
  int64_t known = 0;
  for (const Replica* replica : aReplicas.OfService(aService)) {
    const double pace = aReplicas.PaceAt(replica->mId, 0, aNow);
    sum += pace;
    known += pace > 0 ? 1 : 0;
  }
  return known == 0 ? 0 : sum / static_cast<double>(known);
}

}  // namespace

std::vector<StepDemand> RolloutService::DemandOn(
    const std::string& aService) const {
  const Millis now = mNode.Now();
  const double pace = TypicalPace(mNode.mReplicas, aService, now);
  std::vector<StepDemand> demands;
  for (const StepPtr& step : RunningSteps()) {
    RolloutTracker& tracker = step->mTracker;
    StepDemand demand;
    demand.mTrainer = tracker.Spec().mAccount + "/" + tracker.Spec().mModel;
    demand.mDueIn = step->mDueAt.value_or(step->mGiveUpAt) - now;
    for (size_t i = 0; i < tracker.Total(); ++i) {
      const std::string* service = ServiceOf(*step, i);
      if (service == nullptr || *service != aService) {
        continue;
      }
      const RolloutText& text = tracker.Text(i);
      demand.mLongestMs =
          std::max(demand.mLongestMs, static_cast<double>(text.mEvents) * pace);
      if (text.mWhole || tracker.HasEnded(i)) {
        continue;
      }
      ++demand.mTexts;
      const int64_t expected = mLengths.Events(tracker.Item(i).mLengthHint);
      demand.mWorkMs +=
          static_cast<double>(ExpectedRemainingEvents(text.mEvents, expected)) *
          pace;
    }
    if (demand.mTexts > 0) {
      demands.push_back(std::move(demand));
    }
  }
  return demands;
}

}  // namespace rillwall
