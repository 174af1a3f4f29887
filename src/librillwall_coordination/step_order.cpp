#include "rillwall/step_order.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <tuple>

namespace rillwall {

namespace {

/// From the end of a text to its use: the score takes up to 300 ms, and
/// trainers read results some 500 ms after they are listed.
constexpr Millis kAfterText{800};
/// Assumed pace while none is known, in ms per event.
constexpr double kDefaultPace = 46;
/// A text may well take only this part of its expected time, because length
/// hints are right at the median only. A group is late if it cannot be complete
/// even then.
constexpr double kOptimism = 0.6;
/// Usable part of the slots: the long texts of a group end alone, and some
/// replicas are slower.
constexpr double kUsableSlots = 0.7;
/// A late group with less slack than this to its give-up time is urgent again:
/// more than a waiting text needs to find a slot.
constexpr Millis kGiveUpReserve{1500};
/// One of this many slots is kept for texts with little slack. The longest
/// twentieth of the texts decides when a step is complete.
constexpr int64_t kReservedSlotPart = 20;
/// Full batches and unequal hardware make replicas slower than the typical one
/// by less than this factor. A long text that waited there for a faster replica
/// would lose more than it gains, as slots become free only when texts end.
constexpr double kSlowPace = 1.5;
/// Texts with more slack than this leave the reserved slots free. It is the
/// slack of a text that takes half of the time until it is due.
constexpr Millis kAmpleSlack{3500};
/// A long text that finds only a slow replica waits for another one if that is
/// expected to take less time. Short texts free a slot in about this time.
constexpr Millis kSlotWait{400};
/// While there is more work than can be done in time, items with less slack
/// than this still start first.
constexpr Millis kUrgentSlack{700};
/// While there is more work than can be done in time, a step ranks as if it
/// were due this much later for each level of its priority. Groups that have
/// begun are exempt, because the work done for them would be wasted.
constexpr Millis kPriorityLevel{500};
/// A step needs more replicas than its work alone, as its texts do not end at
/// the same time.
constexpr double kReplicaReserve = 1.3;
/// Upper bounds of the slack of the request priorities 0 to 3.
constexpr int64_t kPrioritySlackMs[] = {500, 1000, 2000, 3500};
constexpr int kAmplePriority = 4;
/// Replicas assume 5 for requests without a priority.
constexpr int kLatePriority = 6;
constexpr int kSparePriority = 7;

double PaceOf(const StepState& aStep) {
  return aStep.mPace > 0 ? aStep.mPace : kDefaultPace;
}

double TimeLeft(const StepState& aStep, const OpenItem& aItem) {
  return static_cast<double>(aItem.mEventsLeft) * PaceOf(aStep);
}

Millis Rounded(double aMs) { return Millis(std::llround(aMs)); }

/// A group while the order is made.
struct RankedGroup {
  size_t mStep = 0;
  const OpenGroup* mGroup = nullptr;
  double mWork = 0;     ///< slot time that its items still take, in ms
  double mLongest = 0;  ///< time of its longest item, in ms
  bool mHeld = false;   ///< an item may not run for now
  /// More groups than the trainer waits for would be complete with it.
  bool mBeyondTarget = false;
  GroupClass mClass = GroupClass::Needed;
  bool mRescued = false;  ///< late, but in danger of being given up
};

RankedGroup MakeGroup(const StepState& aState, size_t aStep,
                      const OpenGroup& aGroup) {
  RankedGroup ranked;
  ranked.mStep = aStep;
  ranked.mGroup = &aGroup;
  for (const OpenItem& item : aGroup.mItems) {
    const double left = TimeLeft(aState, item);
    ranked.mWork += left;
    ranked.mLongest = std::max(ranked.mLongest, left);
    ranked.mHeld = ranked.mHeld || item.mHeld;
  }
  return ranked;
}

/// \return the groups of a step. Those that cost least to complete come first,
/// because each counts the same.
std::vector<RankedGroup> GroupsOf(const StepState& aState, size_t aStep) {
  std::vector<RankedGroup> groups;
  for (const OpenGroup& group : aState.mGroups) {
    groups.push_back(MakeGroup(aState, aStep, group));
  }
  // A trainer always waits for groups that were carried over.
  std::stable_sort(groups.begin(), groups.end(),
                   [](const RankedGroup& aOne, const RankedGroup& aOther) {
                     return std::tuple(!aOne.mGroup->mCarriedOver, aOne.mWork) <
                            std::tuple(!aOther.mGroup->mCarriedOver,
                                       aOther.mWork);
                   });
  const int64_t missing = aState.mTargetGroups - aState.mCompleteGroups;
  for (size_t i = 0; i < groups.size(); ++i) {
    groups[i].mBeyondTarget = aState.mTargetGroups > 0 &&
                              static_cast<int64_t>(i) >= missing &&
                              !groups[i].mGroup->mCarriedOver;
  }
  return groups;
}

/// Assigns the classes of groups.
class Classifier {
 public:
  Classifier(const std::vector<StepState>& aSteps, Millis aNow)
      : mSteps(aSteps), mNow(aNow), mUsed(aSteps.size()) {
    for (const StepState& step : aSteps) {
      mSlots = std::max(mSlots, step.mSlots);
    }
  }

  void Classify(std::vector<RankedGroup>& aGroups) {
    const auto key = [this](const RankedGroup& aGroup) {
      const StepState& step = mSteps[aGroup.mStep];
      const int level = aGroup.mGroup->mBegun ? 0 : step.mPriority;
      return std::tuple(aGroup.mBeyondTarget,
                        step.mDueAt + kPriorityLevel * level, step.mPriority,
                        step.mAcceptedMs);
    };
    std::stable_sort(aGroups.begin(), aGroups.end(),
                     [&](const RankedGroup& aOne, const RankedGroup& aOther) {
                       return key(aOne) < key(aOther);
                     });
    for (RankedGroup& group : aGroups) {
      Classify(group);
    }
  }
  /// \return whether the slots do not suffice for all groups
  bool Overloaded() const { return mOverloaded; }

 private:
  void Classify(RankedGroup& aGroup) {
    const StepState& step = mSteps[aGroup.mStep];
    if (step.mTargetReached) {
      aGroup.mClass = GroupClass::Spare;
    } else if (Reachable(aGroup, step.mDueAt) && Fits(aGroup)) {
      aGroup.mClass = GroupClass::Needed;
    } else {
      const double left =
          static_cast<double>((step.mGiveUpAt - mNow - kAfterText).Count());
      aGroup.mRescued =
          !aGroup.mBeyondTarget && Reachable(aGroup, step.mGiveUpAt) &&
          left - aGroup.mLongest < static_cast<double>(kGiveUpReserve.Count());
      aGroup.mClass = aGroup.mRescued ? GroupClass::Needed : GroupClass::Late;
    }
  }
  bool Reachable(const RankedGroup& aGroup, Millis aEnd) const {
    const auto left = static_cast<double>((aEnd - mNow - kAfterText).Count());
    return !aGroup.mHeld && aGroup.mLongest * kOptimism <= left;
  }
  /// \return whether the slots suffice for the group beside all groups before
  /// it; counts its work if so
  bool Fits(const RankedGroup& aGroup) {
    const StepState& step = mSteps[aGroup.mStep];
    const auto left =
        static_cast<double>((step.mDueAt - mNow - kAfterText).Count());
    const auto capacity = [left](int64_t aSlots) {
      return static_cast<double>(aSlots) * kUsableSlots * left;
    };
    if (mTotal + aGroup.mWork > capacity(mSlots) ||
        mUsed[aGroup.mStep] + aGroup.mWork > capacity(step.mSlots)) {
      mOverloaded = true;
      return false;
    }
    mTotal += aGroup.mWork;
    mUsed[aGroup.mStep] += aGroup.mWork;
    return true;
  }

  const std::vector<StepState>& mSteps;
  const Millis mNow;
  std::vector<double> mUsed;  ///< work of the groups that fit, by step
  double mTotal = 0;          ///< of all steps
  int64_t mSlots = 0;         ///< most slots that one step can use
  bool mOverloaded = false;
};

/// An item with its sort key; lower values start first.
struct RankedItem {
  OrderedItem mItem;
  size_t mGroup = 0;  ///< position of its group
  std::array<int64_t, 8> mKey{};
};

Millis SlackOf(const StepState& aStep, const RankedGroup& aGroup,
               const OpenItem& aItem, Millis aNow) {
  const bool late = aGroup.mClass == GroupClass::Late || aGroup.mRescued;
  const Millis end = late ? aStep.mGiveUpAt : aStep.mDueAt;
  return end - aNow - kAfterText - Rounded(TimeLeft(aStep, aItem));
}

/// Sets the sort key of an item.
/// \param aOverloaded there is more work than can be done in time, so that the
/// groups are completed one after the other
void SetKey(const StepState& aStep, int64_t aHint, OrderPolicy aPolicy,
            bool aOverloaded, RankedItem& aItem) {
  const OrderedItem& item = aItem.mItem;
  int64_t groupClass = 0;
  int64_t calm = 0;
  int64_t rank = aPolicy == OrderPolicy::EarliestDue ? aStep.mDueAt.Count() : 0;
  int64_t hint = 0;
  if (aPolicy == OrderPolicy::LeastSlack) {
    groupClass = static_cast<int64_t>(item.mClass);
    calm = aOverloaded && item.mSlack >= kUrgentSlack ? 1 : 0;
    rank = calm > 0 ? static_cast<int64_t>(aItem.mGroup) : item.mSlack.Count();
    // Slack is the same for all while no length has been learned.
    hint = aHint;
  }
  aItem.mKey = {item.mWhole ? 0 : 1,
                groupClass,
                calm,
                rank,
                -hint,
                aStep.mAcceptedMs,
                -aHint,
                static_cast<int64_t>(item.mItem)};
}

/// Fills in what the log and the metrics tell.
void Summarize(const std::vector<StepState>& aSteps,
               const std::vector<RankedGroup>& aGroups,
               const std::vector<RankedItem>& aItems, StepOrder& aOrder) {
  std::set<size_t> seen;
  std::set<size_t> ahead;
  // From the last to start, so that the oldest of the later steps is known.
  int64_t oldest = std::numeric_limits<int64_t>::max();
  for (size_t i = aItems.size(); i-- > 0;) {
    const int64_t accepted = aSteps[aItems[i].mItem.mStep].mAcceptedMs;
    if (accepted > oldest) {
      ahead.insert(aItems[i].mGroup);
    }
    oldest = std::min(oldest, accepted);
  }
  aOrder.mAhead = static_cast<int64_t>(ahead.size());
  for (const RankedItem& item : aItems) {
    if (seen.insert(item.mItem.mStep).second) {
      aOrder.mSteps.push_back(item.mItem.mStep);
    }
  }
  aOrder.mLate.resize(aSteps.size());
  for (const RankedGroup& group : aGroups) {
    const bool late = group.mClass == GroupClass::Late || group.mRescued;
    aOrder.mLate[group.mStep] += late ? 1 : 0;
  }
}

}  // namespace

std::set<std::string> OrderedServices(const RouteTable& aRoutes) {
  std::map<std::string, int> priorities;
  std::set<std::string> ordered;
  for (const Route& route : aRoutes.Routes()) {
    if (route.mKind != RequestKind::Rollout) {
      continue;
    }
    for (const RouteTarget& target : route.mTargets) {
      const auto [at, added] =
          priorities.emplace(target.mService, route.mPriority);
      if (at->second != route.mPriority) {
        ordered.insert(target.mService);
      }
    }
  }
  return ordered;
}

StepOrder OrderSteps(const std::vector<StepState>& aSteps, Millis aNow,
                     OrderPolicy aPolicy) {
  std::vector<RankedGroup> groups;
  for (size_t step = 0; step < aSteps.size(); ++step) {
    const std::vector<RankedGroup> more = GroupsOf(aSteps[step], step);
    groups.insert(groups.end(), more.begin(), more.end());
  }
  Classifier classifier(aSteps, aNow);
  classifier.Classify(groups);
  StepOrder order;
  order.mOverloaded = classifier.Overloaded();
  for (const StepState& step : aSteps) {
    order.mSlack.push_back(step.mDueAt - aNow - kAfterText);
  }
  std::vector<RankedItem> items;
  for (size_t at = 0; at < groups.size(); ++at) {
    const RankedGroup& group = groups[at];
    const StepState& step = aSteps[group.mStep];
    for (const OpenItem& item : group.mGroup->mItems) {
      const Millis slack = SlackOf(step, group, item, aNow);
      if (group.mClass == GroupClass::Needed && !group.mRescued) {
        order.mSlack[group.mStep] = std::min(order.mSlack[group.mStep], slack);
      }
      if (item.mWaiting) {
        items.push_back({{group.mStep, item.mItem, group.mClass, slack,
                          Rounded(TimeLeft(step, item)), item.mWhole},
                         at});
        SetKey(step, item.mLengthHint, aPolicy, order.mOverloaded,
               items.back());
      }
    }
  }
  std::sort(items.begin(), items.end(),
            [](const RankedItem& aOne, const RankedItem& aOther) {
              return std::tie(aOne.mKey, aOne.mItem.mStep) <
                     std::tie(aOther.mKey, aOther.mItem.mStep);
            });
  Summarize(aSteps, groups, items, order);
  for (const RankedItem& item : items) {
    order.mItems.push_back(item.mItem);
  }
  return order;
}

bool MayTakeSlot(GroupClass aClass, Millis aSlack, int64_t aFree,
                 int64_t aSlots) {
  const bool urgent = aClass == GroupClass::Needed && aSlack < kAmpleSlack;
  const int64_t reserved = aSlots / kReservedSlotPart;
  return urgent || reserved == 0 || aFree > reserved;
}

bool MayRunAt(Millis aTimeLeft, Millis aSlack, double aPace) {
  if (aPace < kSlowPace) {
    return true;
  }
  const Millis extra =
      Rounded(static_cast<double>(aTimeLeft.Count()) * (aPace - 1));
  return extra <= std::max(aSlack, kSlotWait);
}

int RequestPriority(GroupClass aClass, Millis aSlack) {
  if (aClass != GroupClass::Needed) {
    return aClass == GroupClass::Late ? kLatePriority : kSparePriority;
  }
  int priority = 0;
  for (const int64_t bound : kPrioritySlackMs) {
    if (aSlack < Millis(bound)) {
      return priority;
    }
    ++priority;
  }
  return kAmplePriority;
}

int64_t ReplicasInTime(const StepState& aStep, int64_t aSlots, Millis aNow) {
  double work = 0;
  for (const OpenGroup& group : aStep.mGroups) {
    for (const OpenItem& item : group.mItems) {
      work += TimeLeft(aStep, item);
    }
  }
  const auto left = static_cast<double>(
      std::max(Millis(1), aStep.mDueAt - aNow - kAfterText).Count());
  const auto slots = static_cast<double>(std::max<int64_t>(1, aSlots));
  // The work is 0 while no length is known.
  const auto least = static_cast<double>(aStep.mGroups.empty() ? 0 : 1);
  return std::llround(
      std::max(least, std::ceil(work * kReplicaReserve / (left * slots))));
}

}  // namespace rillwall
