#include "engine_cache.h"

#include "engine_text.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rillwall::standin {

namespace {

constexpr size_t kBlockBytes = kBlockTokens * kPromptBytesPerToken;
constexpr size_t kMaxEvents = 4096;
/// Every so many events one is lost, so that readers meet gaps.
constexpr uint64_t kLossInterval = 37;

}  // namespace

std::vector<BlockHash> BlocksOf(std::string_view aText) {
  std::vector<BlockHash> blocks;
  blocks.reserve(aText.size() / kBlockBytes);
  BlockHash hash = 0;
  for (size_t at = 0; at + kBlockBytes <= aText.size(); at += kBlockBytes) {
    hash = XXH3_64bits_withSeed(aText.data() + at, kBlockBytes, hash);
    blocks.push_back(hash);
  }
  return blocks;
}

void PrefixCache::Touch(std::list<BlockHash>::iterator aPlace) {
  mByUse.splice(mByUse.begin(), mByUse, aPlace);
}

void PrefixCache::Log(bool aStored, BlockHash aPrefix, Millis aNow) {
  ++mLastEvent;
  if (mLastEvent % kLossInterval == 0) {
    return;
  }
  mEvents.push_back({mLastEvent, aStored, aPrefix, aNow});
  if (mEvents.size() > kMaxEvents) {
    mEvents.pop_front();
  }
}

int64_t PrefixCache::Match(const std::vector<BlockHash>& aBlocks) {
  size_t matched = 0;
  while (matched < aBlocks.size() && mPlaces.contains(aBlocks[matched])) {
    ++matched;
  }
  // A prefix's first block must outlive the later ones, so it is used last.
  for (size_t index = matched; index-- > 0;) {
    Touch(mPlaces.at(aBlocks[index]));
  }
  return static_cast<int64_t>(matched) * kBlockTokens;
}

void PrefixCache::Store(const std::vector<BlockHash>& aBlocks, int64_t aTokens,
                        Millis aNow) {
  for (size_t index = aBlocks.size(); index-- > 0;) {
    const BlockHash block = aBlocks[index];
    const auto found = mPlaces.find(block);
    if (found != mPlaces.end()) {
      Touch(found->second);
      continue;
    }
    mByUse.push_front(block);
    mPlaces.emplace(block, mByUse.begin());
    Log(true, block, aNow);
  }
  Shrink(aTokens, aNow);
}

void PrefixCache::Shrink(int64_t aTokens, Millis aNow) {
  while (!mByUse.empty() && Tokens() > aTokens) {
    const BlockHash oldest = mByUse.back();
    mByUse.pop_back();
    mPlaces.erase(oldest);
    Log(false, oldest, aNow);
  }
}

std::vector<CacheEvent> PrefixCache::Since(uint64_t aNumber,
                                           Millis aBefore) const {
  std::vector<CacheEvent> events;
  for (const CacheEvent& event : mEvents) {
    if (event.mNumber > aNumber && event.mAt <= aBefore) {
      events.push_back(event);
    }
  }
  return events;
}

}  // namespace rillwall::standin
