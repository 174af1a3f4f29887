#include "limiter.h"

#include <algorithm>

namespace rillwall {

namespace {
/// Consecutive reports with waiting calls beside free slots that lower the
/// limit.
constexpr int kShortfallReports = 2;
/// Applied to the limit when the engine refuses a call.
constexpr double kRefusedFactor = 0.9;
/// Weights of a new time to first token in the usual time, by direction.
constexpr double kUsualRiseWeight = 0.01;
constexpr double kUsualFallWeight = 0.1;
/// A call is overdue after this multiple of the usual time, but not before
/// kMinOverdueMs.
constexpr double kOverdueFactor = 3;
constexpr double kMinOverdueMs = 500;
/// Utilization of the limit from which it rises.
constexpr double kBusyShare = 0.8;
/// Step by which the limit rises, relative and at least.
constexpr double kRaiseShare = 0.05;
constexpr double kMinRaise = 0.25;

size_t ClassIndex(CallClass aClass) {
  return aClass == CallClass::Interactive ? 0 : 1;
}
}  // namespace

void Limiter::Report(const LoadReport& aReport) {
  const double slots =
      static_cast<double>(std::max<int64_t>(aReport.mSlots, 1));
  const bool atBound = mLimit >= mSlots;
  mSlots = slots;
  mLimit = atBound ? slots : std::min(mLimit, slots);
  const auto running = static_cast<double>(aReport.mRunning);
  const bool shortfall =
      mSignals.mReports && aReport.mWaiting > 0 && running < slots;
  mShortfallReports = shortfall ? mShortfallReports + 1 : 0;
  if (mShortfallReports >= kShortfallReports) {
    mLimit = std::clamp(running, 1.0, mLimit);
  } else if (!shortfall && !mLowered && running >= mLimit * kBusyShare) {
    mLimit += std::max(mLimit * kRaiseShare, kMinRaise);
    mLimit = std::min(mLimit, mSlots);
  }
  mLowered = false;
}

void Limiter::FirstToken(CallClass aClass, Millis aTime) {
  const double time = std::max<double>(static_cast<double>(aTime.Count()), 1);
  double& usual = mUsual[ClassIndex(aClass)];
  if (usual == 0) {
    usual = time;
  }
  // The usual time rises slowly, so that it does not adapt to a lasting queue.
  usual +=
      (time - usual) * (time > usual ? kUsualRiseWeight : kUsualFallWeight);
}

bool Limiter::Overdue(CallClass aClass, Millis aTime) const {
  const double usual = mUsual[ClassIndex(aClass)];
  const double bound = std::max(usual * kOverdueFactor, kMinOverdueMs);
  return mSignals.mFirstTokens && usual > 0 &&
         static_cast<double>(aTime.Count()) > bound;
}

void Limiter::Lower(double aSustained) {
  mLimit = std::clamp(aSustained, 1.0, mLimit);
  mLowered = true;
}

void Limiter::Refused() { mLimit = std::max(mLimit * kRefusedFactor, 1.0); }

}  // namespace rillwall
