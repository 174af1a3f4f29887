/// \file
/// Tests of when results are written.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/listing_plan.h"

namespace rillwall {

class ListingPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ListingPlanTest);
  CPPUNIT_TEST(GathersWhileTheTrainerWaits);
  CPPUNIT_TEST(TargetIsWrittenAtOnce);
  CPPUNIT_TEST(LastResultIsWrittenAtOnce);
  CPPUNIT_TEST(FurtherGroupsFollowSoon);
  CPPUNIT_TEST(ResultsThatAreDueFollowSoon);
  CPPUNIT_TEST_SUITE_END();

  ListingState mState{false, 3, 2, 9, Millis(0), true, Millis(-5000)};

  bool After(int64_t aWaitedMs) {
    mState.mWaited = Millis(aWaitedMs);
    return ListNow(mState);
  }

  void GathersWhileTheTrainerWaits() {
    CPPUNIT_ASSERT(!After(699));
    CPPUNIT_ASSERT(After(700));
  }

  void TargetIsWrittenAtOnce() {
    mState.mWhole = 9;
    CPPUNIT_ASSERT(After(0));
  }

  void LastResultIsWrittenAtOnce() {
    mState.mAllEnded = true;
    CPPUNIT_ASSERT(After(0));
  }

  void FurtherGroupsFollowSoon() {
    mState.mWhole = 10;
    mState.mWholeListed = 9;
    CPPUNIT_ASSERT(!After(199));
    CPPUNIT_ASSERT(After(200));
  }

  void ResultsThatAreDueFollowSoon() {
    for (const int64_t past : {-1000, 0, 700}) {
      mState.mPastDue = Millis(past);
      CPPUNIT_ASSERT(After(200));
    }
    for (const int64_t past : {-1001, 701}) {
      mState.mPastDue = Millis(past);
      CPPUNIT_ASSERT(!After(200));
    }
    mState.mPastDue = Millis(0);
    mState.mHasDue = false;
    CPPUNIT_ASSERT(!After(200));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListingPlanTest);

}  // namespace rillwall
