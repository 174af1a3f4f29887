/// \file
/// Applies the order of steps (step_order.h) at their owner: keeps the order of
/// the waiting items between changes, and reports it.
///
/// StartReadyItems() asks for the next item thousands of times a second while
/// all slots are taken. The order is therefore kept until items are queued,
/// steps come or go, or it is a tenth of a second old, and a request that finds
/// no slot costs one choice of a replica for each step and service.

#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "rillwall/load_plan.h"
#include "rillwall/node_context.h"
#include "rillwall/step_order.h"
#include "rollout_step.h"

namespace rillwall {

/// Order of the waiting items of all steps whose services are ordered. To be
/// used on the node's thread only.
class StepSchedule {
 public:
  using StepPtr = std::shared_ptr<RolloutStep>;

  /// The items of one step for one service, most urgent first.
  struct Lane {
    StepPtr mStep;
    std::string mService;
    size_t mState = 0;  ///< position in the states
    std::vector<OrderedItem> mItems;
    std::vector<size_t> mRanks;  ///< of the items, in the order of all lanes
    size_t mFirst = 0;           ///< first item that may still wait
    size_t mAt = 0;              ///< next item of this round
    bool mBlocked = false;       ///< no slot is free for it in this round

    const OrderedItem& Head() const { return mItems[mAt]; }
  };

  /// Counts a run during the lifetime of the object, as it takes a slot. May
  /// outlive the schedule.
  class Run {
   public:
    explicit Run(const StepSchedule& aSchedule) : mRuns(aSchedule.mRuns) {
      ++*mRuns;
    }
    ~Run() { --*mRuns; }
    Run(const Run&) = delete;
    Run& operator=(const Run&) = delete;

   private:
    const std::shared_ptr<int64_t> mRuns;
  };

  explicit StepSchedule(NodeContext& aNode) : mNode(aNode) {}

  /// Removes the steps whose items are ordered here from a list.
  /// \return these steps; none if no service is ordered
  std::vector<StepPtr> Extract(std::vector<StepPtr>& aSteps);
  /// Begins a round: every lane may be tried again.
  /// \param aSteps result of Extract()
  void BeginRound(const std::vector<StepPtr>& aSteps,
                  const LengthHints& aLengths);
  /// \return the lane with the most urgent waiting item that is not blocked, or
  /// null. It is valid until the next call of BeginRound().
  Lane* Next();
  /// \return slack of an item now
  Millis SlackOf(const OrderedItem& aItem) const;
  /// \return whether the first item of a lane may take a free slot
  bool MayTakeSlot(const Lane& aLane) const;
  /// \return ms per event at a replica relative to the pace of a lane's step
  double PaceAt(const Lane& aLane, const std::string& aReplica) const;
  /// Goes on to the next item of a lane that may run at a replica of this
  /// relative pace; blocks the lane if there is none.
  void SkipTo(Lane& aLane, double aPace) const;
  /// \return what the open steps require of the weights of their models
  std::vector<VersionNeed> VersionNeeds() const;

 private:
  /// A step as it was ordered last.
  struct Entry {
    StepPtr mStep;
    StepState mState;
    int64_t mFree = 0;       ///< free slots that it could use
    int64_t mSlotsEach = 0;  ///< slots of one replica of its service
    Millis mSlack;           ///< least slack of its groups
  };
  bool Outdated(const std::vector<StepPtr>& aSteps) const;
  void Rebuild(const std::vector<StepPtr>& aSteps, const LengthHints& aLengths);
  Entry Describe(const StepPtr& aStep, const LengthHints& aLengths) const;
  /// Adds the slots and the pace of the usable replicas of a service.
  void AddReplicas(const std::string& aService, Entry& aEntry,
                   std::vector<double>& aPaces) const;
  void MakeLanes(const StepOrder& aOrder);
  void Report(const StepOrder& aOrder);

  NodeContext& mNode;
  std::shared_ptr<const RouteTable> mRoutes;  ///< source of mServices
  std::set<std::string> mServices;            ///< services that are ordered
  std::vector<Entry> mEntries;
  std::vector<Lane> mLanes;
  Millis mOrderedAt;
  uint64_t mQueued = 0;  ///< items queued when the order was made
  /// Runs under way.
  const std::shared_ptr<int64_t> mRuns = std::make_shared<int64_t>(0);
  int64_t mOrderedRuns = 0;
  std::string mReportedOrder;
  Millis mReportedAt;
  int64_t mChanges = 0;  ///< of the order since it was logged
};

}  // namespace rillwall
