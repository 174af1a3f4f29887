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
  CPPUNIT_TEST(OtherRunWithTheSameListTellsNothing);
  CPPUNIT_TEST(MissedChangeIsFoundOut);
  CPPUNIT_TEST(VersionsAreLeftOut);
  CPPUNIT_TEST_SUITE_END();

  ReplicaLog mLog;
  ReplicaMirror mMirror;

  /// Brings the mirror up to date. \return what was told
  ReplicaDelta Tell() {
    ReplicaCursor mark = mMirror.Cursor();
    mark.mNumber = mMirror.Run() == "run" ? mark.mNumber : 0;
    ReplicaDelta delta = mLog.Since(mark);
    CPPUNIT_ASSERT(mMirror.Take("run", delta));
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
    const ReplicaDelta earlier{
        7, true, {ReplicaOf("z")}, {}, DigestOf(ReplicaOf("z"))};
    CPPUNIT_ASSERT(mMirror.Take("earlier run", earlier));
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, mMirror.Cursor().mNumber);
    CPPUNIT_ASSERT(Tell().mFull);
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

  // A new lead and a listener that the old one told: 165 replicas need not be
  // told to 295 nodes again.
  void OtherRunWithTheSameListTellsNothing() {
    mLog.Take({ReplicaOf("a"), ReplicaOf("b", true)});
    Tell();
    ReplicaLog later;
    later.Take({ReplicaOf("c")});
    later.Take({ReplicaOf("b", true), ReplicaOf("a")});
    const ReplicaCursor mark{0, mMirror.Cursor().mDigest};
    const ReplicaDelta delta = later.Since(mark);
    CPPUNIT_ASSERT(!delta.mFull && delta.mChanged.empty());
    CPPUNIT_ASSERT(mMirror.Take("later", delta));
    // What changes from then on is told by the later run's numbers.
    later.Take({ReplicaOf("b"), ReplicaOf("a")});
    const ReplicaDelta change = later.Since(mMirror.Cursor());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, change.mChanged.size());
    CPPUNIT_ASSERT(mMirror.Take("later", change));
    CPPUNIT_ASSERT(mMirror.All() ==
                   std::vector<Replica>({ReplicaOf("a"), ReplicaOf("b")}));
  }

  // A listener that has lost one change notices at the next, and asks for all.
  void MissedChangeIsFoundOut() {
    mLog.Take({ReplicaOf("a"), ReplicaOf("b")});
    Tell();
    mLog.Take({ReplicaOf("a", true), ReplicaOf("b")});
    const int64_t missed = mLog.Number();
    mLog.Take({ReplicaOf("a", true), ReplicaOf("b"), ReplicaOf("c")});
    const ReplicaDelta wrong = mLog.Since({missed, 0});
    CPPUNIT_ASSERT(!mMirror.Take("run", wrong));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, mMirror.Cursor().mNumber);
    CPPUNIT_ASSERT(Tell().mFull);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, mMirror.All().size());
  }

  void VersionsAreLeftOut() {
    Replica replica = ReplicaOf("a");
    replica.mModels = {{"m", 3}};
    CPPUNIT_ASSERT(DigestOf(replica) != DigestOf(ReplicaOf("a")));
    CPPUNIT_ASSERT(WithoutVersions({replica}) ==
                   std::vector<Replica>{ReplicaOf("a")});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaLogTest);

}  // namespace rillwall
