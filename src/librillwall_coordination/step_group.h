/// \file
/// The state of one group of a step, and the table of all groups.

#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/millis.h"
#include "rillwall/step.h"

namespace rillwall {

enum class GroupState { Waiting, Running, Held, Delivered };
inline constexpr size_t kGroupStates = 4;

/// One run of a group on a runner, ordered and not yet finished.
struct GroupAttempt {
  std::string mRunner;
  uint64_t mAttempt = 0;
  Millis mStartedAt;
  int64_t mNewestAtStart = -1;  ///< newest known version; -1: not known
  bool mAdopted = false;        ///< ordered by an earlier owner
  Millis mLastNamedAt;  ///< if mAdopted: time of the last inventory with it
};

/// State of one group.
struct GroupRecord {
  size_t mPromptBytes = 0;
  uint64_t mLastAttempt = 0;  ///< highest attempt number seen
  std::vector<GroupAttempt> mAttempts;
  GroupSummary mHeld;  ///< while Held; mAge is relative to mHeldAt
  Millis mFirstToken;  ///< while Held: time of the oldest first token
  Millis mHeldAt;      ///< while Held: time at which the owner learned of it
  int64_t mPreviousTokens = 0;  ///< tokens of an earlier run that was dropped
  int mFailures = 0;
  Millis mNotBefore;         ///< while Waiting: earliest start of the next run
  std::string mAvoidRunner;  ///< runner that failed last
  bool mPlanned = false;     ///< while Held: a plan named the group

  /// \return the attempt, or nullptr if there is none
  GroupAttempt* Find(std::string_view aRunner, uint64_t aAttempt);
  /// \return whether the samples of this attempt are held
  bool IsHeldAttempt(std::string_view aRunner, uint64_t aAttempt) const;
  GroupState State() const { return mState; }

 private:
  friend class GroupTable;
  GroupState mState = GroupState::Waiting;
};

/// All groups of a step, with the number of groups in each state.
class GroupTable {
 public:
  explicit GroupTable(const StepSpec& aSpec);
  size_t Size() const { return mGroups.size(); }
  GroupRecord& At(size_t aGroup) { return mGroups[aGroup]; }
  const GroupRecord& At(size_t aGroup) const { return mGroups[aGroup]; }
  size_t Count(GroupState aState) const;
  /// \return number of attempts in flight, of all groups
  size_t Attempts() const;
  size_t AttemptsOn(std::string_view aRunner) const;

  void SetState(size_t aGroup, GroupState aState);
  /// Sets a group to Waiting and clears its attempts and held samples.
  void Requeue(size_t aGroup, Millis aNotBefore);

 private:
  std::vector<GroupRecord> mGroups;
  std::array<size_t, kGroupStates> mCounts{};
};

}  // namespace rillwall
