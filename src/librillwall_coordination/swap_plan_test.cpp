/// \file
/// Tests of the orders to load weights, for single engines and for a fleet of
/// 600 engines on 370 nodes.

#include "rillwall/swap_plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>

namespace rillwall {

namespace {

constexpr Millis kStart{10000};
constexpr int64_t kOld = 4;
constexpr int64_t kNew = 5;

SwapEngine Engine(std::string aId, int64_t aVersion, int64_t aLoading,
                  Millis aAt) {
  SwapEngine engine;
  engine.mId = std::move(aId);
  engine.mIsController = true;
  engine.mFence = 3;
  engine.mReport = LoadReport();
  engine.mReport->mVersion = aVersion;
  engine.mReport->mLoading = aLoading;
  engine.mReport->mAt = aAt;
  return engine;
}

SwapInputs One(int64_t aVersion, int64_t aLoading, Millis aAt) {
  SwapInputs inputs;
  inputs.mEngines = {Engine("e1", aVersion, aLoading, aAt)};
  inputs.mNewest = {kNew, 1000, kStart};
  return inputs;
}

/// A simulated engine that loads the ordered version.
struct FakeEngine {
  int64_t mVersion = kOld;
  int64_t mLoading = 0;
  Millis mLoadEnds;
  int mFailures = 0;  ///< number of the next loads that fail
  uint64_t mFence = 0;
  bool mChecksFence = true;

  void Advance(Millis aNow) {
    if (mLoading == 0 || aNow < mLoadEnds) {
      return;
    }
    if (mFailures > 0) {
      --mFailures;
    } else {
      mVersion = mLoading;
    }
    mLoading = 0;
  }

  /// \return whether the engine accepted the order
  bool Order(const SwapOrder& aOrder, Millis aNow, Millis aLoadTime) {
    if (mChecksFence && aOrder.mFence < mFence) {
      return false;
    }
    mFence = aOrder.mFence;
    mLoading = aOrder.mVersion;
    mLoadEnds = aNow + aLoadTime;
    return true;
  }
};

}  // namespace

class SwapPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SwapPlanTest);
  CPPUNIT_TEST(OrdersOnce);
  CPPUNIT_TEST(IgnoresEnginesOnNewerVersions);
  CPPUNIT_TEST(NeedsFenceReportAndController);
  CPPUNIT_TEST(RetriesFailedSwapWithBackoff);
  CPPUNIT_TEST(RepeatsLostOrder);
  CPPUNIT_TEST(ReconcilesOlderVersion);
  CPPUNIT_TEST(StaleFenceStopsUntilGreater);
  CPPUNIT_TEST(ChecksFenceAgainAfterPause);
  CPPUNIT_TEST(RanksDoNotDependOnListOrder);
  CPPUNIT_TEST(FleetKeepsBoundAndCapacity);
  CPPUNIT_TEST(FleetKeepsToStoreRate);
  CPPUNIT_TEST(FleetKeepsToMaxSwapping);
  CPPUNIT_TEST(TwoControllersConverge);
  CPPUNIT_TEST_SUITE_END();

  void OrdersOnce() {
    SwapPlan plan;
    const std::vector<SwapOrder> expected = {{"e1", kNew, 3}};
    CPPUNIT_ASSERT(plan.Tick(One(kOld, 0, kStart), kStart) == expected);
    const Millis later = kStart + Millis(500);
    CPPUNIT_ASSERT(plan.Tick(One(kOld, 0, later), later).empty());
    CPPUNIT_ASSERT(plan.Tick(One(kOld, kNew, later), later).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan.Behind());
    CPPUNIT_ASSERT(plan.Tick(One(kNew, 0, later), later).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, plan.Behind());
  }

  void IgnoresEnginesOnNewerVersions() {
    SwapPlan plan;
    CPPUNIT_ASSERT(plan.Tick(One(kNew + 1, 0, kStart), kStart).empty());
    CPPUNIT_ASSERT(plan.Tick(One(kOld, kNew + 1, kStart), kStart).empty());
  }

  void NeedsFenceReportAndController() {
    SwapPlan plan;
    SwapInputs inputs = One(kOld, 0, kStart);
    inputs.mEngines[0].mFence = 0;
    CPPUNIT_ASSERT(plan.Tick(inputs, kStart).empty());
    inputs = One(kOld, 0, kStart);
    inputs.mEngines[0].mReport.reset();
    CPPUNIT_ASSERT(plan.Tick(inputs, kStart).empty());
    inputs = One(kOld, 0, kStart);
    inputs.mEngines[0].mIsController = false;
    CPPUNIT_ASSERT(plan.Tick(inputs, kStart).empty());
    inputs.mEngines[0].mIsController = true;
    inputs.mEngines[0].mLeaving = true;
    CPPUNIT_ASSERT(plan.Tick(inputs, kStart).empty());
  }

  void RetriesFailedSwapWithBackoff() {
    SwapPlan plan;
    Millis now = kStart;
    Millis backoff{250};
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan.Tick(One(kOld, 0, now), now).size());
    for (int round = 0; round < 4; ++round) {
      now += Millis(300);
      plan.Tick(One(kOld, kNew, now), now);
      CPPUNIT_ASSERT(plan.Tick(One(kOld, 0, now), now).empty());
      now += backoff - Millis(1);
      CPPUNIT_ASSERT(plan.Tick(One(kOld, 0, now), now).empty());
      now += Millis(1);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, plan.Tick(One(kOld, 0, now), now).size());
      backoff = backoff * 2;
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, plan.Counts().mRetries);
  }

  void RepeatsLostOrder() {
    SwapPlan plan;
    Millis now = kStart;
    plan.Tick(One(kOld, 0, now), now);
    for (int tick = 0; tick < 29; ++tick) {
      now += Millis(100);
      CPPUNIT_ASSERT(plan.Tick(One(kOld, 0, now), now).empty());
    }
    size_t orders = 0;
    for (int tick = 0; tick < 5; ++tick) {
      now += Millis(100);
      orders += plan.Tick(One(kOld, 0, now), now).size();
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, orders);
  }

  void ReconcilesOlderVersion() {
    SwapPlan plan;
    plan.Tick(One(kNew, 0, kStart), kStart);
    Millis now = kStart + Millis(1000);
    CPPUNIT_ASSERT(plan.Tick(One(kOld, 0, now), now).empty());
    now += Millis(250);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan.Tick(One(kOld, 0, now), now).size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, plan.Counts().mReconciled);
  }

  void StaleFenceStopsUntilGreater() {
    SwapPlan plan;
    plan.Tick(One(kOld, 0, kStart), kStart);
    plan.StaleFence("e1", 3);
    const Millis later = kStart + Millis(1000);
    SwapInputs inputs = One(kOld, 0, later);
    CPPUNIT_ASSERT(plan.Tick(inputs, later).empty());
    inputs.mEngines[0].mFence = 4;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan.Tick(inputs, later).size());
  }

  void ChecksFenceAgainAfterPause() {
    SwapPlan plan;
    SwapInputs inputs = One(kNew, 0, kStart);
    inputs.mRule.mFenceIgnored = true;
    plan.Tick(inputs, kStart);
    const Millis resumed = kStart + Millis(60000);
    inputs = One(kOld, 0, resumed - Millis(1));
    inputs.mRule.mFenceIgnored = true;
    inputs.mNewest.mVersion = kNew + 1;
    CPPUNIT_ASSERT(plan.Tick(inputs, resumed).empty());
    const Millis later = resumed + Millis(100);
    inputs.mEngines[0].mReport->mAt = later;
    CPPUNIT_ASSERT(plan.Tick(inputs, later).empty());
    CPPUNIT_ASSERT(plan.NeedsFenceCheck());
    inputs.mFencesConfirmedAt = later;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan.Tick(inputs, later).size());
  }

  void RanksDoNotDependOnListOrder() {
    const auto first = SwapRanks({"a", "b", "c", "d", "e"}, kNew);
    CPPUNIT_ASSERT(first == SwapRanks({"e", "c", "a", "d", "b"}, kNew));
    CPPUNIT_ASSERT(first != SwapRanks({"a", "b", "c", "d", "e"}, kNew + 1));
  }

  /// Measurements of one run of the fleet.
  struct FleetRun {
    Millis mLastDone;
    size_t mMaxLoading = 0;
    std::vector<Millis> mOrders;  ///< time of each order, ascending

    /// \return the greatest number of orders within any interval of this length
    size_t MaxWithin(Millis aSpan) const {
      size_t max = 0;
      for (auto first = mOrders.begin(); first != mOrders.end(); ++first) {
        const auto end = std::lower_bound(first, mOrders.end(), *first + aSpan);
        max = std::max(max, static_cast<size_t>(end - first));
      }
      return max;
    }
  };

  /// Simulates a fleet whose nodes learn of a version with different delays.
  /// Each node sees the reports of its own engines only.
  static FleetRun RunFleet(const ModelRule& aRule, int64_t aBytes,
                           Millis aLoadTime, uint64_t aSeed) {
    constexpr size_t kNodes = 370;
    constexpr size_t kEngines = 600;
    constexpr Millis kTick{50};
    std::mt19937_64 random(aSeed);
    std::vector<SwapPlan> plans(kNodes);
    std::vector<Millis> learned;
    for (size_t node = 0; node < kNodes; ++node) {
      learned.push_back(kStart + Millis(static_cast<int64_t>(random() % 800)));
    }
    std::vector<FakeEngine> engines(kEngines);
    FleetRun run;
    for (Millis now = kStart; now < kStart + Millis(120000); now += kTick) {
      size_t loading = 0;
      size_t behind = 0;
      for (FakeEngine& engine : engines) {
        engine.Advance(now);
        loading += engine.mLoading != 0 ? 1 : 0;
        behind += engine.mVersion != kNew ? 1 : 0;
      }
      run.mMaxLoading = std::max(run.mMaxLoading, loading);
      if (behind == 0) {
        run.mLastDone = now - kStart;
        return run;
      }
      const size_t orders =
          TickFleet(plans, learned, engines, aRule, aBytes, aLoadTime, now);
      run.mOrders.insert(run.mOrders.end(), orders, now);
    }
    CPPUNIT_FAIL("the fleet did not reach the version");
    return run;
  }

  /// \return the number of orders
  static size_t TickFleet(std::vector<SwapPlan>& aPlans,
                          const std::vector<Millis>& aLearned,
                          std::vector<FakeEngine>& aEngines,
                          const ModelRule& aRule, int64_t aBytes,
                          Millis aLoadTime, Millis aNow) {
    size_t orders = 0;
    SwapInputs inputs;
    inputs.mRule = aRule;
    for (size_t each = 0; each < aEngines.size(); ++each) {
      inputs.mEngines.push_back(Engine("e" + std::to_string(each),
                                       aEngines[each].mVersion,
                                       aEngines[each].mLoading, aNow));
      inputs.mEngines.back().mIsController = false;
    }
    for (size_t node = 0; node < aPlans.size(); ++node) {
      const bool knows = aNow >= aLearned[node];
      inputs.mNewest = {knows ? kNew : kOld, aBytes,
                        knows ? aLearned[node] : kStart - Millis(1000)};
      const auto setDuty = [&](bool aDuty) {
        for (size_t e = node; e < aEngines.size(); e += aPlans.size()) {
          inputs.mEngines[e].mIsController = aDuty;
        }
      };
      setDuty(true);
      for (const SwapOrder& order : aPlans[node].Tick(inputs, aNow)) {
        aEngines[std::stoul(order.mUpstream.substr(1))].Order(order, aNow,
                                                              aLoadTime);
        ++orders;
      }
      setDuty(false);
    }
    return orders;
  }

  void FleetKeepsBoundAndCapacity() {
    const FleetRun run = RunFleet(ModelRule(), 1000, Millis(1000), 1);
    CPPUNIT_ASSERT(run.mLastDone <= Millis(7000));
    CPPUNIT_ASSERT(run.mMaxLoading < 200);
  }

  void FleetKeepsToStoreRate() {
    ModelRule rule;
    rule.mWeightStoreMBps = 100;
    // One load takes 50 ms at the rate of the store, so that 20 loads fit into
    // a second and all loads take 30 s. Nodes learn of the version up to 0.8 s
    // apart.
    const FleetRun run = RunFleet(rule, 5000000, Millis(50), 2);
    CPPUNIT_ASSERT(run.mLastDone <= Millis(33000));
    CPPUNIT_ASSERT(run.MaxWithin(Millis(5000)) <= 20 * 58 / 10);
  }

  void FleetKeepsToMaxSwapping() {
    ModelRule rule;
    rule.mMaxSwapping = 60;
    const FleetRun run = RunFleet(rule, 1000, Millis(1000), 3);
    CPPUNIT_ASSERT(run.mMaxLoading <= 75);
    CPPUNIT_ASSERT(run.mLastDone <= Millis(13000));
  }

  /// A paused controller resumes and sends late orders, with an old fencing
  /// number and an old version, to an engine that ignores fencing numbers. The
  /// engine must still end on the newest version.
  void TwoControllersConverge() {
    for (uint64_t seed = 0; seed < 200; ++seed) {
      std::mt19937_64 random(seed);
      FakeEngine engine;
      engine.mChecksFence = false;
      engine.mFailures = static_cast<int>(random() % 3);
      SwapPlan current;
      Millis now = kStart;
      for (int tick = 0; tick < 400; ++tick, now += Millis(100)) {
        engine.Advance(now);
        for (const auto& order :
             current.Tick(One(engine.mVersion, engine.mLoading, now), now)) {
          engine.Order(order, now, Millis(300));
        }
        if (tick < 200 && random() % 20 == 0) {
          engine.Order({"e1", kOld, 1}, now, Millis(200));
        }
      }
      CPPUNIT_ASSERT_EQUAL(kNew, engine.mVersion);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SwapPlanTest);

}  // namespace rillwall
