#include "slot_share.h"

#include <algorithm>
#include <cmath>

namespace rillwall {

namespace {
constexpr double kMaxBoost = 16;
constexpr double kHalf = 0.5;
}  // namespace

void SlotShare::Adapt(const SlotReport& aReport) {
  const bool used = aReport.mOwn >= static_cast<double>(mAllowed);
  if (aReport.mTotal >= aReport.mTarget) {
    mBoost = 1;
  } else if (used && aReport.mTotal <= aReport.mTarget * kHalf) {
    mBoost = std::min(mBoost * 2, kMaxBoost);
  }
}

void SlotShare::Report(const SlotReport& aReport) {
  Adapt(aReport);
  const double target = std::max(aReport.mTarget, 1.0);
  const double free = target - aReport.mTotal;
  const double own = aReport.mOwn / std::max(aReport.mTotal, 1.0);
  const double empty = mGain.mEmpty * mBoost * free / target;
  const double share = std::clamp(std::max(own, empty), 0.0, 1.0);
  double more = mGain.mGain * share * free;
  if (mGain.mAtLeastOne && free >= target * kHalf) {
    more = std::max(more, 1.0);
  }
  const double allowed = std::max(aReport.mOwn + more, 0.0);
  // Rounded at random, so that nodes do not all take the same last slot.
  mAllowed = static_cast<int64_t>(std::floor(allowed + aReport.mRandom));
}

}  // namespace rillwall
