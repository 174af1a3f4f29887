#include "prefix_affinity.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace rillwall {

namespace {
constexpr uint64_t kPointsPerEngine = 24;
}  // namespace

PrefixRing::PrefixRing(const std::vector<std::string>& aIds) {
  mPoints.reserve(aIds.size() * kPointsPerEngine);
  for (uint32_t index = 0; index < aIds.size(); ++index) {
    const std::string& id = aIds[index];
    for (uint64_t point = 0; point < kPointsPerEngine; ++point) {
      const uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), point);
      mPoints.push_back(Point{hash, index});
    }
  }
  std::sort(mPoints.begin(), mPoints.end());
}

size_t PrefixRing::Home(uint64_t aPrefix) const {
  // Prefix hashes need not be spread evenly; the points are.
  const uint64_t hash = XXH3_64bits(&aPrefix, sizeof(aPrefix));
  const auto found =
      std::lower_bound(mPoints.begin(), mPoints.end(), Point{hash, 0});
  return found == mPoints.end() ? 0
                                : static_cast<size_t>(found - mPoints.begin());
}

}  // namespace rillwall
