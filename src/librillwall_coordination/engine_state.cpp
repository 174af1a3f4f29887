#include "engine_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rillwall {

namespace {
constexpr double kDefaultSlots = 16;
constexpr double kReportMemoryMs = 4000;
}  // namespace

EngineState::EngineState(Upstream aUpstream, const BreakerLimits& aLimits)
    : mUpstream(std::move(aUpstream)),
      mLimits(aLimits),
      mBreaker(aLimits),
      mLeaving(mUpstream.mLeaving) {}

void EngineState::Update(Upstream aUpstream) {
  mListed = true;
  if (aUpstream.mGeneration != mUpstream.mGeneration) {
    mBreaker = Breaker(mLimits);
    mHasReport = false;
    mReport = LoadReport();
    mOwnAtReport = 0;
    mLeaving = false;
  }
  // The list lags: it does not undo what another source said earlier.
  mLeaving = mLeaving || aUpstream.mLeaving;
  mUpstream = std::move(aUpstream);
}

void EngineState::Report(const LoadReport& aReport) {
  mReport = aReport;
  mHasReport = true;
  mOwnAtReport = Own();
  mLeaving = mLeaving || aReport.mLeaving;
}

void EngineState::Started(CallClass aClass, uint64_t aTicket, Millis aNow) {
  ++(aClass == CallClass::Interactive ? mInteractive : mTraining);
  mBreaker.Started(aTicket, aNow);
}

void EngineState::Progress(uint64_t aTicket, int64_t, Millis aNow) {
  mBreaker.Succeeded(aTicket, aNow);
}

void EngineState::Ended(CallClass aClass, uint64_t aTicket,
                        CallOutcome aOutcome, bool aSameGeneration,
                        Millis aNow) {
  --(aClass == CallClass::Interactive ? mInteractive : mTraining);
  if (!aSameGeneration) {
    return;
  }
  switch (aOutcome) {
    case CallOutcome::Done:
      mBreaker.Succeeded(aTicket, aNow);
      return;
    case CallOutcome::Refused:
      mBreaker.Refused(aTicket, aNow);
      return;
    case CallOutcome::Failed:
    case CallOutcome::TimedOut:
      mBreaker.Failed(aTicket, aNow);
      return;
    case CallOutcome::Cancelled:
      mBreaker.Cancelled(aTicket, aNow);
      return;
  }
}

bool EngineState::Usable(Millis aNow) const {
  return mListed && !mLeaving && mBreaker.Allows(aNow);
}

int64_t EngineState::Own(CallClass aClass) const {
  return aClass == CallClass::Interactive ? mInteractive : mTraining;
}

double EngineState::Others(double aPrior, Millis aNow) const {
  if (!mHasReport) {
    return aPrior;
  }
  const int64_t reported = mReport.mRunning + mReport.mWaiting;
  const auto others =
      static_cast<double>(std::max<int64_t>(reported - mOwnAtReport, 0));
  const double age = static_cast<double>((aNow - mReport.mAt).Count());
  const double weight = std::exp(-std::max(age, 0.0) / kReportMemoryMs);
  return others * weight + aPrior * (1 - weight);
}

double EngineState::Load(double aPrior, Millis aNow) const {
  return static_cast<double>(Own()) + Others(aPrior, aNow);
}

double EngineState::Limit(CallClass aClass, Millis aNow) const {
  const double slots =
      mHasReport ? static_cast<double>(mReport.mSlots) : kDefaultSlots;
  const double limit = std::max(slots * mBreaker.Share(aNow), 1.0);
  if (aClass == CallClass::Interactive) {
    return limit;
  }
  return std::max(std::floor(limit * (1 - mHeadroom)), 1.0);
}

int64_t EngineState::Room(CallClass aClass, double aPrior, Millis aNow) const {
  if (!Usable(aNow)) {
    return 0;
  }
  if (mBreaker.State() != BreakerState::Closed) {
    return 1;
  }
  const double room = Limit(aClass, aNow) - Load(aPrior, aNow);
  return std::max<int64_t>(static_cast<int64_t>(std::floor(room)), 0);
}

}  // namespace rillwall
