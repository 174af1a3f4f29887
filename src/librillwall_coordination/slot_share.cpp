#include "slot_share.h"

#include <algorithm>
#include <cmath>

namespace rillwall {

namespace {
constexpr double kMaxBoost = 16;
constexpr double kHalf = 0.5;
// Not 1, because a report may be older than the calls started since.
constexpr int kUnderusedReports = 2;
}  // namespace

void SlotShare::UpdateBoost(const SlotReport& aReport) {
  const bool used = aReport.mOwn >= static_cast<double>(mAllowed);
  const bool underused = used && aReport.mTotal <= aReport.mTarget * kHalf;
  mUnderusedReports = underused ? mUnderusedReports + 1 : 0;
  if (aReport.mTotal >= aReport.mTarget) {
    mBoost = 1;
  } else if (mUnderusedReports >= kUnderusedReports) {
    mBoost = std::min(mBoost * 2, kMaxBoost);
  }
}

void SlotShare::Report(const SlotReport& aReport) {
  UpdateBoost(aReport);
  const double target = std::max(aReport.mTarget, 1.0);
  const double free = target - aReport.mTotal;
  const double own = aReport.mOwn / std::max(aReport.mTotal, 1.0);
  const double empty = mGain.mEmptyFraction * mBoost * free / target;
  const double share = std::clamp(std::max(own, empty), 0.0, 1.0);
  double more = mGain.mGain * share * free;
  if (mGain.mAtLeastOne && free >= target * kHalf) {
    more = std::max(more, 1.0);
  }
  // Nodes with larger parts give back more, so that the parts even out.
  const double part = std::clamp(own, 0.0, 1.0);
  const double returned = mGain.mRebalance * part * (1 - part) * aReport.mOwn;
  const double allowed = std::max(aReport.mOwn + more - returned, 0.0);
  // Random rounding keeps nodes from all claiming the same last slot.
  mAllowed = static_cast<int64_t>(std::floor(allowed + aReport.mRandom));
}

}  // namespace rillwall
