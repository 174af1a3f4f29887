/// \file
/// Tests of the plan for ordered replicas, with load patterns over time.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "rillwall/scale_plan.h"

namespace rillwall {

namespace {

constexpr Millis kTick{100};
constexpr Millis kDue{7500};
constexpr Millis kNotice{2500};
constexpr Millis kUnavailable{9000};
constexpr int64_t kSlots = 6;
constexpr int64_t kTrainerTexts[] = {96, 144, 128};
const ScalingSpec kSpec{
    1, 20, Millis(4000), 0.18, {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}}};

/// A platform that carries the orders out, and replicas that run the texts.
struct Platform {
  struct Machine {
    ReplicaGroup mGroup;
    Millis mServesAt;
    Millis mLeavesAt;  ///< 0: no notice
    int64_t mRunning = 0;
  };
  struct Text {
    size_t mTrainer = 0;
    Millis mDueAt;
    Millis mLeft;
    Millis mRan;
    int mMachine = -1;  ///< key of mMachines; -1: it waits
  };

  explicit Platform(ScalePolicy aPolicy, ScalingSpec aSpec = kSpec)
      : mSpec(std::move(aSpec)), mPlanner("s", mSpec, aPolicy) {
    for (int i = 0; i < 38; ++i) {
      const std::string zone(1, static_cast<char>('a' + i % 4));
      mMachines[mNextMachine++] = {{zone, false}, Millis(), Millis(), 0};
    }
    mPlanner.StartFrom(Registered());
  }

  std::vector<ScaleReplica> Registered() const {
    std::vector<ScaleReplica> all;
    for (const auto& [key, machine] : mMachines) {
      const bool revoked = machine.mLeavesAt > Millis(0);
      if (machine.mServesAt <= mNow) {
        all.push_back(
            {machine.mGroup, kSlots, revoked, revoked, machine.mRunning > 0});
      }
    }
    return all;
  }

  /// Submits a step whose longest text needs nearly all of the time.
  void Submit(size_t aTrainer) {
    const int64_t texts = kTrainerTexts[aTrainer];
    for (int64_t i = 0; i < texts; ++i) {
      const double rank =
          static_cast<double>(i + 1) / static_cast<double>(texts);
      const Millis span(500 + std::llround(6700 * std::pow(rank, 9)));
      mTexts.push_back({aTrainer, mNow + kDue, span, Millis(), -1});
    }
    Observe();
  }

  void Observe() {
    std::map<std::pair<size_t, Millis>, StepDemand> steps;
    for (const Text& text : mTexts) {
      StepDemand& step = steps[{text.mTrainer, text.mDueAt}];
      step.mTrainer = std::to_string(text.mTrainer);
      ++step.mTexts;
      step.mWorkMs += 1000;
      step.mLongestMs =
          std::max(step.mLongestMs, static_cast<double>(text.mRan.Count()));
      step.mDueIn = text.mDueAt - mNow;
    }
    std::vector<StepDemand> list;
    for (const auto& [id, step] : steps) {
      list.push_back(step);
    }
    mPlanner.Demand().Observe(list, 0, mNow);
  }

  void Release(Text& aText) {
    if (aText.mMachine >= 0) {
      --mMachines[aText.mMachine].mRunning;
      aText.mMachine = -1;
    }
  }

  /// The texts move, as they do at a termination notice.
  void Revoke(const std::string& aZone) {
    mSpotFrom[aZone] = mNow + kUnavailable;
    std::erase_if(mMachines, [&](const auto& aEntry) {
      return aEntry.second.mGroup == ReplicaGroup{aZone, true} &&
             aEntry.second.mServesAt > mNow;
    });
    for (auto& [key, machine] : mMachines) {
      if (machine.mGroup == ReplicaGroup{aZone, true}) {
        machine.mLeavesAt = mNow + kNotice;
      }
    }
    for (Text& text : mTexts) {
      if (text.mMachine >= 0 &&
          mMachines[text.mMachine].mLeavesAt > Millis(0)) {
        Release(text);
      }
    }
  }

  void StartTexts() {
    for (Text& text : mTexts) {
      if (text.mMachine >= 0) {
        continue;
      }
      std::tuple<bool, int64_t, int> best{true, kSlots, -1};
      for (const auto& [key, machine] : mMachines) {
        if (machine.mServesAt <= mNow && machine.mLeavesAt == Millis(0) &&
            machine.mRunning < kSlots) {
          best = std::min(
              best, {mVacated.contains(machine.mGroup), machine.mRunning, key});
        }
      }
      text.mMachine = std::get<2>(best);
      if (text.mMachine >= 0) {
        ++mMachines[text.mMachine].mRunning;
      }
    }
  }

  void Order(const ScaleOrder& aOrder) {
    const ReplicaGroup group{aOrder.mZone, aOrder.mSpot};
    const int64_t before = mPlanner.Groups().at(group).mOrdered;
    ++mCalls;
    mPlanner.Ordered(aOrder, mNow);
    std::vector<int> live;
    for (const auto& [key, machine] : mMachines) {
      if (machine.mGroup == group && machine.mLeavesAt == Millis(0)) {
        live.push_back(key);
      }
    }
    auto count = static_cast<int64_t>(live.size());
    if (count < aOrder.mCount && aOrder.mSpot &&
        mNow < mSpotFrom[aOrder.mZone]) {
      mPlanner.Refused(aOrder, before, mNow);
      return;
    }
    for (; count < aOrder.mCount; ++count) {
      mMachines[mNextMachine++] = {group, mNow + mSpec.mBoot, Millis(), 0};
    }
    for (; count > aOrder.mCount; --count) {
      mEndedBusy += mMachines[live.back()].mRunning > 0 ? 1 : 0;
      mMachines.erase(live.back());
      live.pop_back();
    }
    std::map<std::string, int64_t> inZone;
    for (const ScaleOrder& order : mPlanner.Orders()) {
      inZone[order.mZone] += order.mCount;
      mOverMax += inZone[order.mZone] > mSpec.mMax ? 1 : 0;
    }
  }

  void Tick() {
    mNow += kTick;
    std::erase_if(mMachines, [this](const auto& aEntry) {
      return aEntry.second.mLeavesAt > Millis(0) &&
             aEntry.second.mLeavesAt <= mNow;
    });
    for (Text& text : mTexts) {
      if (text.mMachine >= 0) {
        text.mLeft = text.mLeft - kTick;
        text.mRan += kTick;
      }
      if (text.mLeft <= Millis(0)) {
        Release(text);
        mLate += mNow > text.mDueAt ? 1 : 0;
      }
    }
    std::erase_if(mTexts,
                  [](const Text& aText) { return aText.mLeft <= Millis(0); });
    Observe();
    const ScalePlan plan = mPlanner.Plan(Registered(), {}, mNow);
    mVacated = plan.mVacated;
    for (const ScaleOrder& order : plan.mOrders) {
      Order(order);
    }
    StartTexts();
    for (const auto& [key, machine] : mMachines) {
      mCost += mSpec.mZonePrices.at(machine.mGroup.mZone) *
               (machine.mGroup.mSpot ? mSpec.mSpotPrice : 1) *
               static_cast<double>(kTick.Count()) / 1000;
    }
  }

  /// Lets time pass.
  /// \param aSpread time between the submissions of two trainers
  void Run(Millis aSpan, Millis aSpread = Millis(0), bool aSteps = true) {
    constexpr int64_t kEvery = 4000;
    for (const Millis end = mNow + aSpan; mNow < end;) {
      for (size_t i = 0; aSteps && i < std::size(kTrainerTexts); ++i) {
        const int64_t at = static_cast<int64_t>(i) * aSpread.Count();
        if (mNow.Count() % kEvery == at) {
          Submit(i);
        }
      }
      Tick();
    }
  }

  /// \return replicas of one kind
  int64_t CountOf(bool aSpot) const {
    return std::count_if(mMachines.begin(), mMachines.end(),
                         [&](const auto& aEntry) {
                           return aEntry.second.mGroup.mSpot == aSpot;
                         });
  }
  /// \return late texts since the last call
  int64_t TakeLate() { return std::exchange(mLate, 0); }

  ScalingSpec mSpec;
  ScalePlanner mPlanner;
  std::map<int, Machine> mMachines;
  int mNextMachine = 0;
  std::vector<Text> mTexts;
  std::map<std::string, Millis> mSpotFrom;
  std::set<ReplicaGroup> mVacated;
  Millis mNow;
  double mCost = 0;
  int64_t mLate = 0;
  int64_t mCalls = 0;
  int64_t mEndedBusy = 0;
  int64_t mOverMax = 0;
};

constexpr Millis kSettled{120000};
constexpr Millis kMinute{60000};

}  // namespace

class ScalePlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScalePlanTest);
  CPPUNIT_TEST(StepNeedsASlotForEachTextUnlessTheyFitInTurn);
  CPPUNIT_TEST(DueTimesKeepStepsInTimeWhereUtilizationDoesNot);
  CPPUNIT_TEST(OrdersSettleBelowTheCostOfTheStart);
  CPPUNIT_TEST(LossOfOneZoneDelaysNoStep);
  CPPUNIT_TEST(LossOfTwoZonesIsReplaced);
  CPPUNIT_TEST(NoRevocableReplicasToBeHad);
  CPPUNIT_TEST(CalmNightEndsReplicasThatAreIdle);
  CPPUNIT_TEST(CheapZonesAreFilledFirst);
  CPPUNIT_TEST(NothingIsOrderedBeforeTheFirstStep);
  CPPUNIT_TEST(NextLeadContinuesFromTheOrders);
  CPPUNIT_TEST_SUITE_END();

  void StepNeedsASlotForEachTextUnlessTheyFitInTurn() {
    // The longest text is not known yet.
    CPPUNIT_ASSERT_EQUAL(int64_t{100},
                         SlotsByDueTime({"t", 100, 90000, 0, Millis(7500)}));
    CPPUNIT_ASSERT_EQUAL(int64_t{100},
                         SlotsByDueTime({"t", 100, 90000, 7000, Millis(7500)}));
    // 90 s of work in the 6 s that are left beside the longest text.
    CPPUNIT_ASSERT_EQUAL(int64_t{15},
                         SlotsByDueTime({"t", 100, 90000, 1000, Millis(7500)}));
    CPPUNIT_ASSERT_EQUAL(int64_t{3},
                         SlotsByDueTime({"t", 3, 90000, 1000, Millis(-5)}));
  }

  static void AssertBounds(const Platform& aPlatform) {
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, aPlatform.mEndedBusy);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, aPlatform.mOverMax);
  }

  /// Planning by the average has too few slots when steps come together after a
  /// time in which they came apart.
  void DueTimesKeepStepsInTimeWhereUtilizationDoesNot() {
    Platform due(ScalePolicy::DueTimes);
    Platform utilization(ScalePolicy::Utilization);
    for (Platform* platform : {&due, &utilization}) {
      platform->Run(kSettled, Millis(1300));
      platform->TakeLate();
      platform->Run(kMinute, Millis(0));
    }
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, due.TakeLate());
    CPPUNIT_ASSERT(utilization.TakeLate() > 0);
    AssertBounds(due);
  }

  void OrdersSettleBelowTheCostOfTheStart() {
    for (const Millis spread : {Millis(0), Millis(1300)}) {
      Platform platform(ScalePolicy::DueTimes);
      platform.Run(kSettled, spread);
      const double cost = platform.mCost;
      const int64_t calls = platform.mCalls;
      platform.Run(kMinute, spread);
      const double perSecond =
          (platform.mCost - cost) * 1000 / static_cast<double>(kMinute.Count());
      // The start has 38 ordinary replicas at a price of 1.
      CPPUNIT_ASSERT(perSecond < 38);
      CPPUNIT_ASSERT(platform.mCalls - calls <= 2);
      AssertBounds(platform);
    }
  }

  void LossOfOneZoneDelaysNoStep() {
    for (const Millis spread : {Millis(0), Millis(1300)}) {
      Platform platform(ScalePolicy::DueTimes);
      platform.Run(kSettled + Millis(1500), spread);
      platform.TakeLate();
      CPPUNIT_ASSERT(platform.CountOf(true) > 0);
      const size_t before = platform.mMachines.size();
      platform.Revoke("b");
      platform.Run(Millis(5000), spread);
      // Replacements were ordered when the notice arrived.
      CPPUNIT_ASSERT_EQUAL(before, platform.mMachines.size());
      platform.Run(kMinute, spread);
      CPPUNIT_ASSERT_EQUAL(int64_t{0}, platform.TakeLate());
      AssertBounds(platform);
    }
  }

  /// The second zone is lost before the replacements of the first one serve.
  void LossOfTwoZonesIsReplaced() {
    Platform platform(ScalePolicy::DueTimes);
    platform.Run(kSettled, Millis(1300));
    platform.TakeLate();
    platform.Revoke("a");
    platform.Run(Millis(3000), Millis(1300));
    platform.Revoke("b");
    platform.Run(Millis(7000), Millis(1300));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, platform.TakeLate());
    platform.Run(kMinute, Millis(1300));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, platform.TakeLate());
    AssertBounds(platform);
  }

  void NoRevocableReplicasToBeHad() {
    Platform platform(ScalePolicy::DueTimes);
    platform.Run(kSettled, Millis(1300));
    platform.TakeLate();
    for (const char* zone : {"a", "b", "c", "d"}) {
      platform.mSpotFrom[zone] = platform.mNow + Millis(10000);
    }
    const int64_t calls = platform.mCalls;
    platform.Revoke("c");
    platform.Run(Millis(10000), Millis(1300));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, platform.TakeLate());
    // A refused order is not repeated all the time.
    CPPUNIT_ASSERT(platform.mCalls - calls < 20);
    AssertBounds(platform);
  }

  void CalmNightEndsReplicasThatAreIdle() {
    Platform platform(ScalePolicy::DueTimes);
    platform.Run(kSettled, Millis(1300));
    const int64_t before = platform.CountOf(false) + platform.CountOf(true);
    platform.Run(kMinute, Millis(0), false);
    // A pause of a minute ends none: the trainers may return at any moment.
    CPPUNIT_ASSERT_EQUAL(before,
                         platform.CountOf(false) + platform.CountOf(true));
    platform.TakeLate();
    platform.Run(kMinute, Millis(0));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, platform.TakeLate());
    platform.Run(kMinute * 12, Millis(0), false);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, platform.CountOf(false));
    CPPUNIT_ASSERT_EQUAL(int64_t{4}, platform.CountOf(true));
    AssertBounds(platform);
  }

  void CheapZonesAreFilledFirst() {
    ScalingSpec spec = kSpec;
    spec.mMax = 30;
    spec.mZonePrices = {{"a", 1}, {"b", 4}, {"c", 0.5}, {"d", 1}};
    Platform platform(ScalePolicy::DueTimes, spec);
    platform.Run(kSettled, Millis(1300));
    const auto& groups = platform.mPlanner.Groups();
    CPPUNIT_ASSERT(groups.at({"c", true}).mOrdered >
                   groups.at({"b", true}).mOrdered);
    platform.TakeLate();
    platform.Revoke("c");
    platform.Run(kMinute, Millis(1300));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, platform.TakeLate());
  }

  void NothingIsOrderedBeforeTheFirstStep() {
    Platform platform(ScalePolicy::DueTimes);
    platform.Run(kMinute, Millis(0), false);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, platform.mCalls);
  }

  /// A new lead that has seen one trainer only must not end replicas.
  void NextLeadContinuesFromTheOrders() {
    Platform platform(ScalePolicy::DueTimes);
    platform.Run(kSettled, Millis(0));
    const int64_t before = platform.CountOf(false) + platform.CountOf(true);
    ScalePlanner next("s", kSpec);
    next.ContinueFrom(platform.mPlanner.Orders(), platform.mPlanner.Need(),
                      platform.mNow);
    platform.mPlanner = next;
    platform.mCalls = 0;
    platform.Run(Millis(14000), Millis(0), false);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, platform.mCalls);
    CPPUNIT_ASSERT_EQUAL(before,
                         platform.CountOf(false) + platform.CountOf(true));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScalePlanTest);

}  // namespace rillwall
