/// \file
/// Tests of the measured pace of a replica.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/replica_pace.h"

namespace rillwall {

namespace {

/// Twelve streams that each get an event per step, as in a full batch.
constexpr int kStreams = 12;

}  // namespace

class ReplicaPaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaPaceTest);
  CPPUNIT_TEST(UnknownAtFirst);
  CPPUNIT_TEST(SingleLateEventHasLittleEffect);
  CPPUNIT_TEST(SlowdownIsSeenWithinHalfASecond);
  CPPUNIT_TEST(IdleReplicaKeepsItsUsualPace);
  CPPUNIT_TEST(ShortFaultDoesNotSetTheUsualPace);
  CPPUNIT_TEST(RecoveryIsSeenAtOnce);
  CPPUNIT_TEST(StalledStreamIsCapped);
  CPPUNIT_TEST_SUITE_END();

  ReplicaPace mPace;
  Millis mNow{1000};

  /// Observes all streams at one pace, in ms per event, for some time.
  void Run(int64_t aMsPerEvent, Millis aSpan) {
    const Millis until = mNow + aSpan;
    while (mNow < until) {
      mNow = mNow + Millis(aMsPerEvent);
      for (int i = 0; i < kStreams; ++i) {
        mPace.Observe(static_cast<double>(aMsPerEvent), mNow);
      }
    }
  }

  void UnknownAtFirst() { CPPUNIT_ASSERT_EQUAL(0.0, mPace.At(mNow)); }

  void SingleLateEventHasLittleEffect() {
    Run(40, Millis(2000));
    // Prompts that are read between two events delay all streams.
    Run(80, Millis(80));
    CPPUNIT_ASSERT(mPace.At(mNow) < 50);
  }

  void SlowdownIsSeenWithinHalfASecond() {
    Run(40, Millis(2000));
    Run(120, Millis(480));
    CPPUNIT_ASSERT(mPace.At(mNow) > 80);
  }

  void IdleReplicaKeepsItsUsualPace() {
    Run(52, Millis(4000));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(52, mPace.At(mNow + Millis(30000)), 1);
  }

  void ShortFaultDoesNotSetTheUsualPace() {
    Run(40, Millis(10000));
    Run(120, Millis(6000));
    CPPUNIT_ASSERT(mPace.At(mNow) > 110);
    CPPUNIT_ASSERT(mPace.At(mNow + Millis(5000)) < 80);
  }

  void RecoveryIsSeenAtOnce() {
    Run(120, Millis(8000));
    mNow = mNow + Millis(5000);
    Run(40, Millis(40));
    CPPUNIT_ASSERT(mPace.At(mNow) < 50);
  }

  void StalledStreamIsCapped() {
    Run(40, Millis(2000));
    mPace.Observe(20000, mNow + Millis(20000));
    CPPUNIT_ASSERT(mPace.At(mNow + Millis(20000)) <= 1000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaPaceTest);

}  // namespace rillwall
