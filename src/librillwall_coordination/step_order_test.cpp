/// \file
/// Tests of the order of steps. The policies are compared in simulated time
/// under the load patterns of docs/load-decisions.md.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <numeric>
#include <random>

#include "rillwall/step_order.h"

namespace rillwall {

namespace {

constexpr int64_t kDueMs = 7500;
constexpr int64_t kGiveUpMs = 12000;
constexpr int64_t kAfterTextMs = 800;
constexpr double kEventMs = 46;
constexpr int64_t kSlots = 6;
constexpr double kSlowFactor = 3.4;

StepState MakeState(int64_t aAcceptedMs, int aPriority, int64_t aTarget) {
  StepState step;
  step.mAcceptedMs = aAcceptedMs;
  step.mDueAt = Millis(aAcceptedMs + kDueMs);
  step.mGiveUpAt = Millis(aAcceptedMs + kGiveUpMs);
  step.mPriority = aPriority;
  step.mTargetGroups = aTarget;
  step.mReplicas = 1;
  step.mSlots = kSlots;
  step.mPace = kEventMs;
  return step;
}

/// A step of a pattern.
struct StepLoad {
  int mGroups = 0;
  int mTexts = 16;  ///< of each group
  double mMean = 18;
  int64_t mMost = 129;  ///< events of a text
  int mPriority = 1;
  int64_t mAtMs = 0;
};

/// Runs the texts of steps on replicas of unequal speed.
class OrderSimulation {
 public:
  OrderSimulation(OrderPolicy aPolicy, std::vector<double> aFactors,
                  const std::vector<StepLoad>& aLoads, uint32_t aSeed)
      : mPolicy(aPolicy),
        mFactors(std::move(aFactors)),
        mSlots(kSlots * static_cast<int64_t>(mFactors.size())),
        mFree(mFactors.size(), kSlots),
        mRandom(aSeed) {
    for (const StepLoad& load : aLoads) {
      mSteps.push_back(
          MakeState(load.mAtMs, load.mPriority, (load.mGroups * 9 + 9) / 10));
      mSteps.back().mSlots = mSlots;
      for (int i = 0; i < load.mGroups * load.mTexts; ++i) {
        AddText(load, i / load.mTexts);
      }
    }
  }

  /// \return groups in time, by step
  std::vector<int> Run() {
    constexpr int64_t kTickMs = 20;
    for (mNow = 0; mNow < 2 * kDueMs; mNow += kTickMs) {
      StartTexts();
    }
    std::vector<int> inTime;
    for (const StepState& step : mSteps) {
      const size_t at = inTime.size();
      mNow = step.mDueAt.Count() - kAfterTextMs;
      inTime.push_back(static_cast<int>(Open()[at].mCompleteGroups));
    }
    return inTime;
  }

 private:
  struct Text {
    size_t mStep = 0;
    size_t mGroup = 0;
    int64_t mEvents = 0;
    int64_t mHint = 0;
    int64_t mStartedAt = -1;
    int64_t mEndsAt = 0;
    size_t mReplica = 0;
  };

  /// Lengths have a long tail; half of the hints are wrong by over a third.
  void AddText(const StepLoad& aLoad, int aGroup) {
    std::lognormal_distribution<double> length(std::log(aLoad.mMean) - 0.6,
                                               1.1);
    std::lognormal_distribution<double> fault(0, 0.5);
    const auto bounded = [&](double aEvents) {
      return std::clamp<int64_t>(std::llround(aEvents), 1, aLoad.mMost);
    };
    const int64_t events = bounded(length(mRandom));
    const int64_t hint = bounded(static_cast<double>(events) * fault(mRandom));
    mTexts.push_back(
        {mSteps.size() - 1, static_cast<size_t>(aGroup), events, hint});
  }
  /// \return the steps with the groups that are not complete
  std::vector<StepState> Open() const {
    std::vector<StepState> steps = mSteps;
    for (size_t i = 0; i < mTexts.size(); ++i) {
      const Text& text = mTexts[i];
      std::vector<OpenGroup>& groups = steps[text.mStep].mGroups;
      groups.resize(std::max(groups.size(), text.mGroup + 1));
      OpenGroup& group = groups[text.mGroup];
      const bool started = text.mStartedAt >= 0 && text.mStartedAt <= mNow;
      group.mBegun = group.mBegun || started;
      if (!started || text.mEndsAt > mNow) {
        const auto ran =
            static_cast<double>(started ? mNow - text.mStartedAt : 0);
        const int64_t events =
            std::llround(ran / (kEventMs * mFactors[text.mReplica]));
        group.mItems.push_back({i, ExpectedRemainingEvents(events, text.mHint),
                                text.mHint, !started});
      }
    }
    for (StepState& step : steps) {
      step.mCompleteGroups = static_cast<int64_t>(std::erase_if(
          step.mGroups,
          [](const OpenGroup& aGroup) { return aGroup.mItems.empty(); }));
      step.mTargetReached = step.mCompleteGroups >= step.mTargetGroups;
    }
    return steps;
  }
  void StartTexts() {
    mFree.assign(mFactors.size(), kSlots);
    for (const Text& text : mTexts) {
      mFree[text.mReplica] -=
          text.mStartedAt >= 0 && text.mEndsAt > mNow ? 1 : 0;
    }
    int64_t free = std::accumulate(mFree.begin(), mFree.end(), int64_t{0});
    std::vector<StepState> open = Open();
    std::erase_if(
        open, [&](const StepState& aStep) { return aStep.mAcceptedMs > mNow; });
    const StepOrder order = OrderSteps(open, Millis(mNow), mPolicy);
    for (const OrderedItem& item : order.mItems) {
      free -= free > 0 && Start(item, free) ? 1 : 0;
    }
  }
  /// Starts a text at the fastest replica with a free slot.
  bool Start(const OrderedItem& aItem, int64_t aFree) {
    size_t best = mFree.size();
    for (size_t i = 0; i < mFree.size(); ++i) {
      if (mFree[i] > 0 &&
          (best == mFree.size() || mFactors[i] < mFactors[best])) {
        best = i;
      }
    }
    if (mPolicy == OrderPolicy::LeastSlack &&
        !(MayTakeSlot(aItem.mClass, aItem.mSlack, aFree, mSlots) &&
          MayRunAt(aItem.mTimeLeft, aItem.mSlack, mFactors[best]))) {
      return false;
    }
    --mFree[best];
    Text& text = mTexts[aItem.mItem];
    const double pace = kEventMs * mFactors[best];
    text.mReplica = best;
    text.mStartedAt = mNow;
    text.mEndsAt =
        mNow + std::llround(static_cast<double>(text.mEvents) * pace);
    return true;
  }

  const OrderPolicy mPolicy;
  const std::vector<double> mFactors;  ///< of the time per event, by replica
  const int64_t mSlots;
  std::vector<int64_t> mFree;  ///< slots, by replica
  std::mt19937 mRandom;
  std::vector<StepState> mSteps;
  std::vector<Text> mTexts;
  int64_t mNow = 0;
};

/// Groups in time over several seeds, by step.
struct Comparison {
  std::vector<int> mAcceptance;
  std::vector<int> mEarliestDue;
  std::vector<int> mLeastSlack;
};

int Sum(const std::vector<int>& aGroups) {
  return std::accumulate(aGroups.begin(), aGroups.end(), 0);
}

std::vector<double> Fleet(int aReplicas, int aSlowEvery = 0) {
  std::vector<double> factors;
  for (int i = 0; i < aReplicas; ++i) {
    const bool slow = aSlowEvery > 0 && i % aSlowEvery == 0;
    factors.push_back(slow ? kSlowFactor : 1);
  }
  return factors;
}

/// Runs a pattern with each policy. With RILLWALL_SHOW set, prints the groups
/// in time.
Comparison Compare(const std::vector<double>& aFleet,
                   const std::vector<StepLoad>& aLoads) {
  constexpr uint32_t kSeeds = 5;
  const auto run = [&](OrderPolicy aPolicy) {
    std::vector<int> sums(aLoads.size());
    for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
      const std::vector<int> groups =
          OrderSimulation(aPolicy, aFleet, aLoads, seed).Run();
      std::transform(groups.begin(), groups.end(), sums.begin(), sums.begin(),
                     std::plus<>());
    }
    if (getenv("RILLWALL_SHOW") != nullptr) {
      std::cerr << "\npolicy " << static_cast<int>(aPolicy) << ':';
      for (const int sum : sums) {
        std::cerr << ' ' << sum;
      }
    }
    return sums;
  };
  return {run(OrderPolicy::Acceptance), run(OrderPolicy::EarliestDue),
          run(OrderPolicy::LeastSlack)};
}

std::vector<StepLoad> FirstDeployment() {
  return {
      {8, 16, 14, 104, 1, 0}, {9, 16, 18, 129, 0, 50}, {9, 16, 21, 154, 1, 90}};
}

}  // namespace

class StepOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepOrderTest);
  CPPUNIT_TEST(LongTextsAvoidSlowReplicas);
  CPPUNIT_TEST(UsualDifferencesInPaceHoldNoTextBack);
  CPPUNIT_TEST(FewReplicasCompleteMoreGroups);
  CPPUNIT_TEST(TwoOfThreeStepsAreInTime);
  CPPUNIT_TEST(FewLongTextsDoNotWaitForShortOnes);
  CPPUNIT_TEST(LateGroupYieldsUntilItIsNearlyGivenUp);
  CPPUNIT_TEST(GroupsBeyondTheTargetYield);
  CPPUNIT_TEST(UnknownLengthsAreOrderedByHint);
  CPPUNIT_TEST(LastSlotsAreKeptForUrgentTexts);
  CPPUNIT_TEST(ReplicasFollowTheWorkAndTheTimeLeft);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against long texts that wait for a slightly faster replica while
  /// slots are free: a step on unequal replicas then misses its due time.
  void UsualDifferencesInPaceHoldNoTextBack() {
    CPPUNIT_ASSERT(MayRunAt(Millis(6000), Millis(-500), 1.2));
    CPPUNIT_ASSERT(MayRunAt(Millis(6000), Millis(0), 1.4));
    CPPUNIT_ASSERT(!MayRunAt(Millis(6000), Millis(0), 3.4));
    CPPUNIT_ASSERT(MayRunAt(Millis(100), Millis(0), 3.4));
  }

  /// 416 texts within 100 ms on 38 replicas, one fifth of them slow. The slots
  /// suffice for all, and no policy may lose groups by giving the slow slots to
  /// the longest texts.
  void LongTextsAvoidSlowReplicas() {
    const Comparison groups = Compare(Fleet(38, 5), FirstDeployment());
    CPPUNIT_ASSERT(groups.mLeastSlack >= groups.mAcceptance);
  }

  /// The same with 14 replicas that have a usable version.
  void FewReplicasCompleteMoreGroups() {
    const Comparison groups = Compare(Fleet(14, 5), FirstDeployment());
    CPPUNIT_ASSERT(Sum(groups.mLeastSlack) > Sum(groups.mAcceptance));
    CPPUNIT_ASSERT(Sum(groups.mLeastSlack) > Sum(groups.mEarliestDue));
  }

  /// Three equal steps, and slot time for two. Slots that are spread over all
  /// three would make most groups late.
  void TwoOfThreeStepsAreInTime() {
    const StepLoad step{8, 16, 18, 129, 1, 0};
    std::vector<StepLoad> loads(3, step);
    loads[1].mAtMs = 50;
    loads[2].mAtMs = 90;
    const Comparison groups = Compare(Fleet(5), loads);
    CPPUNIT_ASSERT(Sum(groups.mLeastSlack) * 10 > Sum(groups.mAcceptance) * 11);
  }

  /// A step of few long texts arrives after one with many short ones, which
  /// must not fill the slots first.
  void FewLongTextsDoNotWaitForShortOnes() {
    const Comparison groups =
        Compare(Fleet(8), {{20, 16, 8, 40, 1, 0}, {4, 4, 90, 130, 1, 50}});
    CPPUNIT_ASSERT_EQUAL(groups.mAcceptance[0], groups.mLeastSlack[0]);
    CPPUNIT_ASSERT(groups.mLeastSlack[1] > 2 * groups.mAcceptance[1]);
  }

  /// A late group goes after one that can be in time, and before all others
  /// when its trainer is about to give up, so that it is not starved.
  void LateGroupYieldsUntilItIsNearlyGivenUp() {
    StepState late = MakeState(0, 0, 1);
    late.mGroups = {{{{0, 100, 1, true}}}};
    StepState next = MakeState(5000, 1, 1);
    next.mGroups = {{{{0, 10, 1, true}}}};
    const auto first = [&](int64_t aNow) {
      return OrderSteps({late, next}, Millis(aNow)).mItems.front().mStep;
    };
    CPPUNIT_ASSERT_EQUAL(size_t{1}, first(5000));
    CPPUNIT_ASSERT_EQUAL(int64_t{1},
                         OrderSteps({late, next}, Millis(5000)).mLate[0]);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, first(5500));
  }

  /// The remaining groups of a step that has reached its target yield to all
  /// groups of others, also to late ones.
  void GroupsBeyondTheTargetYield() {
    StepState reached = MakeState(0, 0, 1);
    reached.mTargetReached = true;
    reached.mGroups = {{{{0, 100, 1, true}}}};
    StepState late = MakeState(0, 1, 1);
    late.mGroups = {{{{0, 400, 1, true}}}};
    const StepOrder order = OrderSteps({reached, late}, Millis(0));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, order.mItems.front().mStep);
    CPPUNIT_ASSERT(order.mItems.back().mClass == GroupClass::Spare);
  }

  /// Before the first text has ended nothing relates hints to events.
  void UnknownLengthsAreOrderedByHint() {
    StepState step = MakeState(0, 0, 1);
    step.mGroups = {
        {{{0, 0, 10, true}, {1, 0, 30, true}, {2, 0, 90, true, false, true}}}};
    const StepOrder order = OrderSteps({step}, Millis(0));
    CPPUNIT_ASSERT(order.mItems[0].mWhole);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, order.mItems[1].mItem);
  }

  void LastSlotsAreKeptForUrgentTexts() {
    const auto needed = GroupClass::Needed;
    CPPUNIT_ASSERT(MayTakeSlot(needed, Millis(1000), 1, 100));
    CPPUNIT_ASSERT(!MayTakeSlot(needed, Millis(5000), 5, 100));
    CPPUNIT_ASSERT(MayTakeSlot(needed, Millis(5000), 6, 100));
    CPPUNIT_ASSERT(!MayTakeSlot(GroupClass::Late, Millis(1000), 5, 100));
    // A replica may have become usable since the slots were counted.
    CPPUNIT_ASSERT(MayTakeSlot(GroupClass::Late, Millis(5000), 0, 0));
    CPPUNIT_ASSERT_EQUAL(0, RequestPriority(needed, Millis(-100)));
    CPPUNIT_ASSERT_EQUAL(4, RequestPriority(needed, Millis(6000)));
    CPPUNIT_ASSERT(RequestPriority(GroupClass::Late, Millis(0)) > 5);
  }

  /// 200 texts of 2.3 s need 460 s of slots, of which a replica has 40 in time.
  void ReplicasFollowTheWorkAndTheTimeLeft() {
    StepState step = MakeState(0, 0, 1);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, ReplicasInTime(step, kSlots, Millis(0)));
    step.mGroups.resize(1);
    step.mGroups[0].mItems.assign(200, {0, 50, 1, true});
    CPPUNIT_ASSERT_EQUAL(int64_t{15}, ReplicasInTime(step, kSlots, Millis(0)));
    CPPUNIT_ASSERT_EQUAL(int64_t{30},
                         ReplicasInTime(step, kSlots, Millis(3350)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepOrderTest);

}  // namespace rillwall
