#include "claim.h"

#include <algorithm>
#include <cmath>

namespace rillwall {

int64_t Claim(const ClaimInput& aInput) {
  const double free = aInput.mTarget - aInput.mTotal;
  const double own = aInput.mOwn / std::max(aInput.mTotal, 1.0);
  const double empty = aInput.mEmpty * free / std::max(aInput.mTarget, 1.0);
  const double share = std::clamp(std::max(own, empty), 0.0, 1.0);
  const double allowed = aInput.mOwn + aInput.mGain * share * free;
  // Rounded at random, so that nodes do not all take the same last slot.
  return static_cast<int64_t>(
      std::floor(std::max(allowed, 0.0) + aInput.mRandom));
}

}  // namespace rillwall
