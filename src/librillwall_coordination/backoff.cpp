#include "rillwall/backoff.h"

#include <algorithm>

namespace rillwall {

Millis BackoffDelay(int aFailures, Millis aBase, Millis aMax) {
  constexpr int kMaxDoublings = 20;
  const int doublings = std::clamp(aFailures - 1, 0, kMaxDoublings);
  return std::min(aBase * (int64_t{1} << doublings), aMax);
}

Millis Jitter::FullJitter(Millis aSpan) {
  std::uniform_int_distribution<int64_t> part(
      0, std::max<int64_t>(aSpan.Count(), 0));
  return Millis(part(mRandom));
}

Millis Jitter::EqualJitter(Millis aSpan) {
  const Millis half = aSpan / 2;
  return half + FullJitter(aSpan - half);
}

}  // namespace rillwall
