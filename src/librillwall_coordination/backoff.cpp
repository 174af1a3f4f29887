#include "backoff.h"

#include <algorithm>

namespace rillwall {

Millis FailurePause(int aFailures, Millis aBase, Millis aMost) {
  constexpr int kMostDoublings = 20;
  const int doublings = std::clamp(aFailures - 1, 0, kMostDoublings);
  return std::min(aBase * (int64_t{1} << doublings), aMost);
}

}  // namespace rillwall
