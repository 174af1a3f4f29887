/// \file
/// Tests of how hosts share what they know of requests that end replicas, by
/// the store in memory.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/crash_record.h"
#include "rillwall/crash_sync.h"
#include "rollout_test_support.h"

namespace rillwall {

class CrashSyncTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashSyncTest);
  CPPUNIT_TEST(OtherHostsLearnThroughTheStore);
  CPPUNIT_TEST(NewFollowerLearnsWhatWasBefore);
  CPPUNIT_TEST(ThreeHostsWithOneEndEachHold);
  CPPUNIT_TEST(NewsOutlivesAnOutage);
  CPPUNIT_TEST(LostAnswerIsWrittenAgain);
  CPPUNIT_TEST(ClearedIsLearntToo);
  CPPUNIT_TEST(CalmHostCallsNothing);
  CPPUNIT_TEST(WatchThatHangsIsLeft);
  CPPUNIT_TEST(BrokenRecordIsPassedOver);
  CPPUNIT_TEST(SweepRemovesTheOld);
  CPPUNIT_TEST_SUITE_END();

  /// A host's process.
  struct Host {
    Host(TestWorld& aWorld, const std::string& aRun, bool aTells)
        : mTest(aWorld, aRun), mTells(aTells) {
      Launch(mTest.mIo, "save", mSync.Save());
      Launch(mTest.mIo, "follow", mSync.Follow());
    }
    CrashTable& Crashes() { return mTest.mNode.mCrashes; }
    TestNode mTest;
    bool mTells;
    CrashSync mSync{mTest.mNode, [this] { return mTells; }};
  };

  TestWorld mWorld;

  static RequestDigest Named(const std::string& aName) {
    return RequestDigest(RequestParts{"POST", "h", aName, "", ""});
  }
  static CrashRecord Record(const std::string& aRequest,
                            const std::string& aReplica) {
    return {Named(aRequest), aReplica, WallClockMs(), false, "POST h"};
  }
  /// Runs hosts in turn until something holds.
  template <class Condition>
  static void RunUntil(Host& aOne, Host& aOther, Condition aCondition) {
    aOne.mTest.RunUntil([&] {
      aOther.mTest.mIo.poll();
      aOther.mTest.mIo.restart();
      return aCondition();
    });
  }

  void OtherHostsLearnThroughTheStore() {
    Host seer(mWorld, "seer", false);
    Host lead(mWorld, "lead", true);
    seer.Crashes().AddCrash(Record("/p", "r1"));
    RunUntil(seer, lead, [&] { return lead.Crashes().HasSuspects(); });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mWorld.mStore.CountOf(CrashPrefix()));
    seer.Crashes().AddCrash(Record("/p", "r2"));
    RunUntil(seer, lead,
             [&] { return lead.Crashes().Crashes(Named("/p")) == 2; });
    CPPUNIT_ASSERT(lead.Crashes().Unsaved(9).empty());
  }

  void NewFollowerLearnsWhatWasBefore() {
    for (const char* replica : {"r1", "r2", "r3"}) {
      const CrashRecord record = Record("/p", replica);
      mWorld.mStore.Write(CrashKey(record), EncodeCrash(record));
    }
    Host lead(mWorld, "lead", false);
    lead.mTest.RunFor(Millis(20));
    CPPUNIT_ASSERT(!lead.Crashes().HasSuspects());
    lead.mTells = true;
    lead.mSync.Wake();
    lead.mTest.RunUntil([&] { return lead.Crashes().Held(Named("/p")); });
  }

  void ThreeHostsWithOneEndEachHold() {
    Host one(mWorld, "one", false);
    Host other(mWorld, "other", false);
    Host lead(mWorld, "lead", true);
    one.Crashes().AddCrash(Record("/p", "r1"));
    other.Crashes().AddCrash(Record("/p", "r2"));
    lead.Crashes().AddCrash(Record("/p", "r3"));
    RunUntil(one, other, [&] {
      lead.mTest.mIo.poll();
      lead.mTest.mIo.restart();
      return lead.Crashes().Held(Named("/p"));
    });
    CPPUNIT_ASSERT(!one.Crashes().Held(Named("/p")));
  }

  void NewsOutlivesAnOutage() {
    Host seer(mWorld, "seer", false);
    mWorld.mStore.mDown = true;
    seer.Crashes().AddCrash(Record("/p", "r1"));
    seer.mTest.RunFor(Millis(300));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mWorld.mStore.CountOf(CrashPrefix()));
    mWorld.mStore.mDown = false;
    seer.mTest.RunUntil(
        [&] { return mWorld.mStore.CountOf(CrashPrefix()) == 1; });
  }

  void LostAnswerIsWrittenAgain() {
    Host seer(mWorld, "seer", false);
    mWorld.mStore.mFaults = {StoreFault::LostDropped, StoreFault::LostApplied};
    seer.Crashes().AddCrash(Record("/p", "r1"));
    seer.mTest.RunUntil([&] { return seer.Crashes().Unsaved(9).empty(); });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mWorld.mStore.CountOf(CrashPrefix()));
  }

  void ClearedIsLearntToo() {
    Host seer(mWorld, "seer", false);
    Host lead(mWorld, "lead", true);
    seer.Crashes().AddCrash(Record("/p", "r1"));
    RunUntil(seer, lead, [&] { return lead.Crashes().HasSuspects(); });
    seer.Crashes().Clear(Named("/p"));
    RunUntil(seer, lead, [&] { return !lead.Crashes().HasSuspects(); });
  }

  void CalmHostCallsNothing() {
    Host host(mWorld, "host", false);
    host.mTest.RunFor(Millis(100));
    CPPUNIT_ASSERT(StoreCounts() == mWorld.mStore.Counts());
  }

  // Records that a watch missed are read when it is begun anew.
  void WatchThatHangsIsLeft() {
    Host lead(mWorld, "lead", true);
    lead.mTest.RunUntil([&] { return mWorld.mStore.Counts().mWatches == 1; });
    lead.mSync.Wake();
    lead.mTest.RunUntil([&] { return mWorld.mStore.Counts().mWatches == 2; });
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, mWorld.mStore.Counts().mReads);
  }

  void BrokenRecordIsPassedOver() {
    const CrashRecord record = Record("/p", "r1");
    mWorld.mStore.Write(CrashPrefix() + "0/broken", "{");
    mWorld.mStore.Write(CrashKey(record), EncodeCrash(record));
    Host lead(mWorld, "lead", true);
    lead.mTest.RunUntil([&] { return lead.Crashes().HasSuspects(); });
  }

  void SweepRemovesTheOld() {
    CrashRecord old = Record("/old", "r1");
    old.mAtMs -= CrashTable::kRecordLifetime.Count() + 1000;
    const CrashRecord young = Record("/young", "r1");
    mWorld.mStore.Write(CrashKey(old), EncodeCrash(old));
    mWorld.mStore.Write(CrashKey(young), EncodeCrash(young));
    TestNode test(mWorld);
    CrashSync sync(test.mNode, [] { return true; });
    bool swept = false;
    test.Run([](CrashSync& aSync, bool& aSwept) -> asio::awaitable<bool> {
      co_await aSync.Sweep();
      aSwept = true;
      co_return true;
    }(sync, swept));
    CPPUNIT_ASSERT(swept);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mWorld.mStore.CountOf(CrashPrefix()));
    CPPUNIT_ASSERT(mWorld.mStore.Items().contains(CrashKey(young)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashSyncTest);

}  // namespace rillwall
