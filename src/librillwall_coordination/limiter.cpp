#include "limiter.h"

#include <algorithm>

namespace rillwall {

namespace {
constexpr int kShortReports = 2;
constexpr double kRefusedFactor = 0.9;
constexpr double kUsualRise = 0.01;
constexpr double kUsualFall = 0.1;
constexpr double kOverdueFactor = 3;
constexpr double kLeastOverdueMs = 500;
constexpr double kBusyShare = 0.8;
constexpr double kRaiseShare = 0.05;
constexpr double kLeastRaise = 0.25;

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
  const bool held = mSigns.mReports && aReport.mWaiting > 0 && running < slots;
  mShortReports = held ? mShortReports + 1 : 0;
  if (mShortReports >= kShortReports) {
    mLimit = std::clamp(running, 1.0, mLimit);
  } else if (!held && !mLowered && running >= mLimit * kBusyShare) {
    mLimit += std::max(mLimit * kRaiseShare, kLeastRaise);
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
  // The usual time rises slowly, so that a lasting queue is not taken for it.
  usual += (time - usual) * (time > usual ? kUsualRise : kUsualFall);
}

bool Limiter::Overdue(CallClass aClass, Millis aTime) const {
  const double usual = mUsual[ClassIndex(aClass)];
  const double bound = std::max(usual * kOverdueFactor, kLeastOverdueMs);
  return mSigns.mFirstTokens && usual > 0 &&
         static_cast<double>(aTime.Count()) > bound;
}

void Limiter::Lower(double aHeld) {
  mLimit = std::clamp(aHeld, 1.0, mLimit);
  mLowered = true;
}

void Limiter::Refused() { mLimit = std::max(mLimit * kRefusedFactor, 1.0); }

}  // namespace rillwall
