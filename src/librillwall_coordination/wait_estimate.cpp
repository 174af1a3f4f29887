#include "wait_estimate.h"

#include <algorithm>
#include <cmath>

namespace rillwall {

namespace {
constexpr double kMemoryMs = 4000;
constexpr double kLeastAgeMs = 200;
constexpr double kLongestWaitMs = 3600e3;

double Decay(Millis aSpan) {
  return std::exp(-static_cast<double>(aSpan.Count()) / kMemoryMs);
}
}  // namespace

void WaitEstimate::Freed(Millis aNow) {
  if (!mAny) {
    mFirst = aNow;
    mAny = true;
  }
  mCount = mCount * Decay(aNow - mLast) + 1;
  mLast = aNow;
}

double WaitEstimate::Rate(Millis aNow) const {
  const double decayed = mCount * Decay(aNow - mLast);
  const double age = static_cast<double>((aNow - mFirst).Count());
  // The memory is not full yet just after the first event.
  const double filled = 1 - std::exp(-std::max(age, kLeastAgeMs) / kMemoryMs);
  return decayed / (kMemoryMs * filled);
}

Millis WaitEstimate::Wait(double aAhead, Millis aNow) const {
  if (!mAny) {
    return Millis(0);
  }
  const double rate = Rate(aNow);
  const double wait = (aAhead + 1) / std::max(rate, 1e-9);
  return Millis(static_cast<int64_t>(std::min(wait, kLongestWaitMs)));
}

}  // namespace rillwall
