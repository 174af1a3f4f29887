#include "slot_share.h"

#include <algorithm>
#include <cmath>

namespace rillwall {

namespace {
constexpr double kMaxBoost = 16;
constexpr double kHalf = 0.5;
// One report may be older than the calls started since.
constexpr int kOpenReports = 2;
}  // namespace

void SlotShare::Adapt(const SlotReport& aReport) {
  const bool used = aReport.mOwn >= static_cast<double>(mAllowed);
  const bool open = used && aReport.mTotal <= aReport.mTarget * kHalf;
  mOpenReports = open ? mOpenReports + 1 : 0;
  if (aReport.mTotal >= aReport.mTarget) {
    mBoost = 1;
  } else if (mOpenReports >= kOpenReports) {
    mBoost = std::min(mBoost * 2, kMaxBoost);
  }
}

void SlotShare::Report(const SlotReport& aReport) {
  Adapt(aReport);
  const double target = std::max(aReport.mTarget, 1.0);
  const double free = target - aReport.mTotal;
  const double own = aReport.mOwn / std::max(aReport.mTotal, 1.0);
  const double empty = mGain.mEmptyFraction * mBoost * free / target;
  const double share = std::clamp(std::max(own, empty), 0.0, 1.0);
  double more = mGain.mGain * share * free;
  if (mGain.mAtLeastOne && free >= target * kHalf) {
    more = std::max(more, 1.0);
  }
  // A holder of a larger part gives up more of it, so that parts even out.
  const double part = std::clamp(own, 0.0, 1.0);
  const double back = mGain.mRebalance * part * (1 - part) * aReport.mOwn;
  const double allowed = std::max(aReport.mOwn + more - back, 0.0);
  // Rounded at random, so that nodes do not all take the same last slot.
  mAllowed = static_cast<int64_t>(std::floor(allowed + aReport.mRandom));
}

}  // namespace rillwall
