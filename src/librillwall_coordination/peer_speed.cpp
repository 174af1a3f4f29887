#include "peer_speed.h"

#include <algorithm>
#include <cmath>

namespace rillwall {

namespace {
constexpr double kMemoryMs = 8000;
constexpr double kEnoughMs = 1000;
// A full batch slows a stream to about half without any fault.
constexpr double kSlow = 0.6;
constexpr double kLeastWeight = 0.05;
}  // namespace

void StreamSpeed::Fade(Millis aNow) {
  const double age = static_cast<double>((aNow - mAt).Count());
  const double factor = std::exp(-std::max(age, 0.0) / kMemoryMs);
  mTokens *= factor;
  mSpan *= factor;
  mAt = aNow;
}

void StreamSpeed::Add(int64_t aTokens, Millis aSpan, Millis aNow) {
  Fade(aNow);
  mTokens += static_cast<double>(aTokens);
  mSpan += static_cast<double>(aSpan.Count());
}

bool StreamSpeed::Known(Millis aNow) const {
  const double age = static_cast<double>((aNow - mAt).Count());
  return mSpan * std::exp(-std::max(age, 0.0) / kMemoryMs) >= kEnoughMs;
}

double SpeedWeight(double aSpeed, double aMedian) {
  if (aMedian <= 0 || aSpeed >= aMedian * kSlow) {
    return 1.0;
  }
  return std::max(aSpeed / aMedian, kLeastWeight);
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
