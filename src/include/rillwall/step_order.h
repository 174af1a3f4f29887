/// \file
/// Order in which the items of several open steps start.
///
/// The load is that of several trainers on one service: a few hundred texts
/// arrive at once, more than there are slots, and the longest of them take
/// nearly all of the time until their step is due. A trainer earns a group if
/// all its items are listed by the due time. A text that is long therefore has
/// to start at once, while a short one of the same group can wait.
///
/// Groups are divided into classes. Within a class the item with the least
/// slack starts first. While there is more work than can be done in time, the
/// order by slack would make all steps late; groups are then completed one
/// after the other, those that cost least first, and only items with hardly any
/// slack go before. Slack is the time until the step is due, less the time that
/// the text still takes and the time for its score and for the trainer to read
/// it. The slack of waiting items falls at the same rate, so that an order
/// stays valid while nothing else changes.
///
/// Pure: no state, no I/O and no clock.

#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "rillwall/millis.h"
#include "rillwall/rollout.h"
#include "rillwall/route_table.h"

namespace rillwall {

/// What the order needs to know of one open step.
struct StepState {
  std::string mId;
  int64_t mAcceptedMs = 0;  ///< in ms since 1970
  Millis mDueAt;
  Millis mGiveUpAt;  ///< when the trainer gives up
  /// 0 is the most urgent: the account's, where it has one, else the route's.
  int mPriority = 0;
  std::string mAccount;
  int64_t mTargetGroups = 0;  ///< complete groups that the trainer waits for
  int64_t mCompleteGroups = 0;
  bool mTargetReached = false;     ///< the trainer can go on
  std::vector<OpenGroup> mGroups;  ///< that are not complete
  int64_t mReplicas = 0;           ///< replicas with a usable version
  int64_t mSlots = 0;              ///< slots of these replicas
  double mPace = 0;                ///< ms per event; 0: unknown
};

/// Ways to order items.
enum class OrderPolicy {
  Acceptance,   ///< steps by acceptance, items by length hint
  EarliestDue,  ///< steps by due time, items by length hint
  LeastSlack,   ///< items by slack, in the classes of their groups
};

/// Class of a group, the first to start first.
enum class GroupClass {
  Needed,  ///< can be complete in time, or is in danger of being given up
  Late,    ///< cannot be complete in time
  Spare,   ///< its step has reached its target
};

/// An item in the order of starts.
struct OrderedItem {
  size_t mStep = 0;  ///< position of the step
  size_t mItem = 0;  ///< index in the step
  GroupClass mClass = GroupClass::Needed;
  Millis mSlack;     ///< to the due time; of late groups, to the give-up time
  Millis mTimeLeft;  ///< expected time of the rest of its text
  bool mWhole = false;  ///< needs no slot, as only the score is missing
};

/// Order of the waiting items of all steps.
struct StepOrder {
  std::vector<OrderedItem> mItems;  ///< most urgent first
  std::vector<size_t> mSteps;       ///< by their most urgent waiting item
  std::vector<Millis> mSlack;  ///< by step: least slack of its needed groups
  std::vector<int64_t> mLate;  ///< by step: late groups
  /// Groups that start before a waiting group of a step accepted earlier.
  int64_t mAhead = 0;
  /// There is more work than can be done in time.
  bool mOverloaded = false;
};

/// \return the services whose items are ordered: those that receive them from
/// rollout routes of different priorities
std::set<std::string> OrderedServices(const RouteTable& aRoutes);

/// \param aSteps open steps of one service
/// \return their waiting items in the order in which they start
StepOrder OrderSteps(const std::vector<StepState>& aSteps, Millis aNow,
                     OrderPolicy aPolicy = OrderPolicy::LeastSlack);

/// Decides whether an item may take one of the last free slots, which are kept
/// for the longest texts.
/// \param aSlack of the item now
/// \param aFree free slots
/// \param aSlots all slots
bool MayTakeSlot(GroupClass aClass, Millis aSlack, int64_t aFree,
                 int64_t aSlots);

/// Decides whether an item may run at a replica that is slower than usual. If
/// not, a shorter item should take the slot.
/// \param aSlack of the item now
/// \param aPace ms per event there, relative to the pace of the step
bool MayRunAt(Millis aTimeLeft, Millis aSlack, double aPace);

/// \return the priority of an item's request from 0, the most urgent, to 9
int RequestPriority(GroupClass aClass, Millis aSlack);

/// \param aSlots texts that a replica runs concurrently
/// \return replicas on which a step's version must be loaded for the step to be
/// complete by its due time; 0 if it needs none
int64_t ReplicasInTime(const StepState& aStep, int64_t aSlots, Millis aNow);

}  // namespace rillwall
