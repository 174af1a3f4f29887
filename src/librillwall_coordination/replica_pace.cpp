#include "rillwall/replica_pace.h"

#include <algorithm>
#include <cmath>

namespace rillwall {

namespace {

/// A slowdown is visible within this time. Prompts that are read in between
/// delay single events by some ten ms, which has little effect.
constexpr double kRecentTimeConstantMs = 400;
/// The long-term pace falls quickly to what the replica can do, and rises over
/// some ten seconds: a fault that slows a replica is temporary, its hardware is
/// not.
constexpr double kUsualFallTimeConstantMs = 1000;
constexpr double kUsualRiseTimeConstantMs = 15000;
/// Age at which the recent pace is replaced by the long-term pace.
constexpr Millis kRecentMaxAge{2000};
/// Limit on a single gap: a stalled stream is detected by its own timeout.
constexpr double kMaxGapMs = 1000;

double Blend(double aBefore, double aNew, double aSpan, double aTimeConstant) {
  const double weight = 1 - std::exp(-aSpan / aTimeConstant);
  return aBefore + (aNew - aBefore) * weight;
}

}  // namespace

void ReplicaPace::Observe(double aMsPerEvent, Millis aNow) {
  const double gap = std::min(aMsPerEvent, kMaxGapMs);
  if (mRecent == 0) {
    mRecent = gap;
    mUsual = gap;
    mAt = aNow;
    return;
  }
  // A gap is weighted by at most its own length.
  const auto since = static_cast<double>((aNow - mAt).Count());
  const double span = std::clamp(since, 0.0, gap);
  const bool stale = aNow - mAt >= kRecentMaxAge;
  mRecent = stale ? gap : Blend(mRecent, gap, span, kRecentTimeConstantMs);
  const double timeConstant =
      mRecent < mUsual ? kUsualFallTimeConstantMs : kUsualRiseTimeConstantMs;
  mUsual = Blend(mUsual, mRecent, span, timeConstant);
  mAt = aNow;
}

double ReplicaPace::At(Millis aNow) const {
  return aNow - mAt < kRecentMaxAge ? mRecent : mUsual;
}

}  // namespace rillwall
