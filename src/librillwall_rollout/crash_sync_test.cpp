/// \file
/// Tests of sharing crash records among hosts, with an in-memory store.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/crash_record.h"
#include "rillwall/crash_sync.h"
#include "rollout_test_support.h"

namespace rillwall {

class CrashSyncTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashSyncTest);
  CPPUNIT_TEST(RecordsSpreadThroughTheStore);
  CPPUNIT_TEST(NewWatcherReadsExistingRecords);
  CPPUNIT_TEST(CrashesSeenByThreeHostsHoldTheRequest);
  CPPUNIT_TEST(RecordIsWrittenAfterAnOutage);
  CPPUNIT_TEST(UncertainWriteIsRepeated);
  CPPUNIT_TEST(ClearedRecordsSpread);
  CPPUNIT_TEST(IdleHostMakesNoStoreCalls);
  CPPUNIT_TEST(WakeRestartsAHangingWatch);
  CPPUNIT_TEST(UndecodableRecordIsSkipped);
  CPPUNIT_TEST(SweepRemovesExpiredRecords);
  CPPUNIT_TEST_SUITE_END();

  /// A host's process.
  struct Host {
    Host(TestWorld& aWorld, const std::string& aRun, bool aServesOthers)
        : mTest(aWorld, aRun), mServesOthers(aServesOthers) {
      Launch(mTest.mIo, "save", mSync.Save());
      Launch(mTest.mIo, "follow", mSync.Follow());
    }
    CrashTable& Crashes() { return mTest.mNode.mCrashes; }
    TestNode mTest;
    bool mServesOthers;
    CrashSync mSync{mTest.mNode, [this] { return mServesOthers; }};
  };

  TestWorld mWorld;

  static RequestDigest DigestOf(const std::string& aName) {
    return RequestDigest(RequestParts{"POST", "h", aName, "", ""});
  }
  static CrashRecord Record(const std::string& aRequest,
                            const std::string& aReplica) {
    return {DigestOf(aRequest), aReplica, WallClockMs(), false, "POST h"};
  }
  /// Runs two hosts in turn until a condition holds.
  template <class Condition>
  static void RunUntil(Host& aOne, Host& aOther, Condition aCondition) {
    aOne.mTest.RunUntil([&] {
      aOther.mTest.mIo.poll();
      aOther.mTest.mIo.restart();
      return aCondition();
    });
  }

  void RecordsSpreadThroughTheStore() {
    Host observer(mWorld, "seer", false);
    Host lead(mWorld, "lead", true);
    observer.Crashes().AddCrash(Record("/p", "r1"));
    RunUntil(observer, lead, [&] { return lead.Crashes().HasSuspects(); });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mWorld.mStore.CountOf(CrashPrefix()));
    observer.Crashes().AddCrash(Record("/p", "r2"));
    RunUntil(observer, lead,
             [&] { return lead.Crashes().Crashes(DigestOf("/p")) == 2; });
    CPPUNIT_ASSERT(lead.Crashes().Unsaved(9).empty());
  }

  void NewWatcherReadsExistingRecords() {
    for (const char* replica : {"r1", "r2", "r3"}) {
      const CrashRecord record = Record("/p", replica);
      mWorld.mStore.Write(CrashKey(record), EncodeCrash(record));
    }
    Host lead(mWorld, "lead", false);
    lead.mTest.RunFor(Millis(20));
    CPPUNIT_ASSERT(!lead.Crashes().HasSuspects());
    lead.mServesOthers = true;
    lead.mSync.Wake();
    lead.mTest.RunUntil([&] { return lead.Crashes().Held(DigestOf("/p")); });
  }

  void CrashesSeenByThreeHostsHoldTheRequest() {
    Host one(mWorld, "one", false);
    Host other(mWorld, "other", false);
    Host lead(mWorld, "lead", true);
    one.Crashes().AddCrash(Record("/p", "r1"));
    other.Crashes().AddCrash(Record("/p", "r2"));
    lead.Crashes().AddCrash(Record("/p", "r3"));
    RunUntil(one, other, [&] {
      lead.mTest.mIo.poll();
      lead.mTest.mIo.restart();
      return lead.Crashes().Held(DigestOf("/p"));
    });
    CPPUNIT_ASSERT(!one.Crashes().Held(DigestOf("/p")));
  }

  void RecordIsWrittenAfterAnOutage() {
    Host observer(mWorld, "seer", false);
    mWorld.mStore.mDown = true;
    observer.Crashes().AddCrash(Record("/p", "r1"));
    observer.mTest.RunFor(Millis(300));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mWorld.mStore.CountOf(CrashPrefix()));
    mWorld.mStore.mDown = false;
    observer.mTest.RunUntil(
        [&] { return mWorld.mStore.CountOf(CrashPrefix()) == 1; });
  }

  void UncertainWriteIsRepeated() {
    Host observer(mWorld, "seer", false);
    mWorld.mStore.mFaults = {StoreFault::LostDropped, StoreFault::LostApplied};
    observer.Crashes().AddCrash(Record("/p", "r1"));
    observer.mTest.RunUntil(
        [&] { return observer.Crashes().Unsaved(9).empty(); });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mWorld.mStore.CountOf(CrashPrefix()));
  }

  void ClearedRecordsSpread() {
    Host observer(mWorld, "seer", false);
    Host lead(mWorld, "lead", true);
    observer.Crashes().AddCrash(Record("/p", "r1"));
    RunUntil(observer, lead, [&] { return lead.Crashes().HasSuspects(); });
    observer.Crashes().Clear(DigestOf("/p"));
    RunUntil(observer, lead, [&] { return !lead.Crashes().HasSuspects(); });
  }

  void IdleHostMakesNoStoreCalls() {
    Host host(mWorld, "host", false);
    host.mTest.RunFor(Millis(100));
    CPPUNIT_ASSERT(StoreCounts() == mWorld.mStore.Counts());
  }

  // Records that a watch missed are read when it is restarted.
  void WakeRestartsAHangingWatch() {
    Host lead(mWorld, "lead", true);
    lead.mTest.RunUntil([&] { return mWorld.mStore.Counts().mWatches == 1; });
    lead.mSync.Wake();
    lead.mTest.RunUntil([&] { return mWorld.mStore.Counts().mWatches == 2; });
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, mWorld.mStore.Counts().mReads);
  }

  void UndecodableRecordIsSkipped() {
    const CrashRecord record = Record("/p", "r1");
    mWorld.mStore.Write(CrashPrefix() + "0/broken", "{");
    mWorld.mStore.Write(CrashKey(record), EncodeCrash(record));
    Host lead(mWorld, "lead", true);
    lead.mTest.RunUntil([&] { return lead.Crashes().HasSuspects(); });
  }

  void SweepRemovesExpiredRecords() {
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
