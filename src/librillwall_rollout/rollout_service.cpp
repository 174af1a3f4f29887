#include "rillwall/rollout_service.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "item_run.h"
#include "rillwall/event_log.h"
#include "rollout_step.h"

namespace rillwall {

namespace {

/// Look at open steps; far under the bounds that it keeps.
constexpr Millis kTick{100};
/// Without readers: soon enough to end the runs of a step that another node
/// has ended (3 s).
constexpr Millis kVerifyIdle{1500};
/// Given up after this if the route names no longest wait.
constexpr Millis kDefaultMaxWait{60000};
/// Texts kept for groups of one account that may come again; some steps' worth.
constexpr size_t kMaxCarried = 2000;
/// Results in one answer, in bytes of text; an answer holds 1 MB at most.
constexpr size_t kMaxReadBytes = 900 * 1000;
/// Text of ended steps kept in memory, those read least recently leave first:
/// some 40 steps of 200 texts of 5 KB, a sixth of the smallest host with a disk
/// among those with so many. Older ones are read from the store again.
constexpr size_t kArchiveBytes = 40 * 1024 * 1024;
constexpr size_t kMaxPlaces = 4096;
/// One change of the platform's store takes 32 entries.
constexpr int64_t kMaxPartRemoves = 28;

/// \return tokens that a step is expected to generate
double WorkOf(const RolloutSpec& aSpec) {
  int64_t tokens = 0;
  for (const RolloutItem& item : aSpec.mItems) {
    tokens += item.mLengthHint > 0 ? item.mLengthHint : item.mTokens;
  }
  return static_cast<double>(tokens);
}

size_t SizeOf(const RolloutResult& aResult) {
  constexpr size_t kFields = 160;
  return aResult.mOutput.size() + aResult.mScore.size() + kFields;
}

}  // namespace

RolloutRead ReadFrom(const std::vector<RolloutResult>& aListed, int64_t aFirst,
                     int64_t aTotal, int64_t aAfter) {
  RolloutRead read;
  read.mTotal = aTotal;
  size_t bytes = 0;
  size_t at = static_cast<size_t>(std::max<int64_t>(aAfter - aFirst, 0));
  while (at < aListed.size()) {
    bytes += SizeOf(aListed[at]);
    if (!read.mResults.empty() && bytes > kMaxReadBytes) {
      break;
    }
    read.mResults.push_back(aListed[at]);
    ++at;
  }
  read.mNext = aAfter + static_cast<int64_t>(read.mResults.size());
  return read;
}

RolloutService::RolloutService(NodeContext& aNode, SpecDecoder aDecoder)
    : mSpool(aNode.mIo),
      mNode(aNode),
      mDecoder(std::move(aDecoder)),
      mArchives(kArchiveBytes) {}

RolloutService::~RolloutService() = default;

RolloutService::StepPtr RolloutService::MakeStep(RolloutSpec aSpec,
                                                 const Route& aRoute,
                                                 StepRecord aRecord,
                                                 int64_t aRevision) {
  RolloutTracker tracker(std::move(aSpec), aRoute.mAttempts,
                         aRoute.mSingleVersion);
  const std::string id = tracker.Spec().mId;
  const Millis wait =
      aRoute.mMaxWait > Millis(0) ? aRoute.mMaxWait : kDefaultMaxWait;
  const Millis age(std::max<int64_t>(0, WallClockMs() - aRecord.mAcceptedMs));
  auto step = std::make_shared<RolloutStep>(
      mNode.mIo, std::move(tracker), aRoute, std::move(aRecord), aRevision);
  step->mGiveUpAt = mNode.Now() + wait - age;
  if (aRoute.mDueIn > Millis(0)) {
    step->mDueAt = mNode.Now() + aRoute.mDueIn - age;
  }
  step->mVerifiedAt = mNode.Now();
  mSteps[id] = step;
  mPlaces.erase(id);
  if (mOnStep) {
    mOnStep(step->mTracker.Spec(), WorkOf(step->mTracker.Spec()));
  }
  return step;
}

asio::awaitable<Result<RolloutLocation>> RolloutService::Locate(std::string aId,
                                                                bool aAdopt) {
  if (mAcceptances.contains(aId)) {
    co_return Error(ErrorKind::Unavailable, "The step is being accepted.");
  }
  if (mSteps.contains(aId) || mArchives.Knows(aId)) {
    co_return RolloutLocation{RolloutLocation::Kind::Local, {}, false};
  }
  const auto known = mPlaces.find(aId);
  if (known != mPlaces.end() && !aAdopt) {
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
    const bool answers = co_await Answers(record->mAddress);
    take = !answers;
  }
  if (!take) {
    if (mPlaces.size() > kMaxPlaces) {
      mPlaces.clear();
    }
    mPlaces[aId] = record->mAddress;
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
  return mSteps.contains(aId) || mArchives.Knows(aId) || mPlaces.contains(aId);
}

void RolloutService::ForgetLocation(const std::string& aId) {
  mPlaces.erase(aId);
}

asio::awaitable<Result<RolloutRead>> RolloutService::Read(std::string aId,
                                                          int64_t aAfter,
                                                          Millis aWait) {
  if (mArchives.Knows(aId)) {
    co_return ReadFrom(mArchives.From(aId, aAfter), aAfter,
                       mArchives.Total(aId), aAfter);
  }
  const auto found = mSteps.find(aId);
  if (found == mSteps.end()) {
    co_return Error(ErrorKind::Unavailable, "The step has moved.");
  }
  const StepPtr step = found->second;
  const Millis until = mNode.Now() + aWait;
  while (step->mRunning && mNode.Now() < until &&
         static_cast<int64_t>(step->mListed.size()) <= aAfter) {
    // A timer of its own bounds the wait; a change ends it sooner.
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
  if (static_cast<int64_t>(step->mListed.size()) <= aAfter) {
    // What is listed never changes, whoever owns the step; that there is no
    // more of it only its owner can say.
    const std::optional<Error> unsure = co_await Verify(step);
    if (unsure) {
      co_return *unsure;
    }
  }
  const auto total = static_cast<int64_t>(step->mTracker.Total());
  co_return ReadFrom(step->mListed, 0, total, aAfter);
}

std::optional<std::string> RolloutService::Body(
    const std::string& aId, const std::string& aItem) const {
  const auto found = mSteps.find(aId);
  if (found == mSteps.end()) {
    return std::nullopt;
  }
  const RolloutTracker& tracker = found->second->mTracker;
  const std::optional<size_t> index = tracker.IndexOf(aItem);
  return index ? std::optional(tracker.Item(*index).mBody) : std::nullopt;
}

void RolloutService::StopRuns(RolloutStep& aStep) {
  aStep.mRunning = false;
  for (const auto& [item, stream] : aStep.mStreams) {
    stream->Abort();
  }
  aStep.Notify();
}

void RolloutService::Drop(const StepPtr& aStep, const char* aWhy) {
  mSpool.Remove(aStep->Id());
  Event("step-lost").Id(aStep->Id()).Text("why", aWhy).Write();
  mNode.mMetrics.Count("steps_lost_total");
  StopRuns(*aStep);
  const auto found = mSteps.find(aStep->Id());
  if (found != mSteps.end() && found->second == aStep) {
    mSteps.erase(found);
  }
}

void RolloutService::Carry(const RolloutStep& aStep) {
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
    co_return ended
        ? std::nullopt
        : std::optional(Error(ErrorKind::Unavailable, "The step has moved."));
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
  StoreChange change;
  change.mGuards.push_back({StepKey(aId), step->mRevision});
  change.mPuts.push_back({StepKey(aId), EncodeStepRecord(record), 0});
  // What is left of unfinished texts is of no more use; more than one change
  // removes goes with the step itself.
  for (int64_t i = 0; i < std::min(step->mNextPart, kMaxPartRemoves); ++i) {
    change.mRemoves.push_back(PartKey(aId, i));
  }
  const Result<StoreCommit> done =
      co_await mNode.mStore.Commit(std::move(change));
  if (!done) {
    co_return done.error().WithRunState(RunState::Unknown);
  }
  const StoreItem* current =
      done->mApplied ? nullptr : done->Find(StepKey(aId));
  if (!done->mApplied && current != nullptr) {
    const Result<StepRecord> now = DecodeStepRecord(current->mValue);
    if (now && !now->mEnded) {
      Drop(step, "ended after it had moved");
      co_return Error(ErrorKind::Unavailable, "The step has moved.");
    }
  }
  step->mRecord = record;
  mSpool.Remove(aId);
  Event("step-ended")
      .Id(aId)
      .Number("listed", static_cast<int64_t>(step->mListed.size()))
      .Number("total", static_cast<int64_t>(step->mTracker.Total()))
      .Number("whole_groups",
              static_cast<int64_t>(step->mTracker.WholeGroups()))
      .Write();
  Carry(*step);
  if (!step->mUnsettled) {
    const auto total = static_cast<int64_t>(step->mTracker.Total());
    mArchives.Add(aId, 0, total, step->mListed);
  }
  mSteps.erase(aId);
  co_return std::nullopt;
}

bool RolloutService::Owns(const std::string& aId) const {
  return mSteps.contains(aId);
}

size_t RolloutService::OpenSteps() const { return mSteps.size(); }

asio::awaitable<void> RolloutService::Run() {
  // Also while the node drains: what ends meanwhile is listed.
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
  for (const StepPtr& step : RunningSteps()) {
    if (now > step->mGiveUpAt && !step->mTracker.AllEnded()) {
      Event("step-overdue")
          .Id(step->Id())
          .Number("ended", static_cast<int64_t>(step->mTracker.Ended()))
          .Write();
      step->mTracker.TerminateUnfinished();
    }
    verify =
        verify || (step->mAccepted && now - step->mVerifiedAt > kVerifyIdle);
    step->mTracker.RequeueDeferred(
        [&](size_t aItem) { return !ItemHeld(mNode, *step, aItem); });
    ScheduleFlush(step);
    ScheduleSpool(step);
    MoveFromSlow(step);
  }
  if (verify && !mVerifying) {
    Launch(mNode.mIo, "verify",
           [](RolloutService* aSelf) -> asio::awaitable<void> {
             // What fails is asked again at the next look.
             co_await aSelf->VerifyAll();
           }(this));
  }
  StartReadyItems();
}

}  // namespace rillwall
