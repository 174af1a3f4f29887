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
  CPPUNIT_TEST(NothingIsGivenOutShortlyBeforeTheDueTime);
  CPPUNIT_TEST(ResultsThatAreDueFollowAtOnce);
  CPPUNIT_TEST_SUITE_END();

  ListingState mState{false, false, false, Millis(0), true, Millis(-5000)};

  bool After(int64_t aWaitedMs) {
    mState.mWaited = Millis(aWaitedMs);
    return ShouldWriteResults(mState);
  }

  void GathersWhileTheTrainerWaits() {
    CPPUNIT_ASSERT(!After(699));
    CPPUNIT_ASSERT(After(700));
  }

  void TargetIsWrittenAtOnce() {
    mState.mTargetReached = true;
    CPPUNIT_ASSERT(After(0));
    mState.mTargetReachedAtLastWrite = true;
    CPPUNIT_ASSERT(!After(0));
  }

  void LastResultIsWrittenAtOnce() {
    mState.mAllEnded = true;
    CPPUNIT_ASSERT(After(0));
  }

  void NothingIsGivenOutShortlyBeforeTheDueTime() {
    // A trainer that was given a part would pause, and miss the rest.
    for (const int64_t past : {-1000, -300, 0, 99}) {
      mState.mPastDue = Millis(past);
      CPPUNIT_ASSERT(!After(699));
      CPPUNIT_ASSERT(After(700));
    }
  }

  void ResultsThatAreDueFollowAtOnce() {
    for (const int64_t past : {100, 400, 700}) {
      mState.mPastDue = Millis(past);
      CPPUNIT_ASSERT(!After(49));
      CPPUNIT_ASSERT(After(50));
    }
    mState.mPastDue = Millis(701);
    CPPUNIT_ASSERT(!After(200));
    mState.mPastDue = Millis(400);
    mState.mHasDue = false;
    CPPUNIT_ASSERT(!After(200));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListingPlanTest);

}  // namespace rillwall
