/// \file
/// Tests of the change log of replicas and its copy at a listener.

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
  CPPUNIT_TEST(NewListenerGetsFullList);
  CPPUNIT_TEST(ListenerGetsChangesOnly);
  CPPUNIT_TEST(UnchangedListSendsNothing);
  CPPUNIT_TEST(OtherRunSendsFullList);
  CPPUNIT_TEST(ListenerThatMissedTooMuchGetsFullList);
  CPPUNIT_TEST(ReplicaThatReturnsIsSent);
  CPPUNIT_TEST(OtherRunWithTheSameListSendsNothing);
  CPPUNIT_TEST(MissedChangeIsDetected);
  CPPUNIT_TEST(VersionsAreLeftOut);
  CPPUNIT_TEST_SUITE_END();

  ReplicaLog mLog;
  ReplicaMirror mMirror;

  /// Brings the mirror up to date.
  /// \return the update
  ReplicaDelta Update() {
    ReplicaCursor cursor = mMirror.Cursor();
    cursor.mNumber = mMirror.Run() == "run" ? cursor.mNumber : 0;
    ReplicaDelta delta = mLog.Since(cursor);
    CPPUNIT_ASSERT(mMirror.Apply("run", delta));
    return delta;
  }

  void NewListenerGetsFullList() {
    mLog.Replace({ReplicaOf("a"), ReplicaOf("b")});
    CPPUNIT_ASSERT(Update().mFull);
    CPPUNIT_ASSERT(mMirror.All() ==
                   std::vector<Replica>({ReplicaOf("a"), ReplicaOf("b")}));
  }

  void ListenerGetsChangesOnly() {
    mLog.Replace({ReplicaOf("a"), ReplicaOf("b"), ReplicaOf("c")});
    Update();
    mLog.Replace({ReplicaOf("a"), ReplicaOf("b", true), ReplicaOf("d")});
    const ReplicaDelta delta = Update();
    CPPUNIT_ASSERT(!delta.mFull);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, delta.mChanged.size());
    CPPUNIT_ASSERT(delta.mGone == std::vector<std::string>{"c"});
    CPPUNIT_ASSERT(mMirror.All() ==
                   std::vector<Replica>(
                       {ReplicaOf("a"), ReplicaOf("b", true), ReplicaOf("d")}));
  }

  void UnchangedListSendsNothing() {
    mLog.Replace({ReplicaOf("a")});
    const int64_t number = Update().mNumber;
    mLog.Replace({ReplicaOf("a")});
    const ReplicaDelta delta = Update();
    CPPUNIT_ASSERT(delta.mChanged.empty() && delta.mGone.empty());
    CPPUNIT_ASSERT(!delta.mFull);
    CPPUNIT_ASSERT_EQUAL(number, delta.mNumber);
  }

  void OtherRunSendsFullList() {
    mLog.Replace({ReplicaOf("a")});
    const ReplicaDelta earlier{
        7, true, {ReplicaOf("z")}, {}, DigestOf(ReplicaOf("z"))};
    CPPUNIT_ASSERT(mMirror.Apply("earlier run", earlier));
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, mMirror.Cursor().mNumber);
    CPPUNIT_ASSERT(Update().mFull);
    CPPUNIT_ASSERT(mMirror.All() == std::vector<Replica>{ReplicaOf("a")});
  }

  void ListenerThatMissedTooMuchGetsFullList() {
    mLog.Replace({ReplicaOf("a")});
    Update();
    constexpr int kMany = 1100;
    for (int i = 0; i < kMany; ++i) {
      mLog.Replace({ReplicaOf("r" + std::to_string(i))});
    }
    CPPUNIT_ASSERT(Update().mFull);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mMirror.All().size());
  }

  void ReplicaThatReturnsIsSent() {
    mLog.Replace({ReplicaOf("a"), ReplicaOf("b")});
    Update();
    mLog.Replace({ReplicaOf("a")});
    mLog.Replace({ReplicaOf("a"), ReplicaOf("b")});
    Update();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mMirror.All().size());
  }

  // After a change of the lead, a listener that already has the list must not
  // be sent it again: that would be 165 replicas to each of 295 nodes.
  void OtherRunWithTheSameListSendsNothing() {
    mLog.Replace({ReplicaOf("a"), ReplicaOf("b", true)});
    Update();
    ReplicaLog later;
    later.Replace({ReplicaOf("c")});
    later.Replace({ReplicaOf("b", true), ReplicaOf("a")});
    const ReplicaCursor cursor{0, mMirror.Cursor().mDigest};
    const ReplicaDelta delta = later.Since(cursor);
    CPPUNIT_ASSERT(!delta.mFull && delta.mChanged.empty());
    CPPUNIT_ASSERT(mMirror.Apply("later", delta));
    // Later changes use the sequence numbers of the new run.
    later.Replace({ReplicaOf("b"), ReplicaOf("a")});
    const ReplicaDelta change = later.Since(mMirror.Cursor());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, change.mChanged.size());
    CPPUNIT_ASSERT(mMirror.Apply("later", change));
    CPPUNIT_ASSERT(mMirror.All() ==
                   std::vector<Replica>({ReplicaOf("a"), ReplicaOf("b")}));
  }

  // A listener that lost a change detects it at the next update and requests
  // the whole list.
  void MissedChangeIsDetected() {
    mLog.Replace({ReplicaOf("a"), ReplicaOf("b")});
    Update();
    mLog.Replace({ReplicaOf("a", true), ReplicaOf("b")});
    const int64_t missed = mLog.Number();
    mLog.Replace({ReplicaOf("a", true), ReplicaOf("b"), ReplicaOf("c")});
    const ReplicaDelta wrong = mLog.Since({missed, 0});
    CPPUNIT_ASSERT(!mMirror.Apply("run", wrong));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, mMirror.Cursor().mNumber);
    CPPUNIT_ASSERT(Update().mFull);
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
