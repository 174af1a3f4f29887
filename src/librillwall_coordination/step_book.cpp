/// \file
/// The book of a step's owner: what happens to groups. What is ordered next
/// stands in step_scheduler.

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <tuple>

#include "rillwall/step.h"
#include "step_group.h"
#include "step_scheduler.h"

namespace rillwall {

namespace {

/// After a takeover: wait this long for a receipt before groups are run that
/// the trainer may already have.
constexpr Millis kReceiptGrace{5000};
/// A receipt that names less than the last one may be a late, older pull; its
/// groups, and planned ones that were lost, are run again only after this.
constexpr Millis kDoubtDelay{1000};
/// An inventory may have been taken before the latest orders and reports.
constexpr Millis kInventoryGrace{10000};
/// Queueing before the first token that an attempt's age may include.
constexpr Millis kQueueAllowance{30000};
constexpr Millis kGroupPause{100};
constexpr Millis kGroupLongestPause{10000};

GroupOrder OrderOf(size_t aGroup, const GroupAttempt& aAttempt) {
  return {aGroup, aAttempt.mRunner, aAttempt.mAttempt};
}

GroupOrder OrderOf(const GroupSummary& aSummary) {
  return {aSummary.mGroup, aSummary.mRunner, aSummary.mAttempt};
}

void Append(std::vector<GroupOrder>& aTo, std::vector<GroupOrder>& aFrom) {
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
  aFrom.clear();
}

}  // namespace

struct StepBook::Impl {
  Impl(StepSpec aSpec, TrainerRule aRule, bool aRebuilding, Millis aNow)
      : mSpec(std::move(aSpec)),
        mRule(std::move(aRule)),
        mOpenedAt(aNow),
        mRebuilding(aRebuilding),
        mTookOver(aRebuilding),
        mGroups(mSpec) {}

  bool Known(size_t aGroup) const { return aGroup < mGroups.Size(); }

  Millis AgeOf(const GroupRecord& aGroup, Millis aNow) const {
    return aNow - aGroup.mFirstToken;
  }

  bool Fresh(const GroupRecord& aGroup, Millis aNow) const {
    return WithinBound(mRule.mStaleness, aGroup.mHeld.mOldestVersion, mNewest,
                       AgeOf(aGroup, aNow));
  }

  void SeeNewest(int64_t aNewest, Millis aNow) {
    mNewest = std::max(mNewest, aNewest);
    if (mGroups.Count(GroupState::Delivered) < mGroups.Size()) {
      mEstimates.mPace.Observe(mNewest, aNow);
    }
  }

  void CancelAttempts(size_t aGroup, StepActions& aActions) {
    GroupRecord& group = mGroups.At(aGroup);
    for (const GroupAttempt& attempt : group.mAttempts) {
      aActions.mCancel.push_back(OrderOf(aGroup, attempt));
    }
    group.mAttempts.clear();
  }

  /// Drops a held group that is too old and queues it again.
  void DropStale(size_t aGroup, Millis aNow, StepActions& aActions) {
    GroupRecord& group = mGroups.At(aGroup);
    group.mSeenTokens = group.mHeld.mTokens;
    // Not a release, which would also end the group's next run there.
    aActions.mCancel.push_back(OrderOf(group.mHeld));
    mGroups.Requeue(aGroup, aNow);
    ++mStaleDropped;
  }

  void DropAllStale(Millis aNow, StepActions& aActions) {
    for (size_t group = 0; group < mGroups.Size(); ++group) {
      const GroupRecord& record = mGroups.At(group);
      if (record.State() == GroupState::Held && !Fresh(record, aNow)) {
        DropStale(group, aNow, aActions);
      }
    }
  }

  /// \return whether what this attempt makes can no longer be delivered
  bool Hopeless(const GroupAttempt& aAttempt, Millis aNow) const {
    const StalenessBound& bound = mRule.mStaleness;
    const bool oldVersion = bound.mVersions >= 0 &&
                            aAttempt.mNewestAtStart >= 0 &&
                            mNewest - aAttempt.mNewestAtStart > bound.mVersions;
    const bool tooLong =
        bound.mAge >= Millis(0) &&
        aNow - aAttempt.mStartedAt > bound.mAge + kQueueAllowance;
    return oldVersion || tooLong;
  }

  void CancelHopeless(size_t aGroup, Millis aNow, StepActions& aActions) {
    GroupRecord& group = mGroups.At(aGroup);
    const auto hopeless = [&](const GroupAttempt& aAttempt) {
      if (!Hopeless(aAttempt, aNow)) {
        return false;
      }
      aActions.mCancel.push_back(OrderOf(aGroup, aAttempt));
      ++mStaleCancelled;
      return true;
    };
    std::erase_if(group.mAttempts, hopeless);
    if (group.mAttempts.empty()) {
      mGroups.Requeue(aGroup, aNow);
    }
  }

  void CancelAllHopeless(Millis aNow, StepActions& aActions) {
    for (size_t group = 0; group < mGroups.Size(); ++group) {
      if (mGroups.At(group).State() == GroupState::Running) {
        CancelHopeless(group, aNow, aActions);
      }
    }
  }

  void TakePending(StepActions& aActions) {
    Append(aActions.mCancel, mPending.mCancel);
    Append(aActions.mRelease, mPending.mRelease);
  }

  /// Whether groups may be ordered: not while rebuilding, and after a takeover
  /// not before it is known, or was waited for, what the trainer has.
  bool MayOrder(Millis aNow) const {
    const bool knowsReceipt =
        !mTookOver || mReceiptSeen || aNow - mRebuiltAt >= kReceiptGrace;
    return !mRebuilding && knowsReceipt;
  }

  void Learn(const GroupSummary& aSummary, Millis aNow) {
    GroupRecord& group = mGroups.At(aSummary.mGroup);
    mEstimates.mLengths.Observe(group.mPromptBytes, aSummary.mTokens);
    const GroupAttempt* attempt =
        group.Find(aSummary.mRunner, aSummary.mAttempt);
    if (attempt != nullptr) {
      mEstimates.mDurations.Observe(aNow - attempt->mStartedAt,
                                    aSummary.mTokens);
    }
    mEstimates.mHealth.Succeeded(aSummary.mRunner);
  }

  void Hold(const GroupSummary& aSummary, Millis aNow) {
    GroupRecord& group = mGroups.At(aSummary.mGroup);
    group.mHeld = aSummary;
    group.mFirstToken = aNow - aSummary.mAge;
    group.mHeldAt = aNow;
    group.mPlanned = false;
    group.mFailures = 0;
    mGroups.SetState(aSummary.mGroup, GroupState::Held);
  }

  /// \return whether a draining runner handed the held group to another one
  static bool Moved(const GroupRecord& aGroup, const GroupSummary& aSummary) {
    return aGroup.State() == GroupState::Held &&
           aGroup.mHeld.mAttempt == aSummary.mAttempt &&
           aGroup.mHeld.mOldestVersion == aSummary.mOldestVersion &&
           aGroup.mHeld.mTokens == aSummary.mTokens;
  }

  void Finished(const GroupSummary& aSummary, Millis aNow,
                StepActions& aActions) {
    GroupRecord& group = mGroups.At(aSummary.mGroup);
    group.mLastAttempt = std::max(group.mLastAttempt, aSummary.mAttempt);
    if (group.IsHeldAttempt(aSummary.mRunner, aSummary.mAttempt)) {
      return;
    }
    if (Moved(group, aSummary)) {
      group.mHeld.mRunner = aSummary.mRunner;
      return;
    }
    if (group.State() == GroupState::Held ||
        group.State() == GroupState::Delivered) {
      aActions.mCancel.push_back(OrderOf(aSummary));
      return;
    }
    Learn(aSummary, aNow);
    std::erase_if(group.mAttempts, [&](const GroupAttempt& aEach) {
      return aEach.mRunner == aSummary.mRunner &&
             aEach.mAttempt == aSummary.mAttempt;
    });
    CancelAttempts(aSummary.mGroup, aActions);
    Hold(aSummary, aNow);
    if (!Fresh(group, aNow)) {
      DropStale(aSummary.mGroup, aNow, aActions);
    }
  }

  void Failed(size_t aGroup, std::string_view aRunner, uint64_t aAttempt,
              Millis aNow) {
    GroupRecord& group = mGroups.At(aGroup);
    if (group.IsHeldAttempt(aRunner, aAttempt)) {
      mGroups.Requeue(aGroup, aNow);
      return;
    }
    if (group.Find(aRunner, aAttempt) == nullptr) {
      return;
    }
    mEstimates.mHealth.Failed(aRunner, aNow);
    ++group.mFailures;
    group.mAvoid = aRunner;
    RemoveAttempt(
        aGroup, aRunner, aAttempt,
        aNow + FailurePause(group.mFailures, kGroupPause, kGroupLongestPause));
  }

  void RemoveAttempt(size_t aGroup, std::string_view aRunner, uint64_t aAttempt,
                     Millis aNotBefore) {
    GroupRecord& group = mGroups.At(aGroup);
    std::erase_if(group.mAttempts, [&](const GroupAttempt& aEach) {
      return aEach.mRunner == aRunner && aEach.mAttempt == aAttempt;
    });
    if (group.mAttempts.empty()) {
      mGroups.Requeue(aGroup, aNotBefore);
    }
  }

  void LoseGroup(size_t aGroup, std::string_view aRunner, Millis aNow) {
    GroupRecord& group = mGroups.At(aGroup);
    if (group.State() == GroupState::Held && group.mHeld.mRunner == aRunner) {
      const Millis doubt = group.mPlanned ? kDoubtDelay : Millis(0);
      mGroups.Requeue(aGroup, aNow + doubt);
      return;
    }
    const size_t erased = std::erase_if(
        group.mAttempts,
        [&](const GroupAttempt& aEach) { return aEach.mRunner == aRunner; });
    if (erased > 0 && group.mAttempts.empty()) {
      mGroups.Requeue(aGroup, aNow);
    }
  }

  /// Notes an attempt that a runner says it runs.
  void SeeRunning(size_t aGroup, std::string_view aRunner, uint64_t aAttempt,
                  Millis aNow) {
    GroupRecord& group = mGroups.At(aGroup);
    group.mLastAttempt = std::max(group.mLastAttempt, aAttempt);
    const bool wanted = group.State() == GroupState::Waiting ||
                        group.State() == GroupState::Running;
    if (!wanted) {
      mPending.mCancel.push_back({aGroup, std::string(aRunner), aAttempt});
      return;
    }
    if (group.Find(aRunner, aAttempt) == nullptr) {
      group.mAttempts.push_back({std::string(aRunner), aAttempt, aNow, -1});
      mGroups.SetState(aGroup, GroupState::Running);
    }
  }

  /// Requeues what a runner should have and does not name.
  void Missing(size_t aGroup, std::string_view aRunner, Millis aNow) {
    GroupRecord& group = mGroups.At(aGroup);
    const Millis before = aNow - kInventoryGrace;
    if (group.State() == GroupState::Held && group.mHeld.mRunner == aRunner &&
        group.mHeldAt <= before) {
      mGroups.Requeue(aGroup, aNow);
      return;
    }
    const size_t erased =
        std::erase_if(group.mAttempts, [&](const GroupAttempt& aEach) {
          return aEach.mRunner == aRunner && aEach.mStartedAt <= before;
        });
    if (erased > 0 && group.mAttempts.empty()) {
      mGroups.Requeue(aGroup, aNow);
    }
  }

  /// The trainer has a group.
  void Deliver(size_t aGroup, StepActions& aActions) {
    if (mGroups.At(aGroup).State() == GroupState::Delivered) {
      return;
    }
    if (mGroups.At(aGroup).State() == GroupState::Held) {
      aActions.mRelease.push_back(OrderOf(mGroups.At(aGroup).mHeld));
    }
    CancelAttempts(aGroup, aActions);
    mGroups.SetState(aGroup, GroupState::Delivered);
  }

  void Apply(const Receipt& aReceipt, Millis aNow, StepActions& aActions) {
    mReceiptSeen = true;
    for (size_t group = 0; group < mGroups.Size(); ++group) {
      if (aReceipt.Has(group)) {
        Deliver(group, aActions);
      } else if (mGroups.At(group).State() == GroupState::Delivered) {
        mGroups.Requeue(group, aNow + kDoubtDelay);
      }
    }
  }

  std::vector<GroupSummary> HeldOldestFirst(Millis aNow) const {
    std::vector<GroupSummary> held;
    for (size_t group = 0; group < mGroups.Size(); ++group) {
      const GroupRecord& record = mGroups.At(group);
      if (record.State() == GroupState::Held) {
        held.push_back(record.mHeld);
        held.back().mAge = AgeOf(record, aNow);
      }
    }
    const auto older = [](const GroupSummary& aLeft,
                          const GroupSummary& aRight) {
      return std::tie(aLeft.mOldestVersion, aRight.mAge, aLeft.mGroup) <
             std::tie(aRight.mOldestVersion, aLeft.mAge, aRight.mGroup);
    };
    std::sort(held.begin(), held.end(), older);
    return held;
  }

  StepSpec mSpec;
  TrainerRule mRule;
  Millis mOpenedAt;
  bool mRebuilding;
  bool mTookOver;
  bool mReceiptSeen = false;
  Millis mRebuiltAt;
  GroupTable mGroups;
  StepEstimates mEstimates;
  StepActions mPending;  ///< found by an inventory; handed out by Tick
  int64_t mNewest = 0;
  uint64_t mStaleDropped = 0;
  uint64_t mStaleCancelled = 0;
};

StepBook::StepBook(StepSpec aSpec, TrainerRule aRule, bool aRebuilding,
                   Millis aNow)
    : mImpl(std::make_unique<Impl>(std::move(aSpec), std::move(aRule),
                                   aRebuilding, aNow)) {}

StepBook::~StepBook() = default;

const StepSpec& StepBook::Spec() const { return mImpl->mSpec; }

void StepBook::SetRule(TrainerRule aRule) { mImpl->mRule = std::move(aRule); }

void StepBook::SetVersionInterval(Millis aInterval) {
  mImpl->mEstimates.mPace.Expect(aInterval);
}

void StepBook::Inventory(std::string_view aRunner,
                         const std::vector<GroupSummary>& aHeld,
                         const std::vector<GroupOrder>& aRunning, Millis aNow) {
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
      mImpl->SeeRunning(order.mGroup, aRunner, order.mAttempt, aNow);
    }
  }
  for (size_t group = 0; group < mImpl->mGroups.Size(); ++group) {
    if (named.count(group) == 0) {
      mImpl->Missing(group, aRunner, aNow);
    }
  }
}

void StepBook::Rebuilt(Millis aNow) {
  mImpl->mRebuilding = false;
  mImpl->mRebuiltAt = aNow;
}

StepActions StepBook::Tick(const std::vector<RunnerRoom>& aRunners,
                           int64_t aNewest, Millis aNow) {
  StepActions actions;
  mImpl->SeeNewest(aNewest, aNow);
  mImpl->TakePending(actions);
  mImpl->DropAllStale(aNow, actions);
  mImpl->CancelAllHopeless(aNow, actions);
  if (mImpl->MayOrder(aNow)) {
    const ScheduleInputs inputs{mImpl->mRule, aRunners, mImpl->mSpec.mGroupSize,
                                mImpl->mNewest, aNow};
    ScheduleGroups(mImpl->mGroups, mImpl->mEstimates, inputs, actions.mRun);
  }
  return actions;
}

StepActions StepBook::Finished(const GroupSummary& aSummary, Millis aNow) {
  StepActions actions;
  if (mImpl->Known(aSummary.mGroup)) {
    mImpl->Finished(aSummary, aNow, actions);
  }
  return actions;
}

void StepBook::Failed(size_t aGroup, std::string_view aRunner,
                      uint64_t aAttempt, Millis aNow) {
  if (mImpl->Known(aGroup)) {
    mImpl->Failed(aGroup, aRunner, aAttempt, aNow);
  }
}

void StepBook::RunnerLost(std::string_view aRunner, Millis aNow) {
  mImpl->mEstimates.mHealth.Forget(aRunner);
  for (size_t group = 0; group < mImpl->mGroups.Size(); ++group) {
    mImpl->LoseGroup(group, aRunner, aNow);
  }
}

PullPlan StepBook::Plan(const Receipt& aReceipt, int64_t aNewest,
                        size_t aMaxGroups, Millis aNow, StepActions& aActions) {
  mImpl->Apply(aReceipt, aNow, aActions);
  mImpl->SeeNewest(aNewest, aNow);
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

Millis StepBook::OpenedAt() const { return mImpl->mOpenedAt; }

size_t StepBook::Delivered() const {
  return mImpl->mGroups.Count(GroupState::Delivered);
}

size_t StepBook::Held() const { return mImpl->mGroups.Count(GroupState::Held); }

size_t StepBook::Running() const {
  return mImpl->mGroups.Count(GroupState::Running);
}

size_t StepBook::Waiting() const {
  return mImpl->mGroups.Count(GroupState::Waiting);
}

uint64_t StepBook::StaleDropped() const { return mImpl->mStaleDropped; }

std::string StepBook::Dump() const {
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
      {"stale_cancelled", mImpl->mStaleCancelled},
  };
  return boost::json::serialize(dump);
}

}  // namespace rillwall
