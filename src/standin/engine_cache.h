/// \file
/// Prefix cache (KV cache) of the engine stand-in, and the cache events that it
/// publishes.

#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rillwall/millis.h"

namespace rillwall::standin {

/// Tokens per cached block.
inline constexpr int64_t kBlockTokens = 16;

/// Hash of a block and of all blocks before it.
using BlockHash = uint64_t;

/// \return the hashes of the complete blocks of a text, in order
std::vector<BlockHash> HashBlocks(std::string_view aText);

/// A change of the cache: a block was stored or evicted.
struct CacheEvent {
  uint64_t mNumber = 0;  ///< sequence number
  bool mStored = false;  ///< false: the block was evicted
  BlockHash mPrefix = 0;
  Millis mAt;
};

/// An LRU cache of blocks with a capacity in tokens. Single-threaded.
class PrefixCache {
 public:
  /// Looks up a prompt and marks the blocks of the cached prefix as used.
  /// \return the tokens of the longest cached prefix
  int64_t Match(const std::vector<BlockHash>& aBlocks);
  /// Adds blocks and evicts the least recently used ones.
  /// \param aTokens present capacity of the cache
  void Store(const std::vector<BlockHash>& aBlocks, int64_t aTokens,
             Millis aNow);
  /// Evicts blocks until the cache holds at most aTokens.
  void Shrink(int64_t aTokens, Millis aNow);
  int64_t Tokens() const {
    return static_cast<int64_t>(mEntryByHash.size()) * kBlockTokens;
  }
  /// \return the events with a number above aNumber that happened at aBefore or
  /// earlier. Some events are dropped, as by real engines, so that readers must
  /// handle gaps in the numbers.
  std::vector<CacheEvent> Since(uint64_t aNumber, Millis aBefore) const;

 private:
  void Touch(std::list<BlockHash>::iterator aEntry);
  void RecordEvent(bool aStored, BlockHash aPrefix, Millis aNow);

  std::list<BlockHash> mLruOrder;  ///< most recently used first
  std::unordered_map<BlockHash, std::list<BlockHash>::iterator> mEntryByHash;
  std::deque<CacheEvent> mEvents;
  uint64_t mLastEvent = 0;
};

}  // namespace rillwall::standin
