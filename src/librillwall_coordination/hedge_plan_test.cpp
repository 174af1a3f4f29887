/// \file
/// Tests of the decision on hedged requests.

#include "rillwall/hedge_plan.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rillwall {

class HedgePlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HedgePlanTest);
  CPPUNIT_TEST(DelayIsAboveNearlyAllTimes);
  CPPUNIT_TEST(BudgetBoundsHedges);
  CPPUNIT_TEST(NoHedgeWithoutSpareCapacity);
  CPPUNIT_TEST_SUITE_END();

  HedgePlan mPlan;
  const AnswerEstimate mFree{Millis(20), Millis(0), Millis(2), 4};

 public:
  /// 3 in 100 requests take seven times as long. Guards against a second try
  /// for usual requests, and against waiting for the longest.
  void DelayIsAboveNearlyAllTimes() {
    for (int i = 0; i < 19; ++i) {
      mPlan.ObserveTry("r", Millis(21));
    }
    CPPUNIT_ASSERT(!mPlan.DelayOf("r"));
    for (int i = 0; i < 600; ++i) {
      mPlan.ObserveTry("r", Millis(i % 33 == 0 ? 147 : 19 + i % 6));
    }
    const Millis delay = *mPlan.DelayOf("r");
    CPPUNIT_ASSERT(delay >= Millis(23));
    CPPUNIT_ASSERT(delay < Millis(60));
    CPPUNIT_ASSERT(!mPlan.DelayOf("other"));
  }

  /// Guards against doubling the load when all requests are late.
  void BudgetBoundsHedges() {
    int hedges = 0;
    for (int i = 0; i < 1000; ++i) {
      mPlan.Started();
      hedges += mPlan.TryHedge(mFree, Millis(500)) ? 1 : 0;
    }
    CPPUNIT_ASSERT(hedges >= 45);
    CPPUNIT_ASSERT(hedges <= 51);
  }

  /// Guards against second tries that take slots from other requests.
  void NoHedgeWithoutSpareCapacity() {
    for (int i = 0; i < 100; ++i) {
      mPlan.Started();
    }
    AnswerEstimate waits = mFree;
    waits.mWait = Millis(1);
    AnswerEstimate old = mFree;
    old.mAge = Millis(500);
    AnswerEstimate last = mFree;
    last.mFreeSlots = 1;
    for (const AnswerEstimate& each : {waits, old, last}) {
      CPPUNIT_ASSERT(!mPlan.TryHedge(each, Millis(500)));
    }
    CPPUNIT_ASSERT(!mPlan.TryHedge(std::nullopt, Millis(500)));
    CPPUNIT_ASSERT(!mPlan.TryHedge(mFree, Millis(20)));
    CPPUNIT_ASSERT(mPlan.TryHedge(mFree, Millis(21)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgePlanTest);

}  // namespace rillwall
