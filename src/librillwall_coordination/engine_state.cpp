#include "engine_state.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace rillwall {

namespace {
constexpr Millis kStalledAfter{3000};
// A report younger than this shows that the engine responds.
constexpr Millis kFreshReportAge{3000};

LimiterSignals SignalsOf(const DispatchTuning& aTuning) {
  return {.mReports = aTuning.mLimitByReports,
          .mFirstTokens = aTuning.mLimitByFirstTokens};
}

/// \return a value in [0, 1) that is the same on every node and uniformly
/// distributed over engines
double HeadroomRounding(const std::string& aId) {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(XXH3_64bits(aId.data(), aId.size())) / kRange;
}

// Calls that this node may start before the first report. The other nodes have
// no report either and may start as many.
constexpr int64_t kInitialInteractiveSlots = 16;
constexpr int64_t kInitialTrainingSlots = 1;

SlotShare InteractiveShare(const DispatchTuning& aTuning) {
  return {{.mGain = aTuning.mInteractiveGain,
           .mEmptyFraction = aTuning.mInteractiveEmptyFraction,
           .mRebalance = aTuning.mInteractiveRebalance,
           .mAtLeastOne = true},
          kInitialInteractiveSlots};
}

SlotShare TrainingShare(const DispatchTuning& aTuning) {
  return {{.mGain = aTuning.mTrainingGain,
           .mEmptyFraction = aTuning.mTrainingEmptyFraction},
          kInitialTrainingSlots};
}
}  // namespace

EngineState::EngineState(Upstream aUpstream, const BreakerLimits& aLimits,
                         const DispatchTuning& aTuning)
    : mUpstream(std::move(aUpstream)),
      mLimits(aLimits),
      mTuning(&aTuning),
      mBreaker(aLimits),
      mLimiter(SignalsOf(aTuning)),
      mLeaving(mUpstream.mLeaving),
      mInteractiveShare(InteractiveShare(aTuning)),
      mTrainingShare(TrainingShare(aTuning)),
      mHeadroomRounding(HeadroomRounding(mUpstream.mId)) {}

void EngineState::Update(Upstream aUpstream) {
  mListed = true;
  if (aUpstream.mGeneration != mUpstream.mGeneration) {
    mBreaker = Breaker(mLimits);
    mLimiter = Limiter(SignalsOf(*mTuning));
    mSpeed.Clear();
    mWeight = 1;
    mHasReport = false;
    mReport = LoadReport();
    mOwnCallsAtReport = 0;
    mInteractiveShare = InteractiveShare(*mTuning);
    mTrainingShare = TrainingShare(*mTuning);
    mLeaving = false;
    mLeavingUntil = Millis(0);
  }
  // The host list lags, so it does not clear a mark that another source set.
  mLeaving = mLeaving || aUpstream.mLeaving;
  mUpstream = std::move(aUpstream);
}

void EngineState::Report(const LoadReport& aReport, double aRandom) {
  UpdateSmoothedOwnCalls(aReport.mAt);
  mReport = aReport;
  mHasReport = true;
  mOwnCallsAtReport = mSmoothedOwnCalls;
  mLimiter.Report(aReport);
  mLeaving = mLeaving || aReport.mLeaving;
  UpdateSlotShares(aRandom);
}

void EngineState::UpdateSmoothedOwnCalls(Millis aNow) {
  const double age = static_cast<double>((aNow - mSmoothedAt).Count());
  const double decayMs = std::max<double>(
      static_cast<double>(mTuning->mOwnSmoothingTime.Count()), 1e-3);
  const double weight = std::exp(-std::max(age, 0.0) / decayMs);
  mSmoothedOwnCalls +=
      (static_cast<double>(OwnCalls()) - mSmoothedOwnCalls) * (1 - weight);
  mSmoothedAt = aNow;
}

void EngineState::UpdateSlotShares(double aRandom) {
  const Millis now = mReport.mAt;
  const auto total = static_cast<double>(mReport.mRunning + mReport.mWaiting);
  mInteractiveShare.Report({.mOwn = static_cast<double>(OwnCalls()),
                            .mTotal = total,
                            .mTarget = Limit(CallClass::Interactive, now),
                            .mRandom = aRandom});
  mTrainingShare.Report({.mOwn = static_cast<double>(mTraining),
                         .mTotal = total,
                         .mTarget = Limit(CallClass::Training, now),
                         .mRandom = aRandom});
}

void EngineState::Started(CallClass aClass, uint64_t aTicket, Millis aNow) {
  if (OwnCalls() == 0) {
    mLastActivity = aNow;
  }
  UpdateSmoothedOwnCalls(aNow);
  ++(aClass == CallClass::Interactive ? mInteractive : mTraining);
  ++mAwaitingFirstToken;
  mBreaker.Started(aTicket, aNow);
}

void EngineState::FirstToken(CallClass aClass, uint64_t aTicket, Millis aTime,
                             Millis aNow) {
  --mAwaitingFirstToken;
  mLimiter.FirstToken(aClass, aTime);
  mLastActivity = aNow;
  mBreaker.Succeeded(aTicket, aNow);
}

void EngineState::Progress(uint64_t aTicket, int64_t aTokens, Millis aSpan,
                           Millis aNow) {
  mSpeed.Add(aTokens, aSpan, aNow);
  mLastActivity = aNow;
  mBreaker.Succeeded(aTicket, aNow);
}

void EngineState::Ended(CallClass aClass, uint64_t aTicket,
                        CallOutcome aOutcome, bool aStreaming,
                        bool aSameGeneration, Millis aNow) {
  UpdateSmoothedOwnCalls(aNow);
  const bool noProgress = Stalled(aNow) && !HasWaitingCalls(aNow);
  mAwaitingFirstToken -= aStreaming ? 0 : 1;
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
      if (!aStreaming && HasWaitingCalls(aNow)) {
        // The call waited in the engine's own queue: the engine is busy, not
        // dead.
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
      if (noProgress) {
        // The owner cancelled the call because the engine delivered nothing.
        mBreaker.Failed(aTicket, aNow);
        return;
      }
      mBreaker.Cancelled(aTicket, aNow);
      return;
  }
}

bool EngineState::Usable(Millis aNow) const {
  const bool inService = mListed && !mLeaving && aNow >= mLeavingUntil;
  return inService && mBreaker.Allows(aNow) && !Stalled(aNow);
}

bool EngineState::HasWaitingCalls(Millis aNow) const {
  return mHasReport && mReport.mWaiting > 0 &&
         aNow - mReport.mAt < kFreshReportAge;
}

bool EngineState::Stalled(Millis aNow) const {
  return OwnCalls() > 0 && aNow - mLastActivity > kStalledAfter;
}

void EngineState::UpdateSpeedWeight(double aMedian, Millis aNow) {
  const bool hasSamples = mTuning->mWeightBySpeed && mSpeed.Known(aNow);
  mWeight = hasSamples ? SpeedWeight(mSpeed.PerSecond(), aMedian) : 1.0;
}

int64_t EngineState::OwnCalls(CallClass aClass) const {
  return aClass == CallClass::Interactive ? mInteractive : mTraining;
}

double EngineState::OtherLoad(double aPrior, Millis aNow) const {
  if (!mHasReport) {
    return aPrior;
  }
  const double own = mTuning->mSubtractOwnCalls ? mOwnCallsAtReport : 0;
  const auto reported =
      static_cast<double>(mReport.mRunning + mReport.mWaiting);
  const double others = std::max(reported - own, 0.0);
  const double age = static_cast<double>((aNow - mReport.mAt).Count());
  const double decayMs = static_cast<double>(mTuning->mReportDecayTime.Count());
  const double weight = std::exp(-std::max(age, 0.0) / decayMs);
  const double prior = mTuning->mDecayToPeerMean ? aPrior : 0;
  return others * weight + prior * (1 - weight);
}

double EngineState::Load(double aPrior, Millis aNow) const {
  return static_cast<double>(OwnCalls()) + OtherLoad(aPrior, aNow);
}

double EngineState::Limit(CallClass aClass, Millis aNow) const {
  const double share = mBreaker.SlowStartShare(aNow) * mWeight;
  const double limit = std::max(mLimiter.Limit() * share, 1.0);
  if (aClass == CallClass::Interactive) {
    return limit;
  }
  // With few slots the headroom is less than one slot. The rounding by the ID
  // makes some engines keep a slot free and others none.
  const double open = std::floor(limit * (1 - mHeadroom) + mHeadroomRounding);
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
  const double freeSlots = Limit(aClass, aNow) - Load(aPrior, aNow);
  if (!mTuning->mShareSlots) {
    return freeSlots;
  }
  const int64_t share = aClass == CallClass::Interactive
                            ? mInteractiveShare.Allowed() - OwnCalls()
                            : mTrainingShare.Allowed() - mTraining;
  return std::min(freeSlots, static_cast<double>(share));
}

int64_t EngineState::FreeSlotCount(CallClass aClass, double aPrior,
                                   Millis aNow) const {
  if (!Usable(aNow)) {
    return 0;
  }
  if (mBreaker.State() != BreakerState::Closed) {
    return 1;
  }
  const double freeSlots = std::floor(FreeSlots(aClass, aPrior, aNow));
  return std::max<int64_t>(static_cast<int64_t>(freeSlots), 0);
}

bool EngineState::WouldFreeSlot(double aPrior, Millis aNow) const {
  return Usable(aNow) && FreeSlots(CallClass::Interactive, aPrior, aNow) > -1;
}

}  // namespace rillwall
