#include "peer_speed.h"

#include <algorithm>
#include <cmath>

namespace rillwall {

namespace {
constexpr double kDecayMs = 8000;
constexpr double kMinSpanMs = 1000;
// Share of the median below which an engine counts as slow. A full batch alone
// halves the speed of a stream, without any fault.
constexpr double kSlowThreshold = 0.6;
constexpr double kMinWeight = 0.05;
}  // namespace

void StreamSpeed::Decay(Millis aNow) {
  const double age = static_cast<double>((aNow - mAt).Count());
  const double factor = std::exp(-std::max(age, 0.0) / kDecayMs);
  mTokens *= factor;
  mSpan *= factor;
  mAt = aNow;
}

void StreamSpeed::Add(int64_t aTokens, Millis aSpan, Millis aNow) {
  Decay(aNow);
  mTokens += static_cast<double>(aTokens);
  mSpan += static_cast<double>(aSpan.Count());
}

bool StreamSpeed::Known(Millis aNow) const {
  const double age = static_cast<double>((aNow - mAt).Count());
  return mSpan * std::exp(-std::max(age, 0.0) / kDecayMs) >= kMinSpanMs;
}

double SpeedWeight(double aSpeed, double aMedian) {
  if (aMedian <= 0 || aSpeed >= aMedian * kSlowThreshold) {
    return 1.0;
  }
  return std::max(aSpeed / aMedian, kMinWeight);
}

double Median(std::vector<double> aValues) {
  if (aValues.empty()) {
    return 0;
  }
  const auto middle =
      aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

}  // namespace rillwall
