/// \file
/// Effect of each mechanism of the dispatcher in the simulations of
/// dispatcher_fakes.h. Each test also switches the mechanism off and checks
/// that the bound is then missed.

#include <cppunit/extensions/HelperMacros.h>

#include "dispatcher_fakes.h"

namespace rillwall::fakes {

namespace {

double Part(uint64_t aPart, uint64_t aAll) {
  return static_cast<double>(aPart) / static_cast<double>(aAll);
}

class DispatcherSimulationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherSimulationTest);
  CPPUNIT_TEST(BeatsRandomRouting);
  CPPUNIT_TEST(SharesSlotsBetweenNodes);
  CPPUNIT_TEST(RefusesEarlyInOverload);
  CPPUNIT_TEST(LowersLimitByReports);
  CPPUNIT_TEST(LowersLimitByOverdueTokens);
  CPPUNIT_TEST(PreemptsForInteractive);
  CPPUNIT_TEST(ModestAccountIsServedInOverload);
  CPPUNIT_TEST(RetriesAreBounded);
  CPPUNIT_TEST(PopularPrefixDoesNotOverloadItsHome);
  CPPUNIT_TEST(PrefixAffinityReducesLatency);
  CPPUNIT_TEST_SUITE_END();

 public:
  static Outcome Run(const Scenario& aScenario) {
    return Simulation(aScenario).Run();
  }

  void BeatsRandomRouting() {
    Scenario scenario;
    const Outcome product = Run(scenario);
    scenario.mRouting = Routing::Random;
    const Outcome random = Run(scenario);
    CPPUNIT_ASSERT(product.Percentile(0.5) * 2 < random.Percentile(0.5));
    CPPUNIT_ASSERT(product.Percentile(0.99) * 1.5 < random.Percentile(0.99));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, product.mRefused);
  }

  void SharesSlotsBetweenNodes() {
    Scenario scenario;
    scenario.mCallsPerSecond = 120;
    scenario.mTrainingTokens = 0;
    CPPUNIT_ASSERT(Run(scenario).Percentile(0.99) < 4000);
    scenario.mTuning.mShareSlots = false;
    CPPUNIT_ASSERT(Run(scenario).Percentile(0.99) > 6000);
  }

  void RefusesEarlyInOverload() {
    Scenario scenario;
    scenario.mCallsPerSecond = 120;
    Outcome outcome = Run(scenario);
    CPPUNIT_ASSERT(Part(outcome.mRefusedLate, outcome.mCalls) < 0.04);
    scenario.mTuning.mRefuseEarly = false;
    outcome = Run(scenario);
    CPPUNIT_ASSERT(Part(outcome.mRefusedLate, outcome.mCalls) > 0.2);
  }

  static Scenario ShortOfSlots(bool aHidden) {
    Scenario scenario;
    scenario.mFaults = [aHidden](std::vector<FakeEngine>& aEngines, Millis) {
      for (size_t index = 0; index < aEngines.size(); ++index) {
        aEngines[index].mRealSlots = index % 4 == 0 ? 8 : 16;
        aEngines[index].mHidesWaiting = aHidden;
      }
    };
    return scenario;
  }

  void LowersLimitByReports() {
    Scenario scenario = ShortOfSlots(false);
    scenario.mTuning.mLimitByFirstTokens = false;
    CPPUNIT_ASSERT(Run(scenario).Percentile(0.9) < 1300);
    scenario.mTuning.mLimitByReports = false;
    CPPUNIT_ASSERT(Run(scenario).Percentile(0.9) > 1300);
  }

  void LowersLimitByOverdueTokens() {
    Scenario scenario = ShortOfSlots(true);
    CPPUNIT_ASSERT(Run(scenario).Percentile(0.9) < 2500);
    scenario.mTuning.mLimitByFirstTokens = false;
    CPPUNIT_ASSERT(Run(scenario).Percentile(0.9) > 4000);
  }

  void PreemptsForInteractive() {
    Scenario scenario;
    scenario.mNodes = 30;
    scenario.mSubset = 6;
    scenario.mCallsPerSecond = 60;
    Outcome outcome = Run(scenario);
    CPPUNIT_ASSERT(Part(outcome.mRefused, outcome.mCalls) < 0.03);
    scenario.mTuning.mPreemptAfter = Millis(0);
    outcome = Run(scenario);
    CPPUNIT_ASSERT(Part(outcome.mRefused, outcome.mCalls) > 0.04);
  }

  void ModestAccountIsServedInOverload() {
    Scenario scenario;
    scenario.mCallsPerSecond = 120;
    scenario.mModestShare = 1.0 / 11;
    scenario.mTrainingTokens = 0;
    Outcome outcome = Run(scenario);
    CPPUNIT_ASSERT(Part(outcome.mModestRefused, outcome.mModestCalls) < 0.02);
    CPPUNIT_ASSERT(outcome.ModestPercentile(0.5) < 700);
    scenario.mOneQueue = true;
    outcome = Run(scenario);
    CPPUNIT_ASSERT(Part(outcome.mModestRefused, outcome.mModestCalls) > 0.2);
  }

  void RetriesAreBounded() {
    Scenario scenario;
    scenario.mWarmUp = Millis(0);
    scenario.mFaults = [](std::vector<FakeEngine>& aEngines, Millis aNow) {
      for (size_t index = 0; index < aEngines.size(); index += 2) {
        aEngines[index].mDead = aNow > Millis(10000);
      }
    };
    const auto perCall = [&scenario] {
      const Outcome outcome = Run(scenario);
      return Part(outcome.mAttempts, outcome.mFirstAttempts);
    };
    CPPUNIT_ASSERT(perCall() <= 1.1);
    scenario.mLimits.mRetryRatio = 10;
    CPPUNIT_ASSERT(perCall() > 1.1);
  }

  void PopularPrefixDoesNotOverloadItsHome() {
    Scenario scenario;
    scenario.mTrainingTokens = 0;
    scenario.mCallsPerSecond = 50;
    scenario.mPrefixes = 3;
    scenario.mPrefillMs = 600;
    CPPUNIT_ASSERT(Run(scenario).Percentile(0.99) < 500);
    scenario.mTuning.mMultiplePrefixHomes = false;
    CPPUNIT_ASSERT(Run(scenario).Percentile(0.99) > 500);
  }

  void PrefixAffinityReducesLatency() {
    Scenario scenario;
    scenario.mTrainingTokens = 0;
    scenario.mCallsPerSecond = 60;
    scenario.mPrefixes = 300;
    scenario.mPrefillMs = 600;
    CPPUNIT_ASSERT(Run(scenario).Percentile(0.5) < 400);
    scenario.mTuning.mPrefixBonus = 0;
    CPPUNIT_ASSERT(Run(scenario).Percentile(0.5) > 600);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherSimulationTest);

}  // namespace

}  // namespace rillwall::fakes
