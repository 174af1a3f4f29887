/// \file
/// Tests of how nodes tell one another which replicas there are.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/replica_log.h"

namespace rillwall {

namespace {

Replica ReplicaOf(std::string aId, bool aDraining = false) {
  Replica replica;
  replica.mId = std::move(aId);
  replica.mDraining = aDraining;
  return replica;
}

}  // namespace

class ReplicaLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaLogTest);
  CPPUNIT_TEST(NewListenerGetsAll);
  CPPUNIT_TEST(ListenerGetsWhatItLacks);
  CPPUNIT_TEST(NothingNewIsNothingTold);
  CPPUNIT_TEST(OtherRunMeansAll);
  CPPUNIT_TEST(ListenerThatMissedMuchGetsAll);
  CPPUNIT_TEST(ReplicaThatComesBackIsTold);
  CPPUNIT_TEST_SUITE_END();

  ReplicaLog mLog;
  ReplicaMirror mMirror;

  /// Brings the mirror up to date. \return what was told
  ReplicaDelta Tell() {
    ReplicaDelta delta = mLog.Since(mMirror.Number("run"));
    mMirror.Take("run", delta);
    return delta;
  }

  void NewListenerGetsAll() {
    mLog.Take({ReplicaOf("a"), ReplicaOf("b")});
    CPPUNIT_ASSERT(Tell().mFull);
    CPPUNIT_ASSERT(mMirror.All() ==
                   std::vector<Replica>({ReplicaOf("a"), ReplicaOf("b")}));
  }

  void ListenerGetsWhatItLacks() {
    mLog.Take({ReplicaOf("a"), ReplicaOf("b"), ReplicaOf("c")});
    Tell();
    mLog.Take({ReplicaOf("a"), ReplicaOf("b", true), ReplicaOf("d")});
    const ReplicaDelta delta = Tell();
    CPPUNIT_ASSERT(!delta.mFull);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, delta.mChanged.size());
    CPPUNIT_ASSERT(delta.mGone == std::vector<std::string>{"c"});
    CPPUNIT_ASSERT(mMirror.All() ==
                   std::vector<Replica>(
                       {ReplicaOf("a"), ReplicaOf("b", true), ReplicaOf("d")}));
  }

  void NothingNewIsNothingTold() {
    mLog.Take({ReplicaOf("a")});
    const int64_t number = Tell().mNumber;
    mLog.Take({ReplicaOf("a")});
    const ReplicaDelta delta = Tell();
    CPPUNIT_ASSERT(delta.mChanged.empty() && delta.mGone.empty());
    CPPUNIT_ASSERT(!delta.mFull);
    CPPUNIT_ASSERT_EQUAL(number, delta.mNumber);
  }

  void OtherRunMeansAll() {
    mLog.Take({ReplicaOf("a")});
    mMirror.Take("earlier run", ReplicaDelta{7, true, {ReplicaOf("z")}, {}});
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, mMirror.Number("earlier run"));
    Tell();
    CPPUNIT_ASSERT(mMirror.All() == std::vector<Replica>{ReplicaOf("a")});
  }

  void ListenerThatMissedMuchGetsAll() {
    mLog.Take({ReplicaOf("a")});
    Tell();
    constexpr int kMany = 1100;
    for (int i = 0; i < kMany; ++i) {
      mLog.Take({ReplicaOf("r" + std::to_string(i))});
    }
    CPPUNIT_ASSERT(Tell().mFull);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mMirror.All().size());
  }

  void ReplicaThatComesBackIsTold() {
    mLog.Take({ReplicaOf("a"), ReplicaOf("b")});
    Tell();
    mLog.Take({ReplicaOf("a")});
    mLog.Take({ReplicaOf("a"), ReplicaOf("b")});
    Tell();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mMirror.All().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaLogTest);

}  // namespace rillwall
