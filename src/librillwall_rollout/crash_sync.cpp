#include "rillwall/crash_sync.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <set>

#include "crash_guard.h"
#include "rillwall/crash_record.h"
#include "rillwall/event_log.h"

namespace rillwall {

namespace {

using asio::experimental::awaitable_operators::operator||;

/// The records of one replica's end arrive within a few ms and are written as
/// one change.
constexpr Millis kBatchDelay{5};
/// Records of cleared requests are not urgent while the requests are not held.
/// They arrive one by one as the texts that ran at a replica end, and a store
/// call for each would be paid for.
constexpr Millis kClearedBatchDelay{1000};
/// The store takes this many keys in one change.
constexpr size_t kMaxRecordsPerChange = 32;
/// Pauses before records are written again after a failure.
constexpr Millis kFirstWritePause{100};
constexpr Millis kLongestWritePause{500};
/// A watch that hangs on a silent connection is ended after this time and the
/// margin, which is half of the time that a record may take to spread.
constexpr Millis kWatchWait{1500};
constexpr Millis kWatchMargin{300};
/// How often to check whether other hosts ask this host.
constexpr Millis kIdlePoll{1000};
/// Pauses after a failed list or watch. Calls to a store that does not answer
/// are paid for; the first pause is short, as only the watch may have been cut.
constexpr Millis kFirstReadPause{200};
constexpr Millis kLongestReadPause{1000};

/// Adds the record that a key holds. A record that cannot be decoded is skipped
/// and logged.
void AddDecoded(const StoreItem& aItem, std::vector<CrashRecord>& aRecords) {
  const Result<CrashRecord> record = DecodeCrash(aItem.mValue);
  if (record) {
    aRecords.push_back(*record);
  } else {
    Event("crash-unread")
        .Text("key", aItem.mKey)
        .Text("why", record.error().Detail())
        .Write();
  }
}

std::vector<CrashRecord> RecordsOf(const StoreList& aList) {
  std::vector<CrashRecord> records;
  for (const StoreItem& item : aList.mItems) {
    AddDecoded(item, records);
  }
  return records;
}

}  // namespace

CrashSync::CrashSync(NodeContext& aNode, std::function<bool()> aServesOthers)
    : mNode(aNode),
      mServesOthers(std::move(aServesOthers)),
      mSaveWake(aNode.mIo),
      mFollowWake(aNode.mIo) {
  mNode.mCrashes.mOnLocalChange = [this] { mSaveWake.cancel(); };
}

asio::awaitable<void> CrashSync::Save() {
  mJitter = Jitter(std::hash<std::string>()(mNode.mIdentity.mRun));
  int failures = 0;
  while (true) {
    const std::vector<CrashRecord> records =
        mNode.mCrashes.Unsaved(kMaxRecordsPerChange);
    const bool urgent = mNode.mCrashes.UnsavedIsUrgent();
    if (records.empty() || !(urgent || mClearedDelayed)) {
      mClearedDelayed = !records.empty();
      co_await WaitOnTimer(mSaveWake, kClearedBatchDelay);
      co_await Sleep(mNode.mIo, kBatchDelay);
      continue;
    }
    mClearedDelayed = false;
    StoreChange change;
    for (const CrashRecord& record : records) {
      change.mPuts.push_back({CrashKey(record), EncodeCrash(record), 0});
    }
    const Result<StoreCommit> done =
        co_await mNode.mStore.Commit(std::move(change));
    if (done && done->mApplied) {
      failures = 0;
      mNode.mCrashes.MarkSaved(records);
      continue;
    }
    // The change may have been applied; applying it again has no further
    // effect.
    ++failures;
    Event("crash-unsaved")
        .Number("records", static_cast<int64_t>(records.size()))
        .Text("why", done ? "the store did not apply the change"
                          : done.error().Detail())
        .Write();
    const Millis pause =
        BackoffDelay(failures, kFirstWritePause, kLongestWritePause);
    co_await Sleep(mNode.mIo, mJitter.EqualJitter(pause));
  }
}

asio::awaitable<Result<int64_t>> CrashSync::Read() {
  const Result<StoreList> list = co_await ListAll(mNode.mStore, CrashPrefix());
  if (!list) {
    co_return list.error();
  }
  MergeCrashRecords(mNode, RecordsOf(*list), "store");
  co_return list->mRevision;
}

asio::awaitable<bool> CrashSync::WatchFromNewRead() {
  const Result<int64_t> read = co_await Read();
  if (!read) {
    co_return false;
  }
  int64_t revision = *read;
  while (mServesOthers()) {
    const auto seen =
        co_await (mNode.mStore.Watch(CrashPrefix(), revision, kWatchWait) ||
                  WaitOnTimer(mFollowWake, kWatchWait + kWatchMargin));
    const Result<StoreEvents>* events = std::get_if<0>(&seen);
    if (events == nullptr || !*events || (*events)->mCompacted) {
      co_return events == nullptr;
    }
    std::vector<CrashRecord> records;
    for (const StoreEvent& event : (*events)->mEvents) {
      if (!event.mDeleted) {
        AddDecoded(event.mItem, records);
      }
    }
    MergeCrashRecords(mNode, records, "store");
    revision = std::max(revision, (*events)->mRevision);
  }
  co_return true;
}

asio::awaitable<void> CrashSync::Follow() {
  int failures = 0;
  while (true) {
    if (!mServesOthers()) {
      co_await WaitOnTimer(mFollowWake, kIdlePoll);
      continue;
    }
    const bool read = co_await WatchFromNewRead();
    failures = read ? 0 : failures + 1;
    if (!read) {
      const Millis pause =
          BackoffDelay(failures, kFirstReadPause, kLongestReadPause);
      co_await WaitOnTimer(mFollowWake, mJitter.EqualJitter(pause));
    }
  }
}

asio::awaitable<void> CrashSync::Sweep() {
  const Result<StoreList> list = co_await ListAll(mNode.mStore, CrashPrefix());
  if (!list) {
    co_return;
  }
  // Keeps the records that a crash table would keep: young ones, up to its
  // limit.
  CrashTable table;
  table.Merge(RecordsOf(*list));
  table.Forget(mNode.mTimeOfDay());
  std::set<std::string> kept;
  for (const CrashRecord& record : table.Since(0)) {
    kept.insert(CrashKey(record));
  }
  StoreChange change;
  for (const StoreItem& item : list->mItems) {
    if (!kept.contains(item.mKey) &&
        change.mRemoves.size() < kMaxRecordsPerChange) {
      change.mRemoves.push_back(item.mKey);
    }
  }
  if (!change.mRemoves.empty()) {
    // The remaining keys are removed by later sweeps.
    co_await mNode.mStore.Commit(std::move(change));
  }
}

}  // namespace rillwall
