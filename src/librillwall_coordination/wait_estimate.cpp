#include "wait_estimate.h"

#include <algorithm>
#include <cmath>

namespace rillwall {

namespace {
constexpr double kMemoryMs = 4000;
constexpr double kLeastAgeMs = 200;
constexpr double kLeastRate = 1e-9;
constexpr double kLongestWaitMs = 3600e3;
constexpr double kSmoothing = 0.05;

double Decay(Millis aSpan) {
  return std::exp(-static_cast<double>(aSpan.Count()) / kMemoryMs);
}
}  // namespace

void WaitEstimate::Started(Millis aNow) {
  if (mStarts == 0) {
    mFirst = aNow;
  }
  mStarts = mStarts * Decay(aNow - mLast) + 1;
  mLast = aNow;
}

void WaitEstimate::Ended(Millis aSpan) {
  const auto span = static_cast<double>(aSpan.Count());
  mUsualMs += (span - mUsualMs) * (mUsualMs == 0 ? 1 : kSmoothing);
}

double WaitEstimate::StartRate(Millis aNow) const {
  const double age = static_cast<double>((aNow - mFirst).Count());
  // The memory is not full yet just after the first start.
  const double filled = 1 - std::exp(-std::max(age, kLeastAgeMs) / kMemoryMs);
  return mStarts * Decay(aNow - mLast) / (kMemoryMs * filled);
}

Millis WaitEstimate::Wait(double aAhead, int64_t aInFlight, Millis aNow) const {
  if (mUsualMs == 0) {
    return Millis(0);
  }
  const double turnover = static_cast<double>(aInFlight) / mUsualMs;
  const double rate = std::max({StartRate(aNow), turnover, kLeastRate});
  const double wait = std::min(aAhead / rate, kLongestWaitMs);
  return Millis(static_cast<int64_t>(wait));
}

}  // namespace rillwall
