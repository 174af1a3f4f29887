/// \file
/// The record of one group in a step's book, and the table of all.

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

/// One run of a group on a runner.
struct GroupAttempt {
  std::string mRunner;
  uint64_t mAttempt = 0;
  Millis mStartedAt;
  int64_t mNewestAtStart = -1;  ///< newest version known then; -1: not known
  bool mAdopted = false;        ///< ordered by an earlier owner
  Millis mSeenAt;               ///< if adopted: when an inventory last named it
};

struct GroupRecord {
  size_t mPromptBytes = 0;
  uint64_t mLastAttempt = 0;  ///< highest number seen
  std::vector<GroupAttempt> mAttempts;
  GroupSummary mHeld;       ///< while Held; its mAge belongs to mFirstToken
  Millis mFirstToken;       ///< while Held: instant of the oldest first token
  Millis mHeldAt;           ///< while Held: when the owner learned of it
  int64_t mSeenTokens = 0;  ///< of an earlier run whose samples were dropped
  int mFailures = 0;
  Millis mNotBefore;      ///< while Waiting: earliest next run
  std::string mAvoid;     ///< runner of the last failure
  bool mPlanned = false;  ///< while Held: named by a plan

  /// \return the attempt, or nullptr
  GroupAttempt* Find(std::string_view aRunner, uint64_t aAttempt);
  /// \return whether this is the attempt that is held
  bool IsHeldAttempt(std::string_view aRunner, uint64_t aAttempt) const;
  GroupState State() const { return mState; }

 private:
  friend class GroupTable;
  GroupState mState = GroupState::Waiting;
};

/// All groups of a step, counted by state.
class GroupTable {
 public:
  explicit GroupTable(const StepSpec& aSpec);
  size_t Size() const { return mGroups.size(); }
  GroupRecord& At(size_t aGroup) { return mGroups[aGroup]; }
  const GroupRecord& At(size_t aGroup) const { return mGroups[aGroup]; }
  size_t Count(GroupState aState) const;
  /// Attempts in flight of all groups.
  size_t Attempts() const;
  size_t AttemptsOn(std::string_view aRunner) const;

  void SetState(size_t aGroup, GroupState aState);
  /// Back to Waiting, without attempts or held samples.
  void Requeue(size_t aGroup, Millis aNotBefore);

 private:
  std::vector<GroupRecord> mGroups;
  std::array<size_t, kGroupStates> mCounts{};
};

}  // namespace rillwall
