#include "rillwall/crash_sync.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <set>

#include "crash_guard.h"
#include "rillwall/crash_record.h"
#include "rillwall/event_log.h"

namespace rillwall {

namespace {

using asio::experimental::awaitable_operators::operator||;

/// Records of one replica's end come within some ms and go in one change.
constexpr Millis kGather{5};
/// Cleared ones harm nobody while they are not held, and come one by one as the
/// texts end that ran at a replica: a call for each would be paid for.
constexpr Millis kGatherCleared{1000};
/// As many keys as one change of the store takes.
constexpr size_t kRecordsAtOnce = 32;
/// Before records that the store did not take are sent again.
constexpr Millis kFirstPause{100};
constexpr Millis kLongestPause{500};
/// A watch that hangs on a connection that has gone silent is noticed after
/// this and the margin: half of the time that news may take.
constexpr Millis kWatchWait{1500};
constexpr Millis kWatchMargin{300};
/// Until somebody may ask this host.
constexpr Millis kIdle{1000};
/// After a list or a watch that failed. Calls to a store that is away are paid
/// for; the first pause is short, as a watch may be cut alone.
constexpr Millis kFirstReadPause{200};
constexpr Millis kLongestReadPause{1000};

/// Adds what a key holds. One that can't be read is left out, and logged.
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

CrashSync::CrashSync(NodeContext& aNode, std::function<bool()> aTellsOthers)
    : mNode(aNode),
      mTellsOthers(std::move(aTellsOthers)),
      mSaveWake(aNode.mIo),
      mFollowWake(aNode.mIo) {
  mNode.mCrashes.mOnLocalChange = [this] { mSaveWake.cancel(); };
}

asio::awaitable<void> CrashSync::Save() {
  mJitter = Jitter(std::hash<std::string>()(mNode.mIdentity.mRun));
  int failures = 0;
  while (true) {
    const std::vector<CrashRecord> records =
        mNode.mCrashes.Unsaved(kRecordsAtOnce);
    const bool urgent = mNode.mCrashes.UnsavedIsUrgent();
    if (records.empty() || !(urgent || mGathered)) {
      mGathered = !records.empty();
      co_await WaitOnTimer(mSaveWake, kGatherCleared);
      co_await Sleep(mNode.mIo, kGather);
      continue;
    }
    mGathered = false;
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
    // A change that may have been made is the same when it is made again.
    ++failures;
    Event("crash-unsaved")
        .Number("records", static_cast<int64_t>(records.size()))
        .Text("why", done ? "not applied" : done.error().Detail())
        .Write();
    const Millis pause = BackoffDelay(failures, kFirstPause, kLongestPause);
    co_await Sleep(mNode.mIo, mJitter.EqualJitter(pause));
  }
}

asio::awaitable<Result<int64_t>> CrashSync::Read() {
  const Result<StoreList> list = co_await ListAll(mNode.mStore, CrashPrefix());
  if (!list) {
    co_return list.error();
  }
  TakeCrashNews(mNode, RecordsOf(*list), "store");
  co_return list->mRevision;
}

asio::awaitable<bool> CrashSync::FollowOnce() {
  const Result<int64_t> read = co_await Read();
  if (!read) {
    co_return false;
  }
  int64_t revision = *read;
  while (mTellsOthers()) {
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
    TakeCrashNews(mNode, records, "store");
    revision = std::max(revision, (*events)->mRevision);
  }
  co_return true;
}

asio::awaitable<void> CrashSync::Follow() {
  int failures = 0;
  while (true) {
    if (!mTellsOthers()) {
      co_await WaitOnTimer(mFollowWake, kIdle);
      continue;
    }
    const bool read = co_await FollowOnce();
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
  // What a table would keep is kept: the young ones, within its bound.
  CrashTable table;
  table.Merge(RecordsOf(*list));
  table.Forget(mNode.mTimeOfDay());
  std::set<std::string> kept;
  for (const CrashRecord& record : table.Since(0)) {
    kept.insert(CrashKey(record));
  }
  StoreChange change;
  for (const StoreItem& item : list->mItems) {
    if (!kept.contains(item.mKey) && change.mRemoves.size() < kRecordsAtOnce) {
      change.mRemoves.push_back(item.mKey);
    }
  }
  if (!change.mRemoves.empty()) {
    // The rest goes with the next sweep.
    co_await mNode.mStore.Commit(std::move(change));
  }
}

}  // namespace rillwall
