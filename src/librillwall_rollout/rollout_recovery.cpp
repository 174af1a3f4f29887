/// \file
/// Takes over steps whose owner is gone, loads ended steps, and removes old
/// ones from the store.

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "rillwall/event_log.h"
#include "rillwall/numbers.h"
#include "rillwall/rollout_service.h"
#include "rillwall/utf8.h"
#include "rollout_step.h"

namespace rillwall {

namespace {

constexpr char kStepPrefix[] = "rillwall/step/";
/// A live owner on a quarter of a core answers well within this time. All steps
/// of a lost owner wait for it.
constexpr Millis kProbeTimeout{250};
constexpr Millis kRoutesPoll{20};
constexpr int kOk = 200;

/// Results must stay readable for a while after they were requested, so ended
/// steps are kept this many times ServingBounds::mStatus.
constexpr int64_t kRetentionFactor = 5;
constexpr Millis kPartPoll{5};
/// Largest submission that can be decoded.
constexpr size_t kMaxSubmission = 64 * 1024 * 1024;
/// Parts of a large submission that a step keeps after reading them.
constexpr size_t kMaxCachedParts = 32;
/// Keys of one change of the store; the platform takes 32 entries.
constexpr size_t kMaxRemovesPerChange = 30;

/// \return the number at the end of a key; nothing if the rest is not the
/// prefix
std::optional<int64_t> NumberOfKey(std::string_view aKey,
                                   std::string_view aPrefix) {
  return aKey.starts_with(aPrefix) ? ParseNumber(aKey.substr(aPrefix.size()))
                                   : std::nullopt;
}

void LogUnread(const StoreItem& aItem, const Error& aError, bool aRepaired) {
  Event("record-unread")
      .Text("key", aItem.mKey)
      .Number("revision", aItem.mRevision)
      .Number("bytes", static_cast<int64_t>(aItem.mValue.size()))
      .Flag("repaired", aRepaired)
      .Text("why", aError.Detail())
      .Write();
}

/// Decodes a page of results. Earlier releases wrote texts that are not UTF-8;
/// the results of such a page are readable once the wrong bytes are replaced.
/// \param aFirst position of its first result, by its key
/// \return nothing if it can't be read
std::optional<ResultPage> DecodeStoredPage(const StoreItem& aItem,
                                           int64_t aFirst) {
  Result<ResultPage> page = DecodeResultPage(aItem.mValue);
  if (!page) {
    const Error failed = page.error();
    page = DecodeResultPage(ReplaceInvalidUtf8(aItem.mValue));
    LogUnread(aItem, failed, page.has_value());
  } else if (page->mFirst != aFirst) {
    page = Error(ErrorKind::BadRequest,
                 "The page names another position than its key.");
    LogUnread(aItem, page.error(), false);
  }
  return page ? std::optional(std::move(*page)) : std::nullopt;
}

}  // namespace

asio::awaitable<void> RolloutService::Sweep() {
  const Result<StoreList> all = co_await ListAll(mNode.mStore, kStepPrefix);
  if (!all) {
    Event("sweep-failed").Text("why", all.error().Detail()).Write();
    co_return;
  }
  const int64_t oldest =
      WallClockMs() - mNode.mBounds.mStatus.Count() * kRetentionFactor;
  for (const StoreItem& item : all->mItems) {
    const Result<StepRecord> record = DecodeStepRecord(item.mValue);
    if (!record || !record->mEnded || record->mAcceptedMs > oldest) {
      continue;
    }
    const std::string id = item.mKey.substr(sizeof(kStepPrefix) - 1);
    const std::optional<Error> failed = co_await Remove(id, item.mRevision);
    Event("step-removed")
        .Id(id)
        .Number("accepted_ms", record->mAcceptedMs)
        .Text("why", failed ? failed->Detail() : "")
        .Write();
  }
  co_await SweepTakeoverMarks(oldest);
}

asio::awaitable<void> RolloutService::SweepTakeoverMarks(int64_t aOldestMs) {
  const Result<StoreList> all = co_await ListAll(mNode.mStore, TakeoverKey(""));
  if (!all) {
    Event("sweep-failed").Text("why", all.error().Detail()).Write();
    co_return;
  }
  StoreChange change;
  for (const StoreItem& item : all->mItems) {
    const bool old = ParseNumber(item.mValue).value_or(0) < aOldestMs;
    if (old && change.mRemoves.size() < kMaxRemovesPerChange) {
      change.mRemoves.push_back(item.mKey);
    }
  }
  if (change.mRemoves.empty()) {
    co_return;
  }
  const Result<StoreCommit> done =
      co_await mNode.mStore.Commit(std::move(change));
  if (!done) {
    // The next sweep tries again.
    Event("sweep-failed").Text("why", done.error().Detail()).Write();
  }
}

asio::awaitable<std::optional<Error>> RolloutService::Remove(
    std::string aId, int64_t aRevision) {
  std::vector<std::string> keys;
  for (const std::string& prefix :
       {PagePrefix(aId), BodyPrefix(aId), PartPrefix(aId)}) {
    const Result<StoreList> list = co_await ListAll(mNode.mStore, prefix);
    if (!list) {
      co_return list.error();
    }
    for (const StoreItem& item : list->mItems) {
      keys.push_back(item.mKey);
    }
  }
  // The record is removed last, so that an interrupted sweep is repeated.
  keys.push_back(StepKey(aId));
  for (size_t at = 0; at < keys.size(); at += kMaxRemovesPerChange) {
    const size_t end = std::min(keys.size(), at + kMaxRemovesPerChange);
    StoreChange change;
    change.mGuards.push_back({StepKey(aId), aRevision});
    change.mRemoves.assign(keys.begin() + static_cast<std::ptrdiff_t>(at),
                           keys.begin() + static_cast<std::ptrdiff_t>(end));
    const Result<StoreCommit> done =
        co_await mNode.mStore.Commit(std::move(change));
    if (!done) {
      co_return done.error();
    }
  }
  co_return std::nullopt;
}

asio::awaitable<bool> RolloutService::IsHealthy(std::string aAddress) {
  const std::optional<int> status =
      co_await AskHealth(mNode, std::move(aAddress), kProbeTimeout);
  co_return status == kOk;
}

asio::awaitable<Result<ResultList>> RolloutService::LoadPages(std::string aId,
                                                              int64_t aTotal) {
  const std::string prefix = PagePrefix(aId);
  const Result<StoreList> pages = co_await ListAll(mNode.mStore, prefix);
  if (!pages) {
    co_return pages.error();
  }
  ResultList listed(aTotal);
  for (const StoreItem& item : pages->mItems) {
    const std::optional<int64_t> first = NumberOfKey(item.mKey, prefix);
    if (!first) {
      LogUnread(item,
                Error(ErrorKind::BadRequest, "The key names no position."),
                false);
      continue;
    }
    const std::optional<ResultPage> page = DecodeStoredPage(item, *first);
    if (!page || !listed.Add(*page)) {
      listed.AddUnread(*first, item.mRevision);
    }
  }
  co_return listed;
}

asio::awaitable<Result<RolloutService::StoredTexts>> RolloutService::LoadParts(
    std::string aId) {
  const Result<StoreList> items =
      co_await ListAll(mNode.mStore, PartPrefix(aId));
  if (!items) {
    // The numbers of the existing parts must be known before another one is
    // written.
    co_return items.error();
  }
  StoredTexts stored;
  for (const StoreItem& item : items->mItems) {
    stored.mNext =
        NumberOfKey(item.mKey, PartPrefix(aId)).value_or(stored.mNext) + 1;
    const Result<std::vector<RolloutPart>> parts = DecodeParts(item.mValue);
    if (!parts) {
      LogUnread(item, parts.error(), false);
      continue;
    }
    stored.mParts.insert(stored.mParts.end(), parts->begin(), parts->end());
  }
  co_return stored;
}

asio::awaitable<Result<RolloutService::StoredSubmission>>
RolloutService::LoadSubmission(std::string aId, MemoryCharge& aCharge) {
  StoredSubmission stored;
  std::string& body = stored.mText;
  std::string after;
  bool more = true;
  while (more) {
    const Result<StoreList> page =
        co_await mNode.mStore.List(BodyPrefix(aId), after);
    if (!page) {
      co_return page.error();
    }
    for (const StoreItem& item : page->mItems) {
      const size_t size = body.size() + item.mValue.size();
      stored.mPartBytes = std::max(stored.mPartBytes, item.mValue.size());
      if (size > kMaxKeptSubmission) {
        // A text that grows is copied. Only the bytes in use take memory.
        body.reserve(kMaxSubmission);
      }
      if (size > kMaxKeptSubmission && !aCharge.TryGrow(size)) {
        co_return Error(ErrorKind::Unavailable,
                        "This host has no memory for the step's submission "
                        "now; ask again.",
                        RunState::NotRun);
      }
      body += item.mValue;
    }
    more = page->mMore && !page->mItems.empty();
    after = more ? page->mItems.back().mKey : std::string();
  }
  co_return stored;
}

asio::awaitable<Result<SharedText>> RolloutService::ReadSubmissionPart(
    StepPtr aStep, size_t aPart) {
  while (aStep->mReadingPart) {
    co_await Sleep(mNode.mIo, kPartPoll);
  }
  std::map<size_t, SharedText>& parts = aStep->mSubmissionParts;
  const auto found = parts.find(aPart);
  if (found != parts.end()) {
    co_return found->second;
  }
  aStep->mReadingPart = true;
  const std::string key = BodyKey(aStep->Id(), aPart);
  // Parts never change, so that an old value is as good, once it is there.
  Result<std::optional<StoreItem>> item = co_await mNode.mStore.GetStale(key);
  if (item && !*item) {
    item = co_await mNode.mStore.Get(key);
  }
  aStep->mReadingPart = false;
  if (!item) {
    co_return item.error();
  }
  if (!*item) {
    co_return Error(ErrorKind::NotFound,
                    "The store has no part " + std::to_string(aPart) +
                        " of the submission of step " + aStep->Id() + ".");
  }
  while (parts.size() >= kMaxCachedParts) {
    parts.erase(parts.begin());
  }
  co_return parts.emplace(aPart, SharedText(std::move((*item)->mValue)))
      .first->second;
}

asio::awaitable<Result<std::string>> RolloutService::ReadSubmission(
    StepPtr aStep, ItemPlace aPlace) {
  if (!aStep->mSubmission.empty()) {
    co_return aStep->mSubmission.Text().substr(aPlace.mAt, aPlace.mSize);
  }
  const size_t size = aStep->mPartBytes;
  std::string text;
  for (size_t at = aPlace.mAt; text.size() < aPlace.mSize;
       at = aPlace.mAt + text.size()) {
    const Result<SharedText> part =
        co_await ReadSubmissionPart(aStep, at / size);
    if (!part) {
      co_return part.error();
    }
    if (part->size() <= at % size) {
      co_return Error(ErrorKind::NotFound,
                      "The store's submission of step " + aStep->Id() +
                          " is shorter than the one that was accepted.");
    }
    text += part->Text().substr(at % size, aPlace.mSize - text.size());
  }
  co_return text;
}

asio::awaitable<Result<RolloutService::ItemBodies>> RolloutService::LoadBodies(
    StepPtr aStep, size_t aItem) {
  const RolloutItem& item = aStep->mTracker.Item(aItem);
  if (!item.mPlace) {
    co_return ItemBodies{item.mBody,
                         item.mScorer ? item.mScorer->mBody : std::string()};
  }
  const Result<std::string> text = co_await ReadSubmission(aStep, *item.mPlace);
  if (!text) {
    co_return text.error();
  }
  Result<RolloutItem> whole = mItemDecoder(*text);
  if (!whole) {
    co_return whole.error();
  }
  if (whole->mId != item.mId) {
    co_return Error(ErrorKind::NotFound,
                    "The store holds another submission than the one that was "
                    "accepted as step " +
                        aStep->Id() + ".");
  }
  co_return ItemBodies{
      std::move(whole->mBody),
      whole->mScorer ? std::move(whole->mScorer->mBody) : std::string()};
}

struct RolloutService::ArchiveLoad {
  explicit ArchiveLoad(asio::io_context& aIo) : mDone(aIo) {
    mDone.expires_at(asio::steady_timer::time_point::max());
  }
  bool mEnded = false;
  std::optional<Error> mFailure;
  asio::steady_timer mDone;  ///< cancelled when the load ends
};

asio::awaitable<std::optional<Error>> RolloutService::LoadArchive(
    std::string aId) {
  if (mArchives.Knows(aId)) {
    co_return std::nullopt;
  }
  const auto found = mArchiveLoads.find(aId);
  if (found != mArchiveLoads.end()) {
    const std::shared_ptr<ArchiveLoad> load = found->second;
    while (!load->mEnded) {
      co_await load->mDone.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return load->mFailure;
  }
  const auto load = std::make_shared<ArchiveLoad>(mNode.mIo);
  mArchiveLoads[aId] = load;
  load->mFailure = co_await ReadArchive(aId);
  load->mEnded = true;
  mArchiveLoads.erase(aId);
  load->mDone.cancel();
  co_return load->mFailure;
}

asio::awaitable<std::optional<Error>> RolloutService::ReadArchive(
    std::string aId) {
  const Result<std::optional<StoreItem>> item =
      co_await mNode.mStore.Get(StepKey(aId));
  if (!item) {
    co_return item.error();
  }
  if (!*item) {
    co_return Error(ErrorKind::NotFound, "There is no step " + aId + ".");
  }
  const Result<StepRecord> record = DecodeStepRecord((*item)->mValue);
  if (!record) {
    co_return record.error();
  }
  if (!record->mEnded) {
    co_return Error(ErrorKind::Unavailable,
                    "The step is still open at another node.");
  }
  const Result<ResultList> listed = co_await LoadPages(aId, record->mTotal);
  if (!listed) {
    co_return listed.error();
  }
  AddArchive(aId, record->mTotal, *listed);
  Event("archive-loaded")
      .Id(aId)
      .Number("revision", (*item)->mRevision)
      .Write();
  co_return std::nullopt;
}

void RolloutService::AddArchive(const std::string& aId, int64_t aTotal,
                                const ResultList& aListed) {
  mUnreadResults.erase(aId);
  if (aListed.Whole()) {
    mArchives.Add(aId, 0, aTotal, aListed.All());
    return;
  }
  std::set<int64_t> unread;
  mArchives.Add(aId, 0, aTotal, {});
  for (int64_t at = 0; at < aTotal; ++at) {
    if (aListed.Has(at)) {
      mArchives.Add(aId, at, aTotal, {aListed.All()[static_cast<size_t>(at)]});
    } else if (aListed.Unread(at)) {
      unread.insert(at);
    }
  }
  mUnreadResults[aId] = std::move(unread);
}

Result<RolloutRead> RolloutService::ReadArchived(const std::string& aId,
                                                 int64_t aAfter) {
  const auto unread = mUnreadResults.find(aId);
  if (unread != mUnreadResults.end() && unread->second.contains(aAfter)) {
    return Error(ErrorKind::Unavailable,
                 "Result " + std::to_string(aAfter) + " of step " + aId +
                     " is in a record of the store that can't be read; see "
                     "record-unread in the log, and read on behind it.");
  }
  return ReadFrom(mArchives.From(aId, aAfter), aAfter, mArchives.Total(aId),
                  aAfter);
}

asio::awaitable<Result<RolloutService::StepPtr>> RolloutService::TakeOver(
    std::string aId, StepRecord aRecord, int64_t aRevision) {
  const auto routes = mNode.mRoutes.Read();
  if (routes->Version() == 0) {
    co_return Error(ErrorKind::Unavailable,
                    "This node has not received a configuration yet.");
  }
  // A configuration may have removed the route since the step was accepted. The
  // step is taken over all the same: its results stay readable, and it can be
  // ended. Only its items wait.
  const Route* route = FindRolloutRoute(*routes, aRecord);
  const NodeIdentity& self = mNode.mIdentity;
  const std::string before = aRecord.mOwner;
  const std::string formerAddress = aRecord.mAddress;
  const std::string takenFrom = aRecord.mRun;
  const bool handsOver = HandsOverSteps(*routes, route);
  const int64_t takenRevision = mTakenRevision;
  const Millis asked = mNode.Now();
  aRecord.mOwner = self.mName;
  aRecord.mAddress = self.mAddress;
  aRecord.mRun = self.mRun;
  StoreChange change;
  change.mGuards.push_back({StepKey(aId), aRevision});
  change.mPuts.push_back({StepKey(aId), EncodeStepRecord(aRecord), 0});
  // Tells the previous owner, if it still runs, that it has lost a step.
  change.mPuts.push_back(
      {TakeoverKey(takenFrom), std::to_string(WallClockMs()), 0});
  const Result<StoreCommit> done =
      co_await mNode.mStore.Commit(std::move(change));
  if (!done) {
    co_return done.error();
  }
  if (!done->mApplied) {
    co_return Error(ErrorKind::Unavailable,
                    "Another node has just taken the step over.");
  }
  // From here on no previous owner can append.
  std::vector<RolloutPart> handedOver;
  if (handsOver && formerAddress != self.mAddress) {
    HandoverRequest request{aId, takenFrom, done->mRevision, self.mAddress};
    handedOver = co_await FetchTexts(mNode, formerAddress, std::move(request));
  }
  MemoryCharge bodyCharge(mNode.mMemory, MemoryUse::Small);
  Result<StoredSubmission> submission =
      co_await LoadSubmission(aId, bodyCharge);
  if (!submission) {
    co_return submission.error();
  }
  Result<ResultList> listed = co_await LoadPages(aId, aRecord.mTotal);
  if (!listed) {
    co_return listed.error();
  }
  const Result<StoredTexts> stored = co_await LoadParts(aId);
  if (!stored) {
    co_return stored.error();
  }
  const std::vector<RolloutPart> spooled = co_await mSpool.Load(aId);
  MemoryCharge charge(mNode.mMemory, MemoryUse::Small);
  Result<RolloutSpec> spec = mDecoder(aId, aRecord, submission->mText, charge);
  if (!spec) {
    co_return spec.error();
  }
  const StepPtr step = MakeStep(std::move(*spec), route, aRecord,
                                done->mRevision, std::move(charge));
  step->mPartBytes = submission->mPartBytes;
  // An assignment would keep the text's memory.
  std::string().swap(submission->mText);
  bodyCharge.Shrink(0);
  step->mTracker.Restore(listed->All());
  step->mListed = std::move(*listed);
  step->mNextPart = stored->mNext;
  const int64_t restoredEvents = step->mTracker.RestoreTexts(stored->mParts);
  const int64_t restoredFromDisk = step->mTracker.RestoreTexts(spooled);
  const int64_t restoredFromOwner = step->mTracker.RestoreTexts(
      UsableParts(step->mTracker, std::move(handedOver)), false);
  Event("step-taken-over")
      .Id(aId)
      .Text("from", before)
      .Number("revision", done->mRevision)
      .Number("listed", step->mListed.Size())
      .Flag("listed_whole", step->mListed.Whole())
      .Number("total", static_cast<int64_t>(step->mTracker.Total()))
      .Number("restored_events", restoredEvents)
      .Number("with_disk", restoredFromDisk)
      .Number("with_owner", restoredFromOwner)
      .Flag("has_route", step->HasRoute())
      .Write();
  mNode.mMetrics.Count("steps_taken_over_total");
  if (handsOver) {
    // The hand-over lengthens the time since the record was written, in which a
    // further owner may have taken the step.
    step->mVerifiedAt = asked;
    if (mTakenRevision != takenRevision) {
      const std::optional<Error> lost = co_await VerifyRecord(step);
      if (lost) {
        co_return *lost;
      }
    }
  }
  StartReadyItems();
  co_return step;
}

asio::awaitable<Result<RolloutService::StepPtr>> RolloutService::TakeOverOnce(
    std::string aId, StepRecord aRecord, int64_t aRevision) {
  const auto found = mSteps.find(aId);
  if (found != mSteps.end()) {
    co_return found->second;
  }
  const TakeoverGuard guard(mTakeovers, aId);
  if (!guard.Acquired() || mAcceptances.contains(aId)) {
    co_return Error(ErrorKind::Unavailable,
                    "The step is being accepted or taken over.");
  }
  co_return co_await TakeOver(aId, std::move(aRecord), aRevision);
}

asio::awaitable<void> RolloutService::AdoptOrphans(std::string aGone) {
  RecordUnsettled();
  while (mNode.mRoutes.Read()->Version() == 0 && !mNode.mStopping) {
    // A process that has just started learns the routes within a few ms.
    co_await Sleep(mNode.mIo, kRoutesPoll);
  }
  const Result<StoreList> all = co_await ListAll(mNode.mStore, kStepPrefix);
  if (!all) {
    Event("orphans-unread").Text("why", all.error().Detail()).Write();
    co_return;
  }
  std::map<std::string, bool> healthy;
  if (!aGone.empty()) {
    healthy[aGone] = false;
  }
  for (const StoreItem& item : all->mItems) {
    const Result<StepRecord> record = DecodeStepRecord(item.mValue);
    const std::string id = item.mKey.substr(sizeof(kStepPrefix) - 1);
    if (!record) {
      LogUnread(item, record.error(), false);
    }
    if (!record || record->mEnded || mSteps.contains(id)) {
      continue;
    }
    const std::string& address = record->mAddress;
    if (address != mNode.mIdentity.mAddress && address != aGone &&
        HandsOver(*record)) {
      Launch(mNode.mIo, "take-over",
             AdoptUnlessKept(id, *record, item.mRevision));
      continue;
    }
    if (address != mNode.mIdentity.mAddress && !healthy.contains(address)) {
      healthy[address] = co_await IsHealthy(address);
    }
    if (healthy[address]) {
      continue;
    }
    // Concurrently, as each takeover waits for several answers of the store.
    Launch(mNode.mIo, "take-over", TakeOverOrphan(id, *record, item.mRevision));
  }
}

asio::awaitable<void> RolloutService::TakeOverOrphan(std::string aId,
                                                     StepRecord aRecord,
                                                     int64_t aRevision) {
  const Result<StepPtr> step =
      co_await TakeOverOnce(aId, std::move(aRecord), aRevision);
  if (!step) {
    Event("take-over-failed")
        .Id(aId)
        .Text("why", step.error().Detail())
        .Write();
  }
}

}  // namespace rillwall
