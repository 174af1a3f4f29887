/// \file
/// Decides how many replicas of which kind a service shall have in each
/// availability zone.
///
/// Load: see scale_demand.h. A late step is worth far more than a replica, so
/// a plan may have replicas too many, but none too few. A replica of the
/// revocable kind costs a fraction of an ordinary one, but all of a zone may be
/// taken away at once, and no others may be available for some seconds. A plan
/// therefore prefers revocable replicas as long as the other replicas suffice
/// for every open step if all revocable ones of any one zone are lost.
///
/// Raises are ordered at once. A count is lowered only while the replicas that
/// remain suffice, and only once all replicas of the kind in the zone have been
/// idle for some time, because the platform selects which of them ends.
///
/// Pure: no I/O and no clock.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "rillwall/route_table.h"
#include "rillwall/scale_demand.h"

namespace rillwall {

/// A number of replicas that a service shall have.
struct ScaleOrder {
  std::string mService;
  std::string mZone;
  bool mSpot = false;  ///< the revocable kind; the kinds are counted separately
  int64_t mCount = 0;
  bool operator==(const ScaleOrder&) const = default;
};

/// The replicas of one kind in one zone.
struct ReplicaGroup {
  std::string mZone;
  bool mSpot = false;
  bool operator==(const ReplicaGroup&) const = default;
  bool operator<(const ReplicaGroup& aOther) const {
    return std::tie(mZone, mSpot) < std::tie(aOther.mZone, aOther.mSpot);
  }
};

/// One replica of the service, as the plan needs to know it.
struct ScaleReplica {
  ReplicaGroup mGroup;
  int64_t mSlots = 1;
  bool mLeaving = false;  ///< draining, whatever the reason
  bool mRevoked = false;  ///< it has a termination notice
  bool mBusy = false;     ///< it runs or queues requests
};

/// Counts of a group for operators and for the plan.
struct GroupPlan {
  int64_t mPresent = 0;  ///< registered and not leaving
  int64_t mLeaving = 0;
  int64_t mNeeded = 0;   ///< by the last plan
  int64_t mOrdered = 0;  ///< last order, or the count at the start
  /// The platform has none to offer until then, as far as known.
  Millis mRefusedUntil;
  bool operator==(const GroupPlan&) const = default;
};

/// The result of one planning.
struct ScalePlan {
  std::vector<ScaleOrder> mOrders;  ///< in the order in which they are sent
  /// Groups that get no text while other replicas have free slots, because
  /// they are to be lowered.
  std::set<ReplicaGroup> mVacated;
  std::string mReason;
};

/// Plans the replicas of one service.
class ScalePlanner {
 public:
  ScalePlanner(std::string aService, ScalingSpec aSpec,
               ScalePolicy aPolicy = ScalePolicy::DueTimes);

  void SetSpec(ScalingSpec aSpec) { mSpec = std::move(aSpec); }
  ScaleDemand& Demand() { return mDemand; }
  const ScaleDemand& Demand() const { return mDemand; }

  /// Starts from the replicas that are registered.
  void StartFrom(const std::vector<ScaleReplica>& aReplicas);
  /// Continues from the orders of an earlier lead.
  /// \param aNeed need that the earlier lead knew, which is a lower bound until
  /// this lead has seen the trainers itself
  void ContinueFrom(const std::vector<ScaleOrder>& aOrders, SlotNeed aNeed,
                    Millis aNow);
  /// \param aClosedZones zones whose replicas get no requests
  ScalePlan Plan(const std::vector<ScaleReplica>& aReplicas,
                 const std::set<std::string>& aClosedZones, Millis aNow);
  /// Records that an order is about to be sent. It counts as given.
  void Ordered(const ScaleOrder& aOrder, Millis aNow);
  /// Records that the platform has no replica to offer there.
  /// \param aBefore count that was in force before the order
  void Refused(const ScaleOrder& aOrder, int64_t aBefore, Millis aNow);

  /// \return the last orders of all groups
  std::vector<ScaleOrder> Orders() const;
  const std::map<ReplicaGroup, GroupPlan>& Groups() const { return mGroups; }
  /// \return the need that the last plan was made for
  const SlotNeed& Need() const { return mNeed; }

 private:
  /// State of a group beside what operators see.
  struct Watch {
    bool mRevoked = false;  ///< by a notice, until it may be ordered again
    std::optional<Millis> mRaisedAt;    ///< when its count was last raised
    std::optional<Millis> mIdleSince;   ///< all replicas of the group are idle
    std::optional<Millis> mShortSince;  ///< fewer than ordered are present
  };
  /// Replicas that the need translates to.
  struct Target {
    int64_t mUsual = 0;
    int64_t mLeast = 0;
    int64_t mSwap = 0;  ///< suffices while one kind is exchanged for the other
  };
  void Count(const std::vector<ScaleReplica>& aReplicas, Millis aNow);
  Target TargetOf(const std::vector<ScaleReplica>& aReplicas, Millis aNow);
  /// Divides the replicas among the groups; sets GroupPlan::mNeeded.
  void Divide(const Target& aTarget, const std::set<std::string>& aClosed,
              Millis aNow);
  /// \return whether the platform is thought to have none to offer
  bool Blocked(const ReplicaGroup& aGroup, Millis aNow) const;
  /// \return whether the group's count was raised too recently to be lowered
  bool RaisedRecently(const ReplicaGroup& aGroup, Millis aNow) const;
  /// \return how many replicas of the group can be had now
  int64_t MostOf(const ReplicaGroup& aGroup, Millis aNow);
  void AddRaises(ScalePlan& aPlan, Millis aNow);
  void AddReductions(ScalePlan& aPlan, const Target& aTarget,
                     const std::set<std::string>& aClosed, Millis aNow);
  /// \return how many replicas of the group can be spared now
  int64_t Spare(const ReplicaGroup& aGroup, const Target& aTarget,
                const std::set<std::string>& aClosed) const;
  double PriceOf(const ReplicaGroup& aGroup) const;
  int64_t OrderedIn(const std::string& aZone) const;

  std::string mService;
  ScalingSpec mSpec;
  ScaleDemand mDemand;
  std::map<ReplicaGroup, GroupPlan> mGroups;
  std::map<ReplicaGroup, Watch> mWatches;
  int64_t mSlots = 1;             ///< of one replica, on average
  std::optional<Millis> mSeenAt;  ///< when the first step was planned for
  SlotNeed mNeed;
  SlotNeed mInherited;  ///< need that the earlier lead knew
  Millis mInheritedUntil;
  Millis mNoReductionUntil;
};

}  // namespace rillwall
