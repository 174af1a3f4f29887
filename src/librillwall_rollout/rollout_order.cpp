/// \file
/// Starts the items of steps in the order of step_schedule.h.

#include "rillwall/rollout_service.h"
#include "rollout_step.h"
#include "step_schedule.h"

namespace rillwall {

void RolloutService::StartInOrder(const std::vector<StepPtr>& aSteps) {
  mSchedule->BeginRound(aSteps, mLengths);
  while (StepSchedule::Lane* lane = mSchedule->Next()) {
    const OrderedItem item = lane->Head();
    const StepPtr step = lane->mStep;
    if (!step->mRunning || !MayStart(*step) || !mSchedule->MayTakeSlot(*lane)) {
      lane->mBlocked = true;
      continue;
    }
    const Millis slack = mSchedule->SlackOf(item);
    step->mPriorities[item.mItem] = RequestPriority(item.mClass, slack);
    double pace = 0;  // of a replica that is too slow for the item
    const auto accepts = [&](const std::string& aReplica) {
      const double there = mSchedule->PaceAt(*lane, aReplica);
      pace = MayRunAt(item.mTimeLeft, slack, there) ? 0 : there;
      return pace == 0;
    };
    const RolloutPick pick{item.mItem, step->mTracker.ReplicaOf(item.mItem)};
    // A start may end at once and begin another round, so that the lane must
    // not be used after it.
    if (StartItem(step, pick, accepts)) {
      continue;
    }
    if (pace > 0) {
      mSchedule->SkipTo(*lane, pace);
    } else {
      lane->mBlocked = true;
    }
  }
}

std::vector<VersionNeed> RolloutService::VersionNeeds() const {
  return mSchedule->VersionNeeds();
}

}  // namespace rillwall
