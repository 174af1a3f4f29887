#include "step_group.h"

#include <algorithm>

namespace rillwall {

GroupAttempt* GroupRecord::Find(std::string_view aRunner, uint64_t aAttempt) {
  const auto same = [&](const GroupAttempt& aEach) {
    return aEach.mRunner == aRunner && aEach.mAttempt == aAttempt;
  };
  const auto at = std::find_if(mAttempts.begin(), mAttempts.end(), same);
  return at == mAttempts.end() ? nullptr : &*at;
}

bool GroupRecord::IsHeldAttempt(std::string_view aRunner,
                                uint64_t aAttempt) const {
  return mState == GroupState::Held && mHeld.mRunner == aRunner &&
         mHeld.mAttempt == aAttempt;
}

GroupTable::GroupTable(const StepSpec& aSpec) : mGroups(aSpec.mPrompts.size()) {
  for (size_t group = 0; group < mGroups.size(); ++group) {
    mGroups[group].mPromptBytes = aSpec.mPrompts[group].size();
  }
  mCounts[static_cast<size_t>(GroupState::Waiting)] = mGroups.size();
}

size_t GroupTable::Count(GroupState aState) const {
  return mCounts[static_cast<size_t>(aState)];
}

size_t GroupTable::Attempts() const {
  size_t attempts = 0;
  for (const GroupRecord& group : mGroups) {
    attempts += group.mAttempts.size();
  }
  return attempts;
}

size_t GroupTable::AttemptsOn(std::string_view aRunner) const {
  const auto onRunner = [&](const GroupAttempt& aEach) {
    return aEach.mRunner == aRunner;
  };
  size_t attempts = 0;
  for (const GroupRecord& group : mGroups) {
    attempts += static_cast<size_t>(std::count_if(
        group.mAttempts.begin(), group.mAttempts.end(), onRunner));
  }
  return attempts;
}

void GroupTable::SetState(size_t aGroup, GroupState aState) {
  GroupRecord& group = mGroups[aGroup];
  --mCounts[static_cast<size_t>(group.mState)];
  ++mCounts[static_cast<size_t>(aState)];
  group.mState = aState;
}

void GroupTable::Requeue(size_t aGroup, Millis aNotBefore) {
  GroupRecord& group = mGroups[aGroup];
  group.mAttempts.clear();
  group.mHeld = GroupSummary();
  group.mPlanned = false;
  group.mNotBefore = aNotBefore;
  SetState(aGroup, GroupState::Waiting);
}

}  // namespace rillwall
