#include "engine_state.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace rillwall {

namespace {
constexpr Millis kStalledAfter{3000};
// A report this young says that the engine answers.
constexpr Millis kReportAnswers{3000};

LimiterSignals SignsOf(const DispatchTuning& aTuning) {
  return {.mReports = aTuning.mLimitByReports,
          .mFirstTokens = aTuning.mLimitByFirstTokens};
}

/// The same on every node, and spread evenly over engines.
double RoundingOf(const std::string& aId) {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(XXH3_64bits(aId.data(), aId.size())) / kRange;
}

// Until the first report; other nodes know as little.
constexpr int64_t kFirstInteractiveShare = 16;
constexpr int64_t kFirstTrainingShare = 1;

SlotShare InteractiveShare(const DispatchTuning& aTuning) {
  return {{.mGain = aTuning.mInteractiveGain,
           .mEmptyFraction = aTuning.mInteractiveEmpty,
           .mRebalance = aTuning.mInteractiveBack,
           .mAtLeastOne = true},
          kFirstInteractiveShare};
}

SlotShare TrainingShare(const DispatchTuning& aTuning) {
  return {{.mGain = aTuning.mTrainingGain,
           .mEmptyFraction = aTuning.mTrainingEmpty},
          kFirstTrainingShare};
}
}  // namespace

EngineState::EngineState(Upstream aUpstream, const BreakerLimits& aLimits,
                         const DispatchTuning& aTuning)
    : mUpstream(std::move(aUpstream)),
      mLimits(aLimits),
      mTuning(&aTuning),
      mBreaker(aLimits),
      mLimiter(SignsOf(aTuning)),
      mLeaving(mUpstream.mLeaving),
      mInteractiveShare(InteractiveShare(aTuning)),
      mTrainingShare(TrainingShare(aTuning)),
      mRounding(RoundingOf(mUpstream.mId)) {}

void EngineState::Update(Upstream aUpstream) {
  mListed = true;
  if (aUpstream.mGeneration != mUpstream.mGeneration) {
    mBreaker = Breaker(mLimits);
    mLimiter = Limiter(SignsOf(*mTuning));
    mSpeed.Clear();
    mWeight = 1;
    mHasReport = false;
    mReport = LoadReport();
    mOwnAtReport = 0;
    mInteractiveShare = InteractiveShare(*mTuning);
    mTrainingShare = TrainingShare(*mTuning);
    mLeaving = false;
    mLeavingUntil = Millis(0);
  }
  // The list lags: it does not undo what another source said earlier.
  mLeaving = mLeaving || aUpstream.mLeaving;
  mUpstream = std::move(aUpstream);
}

void EngineState::Report(const LoadReport& aReport, double aRandom) {
  SmoothOwn(aReport.mAt);
  mReport = aReport;
  mHasReport = true;
  mOwnAtReport = mOwnSmooth;
  mLimiter.Report(aReport);
  mLeaving = mLeaving || aReport.mLeaving;
  ShareSlots(aRandom);
}

void EngineState::SmoothOwn(Millis aNow) {
  const double age = static_cast<double>((aNow - mOwnSmoothAt).Count());
  const double memory =
      std::max<double>(static_cast<double>(mTuning->mOwnMemory.Count()), 1e-3);
  const double weight = std::exp(-std::max(age, 0.0) / memory);
  mOwnSmooth += (static_cast<double>(Own()) - mOwnSmooth) * (1 - weight);
  mOwnSmoothAt = aNow;
}

void EngineState::ShareSlots(double aRandom) {
  const Millis now = mReport.mAt;
  const auto total = static_cast<double>(mReport.mRunning + mReport.mWaiting);
  mInteractiveShare.Report({.mOwn = static_cast<double>(Own()),
                            .mTotal = total,
                            .mTarget = Limit(CallClass::Interactive, now),
                            .mRandom = aRandom});
  mTrainingShare.Report({.mOwn = static_cast<double>(mTraining),
                         .mTotal = total,
                         .mTarget = Limit(CallClass::Training, now),
                         .mRandom = aRandom});
}

void EngineState::Started(CallClass aClass, uint64_t aTicket, Millis aNow) {
  if (Own() == 0) {
    mQuietSince = aNow;
  }
  SmoothOwn(aNow);
  ++(aClass == CallClass::Interactive ? mInteractive : mTraining);
  ++mAwaiting;
  mBreaker.Started(aTicket, aNow);
}

void EngineState::FirstToken(CallClass aClass, uint64_t aTicket, Millis aTime,
                             Millis aNow) {
  --mAwaiting;
  mLimiter.FirstToken(aClass, aTime);
  mQuietSince = aNow;
  mBreaker.Succeeded(aTicket, aNow);
}

void EngineState::Progress(uint64_t aTicket, int64_t aTokens, Millis aSpan,
                           Millis aNow) {
  mSpeed.Add(aTokens, aSpan, aNow);
  mQuietSince = aNow;
  mBreaker.Succeeded(aTicket, aNow);
}

void EngineState::Ended(CallClass aClass, uint64_t aTicket,
                        CallOutcome aOutcome, bool aStreaming,
                        bool aSameGeneration, Millis aNow) {
  SmoothOwn(aNow);
  const bool silent = Stalled(aNow) && !Queues(aNow);
  mAwaiting -= aStreaming ? 0 : 1;
  --(aClass == CallClass::Interactive ? mInteractive : mTraining);
  if (!aSameGeneration) {
    return;
  }
  switch (aOutcome) {
    case CallOutcome::Done:
      mBreaker.Succeeded(aTicket, aNow);
      return;
    case CallOutcome::Refused:
      mLimiter.Refused();
      mBreaker.Refused(aTicket, aNow);
      return;
    case CallOutcome::TimedOut:
      if (!aStreaming && Queues(aNow)) {
        // It waited in the engine's own queue: the engine is busy, not dead.
        mLimiter.Refused();
        mBreaker.Cancelled(aTicket, aNow);
        return;
      }
      mBreaker.Failed(aTicket, aNow);
      return;
    case CallOutcome::Failed:
      mBreaker.Failed(aTicket, aNow);
      return;
    case CallOutcome::Cancelled:
      if (silent) {
        // Given up because nothing came.
        mBreaker.Failed(aTicket, aNow);
        return;
      }
      mBreaker.Cancelled(aTicket, aNow);
      return;
  }
}

bool EngineState::Usable(Millis aNow) const {
  const bool staying = mListed && !mLeaving && aNow >= mLeavingUntil;
  return staying && mBreaker.Allows(aNow) && !Stalled(aNow);
}

bool EngineState::Queues(Millis aNow) const {
  return mHasReport && mReport.mWaiting > 0 &&
         aNow - mReport.mAt < kReportAnswers;
}

bool EngineState::Stalled(Millis aNow) const {
  return Own() > 0 && aNow - mQuietSince > kStalledAfter;
}

void EngineState::WeighAgainst(double aMedian, Millis aNow) {
  const bool judged = mTuning->mWeighSpeed && mSpeed.Known(aNow);
  mWeight = judged ? SpeedWeight(mSpeed.PerSecond(), aMedian) : 1.0;
}

int64_t EngineState::Own(CallClass aClass) const {
  return aClass == CallClass::Interactive ? mInteractive : mTraining;
}

double EngineState::Others(double aPrior, Millis aNow) const {
  if (!mHasReport) {
    return aPrior;
  }
  const double own = mTuning->mOwnCountedOnce ? mOwnAtReport : 0;
  const auto reported =
      static_cast<double>(mReport.mRunning + mReport.mWaiting);
  const double others = std::max(reported - own, 0.0);
  const double age = static_cast<double>((aNow - mReport.mAt).Count());
  const double memory = static_cast<double>(mTuning->mReportMemory.Count());
  const double weight = std::exp(-std::max(age, 0.0) / memory);
  const double prior = mTuning->mDecayToPeers ? aPrior : 0;
  return others * weight + prior * (1 - weight);
}

double EngineState::Load(double aPrior, Millis aNow) const {
  return static_cast<double>(Own()) + Others(aPrior, aNow);
}

double EngineState::Limit(CallClass aClass, Millis aNow) const {
  const double share = mBreaker.Share(aNow) * mWeight;
  const double limit = std::max(mLimiter.Limit() * share, 1.0);
  if (aClass == CallClass::Interactive) {
    return limit;
  }
  // Of few slots the headroom is less than one: some engines keep one free.
  const double open = std::floor(limit * (1 - mHeadroom) + mRounding);
  return std::clamp(open, 1.0, limit);
}

bool EngineState::Overdue(CallClass aClass, Millis aStarted,
                          Millis aNow) const {
  return mLimiter.Overdue(aClass, aNow - aStarted);
}

void EngineState::LowerLimit(int64_t aOverdue, double aPrior, Millis aNow) {
  mLimiter.Lower(Load(aPrior, aNow) - static_cast<double>(aOverdue));
}

double EngineState::FreeSlots(CallClass aClass, double aPrior,
                              Millis aNow) const {
  const double room = Limit(aClass, aNow) - Load(aPrior, aNow);
  if (!mTuning->mShareSlots) {
    return room;
  }
  const int64_t share = aClass == CallClass::Interactive
                            ? mInteractiveShare.Allowed() - Own()
                            : mTrainingShare.Allowed() - mTraining;
  return std::min(room, static_cast<double>(share));
}

int64_t EngineState::Room(CallClass aClass, double aPrior, Millis aNow) const {
  if (!Usable(aNow)) {
    return 0;
  }
  if (mBreaker.State() != BreakerState::Closed) {
    return 1;
  }
  const double room = std::floor(FreeSlots(aClass, aPrior, aNow));
  return std::max<int64_t>(static_cast<int64_t>(room), 0);
}

bool EngineState::FreesRoom(double aPrior, Millis aNow) const {
  return Usable(aNow) && FreeSlots(CallClass::Interactive, aPrior, aNow) > -1;
}

}  // namespace rillwall
