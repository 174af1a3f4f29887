/// \file
/// The ranking of the engines and the spacing of their loads. Every node
/// computes the same values.

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <tuple>

#include "rillwall/swap_plan.h"

namespace rillwall {

namespace {

struct Ranked {
  uint64_t mHash = 0;
  std::string mId;
  bool operator<(const Ranked& aOther) const {
    return std::tie(mHash, mId) < std::tie(aOther.mHash, aOther.mId);
  }
};

Millis TransferTime(const ModelRule& aRule, int64_t aBytes) {
  constexpr double kBytesPerMilliPerMBps = 1000;
  if (aRule.mWeightStoreMBps <= 0) {
    return Millis(0);
  }
  const double bytesPerMilli = aRule.mWeightStoreMBps * kBytesPerMilliPerMBps;
  const double millis = static_cast<double>(aBytes) / bytesPerMilli;
  return Millis(static_cast<int64_t>(millis + 1));
}

}  // namespace

std::vector<std::string> SwapRanks(std::vector<std::string> aIds,
                                   int64_t aVersion) {
  std::vector<Ranked> ranked;
  ranked.reserve(aIds.size());
  for (std::string& id : aIds) {
    const uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(),
                                               static_cast<uint64_t>(aVersion));
    ranked.push_back({hash, std::move(id)});
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> ids;
  ids.reserve(ranked.size());
  for (Ranked& each : ranked) {
    ids.push_back(std::move(each.mId));
  }
  return ids;
}

Millis SwapSpacing(const SwapLimits& aLimits, const ModelRule& aRule,
                   int64_t aBytes, size_t aEngines, Millis aLoadTime) {
  const Millis transfer = TransferTime(aRule, aBytes);
  if (aRule.mMaxSwapping > 0) {
    return std::max(transfer, aLoadTime / aRule.mMaxSwapping);
  }
  // Spreads the loads over the time that the bound leaves, so that as few
  // engines as possible load at the same time.
  const Millis spare = aLimits.mBound - aLimits.mSpreadMargin - aLoadTime;
  const auto engines = static_cast<int64_t>(std::max<size_t>(aEngines, 1));
  return std::max({transfer, spare / engines, Millis(0)});
}

}  // namespace rillwall
