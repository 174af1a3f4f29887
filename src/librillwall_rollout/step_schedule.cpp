#include "step_schedule.h"

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>

#include "rillwall/event_log.h"
#include "rillwall/home_regions.h"

namespace rillwall {

namespace {

/// Age at which the order is made again, as texts and paces have changed.
constexpr Millis kMaxAge{100};
/// The age increases by 1 ms for each group of this many items, as the
/// processor time of an order grows with their number.
constexpr size_t kItemsPerAgeMs = 20;
/// Shortest time between two orders if items were queued again. A replica that
/// ends queues all its texts one after the other.
constexpr Millis kMinAge{10};
/// Shortest time between two log lines about the order.
constexpr Millis kReportInterval{1000};

uint64_t QueuedBy(const std::vector<std::shared_ptr<RolloutStep>>& aSteps) {
  uint64_t queued = 0;
  for (const auto& step : aSteps) {
    queued += step->mTracker.Queued();
  }
  return queued;
}

double Median(std::vector<double> aPaces) {
  if (aPaces.empty()) {
    return 0;
  }
  const auto middle =
      aPaces.begin() + static_cast<std::ptrdiff_t>(aPaces.size() / 2);
  std::nth_element(aPaces.begin(), middle, aPaces.end());
  return *middle;
}

bool Waits(const StepSchedule::Lane& aLane, size_t aAt) {
  return aLane.mStep->mTracker.IsWaiting(aLane.mItems[aAt].mItem);
}

}  // namespace

std::vector<StepSchedule::StepPtr> StepSchedule::Extract(
    std::vector<StepPtr>& aSteps) {
  const auto routes = mNode.mRoutes.Read();
  if (routes != mRoutes) {
    mRoutes = routes;
    mServices = OrderedServices(*routes);
  }
  std::vector<StepPtr> ordered;
  if (!mServices.empty()) {
    const auto others = std::stable_partition(
        aSteps.begin(), aSteps.end(), [this](const StepPtr& aStep) {
          const auto& targets = aStep->mRoute.mTargets;
          return std::none_of(targets.begin(), targets.end(),
                              [this](const RouteTarget& aTarget) {
                                return mServices.contains(aTarget.mService);
                              });
        });
    ordered.assign(others, aSteps.end());
    aSteps.erase(others, aSteps.end());
  }
  if (ordered.empty() && !mEntries.empty()) {
    mEntries.clear();
    mLanes.clear();
    Report(StepOrder());
  }
  return ordered;
}

bool StepSchedule::Outdated(const std::vector<StepPtr>& aSteps) const {
  const bool same =
      std::equal(aSteps.begin(), aSteps.end(), mEntries.begin(), mEntries.end(),
                 [](const StepPtr& aStep, const Entry& aEntry) {
                   return aStep == aEntry.mStep;
                 });
  if (!same) {
    return true;
  }
  const Millis age = mNode.Now() - mOrderedAt;
  const bool idle = std::all_of(
      mLanes.begin(), mLanes.end(),
      [](const Lane& aLane) { return aLane.mFirst == aLane.mItems.size(); });
  if (QueuedBy(aSteps) != mQueued && (idle || age >= kMinAge)) {
    return true;
  }
  const size_t items = std::accumulate(mLanes.begin(), mLanes.end(), size_t{0},
                                       [](size_t aSum, const Lane& aLane) {
                                         return aSum + aLane.mItems.size();
                                       });
  return age >= kMaxAge + Millis(static_cast<int64_t>(items / kItemsPerAgeMs));
}

void StepSchedule::BeginRound(const std::vector<StepPtr>& aSteps,
                              const LengthHints& aLengths) {
  if (Outdated(aSteps)) {
    Rebuild(aSteps, aLengths);
  }
  for (Lane& lane : mLanes) {
    lane.mAt = lane.mFirst;
    lane.mBlocked = false;
  }
}

StepSchedule::Lane* StepSchedule::Next() {
  Lane* best = nullptr;
  for (Lane& lane : mLanes) {
    while (lane.mFirst < lane.mItems.size() && !Waits(lane, lane.mFirst)) {
      ++lane.mFirst;
    }
    lane.mAt = std::max(lane.mAt, lane.mFirst);
    while (lane.mAt < lane.mItems.size() && !Waits(lane, lane.mAt)) {
      ++lane.mAt;
    }
    const bool ready = !lane.mBlocked && lane.mAt < lane.mItems.size();
    if (ready &&
        (best == nullptr || lane.mRanks[lane.mAt] < best->mRanks[best->mAt])) {
      best = &lane;
    }
  }
  return best;
}

Millis StepSchedule::SlackOf(const OrderedItem& aItem) const {
  return aItem.mSlack - (mNode.Now() - mOrderedAt);
}

bool StepSchedule::MayTakeSlot(const Lane& aLane) const {
  const OrderedItem& item = aLane.Head();
  const Entry& entry = mEntries[aLane.mState];
  return item.mWhole ||
         rillwall::MayTakeSlot(item.mClass, SlackOf(item),
                               entry.mFree - (*mRuns - mOrderedRuns),
                               entry.mState.mSlots);
}

double StepSchedule::PaceAt(const Lane& aLane,
                            const std::string& aReplica) const {
  const double usual = mEntries[aLane.mState].mState.mPace;
  const double pace = mNode.mReplicas.PaceAt(aReplica, 0, mNode.Now());
  return usual > 0 && pace > 0 ? pace / usual : 1;
}

void StepSchedule::SkipTo(Lane& aLane, double aPace) const {
  for (++aLane.mAt; aLane.mAt < aLane.mItems.size(); ++aLane.mAt) {
    const OrderedItem& item = aLane.Head();
    if (Waits(aLane, aLane.mAt) &&
        MayRunAt(item.mTimeLeft, SlackOf(item), aPace)) {
      return;
    }
  }
  aLane.mBlocked = true;
}

void StepSchedule::AddReplicas(const std::string& aService, Entry& aEntry,
                               std::vector<double>& aPaces) const {
  const RolloutSpec& spec = aEntry.mStep->mTracker.Spec();
  const AllowedRegions regions =
      RegionsOf(*mRoutes, aEntry.mStep->mRoute, spec.mAccount);
  const ReplicaPool& pool = mNode.mReplicas;
  const Millis now = mNode.Now();
  for (const Replica* replica : pool.OfService(aService)) {
    if (aEntry.mSlotsEach == 0) {
      aEntry.mSlotsEach = replica->mSlots;
    }
    const bool usable =
        !replica->mDraining && !pool.Evacuated(replica->mZone) &&
        !pool.Failing(replica->mId, now) &&
        (spec.mModel.empty() ||
         replica->VersionOf(spec.mModel) >= spec.mMinVersion) &&
        (!regions || InRegions(regions, pool.Regions(), replica->mZone));
    if (!usable) {
      continue;
    }
    aEntry.mSlotsEach = replica->mSlots;
    ++aEntry.mState.mReplicas;
    aEntry.mState.mSlots += replica->mSlots;
    aEntry.mFree +=
        std::max<int64_t>(0, replica->mSlots - pool.InFlight(replica->mId));
    const double pace = pool.PaceAt(replica->mId, 0, now);
    if (pace > 0) {
      aPaces.push_back(pace);
    }
  }
}

StepSchedule::Entry StepSchedule::Describe(const StepPtr& aStep,
                                           const LengthHints& aLengths) const {
  const RolloutTracker& tracker = aStep->mTracker;
  const RolloutSpec& spec = tracker.Spec();
  Entry entry;
  entry.mStep = aStep;
  StepState& state = entry.mState;
  state.mId = spec.mId;
  state.mAcceptedMs = aStep->mRecord.mAcceptedMs;
  state.mDueAt = aStep->mDueAt.value_or(aStep->mGiveUpAt);
  state.mGiveUpAt = aStep->mGiveUpAt;
  state.mAccount = spec.mAccount;
  const ClientAccount* account = mRoutes->Accounts().FindByName(spec.mAccount);
  state.mPriority = account != nullptr && account->mPriority
                        ? *account->mPriority
                        : aStep->mRoute.mPriority;
  state.mTargetGroups = spec.mTargetGroups;
  state.mCompleteGroups = static_cast<int64_t>(tracker.WholeGroups());
  state.mTargetReached = tracker.TargetReached();
  state.mGroups = tracker.OpenGroups(aLengths);
  std::vector<double> paces;
  for (const RouteTarget& target : aStep->mRoute.mTargets) {
    AddReplicas(target.mService, entry, paces);
  }
  state.mPace = Median(std::move(paces));
  return entry;
}

void StepSchedule::Rebuild(const std::vector<StepPtr>& aSteps,
                           const LengthHints& aLengths) {
  mEntries.clear();
  std::vector<StepState> states;
  for (const StepPtr& step : aSteps) {
    mEntries.push_back(Describe(step, aLengths));
    states.push_back(mEntries.back().mState);
  }
  mOrderedAt = mNode.Now();
  mOrderedRuns = *mRuns;
  mQueued = QueuedBy(aSteps);
  const StepOrder order = OrderSteps(states, mOrderedAt);
  for (size_t i = 0; i < mEntries.size(); ++i) {
    mEntries[i].mSlack = order.mSlack[i];
  }
  MakeLanes(order);
  Report(order);
}

void StepSchedule::MakeLanes(const StepOrder& aOrder) {
  mLanes.clear();
  std::map<std::pair<size_t, const std::string*>, size_t> lanes;
  for (size_t rank = 0; rank < aOrder.mItems.size(); ++rank) {
    const OrderedItem& item = aOrder.mItems[rank];
    const StepPtr& step = mEntries[item.mStep].mStep;
    const std::string& group = step->mTracker.Item(item.mItem).mGroup;
    const std::string* service =
        PickService(step->mRoute, std::hash<std::string>()(group));
    if (service == nullptr) {
      continue;
    }
    const auto [at, added] =
        lanes.try_emplace({item.mStep, service}, mLanes.size());
    if (added) {
      Lane lane;
      lane.mStep = step;
      lane.mService = *service;
      lane.mState = item.mStep;
      mLanes.push_back(std::move(lane));
    }
    mLanes[at->second].mItems.push_back(item);
    mLanes[at->second].mRanks.push_back(rank);
  }
}

void StepSchedule::Report(const StepOrder& aOrder) {
  std::string ids;
  for (const size_t step : aOrder.mSteps) {
    ids += (ids.empty() ? "" : " ") + mEntries[step].mState.mId;
  }
  const int64_t late =
      std::accumulate(aOrder.mLate.begin(), aOrder.mLate.end(), int64_t{0});
  const auto least =
      std::min_element(aOrder.mSlack.begin(), aOrder.mSlack.end());
  const int64_t slack = least == aOrder.mSlack.end() ? 0 : least->Count();
  mNode.mMetrics.Set("step_slack_ms", slack);
  mNode.mMetrics.Set("step_groups_late", late);
  mNode.mMetrics.Set("step_groups_ahead", aOrder.mAhead);
  if (ids.empty() || ids == mReportedOrder) {
    return;
  }
  ++mChanges;
  const Millis now = mNode.Now();
  if (mReportedAt > Millis(0) && now - mReportedAt < kReportInterval) {
    return;
  }
  mReportedOrder = ids;
  mReportedAt = now;
  Event("step-order")
      .Text("steps", ids)
      .Number("slack_ms", slack)
      .Number("groups_late", late)
      .Number("groups_ahead", aOrder.mAhead)
      .Flag("overloaded", aOrder.mOverloaded)
      .Number("changes", mChanges)
      .Write();
  mChanges = 0;
}

std::vector<VersionNeed> StepSchedule::VersionNeeds() const {
  std::vector<VersionNeed> needs;
  for (const Entry& entry : mEntries) {
    const RolloutSpec& spec = entry.mStep->mTracker.Spec();
    const int64_t replicas =
        ReplicasInTime(entry.mState, entry.mSlotsEach, mOrderedAt);
    if (!spec.mModel.empty() && !entry.mState.mTargetReached && replicas > 0) {
      needs.push_back({spec.mModel, spec.mMinVersion, replicas, entry.mSlack});
    }
  }
  return needs;
}

}  // namespace rillwall
