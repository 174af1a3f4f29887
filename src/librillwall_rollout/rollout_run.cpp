/// \file
/// Running the items of steps, scoring their texts and listing the results.

#include <algorithm>
#include <functional>
#include <tuple>

#include "item_run.h"
#include "rillwall/event_log.h"
#include "rillwall/listing_plan.h"
#include "rillwall/rollout_service.h"
#include "rillwall/upstream_call.h"
#include "rollout_step.h"

namespace rillwall {

namespace {

/// Texts that end together go into one write.
constexpr Millis kGatherLook{20};
/// Text of one page; its encoded form stays under the store's 1 MiB values.
constexpr size_t kMaxPageBytes = 600 * 1000;
/// Both together stay under the 1 MB that the store takes in one change.
constexpr size_t kMaxPartBytes = 100 * 1000;
/// An owner that is lost costs what it generated since its last write. Texts
/// are written down while they are unfinished if they have grown by so many
/// events, some 0.8 s of generation, but not sooner than this after a write.
constexpr int64_t kWorthKeeping = 20;
constexpr Millis kKeepEvery{700};
/// While the store is away, some 0.4 s of generation are worth a write to the
/// host's own disk, which costs a ms or two.
constexpr int64_t kWorthSpooling = 10;
constexpr Millis kSpoolEvery{500};
constexpr Millis kFirstRetry{30};
constexpr Millis kLongestRetry{400};
/// Time for one call of a scorer when its route sets no target latency.
constexpr Millis kScorerLimit{600};
constexpr int64_t kScorerTargets = 4;
constexpr Millis kScorerPause{50};
constexpr int kServerError = 500;
/// A stream leaves a replica for one that is faster by this. Replicas of one
/// service differ by a third, which is worth a move only in a step's tail: it
/// costs the prompt and the text being read again, some 20 ms.
constexpr double kSlowFactor = 1.6;
constexpr double kTailFactor = 1.15;
constexpr Millis kMoveEvery{700};
constexpr size_t kMovesAtOnce = 2;

ListingState StateOf(const RolloutStep& aStep, Millis aNow) {
  const RolloutBook& book = aStep.mBook;
  ListingState state;
  state.mAllEnded = book.AllEnded();
  state.mWhole = book.WholeGroups();
  state.mWholeListed = aStep.mWholeListed;
  state.mTarget =
      static_cast<size_t>(std::max<int64_t>(book.Spec().mTargetGroups, 1));
  state.mWaited = aNow - aStep.mGatherFrom.value_or(aNow);
  state.mHasDue = aStep.mDueAt.has_value();
  state.mPastDue = aNow - aStep.mDueAt.value_or(aNow);
  return state;
}

/// Takes results off the front, as many as one page holds.
std::vector<RolloutResult> TakePage(std::vector<RolloutResult>& aWaiting) {
  size_t bytes = 0;
  size_t count = 0;
  while (
      count < aWaiting.size() &&
      (count == 0 || bytes + aWaiting[count].mOutput.size() < kMaxPageBytes)) {
    bytes += aWaiting[count].mOutput.size();
    ++count;
  }
  const auto middle = aWaiting.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<RolloutResult> page(std::make_move_iterator(aWaiting.begin()),
                                  std::make_move_iterator(middle));
  aWaiting.erase(aWaiting.begin(), middle);
  return page;
}

ReplicaOutcome OutcomeOf(ItemRunEnd aEnd) {
  switch (aEnd) {
    case ItemRunEnd::Whole:
    case ItemRunEnd::Impossible:
    case ItemRunEnd::Failed:
      return ReplicaOutcome::Served;
    case ItemRunEnd::Refused:
      return ReplicaOutcome::Refused;
    case ItemRunEnd::NotSent:
      return ReplicaOutcome::Unreachable;
    case ItemRunEnd::Broken:
      return ReplicaOutcome::Failed;
    case ItemRunEnd::Moved:
    case ItemRunEnd::Stopped:
      return ReplicaOutcome::Abandoned;
  }
  return ReplicaOutcome::Abandoned;
}

const char* EndName(ItemRunEnd aEnd) {
  switch (aEnd) {
    case ItemRunEnd::Whole:
      return "whole";
    case ItemRunEnd::Refused:
      return "refused";
    case ItemRunEnd::NotSent:
      return "not-sent";
    case ItemRunEnd::Broken:
      return "broken";
    case ItemRunEnd::Failed:
      return "failed";
    case ItemRunEnd::Impossible:
      return "impossible";
    case ItemRunEnd::Moved:
      return "moved";
    case ItemRunEnd::Stopped:
      return "stopped";
  }
  return "unknown";
}

}  // namespace

void RolloutService::Pump() {
  std::vector<StepPtr> steps = RunningSteps();
  // The older first: a trainer names its next version when its older step ends.
  std::sort(steps.begin(), steps.end(),
            [](const StepPtr& aOne, const StepPtr& aOther) {
              return std::tuple(aOne->mGiveUpAt, aOne->mRevision) <
                     std::tuple(aOther->mGiveUpAt, aOther->mRevision);
            });
  for (const StepPtr& step : steps) {
    while (StartNext(step)) {
    }
  }
}

std::optional<std::string> RolloutService::ChooseReplica(
    const RolloutStep& aStep, const RolloutPick& aPick) const {
  const RolloutItem& item = aStep.mBook.Item(aPick.mItem);
  const std::string* service =
      PickService(aStep.mRoute, std::hash<std::string>()(item.mGroup));
  if (service == nullptr) {
    return std::nullopt;
  }
  ReplicaWish wish;
  wish.mService = *service;
  wish.mZone = mNode.mIdentity.mZone;
  wish.mModel = aStep.mBook.Spec().mModel;
  wish.mMinVersion = aStep.mBook.Spec().mMinVersion;
  wish.mWithinSlots = true;
  if (!aPick.mAvoid.empty()) {
    wish.mExcluded.push_back(aPick.mAvoid);
  }
  const Millis now = mNode.Now();
  std::optional<std::string> chosen = mNode.mReplicas.Choose(wish, now);
  if (!chosen && !aPick.mAvoid.empty()) {
    wish.mExcluded.clear();
    chosen = mNode.mReplicas.Choose(wish, now);
  }
  return chosen;
}

bool RolloutService::StartNext(const StepPtr& aStep) {
  if (!aStep->mRunning) {
    return false;
  }
  const std::optional<RolloutPick> pick = aStep->mBook.Next();
  if (!pick) {
    return false;
  }
  if (aStep->mBook.Text(pick->mItem).mWhole) {
    // Carried over whole, but without its score.
    aStep->mBook.Started(pick->mItem, std::string());
    Launch(mNode.mIo, "score", ScoreItem(aStep, pick->mItem));
    return true;
  }
  const std::optional<std::string> replica = ChooseReplica(*aStep, *pick);
  if (!replica) {
    return false;
  }
  aStep->mBook.Started(pick->mItem, *replica);
  const Replica entry = *mNode.mReplicas.Find(*replica);
  Launch(mNode.mIo, "item", RunItem(aStep, pick->mItem, entry));
  return true;
}

asio::awaitable<void> RolloutService::RunItem(StepPtr aStep, size_t aItem,
                                              Replica aReplica) {
  ReplicaUse use(mNode, aReplica.mId);
  RolloutBook& book = aStep->mBook;
  const int64_t before = book.Text(aItem).mEvents;
  std::string why;
  const ItemRunEnd end =
      co_await GenerateText(mNode, *aStep, aItem, aReplica, why);
  use.End(OutcomeOf(end), true);
  Event("item-run")
      .Id(book.Item(aItem).mId)
      .Text("step", aStep->Id())
      .Text("replica", aReplica.mId)
      .Text("end", EndName(end))
      .Number("from_event", before)
      .Number("events", book.Text(aItem).mEvents)
      .Number("took_ms", (mNode.Now() - use.Started()).Count())
      .Text("why", why)
      .Write();
  mNode.mMetrics.Count("item_runs_total",
                       "end=\"" + std::string(EndName(end)) + "\"");
  if (!aStep->mRunning) {
    co_return;
  }
  if (end == ItemRunEnd::Whole) {
    Pump();
    co_await ScoreItem(aStep, aItem);
  } else if (end == ItemRunEnd::Impossible) {
    book.Impossible(aItem);
  } else {
    book.Interrupted(aItem, end == ItemRunEnd::Failed);
  }
  ScheduleFlush(aStep);
  Pump();
}

void RolloutService::MoveFromSlow(const StepPtr& aStep) {
  const Millis now = mNode.Now();
  // With nothing left to start, a step is as long as its longest texts.
  const bool tail = aStep->mBook.Waiting() == 0;
  const double factor = tail ? kTailFactor : kSlowFactor;
  size_t moved = 0;
  for (auto& [item, stream] : aStep->mStreams) {
    const auto last = aStep->mMovedAt.find(item);
    if (last != aStep->mMovedAt.end() && now - last->second < kMoveEvery) {
      continue;
    }
    const std::string& replica = aStep->mBook.ReplicaOf(item);
    const RolloutPick pick{item, replica};
    const std::optional<std::string> other = ChooseReplica(*aStep, pick);
    if (!other || *other == replica ||
        !mNode.mReplicas.Faster(*other, replica, factor, now)) {
      continue;
    }
    aStep->mMovedAt[item] = now;
    aStep->mMoving.insert(item);
    stream->Abort();
    // Few at a time: the next look sees the slots that these take.
    if (++moved == kMovesAtOnce) {
      return;
    }
  }
}

asio::awaitable<void> RolloutService::ScoreItem(StepPtr aStep, size_t aItem) {
  RolloutBook& book = aStep->mBook;
  const std::optional<ScorerCall>& scorer = book.Item(aItem).mScorer;
  int failures = 0;
  while (aStep->mRunning && scorer) {
    const auto routes = mNode.mRoutes.Read();
    const Route* route = routes->Find(scorer->mHost, scorer->mPath);
    const std::string* service =
        route == nullptr
            ? nullptr
            : PickService(*route, std::hash<std::string>()(scorer->mId));
    if (service == nullptr) {
      co_await Sleep(mNode.mIo, kScorerPause);
      continue;
    }
    UpstreamCall call;
    call.mId = scorer->mId;
    call.mRequest.mMethod = "POST";
    call.mRequest.mTarget = scorer->mPath;
    call.mRequest.mBody = scorer->mBody;
    call.mRequest.mHeaders.push_back({"Host", scorer->mHost});
    call.mRequest.mHeaders.push_back({mNode.mHeaders.mRequestId, scorer->mId});
    call.mService = *service;
    call.mKind = RequestKind::Idempotent;
    call.mDue = mNode.Now() +
                std::max(kScorerLimit, route->mTargetLatency * kScorerTargets);
    const int most = std::max(route->mAttempts, aStep->mRoute.mAttempts);
    const Result<UpstreamAnswer> answer =
        co_await CallUpstream(mNode, std::move(call));
    const int status = answer ? answer->mHead.mStatus : 0;
    const std::string* signature =
        answer ? answer->mHead.Find(mNode.mHeaders.mSignature) : nullptr;
    if (status / 100 == 2 && signature != nullptr) {
      book.Text(aItem).mScore = *signature;
      break;
    }
    failures += status == kServerError ? 1 : 0;
    if (failures >= most) {
      Event("item-terminated")
          .Id(book.Item(aItem).mId)
          .Text("step", aStep->Id())
          .Text("why", "its scorer failed")
          .Number("failures", failures)
          .Write();
      book.Impossible(aItem);
      ScheduleFlush(aStep);
      co_return;
    }
    co_await Sleep(mNode.mIo, kScorerPause);
  }
  if (aStep->mRunning) {
    book.Finished(aItem);
    ScheduleFlush(aStep);
  }
}

void RolloutService::ScheduleFlush(const StepPtr& aStep) {
  if (aStep->mFlushing || !aStep->mRunning) {
    return;
  }
  const Millis now = mNode.Now();
  const bool results = aStep->mBook.HasUnlisted();
  if (results && !aStep->mGatherFrom) {
    aStep->mGatherFrom = now;
  }
  const bool texts = now - aStep->mWrittenAt >= kKeepEvery &&
                     aStep->mBook.HasUnkept(kWorthKeeping);
  if (texts || (results && ListNow(StateOf(*aStep, now)))) {
    aStep->mFlushing = true;
    Launch(mNode.mIo, "flush", Flush(aStep));
  }
}

asio::awaitable<void> RolloutService::Flush(StepPtr aStep) {
  co_await Sleep(mNode.mIo, kGatherLook);
  const std::string& id = aStep->Id();
  std::vector<RolloutResult> waiting = aStep->mBook.TakeUnlisted();
  aStep->mGatherFrom.reset();
  aStep->mWholeListed = aStep->mBook.WholeGroups();
  bool first = true;
  while (aStep->mRunning && (first || !waiting.empty())) {
    first = false;
    const Millis asked = mNode.Now();
    aStep->mWrittenAt = asked;
    StoreChange change;
    change.mGuards.push_back({StepKey(id), aStep->mRevision});
    ResultPage page;
    page.mFirst = static_cast<int64_t>(aStep->mListed.size());
    page.mTotal = static_cast<int64_t>(aStep->mBook.Total());
    page.mResults = TakePage(waiting);
    if (!page.mResults.empty()) {
      const std::string key = PageKey(id, page.mFirst);
      change.mGuards.push_back({key, 0});
      change.mPuts.push_back({key, EncodeResultPage(page), 0});
    }
    const std::vector<RolloutPart> parts =
        aStep->mBook.TakeUnkept(kWorthKeeping, kMaxPartBytes);
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
                static_cast<int64_t>(aStep->mBook.WholeGroups()))
        .Number("store_ms", (mNode.Now() - asked).Count())
        .Write();
    mNode.mMetrics.Measure("page_ms", mNode.Now() - asked);
    aStep->mBook.Listed(page.mResults);
    for (RolloutResult& result : page.mResults) {
      aStep->mListed.push_back(std::move(result));
    }
    aStep->Notify();
  }
  aStep->mFlushing = false;
  ScheduleFlush(aStep);
}

void RolloutService::ScheduleSpool(const StepPtr& aStep) {
  const Millis now = mNode.Now();
  // Unsettled: the last write has failed, and is being made again.
  if (!mSpool.Usable() || !aStep->mUnsettled || aStep->mSpooling ||
      now - aStep->mSpooledAt < kSpoolEvery) {
    return;
  }
  std::vector<RolloutPart> parts =
      aStep->mBook.TakeUnspooled(kWorthSpooling, kMaxPageBytes);
  if (parts.empty()) {
    return;
  }
  aStep->mSpooling = true;
  aStep->mSpooledAt = now;
  Launch(mNode.mIo, "spool", Spool(aStep, std::move(parts)));
}

asio::awaitable<void> RolloutService::Spool(StepPtr aStep,
                                            std::vector<RolloutPart> aParts) {
  const Millis begun = mNode.Now();
  const auto texts = static_cast<int64_t>(aParts.size());
  const std::string failed =
      co_await mSpool.Append(aStep->Id(), std::move(aParts));
  aStep->mSpooling = false;
  Event("texts-spooled")
      .Id(aStep->Id())
      .Number("texts", texts)
      .Number("disk_ms", (mNode.Now() - begun).Count())
      .Text("why", failed)
      .Write();
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
      aStep->mUnsettled = false;
      co_return true;
    }
    if (done) {
      const StoreItem* record = done->Find(step);
      const bool owner =
          record != nullptr && record->mRevision == aStep->mRevision;
      if (owner) {
        // Only this owner writes here: an earlier try got through.
        aStep->mVerifiedAt = std::max(aStep->mVerifiedAt, asked);
        aStep->mUnsettled = false;
        co_return true;
      }
      aStep->mUnsettled = true;
      if (aStep->mRunning) {
        Drop(aStep, "a page was refused, as the step has moved or ended");
      }
      co_return false;
    }
    aStep->mUnsettled = true;
    Event("page-retry")
        .Id(aStep->Id())
        .Number("first", static_cast<int64_t>(aStep->mListed.size()))
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
