#include "rillwall/replica_pace.h"

#include <algorithm>
#include <cmath>

namespace rillwall {

namespace {

/// A replica that turns slower shows within this; prompts that are read in
/// between delay single events by some ten ms and hardly show.
constexpr double kRecentMs = 400;
/// The usual pace falls at once to what the replica can do, and rises over
/// some ten seconds: a fault that slows a replica ends, its hardware stays.
constexpr double kUsualFallMs = 1000;
constexpr double kUsualRiseMs = 15000;
/// A recent pace is worth this long without a measurement.
constexpr Millis kRecentAge{2000};
/// One gap counts for this much at most: a stalled stream is noticed by its own
/// time limit.
constexpr double kLongestGap = 1000;

double Blend(double aBefore, double aNew, double aSpan, double aConstant) {
  const double weight = 1 - std::exp(-aSpan / aConstant);
  return aBefore + (aNew - aBefore) * weight;
}

}  // namespace

void ReplicaPace::Observe(double aMsPerEvent, Millis aNow) {
  const double gap = std::min(aMsPerEvent, kLongestGap);
  if (mRecent == 0) {
    mRecent = gap;
    mUsual = gap;
    mAt = aNow;
    return;
  }
  // A gap speaks for the time that it took at the most.
  const auto since = static_cast<double>((aNow - mAt).Count());
  const double span = std::clamp(since, 0.0, gap);
  const bool stale = aNow - mAt >= kRecentAge;
  mRecent = stale ? gap : Blend(mRecent, gap, span, kRecentMs);
  const double constant = mRecent < mUsual ? kUsualFallMs : kUsualRiseMs;
  mUsual = Blend(mUsual, mRecent, span, constant);
  mAt = aNow;
}

double ReplicaPace::At(Millis aNow) const {
  return aNow - mAt < kRecentAge ? mRecent : mUsual;
}

}  // namespace rillwall
