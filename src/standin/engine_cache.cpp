#include "engine_cache.h"

#include "engine_text.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rillwall::standin {

namespace {

constexpr size_t kBlockBytes = kBlockTokens * kPromptBytesPerToken;
constexpr size_t kMaxEvents = 4096;
/// One of this many events is dropped, so that readers must handle gaps.
constexpr uint64_t kDropInterval = 37;

}  // namespace

std::vector<BlockHash> HashBlocks(std::string_view aText) {
  std::vector<BlockHash> blocks;
  blocks.reserve(aText.size() / kBlockBytes);
  BlockHash hash = 0;
  for (size_t at = 0; at + kBlockBytes <= aText.size(); at += kBlockBytes) {
    hash = XXH3_64bits_withSeed(aText.data() + at, kBlockBytes, hash);
    blocks.push_back(hash);
  }
  return blocks;
}

void PrefixCache::Touch(std::list<BlockHash>::iterator aEntry) {
  mLruOrder.splice(mLruOrder.begin(), mLruOrder, aEntry);
}

void PrefixCache::RecordEvent(bool aStored, BlockHash aPrefix, Millis aNow) {
  ++mLastEvent;
  if (mLastEvent % kDropInterval == 0) {
    return;
  }
  mEvents.push_back({mLastEvent, aStored, aPrefix, aNow});
  if (mEvents.size() > kMaxEvents) {
    mEvents.pop_front();
  }
}

int64_t PrefixCache::Match(const std::vector<BlockHash>& aBlocks) {
  size_t matched = 0;
  while (matched < aBlocks.size() && mEntryByHash.contains(aBlocks[matched])) {
    ++matched;
  }
  // A block is useless without the blocks before it. Touching the first block
  // last makes it the last one to be evicted.
  for (size_t index = matched; index-- > 0;) {
    Touch(mEntryByHash.at(aBlocks[index]));
  }
  return static_cast<int64_t>(matched) * kBlockTokens;
}

void PrefixCache::Store(const std::vector<BlockHash>& aBlocks, int64_t aTokens,
                        Millis aNow) {
  for (size_t index = aBlocks.size(); index-- > 0;) {
    const BlockHash block = aBlocks[index];
    const auto found = mEntryByHash.find(block);
    if (found != mEntryByHash.end()) {
      Touch(found->second);
      continue;
    }
    mLruOrder.push_front(block);
    mEntryByHash.emplace(block, mLruOrder.begin());
    RecordEvent(true, block, aNow);
  }
  Shrink(aTokens, aNow);
}

void PrefixCache::Shrink(int64_t aTokens, Millis aNow) {
  while (!mLruOrder.empty() && Tokens() > aTokens) {
    const BlockHash oldest = mLruOrder.back();
    mLruOrder.pop_back();
    mEntryByHash.erase(oldest);
    RecordEvent(false, oldest, aNow);
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
