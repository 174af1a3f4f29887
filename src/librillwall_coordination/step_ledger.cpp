#include "step_ledger.h"

#include <algorithm>
#include <tuple>

#include "rillwall/backoff.h"

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
/// An adopted attempt of which nothing is heard is given up after this.
constexpr Millis kAdoptedPatience{15000};
/// Without a pull for this long nothing new is run: a trainer that died must
/// not have its groups made anew all night as they grow stale.
constexpr Millis kTrainerSilence{900000};
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

StepLedger::StepLedger(StepSpec aSpec, TrainerRule aRule, bool aRebuilding,
                       Millis aNow)
    : mSpec(std::move(aSpec)),
      mRule(std::move(aRule)),
      mOpenedAt(aNow),
      mRebuilding(aRebuilding),
      mTookOver(aRebuilding),
      mTrainerSeenAt(aNow),
      mGroups(mSpec) {}

Millis StepLedger::AgeOf(const GroupRecord& aGroup, Millis aNow) const {
  return aNow - aGroup.mFirstToken;
}

bool StepLedger::Fresh(const GroupRecord& aGroup, Millis aNow) const {
  return WithinStalenessBound(mRule.mStaleness, aGroup.mHeld.mOldestVersion,
                              mNewest, AgeOf(aGroup, aNow));
}

void StepLedger::SeeNewest(int64_t aNewest, Millis aNow) {
  mNewest = std::max(mNewest, aNewest);
  if (mGroups.Count(GroupState::Delivered) < mGroups.Size()) {
    mEstimates.mPace.Observe(mNewest, aNow);
  }
}

void StepLedger::CancelAttempts(size_t aGroup, StepActions& aActions) {
  GroupRecord& group = mGroups.At(aGroup);
  for (const GroupAttempt& attempt : group.mAttempts) {
    aActions.mCancel.push_back(OrderOf(aGroup, attempt));
  }
  group.mAttempts.clear();
}

void StepLedger::DropStale(size_t aGroup, Millis aNow, StepActions& aActions) {
  GroupRecord& group = mGroups.At(aGroup);
  group.mSeenTokens = group.mHeld.mTokens;
  // Not a release, which would also end the group's next run there.
  aActions.mCancel.push_back(OrderOf(group.mHeld));
  mGroups.Requeue(aGroup, aNow);
  ++mStaleDropped;
}

void StepLedger::DropAllStale(Millis aNow, StepActions& aActions) {
  for (size_t group = 0; group < mGroups.Size(); ++group) {
    const GroupRecord& record = mGroups.At(group);
    if (record.State() == GroupState::Held && !Fresh(record, aNow)) {
      DropStale(group, aNow, aActions);
    }
  }
}

bool StepLedger::Hopeless(const GroupAttempt& aAttempt, Millis aNow) const {
  const StalenessBound& bound = mRule.mStaleness;
  const bool oldVersion = bound.mVersions >= 0 &&
                          aAttempt.mNewestAtStart >= 0 &&
                          mNewest - aAttempt.mNewestAtStart > bound.mVersions;
  const bool tooLong =
      bound.mAge >= Millis(0) &&
      aNow - aAttempt.mStartedAt > bound.mAge + kQueueAllowance;
  const bool unheard =
      aAttempt.mAdopted && aNow - aAttempt.mSeenAt > kAdoptedPatience;
  return oldVersion || tooLong || unheard;
}

void StepLedger::CancelHopeless(size_t aGroup, Millis aNow,
                                StepActions& aActions) {
  GroupRecord& group = mGroups.At(aGroup);
  const auto hopeless = [&](const GroupAttempt& aAttempt) {
    if (!Hopeless(aAttempt, aNow)) {
      return false;
    }
    aActions.mCancel.push_back(OrderOf(aGroup, aAttempt));
    ++mGivenUp;
    return true;
  };
  std::erase_if(group.mAttempts, hopeless);
  if (group.mAttempts.empty()) {
    mGroups.Requeue(aGroup, aNow);
  }
}

void StepLedger::CancelAllHopeless(Millis aNow, StepActions& aActions) {
  for (size_t group = 0; group < mGroups.Size(); ++group) {
    if (mGroups.At(group).State() == GroupState::Running) {
      CancelHopeless(group, aNow, aActions);
    }
  }
}

void StepLedger::TakePending(StepActions& aActions) {
  Append(aActions.mCancel, mPending.mCancel);
  Append(aActions.mRelease, mPending.mRelease);
}

bool StepLedger::MayOrder(Millis aNow) const {
  const bool knowsReceipt =
      !mTookOver || mReceiptSeen || aNow - mRebuiltAt >= kReceiptGrace;
  const bool trainerLives = aNow - mTrainerSeenAt < kTrainerSilence;
  return !mRebuilding && knowsReceipt && trainerLives;
}

void StepLedger::Learn(const GroupSummary& aSummary, Millis aNow) {
  GroupRecord& group = mGroups.At(aSummary.mGroup);
  mEstimates.mLengths.Observe(group.mPromptBytes, aSummary.mTokens);
  const GroupAttempt* attempt = group.Find(aSummary.mRunner, aSummary.mAttempt);
  if (attempt != nullptr) {
    mEstimates.mDurations.Observe(aNow - attempt->mStartedAt, aSummary.mTokens);
  }
  mEstimates.mHealth.Succeeded(aSummary.mRunner);
}

void StepLedger::Hold(const GroupSummary& aSummary, Millis aNow) {
  GroupRecord& group = mGroups.At(aSummary.mGroup);
  group.mHeld = aSummary;
  group.mFirstToken = aNow - aSummary.mAge;
  group.mHeldAt = aNow;
  group.mPlanned = false;
  group.mFailures = 0;
  mGroups.SetState(aSummary.mGroup, GroupState::Held);
}

bool StepLedger::Moved(const GroupRecord& aGroup,
                       const GroupSummary& aSummary) {
  return aGroup.State() == GroupState::Held &&
         aGroup.mHeld.mAttempt == aSummary.mAttempt &&
         aGroup.mHeld.mOldestVersion == aSummary.mOldestVersion &&
         aGroup.mHeld.mTokens == aSummary.mTokens;
}

void StepLedger::Finished(const GroupSummary& aSummary, Millis aNow,
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

void StepLedger::Failed(size_t aGroup, std::string_view aRunner,
                        uint64_t aAttempt, Millis aNow) {
  GroupRecord& group = mGroups.At(aGroup);
  if (group.IsHeldAttempt(aRunner, aAttempt)) {
    mGroups.Requeue(aGroup, aNow);
    return;
  }
  if (group.Find(aRunner, aAttempt) == nullptr) {
    return;
  }
  // The order's call may have failed while the runner goes on.
  mPending.mCancel.push_back({aGroup, std::string(aRunner), aAttempt});
  mEstimates.mHealth.Failed(aRunner, aNow);
  ++group.mFailures;
  group.mAvoid = aRunner;
  RemoveAttempt(
      aGroup, aRunner, aAttempt,
      aNow + BackoffDelay(group.mFailures, kGroupPause, kGroupLongestPause));
}

void StepLedger::RemoveAttempt(size_t aGroup, std::string_view aRunner,
                               uint64_t aAttempt, Millis aNotBefore) {
  GroupRecord& group = mGroups.At(aGroup);
  std::erase_if(group.mAttempts, [&](const GroupAttempt& aEach) {
    return aEach.mRunner == aRunner && aEach.mAttempt == aAttempt;
  });
  if (group.mAttempts.empty()) {
    mGroups.Requeue(aGroup, aNotBefore);
  }
}

void StepLedger::LoseGroup(size_t aGroup, std::string_view aRunner,
                           Millis aNow) {
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

void StepLedger::SeeRunning(size_t aGroup, std::string_view aRunner,
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
    known->mSeenAt = aNow;
    return;
  }
  group.mAttempts.push_back(
      {std::string(aRunner), aAttempt, aNow, -1, true, aNow});
  mGroups.SetState(aGroup, GroupState::Running);
}

void StepLedger::Missing(size_t aGroup, std::string_view aRunner, Millis aNow) {
  GroupRecord& group = mGroups.At(aGroup);
  const Millis before = aNow - kInventoryGrace;
  if (group.State() == GroupState::Held && group.mHeld.mRunner == aRunner &&
      group.mHeldAt <= before) {
    mGroups.Requeue(aGroup, aNow);
    return;
  }
  const size_t erased =
      std::erase_if(group.mAttempts, [&](const GroupAttempt& aEach) {
        return aEach.mRunner == aRunner &&
               (aEach.mAdopted || aEach.mStartedAt <= before);
      });
  if (erased > 0 && group.mAttempts.empty()) {
    mGroups.Requeue(aGroup, aNow);
  }
}

void StepLedger::Deliver(size_t aGroup, StepActions& aActions) {
  if (mGroups.At(aGroup).State() == GroupState::Delivered) {
    return;
  }
  if (mGroups.At(aGroup).State() == GroupState::Held) {
    aActions.mRelease.push_back(OrderOf(mGroups.At(aGroup).mHeld));
  }
  CancelAttempts(aGroup, aActions);
  mGroups.SetState(aGroup, GroupState::Delivered);
}

void StepLedger::Apply(const Receipt& aReceipt, Millis aNow,
                       StepActions& aActions) {
  mReceiptSeen = true;
  mTrainerSeenAt = aNow;
  for (size_t group = 0; group < mGroups.Size(); ++group) {
    if (aReceipt.Has(group)) {
      Deliver(group, aActions);
    } else if (mGroups.At(group).State() == GroupState::Delivered) {
      mGroups.Requeue(group, aNow + kDoubtDelay);
    }
  }
}

std::vector<GroupSummary> StepLedger::HeldOldestFirst(Millis aNow) const {
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
