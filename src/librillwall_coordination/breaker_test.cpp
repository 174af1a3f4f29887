#include "breaker.h"

#include <cppunit/extensions/HelperMacros.h>

#include "retry_budget.h"

namespace rillwall {

namespace {

class BreakerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BreakerTest);
  CPPUNIT_TEST(OpensAfterFailuresInARow);
  CPPUNIT_TEST(LetsOneProbeThrough);
  CPPUNIT_TEST(WaitsLongerAfterEachFailedProbe);
  CPPUNIT_TEST(IgnoresLateSuccess);
  CPPUNIT_TEST(StartsSlowly);
  CPPUNIT_TEST(BudgetBoundsRetries);
  CPPUNIT_TEST(BudgetReservesRetriesForInteractive);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    mBreaker = Breaker(mLimits);
    mNow = Millis(1000);
  }

  void Fail(int aTimes) {
    for (int time = 0; time < aTimes; ++time) {
      mBreaker.Started(1, mNow);
      mBreaker.Failed(1, mNow);
    }
  }

  void OpensAfterFailuresInARow() {
    Fail(2);
    mBreaker.Succeeded(1, mNow);
    Fail(2);
    CPPUNIT_ASSERT(mBreaker.Allows(mNow));
    Fail(1);
    CPPUNIT_ASSERT(!mBreaker.Allows(mNow));
  }

  void LetsOneProbeThrough() {
    Fail(3);
    mNow += mLimits.mOpenTime;
    CPPUNIT_ASSERT(mBreaker.Allows(mNow));
    mBreaker.Started(2, mNow);
    CPPUNIT_ASSERT(!mBreaker.Allows(mNow));
    mBreaker.Succeeded(2, mNow);
    CPPUNIT_ASSERT(mBreaker.State() == BreakerState::Closed);
  }

  void WaitsLongerAfterEachFailedProbe() {
    Fail(3);
    Millis wait = mLimits.mOpenTime;
    for (int probe = 0; probe < 3; ++probe) {
      mNow += wait;
      Fail(1);
      wait = wait * 2;
      CPPUNIT_ASSERT_EQUAL((mNow + wait).Count(), mBreaker.NextProbe().Count());
    }
  }

  void IgnoresLateSuccess() {
    Fail(3);
    mNow += mLimits.mOpenTime;
    mBreaker.Started(2, mNow);
    mBreaker.Succeeded(1, mNow);
    CPPUNIT_ASSERT(mBreaker.State() == BreakerState::Probing);
    mBreaker.Cancelled(2, mNow);
    CPPUNIT_ASSERT(mBreaker.Allows(mNow));
  }

  void StartsSlowly() {
    LetsOneProbeThrough();
    CPPUNIT_ASSERT(mBreaker.SlowStartShare(mNow) <= 0.1);
    CPPUNIT_ASSERT(mBreaker.SlowStartShare(mNow + mLimits.mSlowStart / 2) <=
                   0.5);
    CPPUNIT_ASSERT_EQUAL(1.0,
                         mBreaker.SlowStartShare(mNow + mLimits.mSlowStart));
  }

  /// Every other call fails, and so do its retries. Attempts per call must stay
  /// below 1.1 after the first ten calls.
  void BudgetBoundsRetries() {
    RetryBudget budget(0.1);
    int retries = 0;
    for (int calls = 1; calls <= 10000; ++calls) {
      budget.Deposit();
      const bool fails = calls % 2 == 0;
      while (fails && budget.TryWithdraw(CallClass::Interactive)) {
        ++retries;
      }
      CPPUNIT_ASSERT(calls < 10 || retries <= calls / 10);
    }
    CPPUNIT_ASSERT(retries >= 990);
  }

  void BudgetReservesRetriesForInteractive() {
    RetryBudget budget(0.1);
    for (int calls = 0; calls < 1000; ++calls) {
      budget.Deposit();
    }
    while (budget.TryWithdraw(CallClass::Training)) {
    }
    CPPUNIT_ASSERT(budget.TryWithdraw(CallClass::Interactive));
  }

 private:
  BreakerLimits mLimits;
  Breaker mBreaker{mLimits};
  Millis mNow;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BreakerTest);

}  // namespace

}  // namespace rillwall
