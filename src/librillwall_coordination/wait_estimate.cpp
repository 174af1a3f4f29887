#include "wait_estimate.h"

#include <algorithm>
#include <cmath>

namespace rillwall {

namespace {
constexpr double kDecayMs = 4000;
constexpr double kMinAgeMs = 200;
constexpr double kMinRate = 1e-9;
constexpr double kMaxWaitMs = 3600e3;
constexpr double kSmoothing = 0.05;

double Decay(Millis aSpan) {
  return std::exp(-static_cast<double>(aSpan.Count()) / kDecayMs);
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
  mMeanRunMs += (span - mMeanRunMs) * (mMeanRunMs == 0 ? 1 : kSmoothing);
}

double WaitEstimate::StartRate(Millis aNow) const {
  const double age = static_cast<double>((aNow - mFirst).Count());
  // Shortly after the first start the decayed count covers only a part of the
  // decay time.
  const double filled = 1 - std::exp(-std::max(age, kMinAgeMs) / kDecayMs);
  return mStarts * Decay(aNow - mLast) / (kDecayMs * filled);
}

Millis WaitEstimate::Wait(double aAhead, int64_t aInFlight, Millis aNow) const {
  if (mMeanRunMs == 0) {
    return Millis(0);
  }
  const double turnover = static_cast<double>(aInFlight) / mMeanRunMs;
  const double rate = std::max({StartRate(aNow), turnover, kMinRate});
  const double wait = std::min(aAhead / rate, kMaxWaitMs);
  return Millis(static_cast<int64_t>(wait));
}

}  // namespace rillwall
