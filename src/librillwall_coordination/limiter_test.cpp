#include "limiter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <vector>

#include "peer_speed.h"
#include "slot_share.h"

namespace rillwall {

namespace {

class LimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimiterTest);
  CPPUNIT_TEST(FallsToTheRunningStreams);
  CPPUNIT_TEST(NeverBelowOne);
  CPPUNIT_TEST(LateFirstTokensAreOverdue);
  CPPUNIT_TEST(NodesTogetherFillTheEngineWithoutOverload);
  CPPUNIT_TEST(OneNodeFillsAnEngine);
  CPPUNIT_TEST(SharesEvenOut);
  CPPUNIT_TEST(SlowEngineGetsALowerWeightUntilItsSpeedExpires);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FallsToTheRunningStreams() {
    Limiter limiter{LimiterSignals()};
    limiter.Report({.mRunning = 7, .mWaiting = 3, .mSlots = 16});
    CPPUNIT_ASSERT_EQUAL(16.0, limiter.Limit());
    limiter.Report({.mRunning = 7, .mWaiting = 2, .mSlots = 16});
    CPPUNIT_ASSERT_EQUAL(7.0, limiter.Limit());
    for (int report = 0; report < 30; ++report) {
      const auto running = static_cast<int64_t>(limiter.Limit());
      limiter.Report({.mRunning = running, .mSlots = 16});
    }
    CPPUNIT_ASSERT_EQUAL(16.0, limiter.Limit());
  }

  void NeverBelowOne() {
    Limiter limiter{LimiterSignals()};
    for (int call = 0; call < 100; ++call) {
      limiter.Refused();
      limiter.Lower(-5);
      limiter.Report({.mWaiting = 5, .mSlots = 16});
    }
    CPPUNIT_ASSERT_EQUAL(1.0, limiter.Limit());
  }

  void LateFirstTokensAreOverdue() {
    Limiter limiter{LimiterSignals()};
    const CallClass kind = CallClass::Interactive;
    CPPUNIT_ASSERT(!limiter.Overdue(kind, Millis(60000)));
    for (int call = 0; call < 10; ++call) {
      limiter.FirstToken(kind, Millis(300));
    }
    CPPUNIT_ASSERT(!limiter.Overdue(kind, Millis(800)));
    CPPUNIT_ASSERT(limiter.Overdue(kind, Millis(1000)));
    CPPUNIT_ASSERT(!limiter.Overdue(CallClass::Training, Millis(1000)));
  }

  /// Simulates nodes that take as many slots as allowed at one engine, whose
  /// reports arrive a round late. Calls that end are replaced by others.
  /// \return load of the engine after each round
  std::vector<int64_t> SimulateRounds(size_t aNodes, int64_t aTarget,
                                      double aRebalance, int aRounds) {
    std::mt19937_64 random(3);
    std::uniform_real_distribution<double> draw(0, 1);
    mOwn.resize(aNodes, 0);
    std::vector<SlotShare> shares(aNodes, SlotShare({.mGain = 0.5,
                                                     .mEmptyFraction = 0.1,
                                                     .mRebalance = aRebalance},
                                                    0));
    std::vector<int64_t> loads = {
        std::accumulate(mOwn.begin(), mOwn.end(), int64_t{0})};
    for (int round = 0; round < aRounds; ++round) {
      const int64_t reported = loads.back();
      int64_t load = 0;
      for (size_t node = 0; node < aNodes; ++node) {
        shares[node].Report({.mOwn = static_cast<double>(mOwn[node]),
                             .mTotal = static_cast<double>(reported),
                             .mTarget = static_cast<double>(aTarget),
                             .mRandom = draw(random)});
        mOwn[node] = shares[node].Allowed();
        load += mOwn[node];
      }
      loads.push_back(load);
    }
    return loads;
  }

  void NodesTogetherFillTheEngineWithoutOverload() {
    for (const size_t nodes : {5u, 10u, 20u}) {
      mOwn.clear();
      const std::vector<int64_t> loads = SimulateRounds(nodes, 20, 0, 300);
      double sum = 0;
      for (size_t round = 0; round < loads.size(); ++round) {
        // If each node took all slots that are reported free, it would reach 20
        // calls per node.
        CPPUNIT_ASSERT(loads[round] <= 40);
        sum += round >= 50 ? static_cast<double>(loads[round]) : 0;
      }
      const double mean = sum / static_cast<double>(loads.size() - 50);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(20, mean, 3);
    }
  }

  void OneNodeFillsAnEngine() {
    for (const int64_t slots : {1, 4, 64}) {
      mOwn.clear();
      CPPUNIT_ASSERT_EQUAL(slots, SimulateRounds(1, slots, 0, 30).back());
    }
  }

  void SharesEvenOut() {
    const auto spread = [this](double aRebalance) {
      mOwn = {190, 30, 30, 30, 30, 30, 30, 30};
      SimulateRounds(8, 400, aRebalance, 100);
      const auto ends = std::minmax_element(mOwn.begin(), mOwn.end());
      return *ends.second - *ends.first;
    };
    CPPUNIT_ASSERT(spread(0.5) < 50);
    CPPUNIT_ASSERT(spread(0) > 100);
  }

  void SlowEngineGetsALowerWeightUntilItsSpeedExpires() {
    StreamSpeed speed;
    for (int64_t now = 100; now <= 3000; now += 100) {
      speed.Add(1, Millis(100), Millis(now));
    }
    CPPUNIT_ASSERT(speed.Known(Millis(3000)));
    const double median = Median({10, 40, 50, 45, 38});
    CPPUNIT_ASSERT_EQUAL(40.0, median);
    const double weight = SpeedWeight(speed.PerSecond(), median);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, weight, 0.01);
    CPPUNIT_ASSERT_EQUAL(1.0, SpeedWeight(30, median));
    CPPUNIT_ASSERT(!speed.Known(Millis(20000)));
  }

 private:
  std::vector<int64_t> mOwn;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimiterTest);

}  // namespace

}  // namespace rillwall
