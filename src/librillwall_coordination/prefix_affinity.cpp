#include "prefix_affinity.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace rillwall {

namespace {
constexpr uint64_t kPointsPerEngine = 24;
constexpr double kDecayMs = 10000;

double Decayed(double aCount, Millis aAge) {
  return aCount * std::exp(-static_cast<double>(aAge.Count()) / kDecayMs);
}
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

size_t PrefixRing::FindHome(uint64_t aPrefix) const {
  // Hashed again because prefix hashes are not necessarily uniform.
  const uint64_t hash = XXH3_64bits(&aPrefix, sizeof(aPrefix));
  const auto found =
      std::lower_bound(mPoints.begin(), mPoints.end(), Point{hash, 0});
  return found == mPoints.end() ? 0
                                : static_cast<size_t>(found - mPoints.begin());
}

double PrefixShares::Add(uint64_t aPrefix, Millis aNow) {
  mTotal.mCount = Decayed(mTotal.mCount, aNow - mTotal.mAt) + 1;
  mTotal.mAt = aNow;
  const uint64_t hash = XXH3_64bits(&aPrefix, sizeof(aPrefix));
  Entry& entry = mEntries[hash % kEntries];
  entry.mCount = Decayed(entry.mCount, aNow - entry.mAt);
  entry.mAt = aNow;
  if (entry.mPrefix != aPrefix) {
    // Of two prefixes in the same entry the more popular one stays.
    if (entry.mCount > 1) {
      entry.mCount -= 1;
      return 1 / mTotal.mCount;
    }
    entry = Entry{aPrefix, 0, aNow};
  }
  entry.mCount += 1;
  return std::min(entry.mCount / mTotal.mCount, 1.0);
}

}  // namespace rillwall
