/// \file
/// Writes results and unfinished texts of steps to the store, and to the host's
/// disk while the store does not answer.

#include <algorithm>

#include "rillwall/event_log.h"
#include "rillwall/listing_plan.h"
#include "rillwall/rollout_service.h"
#include "rollout_step.h"

namespace rillwall {

namespace {

/// Results that end within this time are written together.
constexpr Millis kBatchDelay{20};
/// Limit for the encoded texts of one page, which stays below the store's limit
/// of 1 MiB for a value.
constexpr size_t kMaxPageBytes = 600 * 1000;
/// Together with a page, this stays below the 1 MB that the store takes in one
/// change.
constexpr size_t kMaxPartBytes = 100 * 1000;
/// The loss of an owner costs what it generated since its last write.
/// Unfinished texts are written once they have grown by this many events, some
/// 0.8 s of generation, but not sooner than kMinWriteInterval after the last
/// write.
constexpr int64_t kMinUnstoredEvents = 20;
constexpr Millis kMinWriteInterval{700};
/// A write to the host's own disk takes one or two ms and uses nothing that is
/// shared. A quarter of a second of generation is worth a write.
constexpr int64_t kMinUnspooledEvents = 6;
constexpr Millis kSpoolInterval{250};
constexpr Millis kFirstRetry{30};
constexpr Millis kLongestRetry{400};

ListingState StateOf(const RolloutStep& aStep, Millis aNow) {
  const RolloutTracker& tracker = aStep.mTracker;
  ListingState state;
  state.mAllEnded = tracker.AllEnded();
  state.mTargetReached = tracker.TargetReached();
  state.mTargetReachedAtLastWrite = aStep.mTargetReachedAtLastWrite;
  state.mWaited = aNow - aStep.mUnwrittenSince.value_or(aNow);
  state.mHasDue = aStep.mDueAt.has_value();
  state.mPastDue = aNow - aStep.mDueAt.value_or(aNow);
  return state;
}

/// \return whether the store already holds everything that a change puts
bool AlreadyStored(const StoreCommit& aRefused, const StoreChange& aChange) {
  return std::all_of(aChange.mPuts.begin(), aChange.mPuts.end(),
                     [&](const StorePut& aPut) {
                       const StoreItem* item = aRefused.Find(aPut.mKey);
                       return item != nullptr && item->mValue == aPut.mValue;
                     });
}

}  // namespace

void RolloutService::ScheduleFlush(const StepPtr& aStep) {
  if (aStep->mFlushing || !aStep->mRunning || !aStep->mAccepted) {
    return;
  }
  const Millis now = mNode.Now();
  const bool results = aStep->mTracker.HasUnlisted();
  if (results && !aStep->mUnwrittenSince) {
    aStep->mUnwrittenSince = now;
  }
  const bool texts = now - aStep->mLastWriteAt >= kMinWriteInterval &&
                     aStep->mTracker.HasUnstored(kMinUnstoredEvents);
  const bool list = results && ShouldWriteResults(StateOf(*aStep, now));
  if (texts || list) {
    aStep->mFlushing = true;
    Launch(mNode.mIo, "flush", Flush(aStep, list));
  }
}

asio::awaitable<void> RolloutService::Flush(StepPtr aStep, bool aList) {
  co_await Sleep(mNode.mIo, kBatchDelay);
  const std::string& id = aStep->Id();
  std::vector<RolloutResult> waiting;
  if (aList) {
    waiting = aStep->mTracker.TakeUnlisted();
    aStep->mUnwrittenSince.reset();
    aStep->mTargetReachedAtLastWrite = aStep->mTracker.TargetReached();
  }
  bool first = true;
  while (aStep->mRunning && (first || !waiting.empty())) {
    first = false;
    const Millis asked = mNode.Now();
    aStep->mLastWriteAt = asked;
    StoreChange change;
    change.mGuards.push_back({StepKey(id), aStep->mRevision});
    const NextPage next = aStep->mListed.Next();
    ResultPage page;
    page.mFirst = next.mFirst;
    page.mTotal = static_cast<int64_t>(aStep->mTracker.Total());
    page.mResults = TakePage(waiting, kMaxPageBytes, next.mRoom);
    if (!page.mResults.empty()) {
      const std::string key = PageKey(id, page.mFirst);
      change.mGuards.push_back({key, next.mReplaces});
      change.mPuts.push_back({key, EncodeResultPage(page), 0});
    }
    // A long text waits for a change without a page.
    const std::vector<RolloutPart> parts = aStep->mTracker.TakeUnstored(
        kMinUnstoredEvents, kMaxPartBytes, page.mResults.empty());
    if (!parts.empty()) {
      const std::string key = PartKey(id, aStep->mNextPart++);
      change.mGuards.push_back({key, 0});
      change.mPuts.push_back({key, EncodeParts(parts), 0});
    }
    if (change.mPuts.empty() ||
        !co_await CommitWrite(aStep, std::move(change))) {
      break;
    }
    Event("page-listed")
        .Id(id)
        .Number("first", page.mFirst)
        .Number("results", static_cast<int64_t>(page.mResults.size()))
        .Number("unfinished", static_cast<int64_t>(parts.size()))
        .Number("whole_groups",
                static_cast<int64_t>(aStep->mTracker.WholeGroups()))
        .Flag("reached", aStep->mTargetReachedAtLastWrite)
        .Number("store_ms", (mNode.Now() - asked).Count())
        .Write();
    mNode.mMetrics.Measure("page_ms", mNode.Now() - asked);
    aStep->mTracker.Listed(page.mResults);
    aStep->mListed.Add(page);
    aStep->Notify();
  }
  aStep->mFlushing = false;
  ScheduleFlush(aStep);
}

void RolloutService::ScheduleSpool(const StepPtr& aStep) {
  const Millis now = mNode.Now();
  if (!mSpool.IsOpen() || aStep->mSpooling ||
      now - aStep->mLastSpoolAt < kSpoolInterval) {
    return;
  }
  std::vector<RolloutPart> parts =
      aStep->mTracker.TakeUnspooled(kMinUnspooledEvents, kMaxPageBytes);
  if (parts.empty()) {
    return;
  }
  aStep->mSpooling = true;
  aStep->mLastSpoolAt = now;
  Launch(mNode.mIo, "spool", Spool(aStep, std::move(parts)));
}

asio::awaitable<void> RolloutService::Spool(StepPtr aStep,
                                            std::vector<RolloutPart> aParts) {
  const Millis begun = mNode.Now();
  const std::string failed =
      co_await mSpool.Append(aStep->Id(), std::move(aParts));
  aStep->mSpooling = false;
  mNode.mMetrics.Count("spool_writes_total");
  mNode.mMetrics.Measure("spool_ms", mNode.Now() - begun);
  if (!failed.empty()) {
    Event("spool-failed").Id(aStep->Id()).Text("why", failed).Write();
  }
}

asio::awaitable<bool> RolloutService::CommitWrite(StepPtr aStep,
                                                  StoreChange aChange) {
  const std::string step = StepKey(aStep->Id());
  Millis pause = kFirstRetry;
  while (true) {
    const Millis asked = mNode.Now();
    const Result<StoreCommit> done = co_await mNode.mStore.Commit(aChange);
    if (done && done->mApplied) {
      aStep->mVerifiedAt = std::max(aStep->mVerifiedAt, asked);
      aStep->mWriteUncertain = false;
      co_return true;
    }
    if (done) {
      const StoreItem* record = done->Find(step);
      const bool owner =
          record != nullptr && record->mRevision == aStep->mRevision;
      if (owner && AlreadyStored(*done, aChange)) {
        // Only the owner writes here, so an earlier try was applied.
        aStep->mVerifiedAt = std::max(aStep->mVerifiedAt, asked);
        aStep->mWriteUncertain = false;
        co_return true;
      }
      aStep->mWriteUncertain = true;
      if (aStep->mRunning) {
        Drop(
            aStep,
            owner
                ? "the contents of the store differ from this node's"
                : "the store refused a page, as the step was taken over or has "
                  "ended");
      }
      co_return false;
    }
    aStep->mWriteUncertain = true;
    Event("page-retry")
        .Id(aStep->Id())
        .Number("first", aStep->mListed.Next().mFirst)
        .Text("why", done.error().Detail())
        .Write();
    if (!aStep->mRunning) {
      co_return false;
    }
    co_await Sleep(mNode.mIo, pause);
    pause = std::min(kLongestRetry, pause * 2);
  }
}

}  // namespace rillwall
