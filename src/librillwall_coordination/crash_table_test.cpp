/// \file
/// Tests of the records of requests that crash replicas.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include "rillwall/crash_table.h"

namespace rillwall {

class CrashTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashTableTest);
  CPPUNIT_TEST(HeldAfterThreeReplicas);
  CPPUNIT_TEST(RepeatedCrashCountsOnce);
  CPPUNIT_TEST(AnswerClears);
  CPPUNIT_TEST(ClearedStaysCleared);
  CPPUNIT_TEST(NewCrashesCountAfterAnAnswer);
  CPPUNIT_TEST(LaterEventClears);
  CPPUNIT_TEST(ProgressDoesNotClearAnOperatorsHold);
  CPPUNIT_TEST(ReplicasThatEndTogetherHoldNothing);
  CPPUNIT_TEST(SeveralBadRequestsStayHeld);
  CPPUNIT_TEST(CrashesAtOtherTimesExcuseNothing);
  CPPUNIT_TEST(HeldUntilRecordsExpire);
  CPPUNIT_TEST(OldRecordsAreForgotten);
  CPPUNIT_TEST(ManyRecordsDoNotEvictHeldRequests);
  CPPUNIT_TEST(OnlyLocalChangesAreUnsaved);
  CPPUNIT_TEST(RecordChangedDuringAWriteStaysUnsaved);
  CPPUNIT_TEST(SinceReturnsLaterChanges);
  CPPUNIT_TEST(MergeOrderDoesNotMatter);
  CPPUNIT_TEST_SUITE_END();

  static RequestDigest DigestFor(const std::string& aName) {
    return RequestDigest(RequestParts{"POST", "h", aName, "", ""});
  }
  static CrashRecord Record(const std::string& aRequest,
                            const std::string& aReplica, int64_t aAtMs = 1000) {
    return {DigestFor(aRequest), aReplica, aAtMs, false, "POST h" + aRequest};
  }
  void Hold(const std::string& aRequest, int64_t aAtMs = 1000) {
    for (const char* replica : {"r1", "r2", "r3"}) {
      mTable.AddCrash(Record(aRequest, replica, aAtMs));
    }
  }

  CrashTable mTable;

  void HeldAfterThreeReplicas() {
    const RequestDigest request = DigestFor("/p");
    CPPUNIT_ASSERT(!mTable.HasSuspects());
    mTable.AddCrash(Record("/p", "r1"));
    mTable.AddCrash(Record("/p", "r2"));
    CPPUNIT_ASSERT(mTable.HasSuspects());
    CPPUNIT_ASSERT(!mTable.Held(request));
    mTable.AddCrash(Record("/p", "r3"));
    CPPUNIT_ASSERT(mTable.Held(request));
    CPPUNIT_ASSERT(!mTable.Held(DigestFor("/q")));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTable.Suspects().size());
    CPPUNIT_ASSERT(mTable.Suspects().front().mHeld);
  }

  void RepeatedCrashCountsOnce() {
    CPPUNIT_ASSERT(mTable.AddCrash(Record("/p", "r1")));
    CPPUNIT_ASSERT(!mTable.AddCrash(Record("/p", "r1", 1005)));
    mTable.Merge({Record("/p", "r1", 999)});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTable.Crashes(DigestFor("/p")));
  }

  void AnswerClears() {
    Hold("/p");
    mTable.AddCrash(Record("/q", "r1"));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, mTable.Clear(DigestFor("/p")));
    CPPUNIT_ASSERT(!mTable.Held(DigestFor("/p")));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTable.Crashes(DigestFor("/q")));
    mTable.Clear(DigestFor("/q"));
    CPPUNIT_ASSERT(!mTable.HasSuspects());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mTable.Clear(DigestFor("/q")));
  }

  void ClearedStaysCleared() {
    Hold("/p");
    const std::vector<CrashRecord> old = mTable.Since(0);
    mTable.Clear(DigestFor("/p"));
    // A host that was disconnected returns with its old records.
    CPPUNIT_ASSERT(mTable.Merge(old).empty());
    CPPUNIT_ASSERT(!mTable.Held(DigestFor("/p")));
  }

  void NewCrashesCountAfterAnAnswer() {
    Hold("/p");
    mTable.Clear(DigestFor("/p"));
    for (const char* replica : {"r4", "r5", "r6"}) {
      mTable.AddCrash(Record("/p", replica));
    }
    CPPUNIT_ASSERT(mTable.Held(DigestFor("/p")));
  }

  CrashRecord RecordAt(const std::string& aReplica, int64_t aEvents) {
    CrashRecord record = Record("/p", aReplica);
    record.mEvents = aEvents;
    return record;
  }

  /// Guards against a hold of a text that proceeds from crash to crash.
  void LaterEventClears() {
    const RequestDigest request = DigestFor("/p");
    mTable.AddCrash(RecordAt("r1", 2));
    mTable.AddCrash(Record("/q", "r1"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mTable.ClearBefore(request, 2));
    mTable.AddCrash(RecordAt("r2", 2));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mTable.ClearBefore(request, 3));
    mTable.AddCrash(RecordAt("r3", 3));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTable.Crashes(request));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTable.Crashes(DigestFor("/q")));
    // Without a later event, the third crash is the last one.
    mTable.AddCrash(RecordAt("r4", 3));
    mTable.ClearBefore(request, 3);
    mTable.AddCrash(RecordAt("r5", 3));
    CPPUNIT_ASSERT(mTable.Held(request));
  }

  void ProgressDoesNotClearAnOperatorsHold() {
    for (const char* replica : {"r1", "r2", "r3"}) {
      mTable.AddCrash(RecordAt(replica, CrashRecord::kAllEvents));
    }
    mTable.ClearBefore(DigestFor("/p"), 1000);
    CPPUNIT_ASSERT(mTable.Held(DigestFor("/p")));
    mTable.Clear(DigestFor("/p"));
    CPPUNIT_ASSERT(!mTable.Held(DigestFor("/p")));
  }

  /// Guards against the hold of a harmless request when many replicas are ended
  /// from outside, again and again.
  void ReplicasThatEndTogetherHoldNothing() {
    const RequestDigest request = DigestFor("/p");
    for (int round = 0; round < 3; ++round) {
      const std::string number = std::to_string(round);
      const int64_t at = 10000 + 5000 * round;
      mTable.AddCrash(Record("/p", "a" + number, at));
      mTable.AddCrash(Record("/q" + number, "b" + number, at + 40));
    }
    CPPUNIT_ASSERT(mTable.Held(request));
    mTable.Clear(DigestFor("/q0"));
    CPPUNIT_ASSERT(!mTable.Held(request));
    CPPUNIT_ASSERT(mTable.HeldFor(request, 20000) == Millis(0));
    mTable.Clear(DigestFor("/q1"));
    mTable.Clear(DigestFor("/q2"));
    // Crashes under the request alone count.
    for (const char* replica : {"c0", "c1", "c2"}) {
      CPPUNIT_ASSERT(!mTable.Held(request));
      mTable.AddCrash(Record("/p", replica, 60000));
    }
    CPPUNIT_ASSERT(mTable.Held(request));
  }

  void SeveralBadRequestsStayHeld() {
    for (const char* replica : {"r1", "r2", "r3", "r4", "r5", "r6"}) {
      const bool first = *(replica + 1) < '4';
      mTable.AddCrash(Record(first ? "/p" : "/q", replica));
      mTable.AddCrash(Record(std::string("/harmless-") + replica, replica));
      mTable.Clear(DigestFor(std::string("/harmless-") + replica));
    }
    CPPUNIT_ASSERT(mTable.Held(DigestFor("/p")));
    CPPUNIT_ASSERT(mTable.Held(DigestFor("/q")));
  }

  void CrashesAtOtherTimesExcuseNothing() {
    Hold("/p", 10000);
    mTable.AddCrash(Record("/q", "r4", 12000));
    mTable.Clear(DigestFor("/q"));
    CPPUNIT_ASSERT(mTable.Held(DigestFor("/p")));
    // The evidence is gone when its records have expired.
    mTable.AddCrash(Record("/q", "r5", 10500));
    mTable.Clear(DigestFor("/q"));
    CPPUNIT_ASSERT(!mTable.Held(DigestFor("/p")));
  }

  void HeldUntilRecordsExpire() {
    const int64_t span = CrashTable::kRecordLifetime.Count();
    CPPUNIT_ASSERT(mTable.HeldFor(DigestFor("/p"), 0) == Millis(0));
    mTable.AddCrash(Record("/p", "r1", 1000));
    mTable.AddCrash(Record("/p", "r2", 3000));
    CPPUNIT_ASSERT(mTable.HeldFor(DigestFor("/p"), 3000) == Millis(0));
    mTable.AddCrash(Record("/p", "r3", 4000));
    CPPUNIT_ASSERT(mTable.HeldFor(DigestFor("/p"), 4000) ==
                   Millis(span - 3000));
    mTable.AddCrash(Record("/p", "r4", 9000));
    CPPUNIT_ASSERT(mTable.HeldFor(DigestFor("/p"), 9000) ==
                   Millis(span - 6000));
  }

  void OldRecordsAreForgotten() {
    const int64_t span = CrashTable::kRecordLifetime.Count();
    Hold("/p", 1000);
    mTable.AddCrash(Record("/q", "r1", 5000));
    mTable.Forget(1000 + span);
    CPPUNIT_ASSERT(mTable.Held(DigestFor("/p")));
    mTable.Forget(1001 + span);
    CPPUNIT_ASSERT(!mTable.Held(DigestFor("/p")));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTable.Size());
    CPPUNIT_ASSERT(mTable.HasSuspects());
  }

  void ManyRecordsDoNotEvictHeldRequests() {
    Hold("/p");
    const int many = 10000;
    for (int i = 0; i < many; ++i) {
      mTable.Merge({Record("/x" + std::to_string(i), "r", 2000 + i)});
    }
    CPPUNIT_ASSERT_EQUAL(CrashTable::kMaxRecords, mTable.Size());
    CPPUNIT_ASSERT(mTable.Held(DigestFor("/p")));
    // The oldest records of single crashes were evicted.
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mTable.Crashes(DigestFor("/x0")));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTable.Crashes(DigestFor("/x9999")));
  }

  void OnlyLocalChangesAreUnsaved() {
    int notified = 0;
    mTable.mOnLocalChange = [&] { ++notified; };
    mTable.Merge({Record("/p", "r1")});
    CPPUNIT_ASSERT(mTable.Unsaved(9).empty());
    mTable.AddCrash(Record("/p", "r2"));
    mTable.AddCrash(Record("/p", "r3"));
    CPPUNIT_ASSERT_EQUAL(2, notified);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTable.Unsaved(1).size());
    CPPUNIT_ASSERT(mTable.UnsavedIsUrgent());
    mTable.MarkSaved(mTable.Unsaved(9));
    CPPUNIT_ASSERT(mTable.Unsaved(9).empty());
    mTable.Clear(DigestFor("/p"));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, mTable.Unsaved(9).size());
    CPPUNIT_ASSERT(!mTable.UnsavedIsUrgent());
  }

  void RecordChangedDuringAWriteStaysUnsaved() {
    mTable.AddCrash(Record("/p", "r1"));
    const std::vector<CrashRecord> written = mTable.Unsaved(9);
    mTable.Clear(DigestFor("/p"));
    mTable.MarkSaved(written);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTable.Unsaved(9).size());
    CPPUNIT_ASSERT(mTable.Unsaved(9).front().mCleared);
  }

  void SinceReturnsLaterChanges() {
    mTable.AddCrash(Record("/p", "r1"));
    const int64_t number = mTable.Number();
    CPPUNIT_ASSERT(mTable.Since(number).empty());
    mTable.AddCrash(Record("/p", "r2"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTable.Since(number).size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mTable.Since(0).size());
    // Cleared marks are changes too.
    const int64_t later = mTable.Number();
    mTable.Clear(DigestFor("/p"));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mTable.Since(later).size());
  }

  // Hosts that received the same records have the same state, regardless of
  // order and repetition.
  void MergeOrderDoesNotMatter() {
    std::mt19937 random(7);
    for (int round = 0; round < 200; ++round) {
      std::vector<CrashRecord> records;
      for (int i = 0; i < 12; ++i) {
        CrashRecord record = Record("/" + std::to_string(random() % 3),
                                    "r" + std::to_string(random() % 4));
        record.mCleared = random() % 4 == 0;
        records.push_back(record);
      }
      CrashTable one;
      one.Merge(records);
      std::shuffle(records.begin(), records.end(), random);
      CrashTable other;
      other.Merge({records.begin(), records.begin() + 6});
      other.Merge(records);
      CPPUNIT_ASSERT(one.Since(0) == other.Since(0));
      for (const char* request : {"/0", "/1", "/2"}) {
        CPPUNIT_ASSERT_EQUAL(one.Held(DigestFor(request)),
                             other.Held(DigestFor(request)));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTableTest);

}  // namespace rillwall
