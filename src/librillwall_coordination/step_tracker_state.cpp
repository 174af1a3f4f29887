#include "step_tracker_state.h"

#include <algorithm>
#include <tuple>

#include "rillwall/backoff.h"

namespace rillwall {

namespace {

/// Time to wait for a receipt after a takeover before groups are ordered,
/// because the trainer may already have them.
constexpr Millis kReceiptGrace{5000};
/// Delay before a group is run again that the trainer may have. This concerns
/// groups missing from a receipt that names fewer groups than an earlier one,
/// since it may come from an older pull that arrived late, and planned groups
/// whose runner was lost.
constexpr Millis kRerunDelay{1000};
/// Age below which orders and reports may be missing from an inventory, which
/// may have been taken before them.
constexpr Millis kInventoryGrace{10000};
/// Queueing time before the first token, added to the age bound of an attempt.
constexpr Millis kQueueAllowance{30000};
/// An adopted attempt is cancelled if no inventory names it for this long.
constexpr Millis kAdoptedTimeout{15000};
/// No group is ordered if the trainer has not pulled for this long. Otherwise
/// the groups of a dead trainer would be run again and again as they become
/// stale.
constexpr Millis kTrainerTimeout{900000};
constexpr Millis kGroupInitialBackoff{100};
constexpr Millis kGroupMaxBackoff{10000};

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

StepTrackerState::StepTrackerState(StepSpec aSpec, TrainerRule aRule,
                                   bool aRebuilding, Millis aNow)
    : mSpec(std::move(aSpec)),
      mRule(std::move(aRule)),
      mOpenedAt(aNow),
      mRebuilding(aRebuilding),
      mTookOver(aRebuilding),
      mTrainerSeenAt(aNow),
      mGroups(mSpec) {}

Millis StepTrackerState::AgeOf(const GroupRecord& aGroup, Millis aNow) const {
  return aNow - aGroup.mFirstToken;
}

bool StepTrackerState::IsFresh(const GroupRecord& aGroup, Millis aNow) const {
  return WithinStalenessBound(mRule.mStaleness, aGroup.mHeld.mOldestVersion,
                              mNewest, AgeOf(aGroup, aNow));
}

void StepTrackerState::ObserveNewest(int64_t aNewest, Millis aNow) {
  mNewest = std::max(mNewest, aNewest);
  if (mGroups.Count(GroupState::Delivered) < mGroups.Size()) {
    mEstimates.mVersionRate.Observe(mNewest, aNow);
  }
}

void StepTrackerState::CancelAttempts(size_t aGroup, StepActions& aActions) {
  GroupRecord& group = mGroups.At(aGroup);
  for (const GroupAttempt& attempt : group.mAttempts) {
    aActions.mCancel.push_back(OrderOf(aGroup, attempt));
  }
  group.mAttempts.clear();
}

void StepTrackerState::DropStale(size_t aGroup, Millis aNow,
                                 StepActions& aActions) {
  GroupRecord& group = mGroups.At(aGroup);
  group.mPreviousTokens = group.mHeld.mTokens;
  // A release instead would also end the next run of the group on this runner.
  aActions.mCancel.push_back(OrderOf(group.mHeld));
  mGroups.Requeue(aGroup, aNow);
  ++mStaleDropped;
}

void StepTrackerState::DropAllStale(Millis aNow, StepActions& aActions) {
  for (size_t group = 0; group < mGroups.Size(); ++group) {
    const GroupRecord& record = mGroups.At(group);
    if (record.State() == GroupState::Held && !IsFresh(record, aNow)) {
      DropStale(group, aNow, aActions);
    }
  }
}

bool StepTrackerState::IsExpired(const GroupAttempt& aAttempt,
                                 Millis aNow) const {
  const StalenessBound& bound = mRule.mStaleness;
  const bool oldVersion = bound.mVersions >= 0 &&
                          aAttempt.mNewestAtStart >= 0 &&
                          mNewest - aAttempt.mNewestAtStart > bound.mVersions;
  const bool tooLong =
      bound.mAge >= Millis(0) &&
      aNow - aAttempt.mStartedAt > bound.mAge + kQueueAllowance;
  const bool notNamed =
      aAttempt.mAdopted && aNow - aAttempt.mLastNamedAt > kAdoptedTimeout;
  return oldVersion || tooLong || notNamed;
}

void StepTrackerState::CancelExpired(size_t aGroup, Millis aNow,
                                     StepActions& aActions) {
  GroupRecord& group = mGroups.At(aGroup);
  const auto expired = [&](const GroupAttempt& aAttempt) {
    if (!IsExpired(aAttempt, aNow)) {
      return false;
    }
    aActions.mCancel.push_back(OrderOf(aGroup, aAttempt));
    ++mGivenUp;
    return true;
  };
  std::erase_if(group.mAttempts, expired);
  if (group.mAttempts.empty()) {
    mGroups.Requeue(aGroup, aNow);
  }
}

void StepTrackerState::CancelAllExpired(Millis aNow, StepActions& aActions) {
  for (size_t group = 0; group < mGroups.Size(); ++group) {
    if (mGroups.At(group).State() == GroupState::Running) {
      CancelExpired(group, aNow, aActions);
    }
  }
}

void StepTrackerState::TakePending(StepActions& aActions) {
  Append(aActions.mCancel, mPending.mCancel);
  Append(aActions.mRelease, mPending.mRelease);
}

bool StepTrackerState::MayOrder(Millis aNow) const {
  const bool knowsReceipt =
      !mTookOver || mReceiptReceived || aNow - mRebuiltAt >= kReceiptGrace;
  const bool trainerActive = aNow - mTrainerSeenAt < kTrainerTimeout;
  return !mRebuilding && knowsReceipt && trainerActive;
}

void StepTrackerState::UpdateEstimates(const GroupSummary& aSummary,
                                       Millis aNow) {
  GroupRecord& group = mGroups.At(aSummary.mGroup);
  mEstimates.mLengths.Observe(group.mPromptBytes, aSummary.mTokens);
  const GroupAttempt* attempt = group.Find(aSummary.mRunner, aSummary.mAttempt);
  if (attempt != nullptr) {
    mEstimates.mDurations.Observe(aNow - attempt->mStartedAt, aSummary.mTokens);
  }
  mEstimates.mHealth.Succeeded(aSummary.mRunner);
}

void StepTrackerState::Hold(const GroupSummary& aSummary, Millis aNow) {
  GroupRecord& group = mGroups.At(aSummary.mGroup);
  group.mHeld = aSummary;
  group.mFirstToken = aNow - aSummary.mAge;
  group.mHeldAt = aNow;
  group.mPlanned = false;
  group.mFailures = 0;
  mGroups.SetState(aSummary.mGroup, GroupState::Held);
}

bool StepTrackerState::WasHandedOver(const GroupRecord& aGroup,
                                     const GroupSummary& aSummary) {
  return aGroup.State() == GroupState::Held &&
         aGroup.mHeld.mAttempt == aSummary.mAttempt &&
         aGroup.mHeld.mOldestVersion == aSummary.mOldestVersion &&
         aGroup.mHeld.mTokens == aSummary.mTokens;
}

void StepTrackerState::Finished(const GroupSummary& aSummary, Millis aNow,
                                StepActions& aActions) {
  GroupRecord& group = mGroups.At(aSummary.mGroup);
  group.mLastAttempt = std::max(group.mLastAttempt, aSummary.mAttempt);
  if (group.IsHeldAttempt(aSummary.mRunner, aSummary.mAttempt)) {
    return;
  }
  if (WasHandedOver(group, aSummary)) {
    group.mHeld.mRunner = aSummary.mRunner;
    return;
  }
  if (group.State() == GroupState::Held ||
      group.State() == GroupState::Delivered) {
    aActions.mCancel.push_back(OrderOf(aSummary));
    return;
  }
  UpdateEstimates(aSummary, aNow);
  std::erase_if(group.mAttempts, [&](const GroupAttempt& aEach) {
    return aEach.mRunner == aSummary.mRunner &&
           aEach.mAttempt == aSummary.mAttempt;
  });
  CancelAttempts(aSummary.mGroup, aActions);
  Hold(aSummary, aNow);
  if (!IsFresh(group, aNow)) {
    DropStale(aSummary.mGroup, aNow, aActions);
  }
}

void StepTrackerState::Failed(size_t aGroup, std::string_view aRunner,
                              uint64_t aAttempt, Millis aNow) {
  GroupRecord& group = mGroups.At(aGroup);
  if (group.IsHeldAttempt(aRunner, aAttempt)) {
    mGroups.Requeue(aGroup, aNow);
    return;
  }
  if (group.Find(aRunner, aAttempt) == nullptr) {
    return;
  }
  // The call that ordered the run may have failed while the runner continues.
  mPending.mCancel.push_back({aGroup, std::string(aRunner), aAttempt});
  mEstimates.mHealth.Failed(aRunner, aNow);
  ++group.mFailures;
  group.mAvoidRunner = aRunner;
  RemoveAttempt(aGroup, aRunner, aAttempt,
                aNow + BackoffDelay(group.mFailures, kGroupInitialBackoff,
                                    kGroupMaxBackoff));
}

void StepTrackerState::RemoveAttempt(size_t aGroup, std::string_view aRunner,
                                     uint64_t aAttempt, Millis aNotBefore) {
  GroupRecord& group = mGroups.At(aGroup);
  std::erase_if(group.mAttempts, [&](const GroupAttempt& aEach) {
    return aEach.mRunner == aRunner && aEach.mAttempt == aAttempt;
  });
  if (group.mAttempts.empty()) {
    mGroups.Requeue(aGroup, aNotBefore);
  }
}

void StepTrackerState::RequeueLost(size_t aGroup, std::string_view aRunner,
                                   Millis aNow) {
  GroupRecord& group = mGroups.At(aGroup);
  if (group.State() == GroupState::Held && group.mHeld.mRunner == aRunner) {
    const Millis delay = group.mPlanned ? kRerunDelay : Millis(0);
    mGroups.Requeue(aGroup, aNow + delay);
    return;
  }
  const size_t erased = std::erase_if(
      group.mAttempts,
      [&](const GroupAttempt& aEach) { return aEach.mRunner == aRunner; });
  if (erased > 0 && group.mAttempts.empty()) {
    mGroups.Requeue(aGroup, aNow);
  }
}

void StepTrackerState::ObserveRunning(size_t aGroup, std::string_view aRunner,
                                      uint64_t aAttempt, Millis aNow) {
  GroupRecord& group = mGroups.At(aGroup);
  group.mLastAttempt = std::max(group.mLastAttempt, aAttempt);
  const bool wanted = group.State() == GroupState::Waiting ||
                      group.State() == GroupState::Running;
  if (!wanted) {
    mPending.mCancel.push_back({aGroup, std::string(aRunner), aAttempt});
    return;
  }
  GroupAttempt* known = group.Find(aRunner, aAttempt);
  if (known != nullptr) {
    known->mLastNamedAt = aNow;
    return;
  }
  group.mAttempts.push_back(
      {std::string(aRunner), aAttempt, aNow, -1, true, aNow});
  mGroups.SetState(aGroup, GroupState::Running);
}

void StepTrackerState::HandleMissing(size_t aGroup, std::string_view aRunner,
                                     Millis aNow) {
  GroupRecord& group = mGroups.At(aGroup);
  const Millis cutoff = aNow - kInventoryGrace;
  if (group.State() == GroupState::Held && group.mHeld.mRunner == aRunner &&
      group.mHeldAt <= cutoff) {
    mGroups.Requeue(aGroup, aNow);
    return;
  }
  const size_t erased =
      std::erase_if(group.mAttempts, [&](const GroupAttempt& aEach) {
        return aEach.mRunner == aRunner &&
               (aEach.mAdopted || aEach.mStartedAt <= cutoff);
      });
  if (erased > 0 && group.mAttempts.empty()) {
    mGroups.Requeue(aGroup, aNow);
  }
}

void StepTrackerState::Deliver(size_t aGroup, StepActions& aActions) {
  if (mGroups.At(aGroup).State() == GroupState::Delivered) {
    return;
  }
  if (mGroups.At(aGroup).State() == GroupState::Held) {
    aActions.mRelease.push_back(OrderOf(mGroups.At(aGroup).mHeld));
  }
  CancelAttempts(aGroup, aActions);
  mGroups.SetState(aGroup, GroupState::Delivered);
}

void StepTrackerState::ApplyReceipt(const Receipt& aReceipt, Millis aNow,
                                    StepActions& aActions) {
  mReceiptReceived = true;
  mTrainerSeenAt = aNow;
  for (size_t group = 0; group < mGroups.Size(); ++group) {
    if (aReceipt.Has(group)) {
      Deliver(group, aActions);
    } else if (mGroups.At(group).State() == GroupState::Delivered) {
      mGroups.Requeue(group, aNow + kRerunDelay);
    }
  }
}

std::vector<GroupSummary> StepTrackerState::HeldOldestFirst(Millis aNow) const {
  std::vector<GroupSummary> held;
  for (size_t group = 0; group < mGroups.Size(); ++group) {
    const GroupRecord& record = mGroups.At(group);
    if (record.State() == GroupState::Held) {
      held.push_back(record.mHeld);
      held.back().mAge = AgeOf(record, aNow);
    }
  }
  const auto older = [](const GroupSummary& aLeft, const GroupSummary& aRight) {
    return std::tie(aLeft.mOldestVersion, aRight.mAge, aLeft.mGroup) <
           std::tie(aRight.mOldestVersion, aLeft.mAge, aRight.mGroup);
  };
  std::sort(held.begin(), held.end(), older);
  return held;
}

}  // namespace rillwall
