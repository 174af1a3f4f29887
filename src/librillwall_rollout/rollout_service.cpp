#include "rillwall/rollout_service.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "item_run.h"
#include "rillwall/event_log.h"
#include "rollout_step.h"
#include "step_schedule.h"

namespace rillwall {

namespace {

/// Interval of the maintenance of open steps; far shorter than the time limits
/// that it enforces.
constexpr Millis kTick{100};
/// How often ownership is checked without readers: soon enough to end the runs
/// of a step that another node has ended (3 s).
constexpr Millis kVerifyInterval{1500};
/// When unfinished items are given up if the route sets no longest wait.
constexpr Millis kDefaultMaxWait{60000};
/// Shortest wait of a step's items for a route that the configuration does not
/// have. A host may be some seconds behind the configuration that added the
/// route, and the route's own longest wait is unknown.
constexpr Millis kRouteReturnTimeout{10000};
/// Texts kept for groups of one account that may be submitted again; enough for
/// several steps.
constexpr size_t kMaxCarried = 2000;
/// Bytes of text in one response, which holds 1 MB at most.
constexpr size_t kMaxResponseBytes = 900 * 1000;
constexpr size_t kMaxRemoteOwners = 4096;
/// One change of the platform's store takes 32 entries.
constexpr int64_t kMaxPartRemoves = 28;
/// Pauses between two writes of the end of a step.
constexpr Millis kFirstEndPause{100};
constexpr Millis kLongestEndPause{800};

/// \return the number of tokens that a step is expected to generate
double WorkOf(const RolloutSpec& aSpec) {
  int64_t tokens = 0;
  for (const RolloutItem& item : aSpec.mItems) {
    tokens += item.mLengthHint > 0 ? item.mLengthHint : item.mTokens;
  }
  return static_cast<double>(tokens);
}

/// \return whether the texts from a position on may be over the limit of one
/// response, in which escapes lengthen them
bool MayExceedResponse(const std::vector<RolloutResult>& aListed, size_t aAt) {
  constexpr size_t kMaxEscape = 6;
  size_t bytes = 0;
  for (; aAt < aListed.size(); ++aAt) {
    bytes += aListed[aAt].mOutput.size();
  }
  return bytes > kMaxResponseBytes / kMaxEscape;
}

size_t SizeOf(const RolloutResult& aResult, bool aMeasured) {
  constexpr size_t kFields = 160;
  const size_t text = aMeasured ? EncodedBytes(aResult.mOutput) : 0;
  return text + aResult.mScore.size() + kFields;
}

}  // namespace

RolloutRead ReadFrom(const std::vector<RolloutResult>& aListed, int64_t aFirst,
                     int64_t aTotal, int64_t aAfter) {
  RolloutRead read;
  read.mTotal = aTotal;
  size_t at = static_cast<size_t>(std::max<int64_t>(aAfter - aFirst, 0));
  const bool measured = MayExceedResponse(aListed, at);
  size_t bytes = 0;
  // An empty item stands for a result that can't be read.
  while (at < aListed.size() && !aListed[at].mItem.empty()) {
    bytes += SizeOf(aListed[at], measured);
    if (!read.mResults.empty() && bytes > kMaxResponseBytes) {
      break;
    }
    read.mResults.push_back(aListed[at]);
    ++at;
  }
  read.mNext = aAfter + static_cast<int64_t>(read.mResults.size());
  return read;
}

RolloutService::RolloutService(NodeContext& aNode, SpecDecoder aDecoder,
                               size_t aArchiveBytes)
    : mSpool(aNode.mIo),
      mNode(aNode),
      mDecoder(std::move(aDecoder)),
      mArchives(aArchiveBytes),
      mSchedule(std::make_unique<StepSchedule>(aNode)) {}

RolloutService::~RolloutService() = default;

const Route* FindRolloutRoute(const RouteTable& aRoutes,
                              const StepRecord& aRecord) {
  const Route* route = aRoutes.Find(aRecord.mHost, aRecord.mPath);
  return route != nullptr && route->mKind == RequestKind::Rollout ? route
                                                                  : nullptr;
}

RolloutService::StepPtr RolloutService::MakeStep(RolloutSpec aSpec,
                                                 const Route* aRoute,
                                                 StepRecord aRecord,
                                                 int64_t aRevision,
                                                 MemoryCharge aCharge) {
  const Route route = aRoute != nullptr ? *aRoute : Route();
  RolloutTracker tracker(std::move(aSpec), route.mAttempts,
                         route.mSingleVersion);
  const std::string id = tracker.Spec().mId;
  auto step = std::make_shared<RolloutStep>(mNode.mIo, std::move(tracker),
                                            route, std::move(aRecord),
                                            aRevision, std::move(aCharge));
  SetTimeLimits(*step);
  step->mVerifiedAt = mNode.Now();
  mSteps[id] = step;
  mRemoteOwners.erase(id);
  if (mOnStep) {
    mOnStep(step->mTracker.Spec(), WorkOf(step->mTracker.Spec()));
  }
  return step;
}

void RolloutService::SetTimeLimits(RolloutStep& aStep) const {
  const Route& route = aStep.mRoute;
  const Millis now = mNode.Now();
  const Millis age(
      std::max<int64_t>(0, WallClockMs() - aStep.mRecord.mAcceptedMs));
  const Millis wait =
      route.mMaxWait > Millis(0) ? route.mMaxWait : kDefaultMaxWait;
  aStep.mGiveUpAt = now + wait - age;
  if (!aStep.HasRoute()) {
    aStep.mGiveUpAt = std::max(aStep.mGiveUpAt, now + kRouteReturnTimeout);
  }
  aStep.mDueAt.reset();
  if (route.mDueIn > Millis(0)) {
    aStep.mDueAt = now + route.mDueIn - age;
  }
}

void RolloutService::AdoptRoute(RolloutStep& aStep) {
  const auto routes = mNode.mRoutes.Read();
  const Route* route = FindRolloutRoute(*routes, aStep.mRecord);
  if (route == nullptr) {
    return;
  }
  aStep.mRoute = *route;
  aStep.mTracker.SetLimits(route->mAttempts, route->mSingleVersion);
  SetTimeLimits(aStep);
  Event("step-route-found")
      .Id(aStep.Id())
      .Text("route", route->mName)
      .Number("config", routes->Version())
      .Write();
}

asio::awaitable<Result<RolloutLocation>> RolloutService::Locate(std::string aId,
                                                                bool aAdopt) {
  if (mAcceptances.contains(aId)) {
    co_return Error(ErrorKind::Unavailable, "The step is being accepted.");
  }
  if (mSteps.contains(aId) || mArchives.Knows(aId)) {
    co_return RolloutLocation{RolloutLocation::Kind::Local, {}, false};
  }
  const auto known = mRemoteOwners.find(aId);
  if (known != mRemoteOwners.end() && !aAdopt) {
    co_return RolloutLocation{RolloutLocation::Kind::Remote, known->second,
                              false};
  }
  const Result<std::optional<StoreItem>> item =
      co_await mNode.mStore.Get(StepKey(aId));
  if (!item) {
    co_return item.error();
  }
  if (!*item) {
    co_return RolloutLocation{RolloutLocation::Kind::Unknown, {}, false};
  }
  const Result<StepRecord> record = DecodeStepRecord((*item)->mValue);
  if (!record) {
    co_return record.error();
  }
  const bool mine = record->mAddress == mNode.mIdentity.mAddress;
  bool take = mine;
  if (!mine && aAdopt) {
    const bool keeps = co_await OwnerKeeps(aId, *record);
    take = !keeps;
  }
  if (!take) {
    if (mRemoteOwners.size() > kMaxRemoteOwners) {
      mRemoteOwners.clear();
    }
    mRemoteOwners[aId] = record->mAddress;
    co_return RolloutLocation{RolloutLocation::Kind::Remote, record->mAddress,
                              record->mEnded};
  }
  if (record->mEnded) {
    const std::optional<Error> failed = co_await LoadArchive(aId);
    if (failed) {
      co_return *failed;
    }
  } else if (!mSteps.contains(aId)) {
    const Result<StepPtr> step =
        co_await TakeOverOnce(aId, *record, (*item)->mRevision);
    if (!step) {
      co_return step.error();
    }
  }
  co_return RolloutLocation{RolloutLocation::Kind::Local, {}, record->mEnded};
}

bool RolloutService::Knows(const std::string& aId) const {
  return mSteps.contains(aId) || mArchives.Knows(aId) ||
         mRemoteOwners.contains(aId);
}

void RolloutService::ForgetLocation(const std::string& aId) {
  mRemoteOwners.erase(aId);
}

asio::awaitable<Result<RolloutRead>> RolloutService::Read(std::string aId,
                                                          int64_t aAfter,
                                                          Millis aWait) {
  if (mArchives.Knows(aId)) {
    co_return ReadArchived(aId, aAfter);
  }
  const auto found = mSteps.find(aId);
  if (found == mSteps.end()) {
    co_return Error(ErrorKind::Unavailable,
                    "Another node serves the step now.");
  }
  const StepPtr step = found->second;
  const Millis until = mNode.Now() + aWait;
  while (step->mRunning && mNode.Now() < until && !step->mListed.Has(aAfter)) {
    // The timer limits the wait; a change ends it sooner.
    asio::steady_timer limit(mNode.mIo);
    limit.expires_after(
        std::chrono::milliseconds((until - mNode.Now()).Count()));
    limit.async_wait([step](const boost::system::error_code& aCode) {
      if (!aCode) {
        step->Notify();
      }
    });
    co_await step->mChanged.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (!step->mListed.Has(aAfter)) {
    // Listed results never change, whoever owns the step. Only the owner can
    // say that there are no more of them.
    const std::optional<Error> unsure = co_await Verify(step);
    if (unsure) {
      co_return *unsure;
    }
  }
  const auto total = static_cast<int64_t>(step->mTracker.Total());
  co_return ReadFrom(step->mListed.All(), 0, total, aAfter);
}

asio::awaitable<Result<std::optional<std::string>>> RolloutService::Body(
    std::string aId, std::string aItem) {
  const auto found = mSteps.find(aId);
  if (found == mSteps.end()) {
    co_return std::optional<std::string>();
  }
  const StepPtr step = found->second;
  const std::optional<size_t> index = step->mTracker.IndexOf(aItem);
  if (!index) {
    co_return std::optional<std::string>();
  }
  Result<ItemBodies> bodies = co_await LoadBodies(step, *index);
  if (!bodies) {
    co_return bodies.error();
  }
  co_return std::optional<std::string>(std::move(bodies->mBody));
}

void RolloutService::StopRuns(RolloutStep& aStep) {
  aStep.mRunning = false;
  for (const auto& [item, stream] : aStep.mStreams) {
    stream->Abort();
  }
  aStep.Notify();
}

void RolloutService::Drop(const StepPtr& aStep, const char* aWhy) {
  Event("step-lost").Id(aStep->Id()).Text("why", aWhy).Write();
  mNode.mMetrics.Count("steps_lost_total");
  KeepFormerStep(aStep);
  Release(aStep);
}

void RolloutService::Release(const StepPtr& aStep) {
  mSpool.Remove(aStep->Id());
  StopRuns(*aStep);
  const auto found = mSteps.find(aStep->Id());
  if (found != mSteps.end() && found->second == aStep) {
    mSteps.erase(found);
  }
}

void RolloutService::CarryTexts(const RolloutStep& aStep) {
  CarriedTexts& carried = mCarried[aStep.mTracker.Spec().mAccount];
  if (carried.size() > kMaxCarried) {
    carried.clear();
  }
  carried.merge(aStep.mTracker.TextsOfOpenGroups());
}

asio::awaitable<std::optional<Error>> RolloutService::End(std::string aId) {
  const auto found = mSteps.find(aId);
  if (found == mSteps.end()) {
    const bool ended = mArchives.Knows(aId);
    co_return ended ? std::nullopt
                    : std::optional(Error(ErrorKind::Unavailable,
                                          "Another node serves the step now."));
  }
  const StepPtr step = found->second;
  StopRuns(*step);
  constexpr Millis kFlushPoll{5};
  while (step->mFlushing) {
    co_await Sleep(mNode.mIo, kFlushPoll);
  }
  if (!mSteps.contains(aId)) {
    co_return std::nullopt;
  }
  StepRecord record = step->mRecord;
  record.mEnded = true;
  const Result<StoreCommit> done =
      co_await mNode.mStore.Commit(EndingChange(*step, record));
  if (!done) {
    if (!step->mEndPending) {
      step->mEndPending = true;
      Launch(mNode.mIo, "end", RepeatEnd(step));
    }
    co_return done.error().WithRunState(RunState::Unknown);
  }
  if (!done->mApplied) {
    const StoreItem* current = done->Find(StepKey(aId));
    const Result<StepRecord> now =
        current != nullptr
            ? DecodeStepRecord(current->mValue)
            : Error(ErrorKind::NotFound, "The step was removed.");
    if (now && !now->mEnded) {
      Drop(step, "another node took the step over before it ended");
      co_return Error(ErrorKind::Unavailable,
                      "Another node serves the step now.");
    }
    // The owner that has ended it may have listed more results.
    const bool here = now && now->mRun == record.mRun;
    step->mWriteUncertain = step->mWriteUncertain || !here;
  }
  CloseEnded(step, record);
  co_return std::nullopt;
}

StoreChange RolloutService::EndingChange(const RolloutStep& aStep,
                                         const StepRecord& aRecord) {
  const std::string& id = aStep.Id();
  StoreChange change;
  change.mGuards.push_back({StepKey(id), aStep.mRevision});
  change.mPuts.push_back({StepKey(id), EncodeStepRecord(aRecord), 0});
  // The remaining unfinished texts are of no further use. Those beyond the
  // limit of one change are removed together with the step.
  for (int64_t i = 0; i < std::min(aStep.mNextPart, kMaxPartRemoves); ++i) {
    change.mRemoves.push_back(PartKey(id, i));
  }
  return change;
}

void RolloutService::CloseEnded(const StepPtr& aStep,
                                const StepRecord& aRecord) {
  const std::string& id = aStep->Id();
  const auto found = mSteps.find(id);
  if (found == mSteps.end() || found->second != aStep) {
    return;
  }
  aStep->mRecord = aRecord;
  mSpool.Remove(id);
  const auto total = static_cast<int64_t>(aStep->mTracker.Total());
  Event("step-ended")
      .Id(id)
      .Number("listed", aStep->mListed.Size())
      .Number("total", total)
      .Number("whole_groups",
              static_cast<int64_t>(aStep->mTracker.WholeGroups()))
      .Write();
  CarryTexts(*aStep);
  if (!aStep->mWriteUncertain && aStep->mListed.Whole()) {
    mArchives.Add(id, 0, total, aStep->mListed.All());
  }
  mSteps.erase(found);
}

asio::awaitable<void> RolloutService::RepeatEnd(StepPtr aStep) {
  const std::string key = StepKey(aStep->Id());
  Millis pause = kFirstEndPause;
  while (true) {
    co_await Sleep(mNode.mIo, pause);
    pause = std::min(kLongestEndPause, pause * 2);
    const Result<std::optional<StoreItem>> item =
        co_await mNode.mStore.Get(key);
    if (!item) {
      continue;
    }
    const Result<StepRecord> stored =
        *item ? DecodeStepRecord((*item)->mValue)
              : Error(ErrorKind::NotFound, "The step was removed.");
    if (!stored) {
      break;
    }
    const bool mine = (*item)->mRevision == aStep->mRevision;
    StepRecord record = *stored;
    record.mEnded = true;
    if (!stored->mEnded) {
      StoreChange change = EndingChange(*aStep, record);
      change.mGuards = {{key, (*item)->mRevision}};
      if (!mine) {
        // The new owner learns in this way that it has lost the step.
        change.mPuts.push_back(
            {TakeoverKey(stored->mRun), std::to_string(WallClockMs()), 0});
      }
      const Result<StoreCommit> done =
          co_await mNode.mStore.Commit(std::move(change));
      if (!done || !done->mApplied) {
        continue;
      }
    }
    // If another node has owned the step or an answer was lost, the results
    // here may not be all of them.
    aStep->mWriteUncertain = aStep->mWriteUncertain || !mine;
    CloseEnded(aStep, record);
    co_return;
  }
  Release(aStep);
}

bool RolloutService::Owns(const std::string& aId) const {
  return mSteps.contains(aId);
}

size_t RolloutService::OpenSteps() const { return mSteps.size(); }

asio::awaitable<void> RolloutService::Run() {
  // Continues while the node drains, so that texts that end meanwhile are
  // listed.
  while (true) {
    co_await Sleep(mNode.mIo, kTick);
    Tick();
  }
}

std::vector<RolloutService::StepPtr> RolloutService::RunningSteps() const {
  std::vector<StepPtr> steps;
  for (const auto& [id, step] : mSteps) {
    if (step->mRunning) {
      steps.push_back(step);
    }
  }
  return steps;
}

void RolloutService::Tick() {
  const Millis now = mNode.Now();
  bool verify = false;
  MoveFromLeavingReplicas();
  for (const StepPtr& step : RunningSteps()) {
    if (!step->HasRoute()) {
      AdoptRoute(*step);
    }
    if (now > step->mGiveUpAt && !step->mTracker.AllEnded()) {
      Event("step-overdue")
          .Id(step->Id())
          .Number("ended", static_cast<int64_t>(step->mTracker.Ended()))
          .Write();
      step->mTracker.TerminateUnfinished();
    }
    verify = verify ||
             (step->mAccepted && now - step->mVerifiedAt > kVerifyInterval);
    step->mTracker.RequeueDeferred(
        [&](size_t aItem) { return MayRun(*step, aItem); });
    ScheduleFlush(step);
    ScheduleSpool(step);
    MoveFromSlowReplicas(step);
  }
  ForgetFormerSteps();
  if (verify && !mVerifying) {
    Launch(mNode.mIo, "verify",
           [](RolloutService* aSelf) -> asio::awaitable<void> {
             // A failed check is repeated at the next tick.
             co_await aSelf->VerifyAll();
           }(this));
  }
  StartReadyItems();
}

}  // namespace rillwall
