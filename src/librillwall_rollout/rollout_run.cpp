/// \file
/// Runs the items of steps and scores their texts.

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

#include "crash_guard.h"
#include "item_run.h"
#include "rillwall/backoff.h"
#include "rillwall/event_log.h"
#include "rillwall/move_plan.h"
#include "rillwall/rollout_service.h"
#include "rillwall/upstream_call.h"
#include "rillwall/utf8.h"
#include "rollout_step.h"
#include "step_schedule.h"

namespace rillwall {

namespace {

/// Time limit of one scorer call if its route sets no target latency.
constexpr Millis kScorerTimeout{600};
constexpr int64_t kScorerTimeoutFactor = 4;
/// Pause after a call that no scorer accepted, or a first one that failed.
constexpr Millis kScorerPause{50};
/// Longest pause between two calls that fail one after another.
constexpr Millis kMaxScorerPause{400};
/// Failed calls before the pause grows: a scorer that was reset is soon back.
constexpr int kPromptScorerCalls = 3;
/// Pause after an item's body could not be read from the store.
constexpr Millis kBodyPause{200};
constexpr int kServerError = 500;
/// Shortest time between two moves of one text: a replica's pace is known after
/// some 400 ms.
constexpr Millis kMinMoveInterval{700};
/// An item starts only if the store confirmed the ownership of its step within
/// this percentage of ServingBounds::mCancel, so that an owner that learns late
/// that the step has ended starts nothing. An owner under normal load asks the
/// store after half of that time, and an unanswered call fails before this
/// limit, so that an outage does not stop the starts.
constexpr int64_t kMaxVerifiedAgePercent = 87;
constexpr int64_t kPercent = 100;
/// How often a scorer call that is held is tried again.
constexpr Millis kHeldPoll{1000};
/// How often a scorer call that pauses is checked: others may have succeeded
/// with the same request.
constexpr Millis kScorerPoll{100};
/// Moves of one step per tick; the next tick sees the slots that they take.
constexpr size_t kMaxMovesPerTick = 2;

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
    case ItemRunEnd::Closed:
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
    case ItemRunEnd::Closed:
      return "closed";
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

/// \return the figures behind a move, for the log
std::string DescribeMove(const TextMove& aMove) {
  const auto whole = [](double aMs) {
    return std::to_string(std::llround(aMs));
  };
  return whole(aMove.mSourcePace) + " ms per event at the current replica, " +
         whole(aMove.mTargetPace) + " at the target, " +
         std::to_string(
             ExpectedRemainingEvents(aMove.mEvents, aMove.mExpected)) +
         " events expected";
}

}  // namespace

void RolloutService::StartReadyItems() {
  std::vector<StepPtr> steps = RunningSteps();
  const std::vector<StepPtr> ordered = mSchedule->Extract(steps);
  if (!ordered.empty()) {
    StartInOrder(ordered);
  }
  // Older steps go first: a trainer names its next version when its older step
  // ends.
  std::sort(steps.begin(), steps.end(),
            [](const StepPtr& aOne, const StepPtr& aOther) {
              return std::tuple(aOne->mRecord.mAcceptedMs, aOne->mRevision) <
                     std::tuple(aOther->mRecord.mAcceptedMs, aOther->mRevision);
            });
  for (const StepPtr& step : steps) {
    while (StartNext(step)) {
    }
  }
}

const std::string* RolloutService::ServiceOf(const RolloutStep& aStep,
                                             size_t aItem) {
  const std::string& group = aStep.mTracker.Item(aItem).mGroup;
  return PickService(aStep.mRoute, std::hash<std::string>()(group));
}

ReplicaRequirements RolloutService::RequirementsOf(
    const RolloutStep& aStep) const {
  ReplicaRequirements requirements;
  requirements.mZone = mNode.mIdentity.mZone;
  requirements.mModel = aStep.mTracker.Spec().mModel;
  requirements.mMinVersion = aStep.mTracker.Spec().mMinVersion;
  requirements.mNeedsFreeSlot = true;
  requirements.mRegions = RegionsOf(*mNode.mRoutes.Read(), aStep.mRoute,
                                    aStep.mTracker.Spec().mAccount);
  return requirements;
}

std::optional<std::string> RolloutService::ChooseReplica(
    const RolloutStep& aStep, const RolloutPick& aPick) const {
  const std::string* service = ServiceOf(aStep, aPick.mItem);
  if (service == nullptr) {
    return std::nullopt;
  }
  ReplicaRequirements requirements = RequirementsOf(aStep);
  requirements.mService = *service;
  if (!aPick.mAvoid.empty()) {
    requirements.mExcluded.push_back(aPick.mAvoid);
  }
  const Millis now = mNode.Now();
  std::optional<std::string> chosen = mNode.mReplicas.Choose(requirements, now);
  if (!chosen && !aPick.mAvoid.empty()) {
    requirements.mExcluded.clear();
    chosen = mNode.mReplicas.Choose(requirements, now);
  }
  return chosen;
}

bool RolloutService::MayStart(const RolloutStep& aStep) const {
  // As far as this node knows, a store that does not answer it does not
  // record the end of a step either, so items may start. If the store answers,
  // but this node has not managed to ask it or to read its answer, the step may
  // have ended.
  const bool away = mVerifyFailure.has_value() && !VerifyFailureIsOld(aStep);
  const Millis since = mNode.Now() - aStep.mVerifiedAt;
  const bool confirmed =
      !aStep.mAccepted || away ||
      since < mNode.mBounds.mCancel * kMaxVerifiedAgePercent / kPercent;
  return confirmed && !aStep.mAwaitsTexts;
}

bool RolloutService::MayRun(RolloutStep& aStep, size_t aItem) const {
  return aStep.HasRoute() && !ItemHeld(mNode, aStep, aItem) &&
         !ItemPauses(mNode, aStep, aItem);
}

bool RolloutService::StartNext(const StepPtr& aStep) {
  if (!aStep->mRunning || !MayStart(*aStep)) {
    return false;
  }
  const std::optional<RolloutPick> pick = aStep->mTracker.Next();
  if (!pick) {
    return false;
  }
  aStep->mPriorities.erase(pick->mItem);
  return StartItem(aStep, *pick, {});
}

bool RolloutService::StartItem(
    const StepPtr& aStep, const RolloutPick& aPick,
    const std::function<bool(const std::string&)>& aAccepts) {
  if (aStep->mTracker.Text(aPick.mItem).mWhole) {
    // The text was carried over whole, but without its score.
    aStep->mTracker.Started(aPick.mItem, std::string());
    Launch(mNode.mIo, "score", ScoreItem(aStep, aPick.mItem));
    return true;
  }
  if (!MayRun(*aStep, aPick.mItem)) {
    // The other items of the step continue without this one.
    const bool held = ItemHeld(mNode, *aStep, aPick.mItem);
    aStep->mTracker.Defer(aPick.mItem, held || !aStep->HasRoute());
    if (held) {
      Event("item-held")
          .Id(aStep->mTracker.Item(aPick.mItem).mId)
          .Text("step", aStep->Id())
          .Write();
    }
    return true;
  }
  const std::optional<std::string> replica = ChooseReplica(*aStep, aPick);
  if (!replica || (aAccepts && !aAccepts(*replica))) {
    return false;
  }
  aStep->mTracker.Started(aPick.mItem, *replica);
  ItemRunStarted(mNode, *aStep, aPick.mItem);
  const Replica entry = *mNode.mReplicas.Find(*replica);
  Launch(mNode.mIo, "item", RunItem(aStep, aPick.mItem, entry));
  return true;
}

asio::awaitable<void> RolloutService::RunItem(StepPtr aStep, size_t aItem,
                                              Replica aReplica) {
  InFlightRequest use(mNode, aReplica.mId, aStep->mTracker.Spec().mModel);
  std::optional<StepSchedule::Run> run(*mSchedule);
  RolloutTracker& tracker = aStep->mTracker;
  const int64_t before = tracker.Text(aItem).mEvents;
  ItemRunDetails details;
  details.mListing = mNode.mReplicas.LastListing();
  Result<ItemBodies> bodies = co_await LoadBodies(aStep, aItem);
  ItemRunEnd end = ItemRunEnd::Stopped;
  if (!bodies) {
    details.mWhy = bodies.error().Detail();
    co_await Sleep(mNode.mIo, kBodyPause);
  } else if (aStep->mRunning) {
    end = co_await GenerateText(mNode, *aStep, aItem, std::move(bodies->mBody),
                                aReplica, details);
  }
  use.End(OutcomeOf(end), true);
  run.reset();
  const int64_t events = tracker.Text(aItem).mEvents - before;
  EndedItemRun ended{aReplica, use.Started(), end, events, details};
  const bool replicaEnded =
      co_await RecordRunOutcome(mNode, *aStep, aItem, std::move(ended));
  Event("item-run")
      .Id(tracker.Item(aItem).mId)
      .Text("step", aStep->Id())
      .Text("replica", aReplica.mId)
      .Text("end", EndName(end))
      .Number("from_event", before)
      .Number("events", tracker.Text(aItem).mEvents)
      .Number("took_ms", (mNode.Now() - use.Started()).Count())
      .Number("unsent_ms", details.mTrace.mUnsent.Count())
      .Number("list_age_ms", (use.Started() - details.mListing.mReadAt).Count())
      .Number("list_revision", details.mListing.mRevision)
      .Text("why", details.mWhy)
      .Flag("new_connection", details.mTrace.mNewConnection)
      .Flag("replica_ended", replicaEnded)
      .Write();
  mNode.mMetrics.Count("item_runs_total",
                       "end=\"" + std::string(EndName(end)) + "\"");
  if (!aStep->mRunning) {
    co_return;
  }
  if (end == ItemRunEnd::Whole) {
    mLengths.Learn(tracker.Item(aItem).mLengthHint,
                   tracker.Text(aItem).mEvents);
    StartReadyItems();
    co_await ScoreItem(aStep, aItem);
  } else if (end == ItemRunEnd::Impossible) {
    tracker.Impossible(aItem);
  } else {
    tracker.Interrupted(aItem, end == ItemRunEnd::Failed);
  }
  ScheduleFlush(aStep);
  StartReadyItems();
}

void RolloutService::MoveFromSlowReplicas(const StepPtr& aStep) {
  const Millis now = mNode.Now();
  RolloutTracker& tracker = aStep->mTracker;
  std::vector<RunningText> texts;
  for (const auto& [item, stream] : aStep->mStreams) {
    const auto last = aStep->mMovedAt.find(item);
    if (last != aStep->mMovedAt.end() &&
        now - last->second < kMinMoveInterval) {
      continue;
    }
    const std::string* service = ServiceOf(*aStep, item);
    if (service != nullptr) {
      texts.push_back({item, *service, tracker.ReplicaOf(item),
                       tracker.Text(item).mEvents,
                       mLengths.Events(tracker.Item(item).mLengthHint)});
    }
  }
  const std::vector<PlannedMove> moves = PlanMoves(
      texts, mNode.mReplicas, RequirementsOf(*aStep), kMaxMovesPerTick, now);
  for (const PlannedMove& planned : moves) {
    aStep->mMovedAt[planned.mItem] = now;
    aStep->mMoveReasons[planned.mItem] = DescribeMove(planned.mMove);
    aStep->mStreams[planned.mItem]->Abort();
  }
}

Millis RolloutService::TakeScorerTurn(const UpstreamCall& aCall) {
  if (!mNode.mCrashes.HasSuspects()) {
    return {};
  }
  const RequestDigest digest = DigestOf(aCall);
  const Millis pause = OwedWait(mNode, digest);
  if (pause == Millis(0)) {
    OwedRunStarted(mNode, digest);
  }
  return pause;
}

void RolloutService::EndScorerTurn(const UpstreamCall& aCall) {
  if (mNode.mCrashes.HasSuspects()) {
    mNode.mPacer.Ended(DigestOf(aCall));
  }
}

asio::awaitable<void> RolloutService::ScoreItem(StepPtr aStep, size_t aItem) {
  RolloutTracker& tracker = aStep->mTracker;
  const std::optional<ScorerCall>& scorer = tracker.Item(aItem).mScorer;
  int failures = 0;
  int failedCalls = 0;
  std::optional<SharedText> body;
  while (aStep->mRunning && scorer) {
    if (!body) {
      Result<ItemBodies> bodies = co_await LoadBodies(aStep, aItem);
      if (!bodies) {
        co_await Sleep(mNode.mIo, kBodyPause);
        continue;
      }
      body = SharedText(std::move(bodies->mScorerBody));
    }
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
    call.mRequest.mBody = *body;
    call.mRequest.mHeaders.push_back({"Host", scorer->mHost});
    call.mRequest.mHeaders.push_back({mNode.mHeaders.mRequestId, scorer->mId});
    call.mService = *service;
    call.mRegions = RegionsOf(*routes, *route, aStep->mTracker.Spec().mAccount);
    call.mRoute = route->mName;
    call.mKind = RequestKind::Idempotent;
    if (mNode.mReplicas.UsesCurrentLoad(*service)) {
      call.mTargetLatency = route->mTargetLatency;
    }
    call.mPriority = route->mPriority;
    call.mDelayOnly = true;
    call.mOwed = true;
    call.mDeadline =
        mNode.Now() +
        std::max(kScorerTimeout, route->mTargetLatency * kScorerTimeoutFactor);
    const int most = std::max(route->mAttempts, aStep->mRoute.mAttempts);
    const Millis pause = TakeScorerTurn(call);
    if (pause > Millis(0)) {
      co_await Sleep(mNode.mIo, std::min(pause, kScorerPoll));
      continue;
    }
    const Result<UpstreamResponse> answer = co_await CallUpstream(mNode, call);
    EndScorerTurn(call);
    const int status = answer ? answer->mHead.mStatus : 0;
    const std::string* signature =
        answer ? answer->mHead.Find(mNode.mHeaders.mSignature) : nullptr;
    // A signature that no record can hold is no answer of a sound scorer.
    if (status / 100 == 2 && signature != nullptr && !signature->empty() &&
        IsUtf8(*signature)) {
      tracker.Text(aItem).mScore = *signature;
      break;
    }
    if (!answer && answer.error().RetryAfter() > kHeldPoll) {
      co_await Sleep(mNode.mIo, kHeldPoll);
      continue;
    }
    failures += status == kServerError ? 1 : 0;
    const bool mayHaveRun = answer || answer.error().Run() != RunState::NotRun;
    failedCalls += mayHaveRun ? 1 : 0;
    if (failures >= most) {
      Event("item-terminated")
          .Id(tracker.Item(aItem).mId)
          .Text("step", aStep->Id())
          .Text("why", "the scorer failed")
          .Number("failures", failures)
          .Write();
      tracker.Impossible(aItem);
      ScheduleFlush(aStep);
      co_return;
    }
    const int persistent = failedCalls - kPromptScorerCalls;
    co_await Sleep(mNode.mIo, mayHaveRun && persistent > 0
                                  ? BackoffDelay(persistent + 1, kScorerPause,
                                                 kMaxScorerPause)
                                  : kScorerPause);
  }
  if (aStep->mRunning) {
    tracker.Finished(aItem);
    ScheduleFlush(aStep);
  }
}

}  // namespace rillwall
