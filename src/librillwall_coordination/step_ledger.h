/// \file
/// What a step's owner knows of the step's groups, and how events change it.

#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "rillwall/step.h"
#include "step_group.h"
#include "step_scheduler.h"

namespace rillwall {

/// The state behind a StepTracker. Group numbers given must be known.
struct StepLedger {
  StepLedger(StepSpec aSpec, TrainerRule aRule, bool aRebuilding, Millis aNow);

  bool Known(size_t aGroup) const { return aGroup < mGroups.Size(); }
  void SeeNewest(int64_t aNewest, Millis aNow);
  /// Drops held groups that are too old and queues them again.
  void DropAllStale(Millis aNow, StepActions& aActions);
  /// Cancels attempts that can no longer be delivered or heard of.
  void CancelAllHopeless(Millis aNow, StepActions& aActions);
  /// Hands out what was found between ticks.
  void TakePending(StepActions& aActions);
  /// Whether groups may be ordered: not while rebuilding, after a takeover not
  /// before it is known, or was waited for, what the trainer has, and not for a
  /// trainer that has long been silent.
  bool MayOrder(Millis aNow) const;
  void Finished(const GroupSummary& aSummary, Millis aNow,
                StepActions& aActions);
  void Failed(size_t aGroup, std::string_view aRunner, uint64_t aAttempt,
              Millis aNow);
  /// Queues a group again if the lost runner ran or held it.
  void LoseGroup(size_t aGroup, std::string_view aRunner, Millis aNow);
  /// Notes an attempt that a runner says it runs.
  void SeeRunning(size_t aGroup, std::string_view aRunner, uint64_t aAttempt,
                  Millis aNow);
  /// Queues again what a runner should have and does not name.
  void Missing(size_t aGroup, std::string_view aRunner, Millis aNow);
  /// Takes in what the trainer says it has.
  void Apply(const Receipt& aReceipt, Millis aNow, StepActions& aActions);
  std::vector<GroupSummary> HeldOldestFirst(Millis aNow) const;

  StepSpec mSpec;
  TrainerRule mRule;
  Millis mOpenedAt;
  bool mRebuilding;
  bool mTookOver;
  bool mReceiptSeen = false;
  Millis mRebuiltAt;
  Millis mTrainerSeenAt;  ///< last pull, or when the step was opened here
  GroupTable mGroups;
  StepEstimates mEstimates;
  StepActions mPending;  ///< found between ticks; handed out by the next
  int64_t mNewest = 0;
  uint64_t mStaleDropped = 0;
  uint64_t mGivenUp = 0;  ///< attempts cancelled before they finished

 private:
  Millis AgeOf(const GroupRecord& aGroup, Millis aNow) const;
  bool Fresh(const GroupRecord& aGroup, Millis aNow) const;
  void CancelAttempts(size_t aGroup, StepActions& aActions);
  void DropStale(size_t aGroup, Millis aNow, StepActions& aActions);
  bool Hopeless(const GroupAttempt& aAttempt, Millis aNow) const;
  void CancelHopeless(size_t aGroup, Millis aNow, StepActions& aActions);
  void Learn(const GroupSummary& aSummary, Millis aNow);
  void Hold(const GroupSummary& aSummary, Millis aNow);
  /// \return whether a draining runner handed the held group to another one
  static bool Moved(const GroupRecord& aGroup, const GroupSummary& aSummary);
  void RemoveAttempt(size_t aGroup, std::string_view aRunner, uint64_t aAttempt,
                     Millis aNotBefore);
  void Deliver(size_t aGroup, StepActions& aActions);
};

}  // namespace rillwall
