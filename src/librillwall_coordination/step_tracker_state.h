/// \file
/// The state of a StepTracker, and the changes that events make to it.

#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "rillwall/step.h"
#include "step_group.h"
#include "step_scheduler.h"

namespace rillwall {

/// The state of a StepTracker. Group numbers passed to its methods must be
/// known.
struct StepTrackerState {
  StepTrackerState(StepSpec aSpec, TrainerRule aRule, bool aRebuilding,
                   Millis aNow);

  bool Known(size_t aGroup) const { return aGroup < mGroups.Size(); }
  void ObserveNewest(int64_t aNewest, Millis aNow);
  /// Drops held groups that exceed the staleness bound and queues them again.
  void DropAllStale(Millis aNow, StepActions& aActions);
  /// Cancels attempts whose group would be stale, and adopted attempts that no
  /// inventory names any more.
  void CancelAllExpired(Millis aNow, StepActions& aActions);
  /// Moves the actions collected between ticks to aActions.
  void TakePending(StepActions& aActions);
  /// \return whether groups may be ordered. This is not allowed while
  /// rebuilding, for some time after a takeover unless a receipt has arrived,
  /// and for a trainer that has not pulled for a long time.
  bool MayOrder(Millis aNow) const;
  void Finished(const GroupSummary& aSummary, Millis aNow,
                StepActions& aActions);
  void Failed(size_t aGroup, std::string_view aRunner, uint64_t aAttempt,
              Millis aNow);
  /// Queues a group again if the lost runner held it or was the only one to run
  /// it.
  void RequeueLost(size_t aGroup, std::string_view aRunner, Millis aNow);
  /// Records an attempt that a runner's inventory names as running.
  void ObserveRunning(size_t aGroup, std::string_view aRunner,
                      uint64_t aAttempt, Millis aNow);
  /// Queues a group again if a runner should have it but its inventory does not
  /// name it.
  void HandleMissing(size_t aGroup, std::string_view aRunner, Millis aNow);
  /// Processes the receipt of a pull.
  void ApplyReceipt(const Receipt& aReceipt, Millis aNow,
                    StepActions& aActions);
  /// \return the held groups, oldest version first and then oldest age first
  std::vector<GroupSummary> HeldOldestFirst(Millis aNow) const;

  StepSpec mSpec;
  TrainerRule mRule;
  Millis mOpenedAt;
  bool mRebuilding;
  bool mTookOver;
  bool mReceiptReceived = false;
  Millis mRebuiltAt;
  Millis mTrainerSeenAt;  ///< last pull, or mOpenedAt before the first
  GroupTable mGroups;
  StepEstimates mEstimates;
  StepActions mPending;  ///< collected between ticks
  int64_t mNewest = 0;
  uint64_t mStaleDropped = 0;
  uint64_t mGivenUp = 0;  ///< attempts cancelled as expired

 private:
  Millis AgeOf(const GroupRecord& aGroup, Millis aNow) const;
  bool IsFresh(const GroupRecord& aGroup, Millis aNow) const;
  void CancelAttempts(size_t aGroup, StepActions& aActions);
  void DropStale(size_t aGroup, Millis aNow, StepActions& aActions);
  bool IsExpired(const GroupAttempt& aAttempt, Millis aNow) const;
  void CancelExpired(size_t aGroup, Millis aNow, StepActions& aActions);
  void UpdateEstimates(const GroupSummary& aSummary, Millis aNow);
  void Hold(const GroupSummary& aSummary, Millis aNow);
  /// \return whether the summary is that of the held group, which a draining
  /// runner handed to another one
  static bool WasHandedOver(const GroupRecord& aGroup,
                            const GroupSummary& aSummary);
  void RemoveAttempt(size_t aGroup, std::string_view aRunner, uint64_t aAttempt,
                     Millis aNotBefore);
  void Deliver(size_t aGroup, StepActions& aActions);
};

}  // namespace rillwall
