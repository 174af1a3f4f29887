/// \file
/// Running the items of steps and scoring their texts.

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

#include "item_run.h"
#include "rillwall/event_log.h"
#include "rillwall/move_plan.h"
#include "rillwall/rollout_service.h"
#include "rillwall/upstream_call.h"
#include "rollout_step.h"

namespace rillwall {

namespace {

/// Time for one call of a scorer when its route sets no target latency.
constexpr Millis kScorerLimit{600};
constexpr int64_t kScorerTargets = 4;
constexpr Millis kScorerPause{50};
constexpr int kServerError = 500;
/// Between two moves of one text: a replica's pace shows after some 400 ms.
constexpr Millis kMoveEvery{700};
/// Share of the bound for an end of a step to be in force, in percent, within
/// which the store must have named this owner for an item to start: an owner
/// that is late starts none. A calm one asks after half of the bound, and a
/// call that gets no answer fails before this, so that an outage stops nothing.
constexpr int64_t kStartPercent = 87;
constexpr int64_t kPercent = 100;
/// A call for a score that is held is looked at again so often.
constexpr Millis kHeldPause{1000};
/// Moves of a step at one look; the next one sees the slots that these take.
constexpr size_t kMovesAtOnce = 2;

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

/// \return the figures that decided a move, for the log
std::string WhyMoved(const TextMove& aMove) {
  const auto whole = [](double aMs) {
    return std::to_string(std::llround(aMs));
  };
  return whole(aMove.mSourcePace) + " ms an event here, " +
         whole(aMove.mTargetPace) + " there, " +
         std::to_string(
             ExpectedRemainingEvents(aMove.mEvents, aMove.mExpected)) +
         " to come";
}

}  // namespace

void RolloutService::StartReadyItems() {
  std::vector<StepPtr> steps = RunningSteps();
  // The older first: a trainer names its next version when its older step ends.
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
  // A store that does not answer this node takes no end of a step either, as
  // far as this node can tell: what runs goes on. If it answers, and this node
  // has not come to ask it or to read its answer, the step may have ended.
  const bool away = mVerifyFailure.has_value();
  const Millis since = mNode.Now() - aStep.mVerifiedAt;
  return !aStep.mAccepted || away ||
         since < mNode.mBounds.mCancel * kStartPercent / kPercent;
}

bool RolloutService::StartNext(const StepPtr& aStep) {
  if (!aStep->mRunning || !MayStart(*aStep)) {
    return false;
  }
  const std::optional<RolloutPick> pick = aStep->mTracker.Next();
  if (!pick) {
    return false;
  }
  if (aStep->mTracker.Text(pick->mItem).mWhole) {
    // Carried over whole, but without its score.
    aStep->mTracker.Started(pick->mItem, std::string());
    Launch(mNode.mIo, "score", ScoreItem(aStep, pick->mItem));
    return true;
  }
  if (ItemHeld(mNode, *aStep, pick->mItem)) {
    // The rest of the step goes on without it.
    aStep->mTracker.Defer(pick->mItem);
    Event("item-held")
        .Id(aStep->mTracker.Item(pick->mItem).mId)
        .Text("step", aStep->Id())
        .Write();
    return true;
  }
  const std::optional<std::string> replica = ChooseReplica(*aStep, *pick);
  if (!replica) {
    return false;
  }
  aStep->mTracker.Started(pick->mItem, *replica);
  const Replica entry = *mNode.mReplicas.Find(*replica);
  Launch(mNode.mIo, "item", RunItem(aStep, pick->mItem, entry));
  return true;
}

asio::awaitable<void> RolloutService::RunItem(StepPtr aStep, size_t aItem,
                                              Replica aReplica) {
  InFlightRequest use(mNode, aReplica.mId, aStep->mTracker.Spec().mModel);
  RolloutTracker& tracker = aStep->mTracker;
  const int64_t before = tracker.Text(aItem).mEvents;
  std::string why;
  const ItemRunEnd end =
      co_await GenerateText(mNode, *aStep, aItem, aReplica, why);
  use.End(OutcomeOf(end), true);
  const int64_t events = tracker.Text(aItem).mEvents - before;
  const bool replicaEnded =
      co_await LearnFromRun(mNode, *aStep, aItem, aReplica, end, events);
  Event("item-run")
      .Id(tracker.Item(aItem).mId)
      .Text("step", aStep->Id())
      .Text("replica", aReplica.mId)
      .Text("end", EndName(end))
      .Number("from_event", before)
      .Number("events", tracker.Text(aItem).mEvents)
      .Number("took_ms", (mNode.Now() - use.Started()).Count())
      .Text("why", why)
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

void RolloutService::MoveFromSlow(const StepPtr& aStep) {
  const Millis now = mNode.Now();
  RolloutTracker& tracker = aStep->mTracker;
  std::vector<RunningText> texts;
  for (const auto& [item, stream] : aStep->mStreams) {
    const auto last = aStep->mMovedAt.find(item);
    if (last != aStep->mMovedAt.end() && now - last->second < kMoveEvery) {
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
      texts, mNode.mReplicas, RequirementsOf(*aStep), kMovesAtOnce, now);
  for (const PlannedMove& planned : moves) {
    aStep->mMovedAt[planned.mItem] = now;
    aStep->mMoving[planned.mItem] = WhyMoved(planned.mMove);
    aStep->mStreams[planned.mItem]->Abort();
  }
}

asio::awaitable<void> RolloutService::ScoreItem(StepPtr aStep, size_t aItem) {
  RolloutTracker& tracker = aStep->mTracker;
  const std::optional<ScorerCall>& scorer = tracker.Item(aItem).mScorer;
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
    call.mRegions = RegionsOf(*routes, *route, aStep->mTracker.Spec().mAccount);
    call.mKind = RequestKind::Idempotent;
    call.mDeadline =
        mNode.Now() +
        std::max(kScorerLimit, route->mTargetLatency * kScorerTargets);
    const int most = std::max(route->mAttempts, aStep->mRoute.mAttempts);
    const Result<UpstreamResponse> answer =
        co_await CallUpstream(mNode, std::move(call));
    const int status = answer ? answer->mHead.mStatus : 0;
    const std::string* signature =
        answer ? answer->mHead.Find(mNode.mHeaders.mSignature) : nullptr;
    if (status / 100 == 2 && signature != nullptr) {
      tracker.Text(aItem).mScore = *signature;
      break;
    }
    if (!answer && answer.error().RetryAfter() > kHeldPause) {
      co_await Sleep(mNode.mIo, kHeldPause);
      continue;
    }
    failures += status == kServerError ? 1 : 0;
    if (failures >= most) {
      Event("item-terminated")
          .Id(tracker.Item(aItem).mId)
          .Text("step", aStep->Id())
          .Text("why", "its scorer failed")
          .Number("failures", failures)
          .Write();
      tracker.Impossible(aItem);
      ScheduleFlush(aStep);
      co_return;
    }
    co_await Sleep(mNode.mIo, kScorerPause);
  }
  if (aStep->mRunning) {
    tracker.Finished(aItem);
    ScheduleFlush(aStep);
  }
}

}  // namespace rillwall
