#include "rillwall/scale_plan.h"

#include <algorithm>
#include <tuple>

#include "rillwall/numbers.h"

namespace rillwall {

namespace {

/// How long a group is not ordered after a refusal or a termination notice. The
/// platform has no revocable replicas in a zone for 8 to 10 s then.
constexpr Millis kRefusedPause{9000};
/// All replicas of a group must have been idle this long before its count is
/// lowered. It covers a text that ends and its host's next choice.
constexpr Millis kIdleSpan{1500};
/// No count is lowered this long after the first step: five steps of a trainer,
/// so that all trainers have been seen.
constexpr Millis kMinObservation{20000};
/// No count is lowered this long after a takeover. Steps of former owners,
/// whose texts this lead does not see, have ended by then.
constexpr Millis kTakeoverPause{15000};
/// A group's count is not lowered this soon after it was raised, so that orders
/// do not alternate while zones lose and regain their revocable replicas. An
/// ordinary replica costs several times as much as a revocable one.
constexpr Millis kOrdinaryHold{10000};
constexpr Millis kSpotHold{60000};
/// How long the need that the earlier lead knew counts.
constexpr Millis kInheritedSpan{60000};
/// Time beyond twice the boot time after which replicas that are missing are
/// ordered again.
constexpr Millis kShortSpan{5000};
/// The usual need is rounded up to a multiple of this part of it, so that
/// slowly rising peaks do not cause an order each.
constexpr int64_t kRoundingParts = 16;

int64_t DivideUp(int64_t aValue, int64_t aBy) {
  return (aValue + aBy - 1) / aBy;
}

int64_t RoundUp(int64_t aReplicas) {
  const int64_t unit = std::max<int64_t>(1, aReplicas / kRoundingParts);
  return DivideUp(aReplicas, unit) * unit;
}

/// One zone in a division of the replicas.
struct ZoneShare {
  std::string mZone;
  double mPrice = 0;
  int64_t mMaxSpot = 0;
  int64_t mMaxOrdinary = 0;
  int64_t mSpot = 0;
  int64_t mOrdinary = 0;

  int64_t Total() const { return mSpot + mOrdinary; }
};

/// A division of the replicas among zones and kinds.
struct Division {
  std::vector<ZoneShare> mZones;
  int64_t mLeastMissing = 0;  ///< missing after the loss of a zone
  int64_t mUsualMissing = 0;
  double mCost = 0;

  bool BetterThan(const Division& aOther) const {
    return std::tie(mLeastMissing, mUsualMissing, mCost) <
           std::tie(aOther.mLeastMissing, aOther.mUsualMissing, aOther.mCost);
  }
};

/// Divides with at most aSpotLimit revocable replicas in each zone.
/// \param aZones empty shares, cheapest first
Division DivideWithLimit(std::vector<ZoneShare> aZones, int64_t aSpotLimit,
                         int64_t aUsual, int64_t aLeast,
                         const ScalingSpec& aSpec) {
  const int64_t wanted = std::max(aUsual, aLeast + aSpotLimit);
  int64_t total = 0;
  for (ZoneShare& zone : aZones) {
    zone.mSpot = std::min({aSpotLimit, zone.mMaxSpot, wanted - total});
    total += zone.mSpot;
  }
  for (ZoneShare& zone : aZones) {
    zone.mOrdinary =
        std::min({zone.mMaxOrdinary, aSpec.mMax - zone.mSpot, wanted - total});
    total += zone.mOrdinary;
  }
  Division division;
  int64_t mostSpot = 0;
  total = 0;
  for (ZoneShare& zone : aZones) {
    const int64_t spot = std::min(aSpotLimit, zone.mMaxSpot) - zone.mSpot;
    zone.mSpot += std::clamp<int64_t>(aSpec.mMin - zone.Total(), 0, spot);
    zone.mOrdinary += std::clamp<int64_t>(aSpec.mMin - zone.Total(), 0,
                                          zone.mMaxOrdinary - zone.mOrdinary);
    mostSpot = std::max(mostSpot, zone.mSpot);
    total += zone.Total();
    division.mCost +=
        zone.mPrice * (static_cast<double>(zone.mOrdinary) +
                       aSpec.mSpotPrice * static_cast<double>(zone.mSpot));
  }
  division.mLeastMissing = std::max<int64_t>(0, aLeast + mostSpot - total);
  division.mUsualMissing = std::max<int64_t>(0, aUsual - total);
  division.mZones = std::move(aZones);
  return division;
}

}  // namespace

ScalePlanner::ScalePlanner(std::string aService, ScalingSpec aSpec,
                           ScalePolicy aPolicy)
    : mService(std::move(aService)),
      mSpec(std::move(aSpec)),
      mDemand(aPolicy) {}

void ScalePlanner::StartFrom(const std::vector<ScaleReplica>& aReplicas) {
  for (const ScaleReplica& replica : aReplicas) {
    mGroups[replica.mGroup].mOrdered += replica.mLeaving ? 0 : 1;
  }
}

void ScalePlanner::ContinueFrom(const std::vector<ScaleOrder>& aOrders,
                                SlotNeed aNeed, Millis aNow) {
  for (const ScaleOrder& order : aOrders) {
    mGroups[{order.mZone, order.mSpot}].mOrdered = order.mCount;
  }
  mInherited = aNeed;
  mInheritedUntil = aNow + kInheritedSpan;
  mNoReductionUntil = aNow + kTakeoverPause;
}

void ScalePlanner::Ordered(const ScaleOrder& aOrder, Millis aNow) {
  const ReplicaGroup group{aOrder.mZone, aOrder.mSpot};
  GroupPlan& plan = mGroups[group];
  Watch& watch = mWatches[group];
  if (aOrder.mCount > plan.mOrdered) {
    watch.mRaisedAt = aNow;
  }
  plan.mOrdered = aOrder.mCount;
  watch.mShortSince = aNow;
}

void ScalePlanner::Refused(const ScaleOrder& aOrder, int64_t aBefore,
                           Millis aNow) {
  GroupPlan& group = mGroups[{aOrder.mZone, aOrder.mSpot}];
  group.mOrdered = aBefore;
  group.mRefusedUntil = aNow + kRefusedPause;
}

std::vector<ScaleOrder> ScalePlanner::Orders() const {
  std::vector<ScaleOrder> orders;
  for (const auto& [group, plan] : mGroups) {
    orders.push_back({mService, group.mZone, group.mSpot, plan.mOrdered});
  }
  return orders;
}

bool ScalePlanner::Blocked(const ReplicaGroup& aGroup, Millis aNow) const {
  const auto found = mGroups.find(aGroup);
  return found != mGroups.end() && aNow < found->second.mRefusedUntil;
}

bool ScalePlanner::RaisedRecently(const ReplicaGroup& aGroup,
                                  Millis aNow) const {
  const auto found = mWatches.find(aGroup);
  const Millis hold = aGroup.mSpot ? kSpotHold : kOrdinaryHold;
  return found != mWatches.end() && found->second.mRaisedAt &&
         aNow - *found->second.mRaisedAt < hold;
}

double ScalePlanner::PriceOf(const ReplicaGroup& aGroup) const {
  const auto price = mSpec.mZonePrices.find(aGroup.mZone);
  const double ordinary = price == mSpec.mZonePrices.end() ? 0 : price->second;
  return aGroup.mSpot ? ordinary * mSpec.mSpotPrice : ordinary;
}

int64_t ScalePlanner::OrderedIn(const std::string& aZone) const {
  int64_t ordered = 0;
  for (const bool spot : {false, true}) {
    const auto found = mGroups.find({aZone, spot});
    ordered += found == mGroups.end() ? 0 : found->second.mOrdered;
  }
  return ordered;
}

void ScalePlanner::Count(const std::vector<ScaleReplica>& aReplicas,
                         Millis aNow) {
  for (const auto& [zone, price] : mSpec.mZonePrices) {
    mGroups[{zone, false}];
    mGroups[{zone, true}];
  }
  std::set<ReplicaGroup> busy;
  std::set<ReplicaGroup> revoked;
  for (auto& [group, plan] : mGroups) {
    plan.mPresent = 0;
    plan.mLeaving = 0;
  }
  for (const ScaleReplica& replica : aReplicas) {
    GroupPlan& plan = mGroups[replica.mGroup];
    ++(replica.mLeaving ? plan.mLeaving : plan.mPresent);
    if (replica.mBusy && !replica.mLeaving) {
      busy.insert(replica.mGroup);
    }
    if (replica.mRevoked) {
      revoked.insert(replica.mGroup);
    }
  }
  for (auto& [group, plan] : mGroups) {
    Watch& watch = mWatches[group];
    if (busy.contains(group)) {
      watch.mIdleSince.reset();
    } else if (!watch.mIdleSince) {
      watch.mIdleSince = aNow;
    }
    if (plan.mPresent >= plan.mOrdered) {
      watch.mShortSince.reset();
    } else if (!watch.mShortSince) {
      watch.mShortSince = aNow;
    }
    if (revoked.contains(group) && !Blocked(group, aNow)) {
      plan.mRefusedUntil = aNow + kRefusedPause;
    }
    watch.mRevoked =
        revoked.contains(group) || (watch.mRevoked && Blocked(group, aNow));
  }
}

ScalePlanner::Target ScalePlanner::TargetOf(
    const std::vector<ScaleReplica>& aReplicas, Millis aNow) {
  std::vector<int64_t> slots;
  for (const ScaleReplica& replica : aReplicas) {
    slots.push_back(replica.mSlots);
  }
  mSlots = std::max<int64_t>(1, MedianOr(std::move(slots), mSlots));
  mNeed = mDemand.Need();
  if (aNow < mInheritedUntil) {
    mNeed.mUsual = std::max(mNeed.mUsual, mInherited.mUsual);
    mNeed.mLeast = std::max(mNeed.mLeast, mInherited.mLeast);
  }
  Target target;
  target.mUsual = RoundUp(DivideUp(mNeed.mUsual, mSlots));
  target.mLeast = DivideUp(mNeed.mLeast, mSlots);
  // Batches that are full for a few seconds are accepted during an exchange,
  // but no text may wait for a slot.
  target.mSwap = std::min(target.mUsual, target.mLeast);
  return target;
}

int64_t ScalePlanner::MostOf(const ReplicaGroup& aGroup, Millis aNow) {
  const GroupPlan& plan = mGroups[aGroup];
  const int64_t kept =
      mWatches[aGroup].mRevoked ? plan.mPresent : plan.mOrdered;
  return Blocked(aGroup, aNow) ? std::min(mSpec.mMax, kept) : mSpec.mMax;
}

void ScalePlanner::Divide(const Target& aTarget,
                          const std::set<std::string>& aClosed, Millis aNow) {
  std::vector<ZoneShare> zones;
  for (const auto& [zone, price] : mSpec.mZonePrices) {
    if (aClosed.contains(zone)) {
      continue;
    }
    zones.push_back({zone, price, MostOf({zone, true}, aNow),
                     MostOf({zone, false}, aNow), 0, 0});
  }
  std::stable_sort(zones.begin(), zones.end(),
                   [](const ZoneShare& aOne, const ZoneShare& aOther) {
                     return aOne.mPrice < aOther.mPrice;
                   });
  std::optional<Division> best;
  for (int64_t limit = 0; limit <= mSpec.mMax; ++limit) {
    Division division =
        DivideWithLimit(zones, limit, aTarget.mUsual, aTarget.mLeast, mSpec);
    if (!best || division.BetterThan(*best)) {
      best = std::move(division);
    }
  }
  for (auto& [group, plan] : mGroups) {
    plan.mNeeded = plan.mOrdered;
  }
  for (const ZoneShare& zone : best->mZones) {
    mGroups[{zone.mZone, true}].mNeeded = zone.mSpot;
    mGroups[{zone.mZone, false}].mNeeded = zone.mOrdinary;
  }
}

void ScalePlanner::AddRaises(ScalePlan& aPlan, Millis aNow) {
  const Millis shortLimit = mSpec.mBoot * 2 + kShortSpan;
  // What was revoked makes room for replacements in the same zone. No replica
  // that serves is removed by this order.
  std::map<std::string, int64_t> room;
  for (const auto& [zone, price] : mSpec.mZonePrices) {
    room[zone] = mSpec.mMax - OrderedIn(zone);
  }
  for (const auto& [group, plan] : mGroups) {
    if (mWatches[group].mRevoked && plan.mOrdered > plan.mPresent) {
      aPlan.mOrders.push_back(
          {mService, group.mZone, group.mSpot, plan.mPresent});
      room[group.mZone] += plan.mOrdered - plan.mPresent;
    }
  }
  for (const auto& [group, plan] : mGroups) {
    if (Blocked(group, aNow)) {
      continue;
    }
    const int64_t raise =
        std::min(plan.mNeeded - plan.mOrdered, room[group.mZone]);
    std::optional<Millis>& since = mWatches[group].mShortSince;
    const bool lost = since && aNow - *since > shortLimit;
    if (raise > 0) {
      room[group.mZone] -= raise;
      aPlan.mOrders.push_back(
          {mService, group.mZone, group.mSpot, plan.mOrdered + raise});
    } else if (lost) {
      aPlan.mOrders.push_back(
          {mService, group.mZone, group.mSpot, plan.mOrdered});
    }
  }
}

int64_t ScalePlanner::Spare(const ReplicaGroup& aGroup, const Target& aTarget,
                            const std::set<std::string>& aClosed) const {
  int64_t present = 0;
  int64_t mostSpot = 0;
  for (const auto& [group, plan] : mGroups) {
    if (!aClosed.contains(group.mZone)) {
      present += plan.mPresent;
      mostSpot = std::max(mostSpot, group.mSpot ? plan.mPresent : 0);
    }
  }
  // In a full zone one kind makes room for the other.
  const bool full = OrderedIn(aGroup.mZone) >= mSpec.mMax;
  const int64_t kept = std::max(full ? aTarget.mSwap : aTarget.mUsual,
                                aTarget.mLeast + mostSpot);
  return present - kept;
}

void ScalePlanner::AddReductions(ScalePlan& aPlan, const Target& aTarget,
                                 const std::set<std::string>& aClosed,
                                 Millis aNow) {
  // Among groups of one price the zone with most to lower is first, so that all
  // zones change evenly and none holds most of the revocable replicas.
  std::optional<ReplicaGroup> dearest;
  std::pair<double, int64_t> first;
  for (const auto& [group, plan] : mGroups) {
    const int64_t excess = plan.mOrdered - plan.mNeeded;
    const std::pair<double, int64_t> rank{PriceOf(group), excess};
    if (excess > 0 && !mWatches[group].mRevoked &&
        !RaisedRecently(group, aNow) && (!dearest || rank > first)) {
      dearest = group;
      first = rank;
    }
  }
  if (!dearest || aNow < mNoReductionUntil) {
    return;
  }
  const GroupPlan& plan = mGroups[*dearest];
  const int64_t spare = Spare(*dearest, aTarget, aClosed);
  const int64_t fewer = std::min(spare, plan.mOrdered - plan.mNeeded);
  if (fewer <= 0) {
    return;
  }
  aPlan.mVacated.insert(*dearest);
  const std::optional<Millis>& idle = mWatches[*dearest].mIdleSince;
  if (idle && aNow - *idle >= kIdleSpan) {
    aPlan.mOrders.push_back(
        {mService, dearest->mZone, dearest->mSpot, plan.mOrdered - fewer});
  }
}

ScalePlan ScalePlanner::Plan(const std::vector<ScaleReplica>& aReplicas,
                             const std::set<std::string>& aClosedZones,
                             Millis aNow) {
  Count(aReplicas, aNow);
  ScalePlan plan;
  const bool inherits = aNow < mInheritedUntil;
  if (!mDemand.Seen() && !inherits) {
    plan.mReason = "no step has been seen";
    return plan;
  }
  if (mDemand.Seen() && !mSeenAt) {
    mSeenAt = aNow;
    mNoReductionUntil = std::max(mNoReductionUntil, aNow + kMinObservation);
  }
  const Target target = TargetOf(aReplicas, aNow);
  Divide(target, aClosedZones, aNow);
  AddRaises(plan, aNow);
  if (plan.mOrders.empty()) {
    AddReductions(plan, target, aClosedZones, aNow);
  }
  plan.mReason = std::to_string(mNeed.mTextsByTrainer) +
                 " texts by trainer and " + std::to_string(mNeed.mTextsAtOnce) +
                 " at once need " + std::to_string(target.mUsual) +
                 " replicas with " + std::to_string(mSlots) + " slots, and " +
                 std::to_string(target.mLeast) +
                 " without the revocable ones of any zone";
  return plan;
}

}  // namespace rillwall
