/// \file
/// Implements the public interface of StepTracker. step_tracker_state contains
/// the changes that events make to groups, step_scheduler the choice of the
/// groups to order.

#include <boost/json.hpp>
#include <set>

#include "rillwall/step.h"
#include "step_tracker_state.h"

namespace rillwall {

struct StepTracker::Impl : StepTrackerState {
  using StepTrackerState::StepTrackerState;
};

StepTracker::StepTracker(StepSpec aSpec, TrainerRule aRule, bool aRebuilding,
                         Millis aNow)
    : mImpl(std::make_unique<Impl>(std::move(aSpec), std::move(aRule),
                                   aRebuilding, aNow)) {}

StepTracker::~StepTracker() = default;

const StepSpec& StepTracker::Spec() const { return mImpl->mSpec; }

void StepTracker::SetRule(TrainerRule aRule) {
  mImpl->mRule = std::move(aRule);
}

void StepTracker::SetVersionInterval(Millis aInterval) {
  mImpl->mEstimates.mVersionRate.SetExpectedInterval(aInterval);
}

void StepTracker::Inventory(std::string_view aRunner,
                            const std::vector<GroupSummary>& aHeld,
                            const std::vector<GroupOrder>& aRunning,
                            Millis aNow) {
  std::set<size_t> named;
  for (GroupSummary summary : aHeld) {
    if (mImpl->Known(summary.mGroup)) {
      summary.mRunner = aRunner;
      named.insert(summary.mGroup);
      mImpl->Finished(summary, aNow, mImpl->mPending);
    }
  }
  for (const GroupOrder& order : aRunning) {
    if (mImpl->Known(order.mGroup)) {
      named.insert(order.mGroup);
      mImpl->ObserveRunning(order.mGroup, aRunner, order.mAttempt, aNow);
    }
  }
  for (size_t group = 0; group < mImpl->mGroups.Size(); ++group) {
    if (named.count(group) == 0) {
      mImpl->HandleMissing(group, aRunner, aNow);
    }
  }
}

std::vector<std::string> StepTracker::RunnersToAsk() const {
  std::set<std::string> runners;
  for (size_t group = 0; group < mImpl->mGroups.Size(); ++group) {
    for (const GroupAttempt& attempt : mImpl->mGroups.At(group).mAttempts) {
      if (attempt.mAdopted) {
        runners.insert(attempt.mRunner);
      }
    }
  }
  return {runners.begin(), runners.end()};
}

void StepTracker::Rebuilt(Millis aNow) {
  mImpl->mRebuilding = false;
  mImpl->mRebuiltAt = aNow;
}

StepActions StepTracker::Tick(const std::vector<RunnerCapacity>& aRunners,
                              int64_t aNewest, Millis aNow) {
  StepActions actions;
  mImpl->ObserveNewest(aNewest, aNow);
  mImpl->TakePending(actions);
  mImpl->DropAllStale(aNow, actions);
  mImpl->CancelAllExpired(aNow, actions);
  if (mImpl->MayOrder(aNow)) {
    const ScheduleInputs inputs{mImpl->mRule, aRunners, mImpl->mSpec.mGroupSize,
                                mImpl->mNewest, aNow};
    ScheduleGroups(mImpl->mGroups, mImpl->mEstimates, inputs, actions.mRun);
  }
  return actions;
}

StepActions StepTracker::Finished(const GroupSummary& aSummary, Millis aNow) {
  StepActions actions;
  if (mImpl->Known(aSummary.mGroup)) {
    mImpl->Finished(aSummary, aNow, actions);
  }
  return actions;
}

void StepTracker::Failed(size_t aGroup, std::string_view aRunner,
                         uint64_t aAttempt, Millis aNow) {
  if (mImpl->Known(aGroup)) {
    mImpl->Failed(aGroup, aRunner, aAttempt, aNow);
  }
}

void StepTracker::RunnerLost(std::string_view aRunner, Millis aNow) {
  mImpl->mEstimates.mHealth.Forget(aRunner);
  for (size_t group = 0; group < mImpl->mGroups.Size(); ++group) {
    mImpl->RequeueLost(group, aRunner, aNow);
  }
}

PullPlan StepTracker::Plan(const Receipt& aReceipt, int64_t aNewest,
                           size_t aMaxGroups, Millis aNow,
                           StepActions& aActions) {
  mImpl->ApplyReceipt(aReceipt, aNow, aActions);
  mImpl->ObserveNewest(aNewest, aNow);
  mImpl->DropAllStale(aNow, aActions);
  PullPlan plan;
  plan.mGroups = mImpl->HeldOldestFirst(aNow);
  if (plan.mGroups.size() > aMaxGroups) {
    plan.mGroups.resize(aMaxGroups);
  }
  for (const GroupSummary& planned : plan.mGroups) {
    mImpl->mGroups.At(planned.mGroup).mPlanned = true;
  }
  plan.mComplete = Delivered() == mImpl->mGroups.Size();
  return plan;
}

Millis StepTracker::OpenedAt() const { return mImpl->mOpenedAt; }

size_t StepTracker::Delivered() const {
  return mImpl->mGroups.Count(GroupState::Delivered);
}

size_t StepTracker::Held() const {
  return mImpl->mGroups.Count(GroupState::Held);
}

size_t StepTracker::Running() const {
  return mImpl->mGroups.Count(GroupState::Running);
}

size_t StepTracker::Waiting() const {
  return mImpl->mGroups.Count(GroupState::Waiting);
}

uint64_t StepTracker::StaleDropped() const { return mImpl->mStaleDropped; }

std::string StepTracker::Dump() const {
  const boost::json::object dump{
      {"trainer", mImpl->mSpec.mId.mTrainer},
      {"step", mImpl->mSpec.mId.mStep},
      {"groups", mImpl->mGroups.Size()},
      {"delivered", Delivered()},
      {"held", Held()},
      {"running", Running()},
      {"attempts", mImpl->mGroups.Attempts()},
      {"waiting", Waiting()},
      {"rebuilding", mImpl->mRebuilding},
      {"newest_version", mImpl->mNewest},
      {"median_group_ms", mImpl->mEstimates.mDurations.Median().Count()},
      {"stale_dropped", mImpl->mStaleDropped},
      {"given_up", mImpl->mGivenUp},
  };
  return boost::json::serialize(dump);
}

}  // namespace rillwall
