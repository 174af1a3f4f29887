/// \file
/// The engine stand-in's prefix cache and the events it publishes.

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

/// Tokens in one cached block.
inline constexpr int64_t kBlockTokens = 16;

/// A block's hash covers the block and all before it.
using BlockHash = uint64_t;

/// \return hashes of the whole blocks of a text, first block first
std::vector<BlockHash> BlocksOf(std::string_view aText);

/// One change of the cache.
struct CacheEvent {
  uint64_t mNumber = 0;
  bool mStored = false;  ///< else evicted
  BlockHash mPrefix = 0;
  Millis mAt;
};

/// Keeps the most recently used blocks within a number of tokens.
class PrefixCache {
 public:
  /// \return tokens of the longest cached prefix; its blocks count as used
  int64_t Match(const std::vector<BlockHash>& aBlocks);
  /// Adds blocks and evicts the least recently used ones.
  /// \param aTokens room of the cache now
  void Store(const std::vector<BlockHash>& aBlocks, int64_t aTokens,
             Millis aNow);
  /// Drops blocks until the cache fits.
  void Shrink(int64_t aTokens, Millis aNow);
  int64_t Tokens() const {
    return static_cast<int64_t>(mPlaces.size()) * kBlockTokens;
  }
  /// Events later than a number and not younger than an instant. Some numbers
  /// are missing, as with real engines.
  std::vector<CacheEvent> Since(uint64_t aNumber, Millis aBefore) const;

 private:
  void Touch(std::list<BlockHash>::iterator aPlace);
  void Log(bool aStored, BlockHash aPrefix, Millis aNow);

  std::list<BlockHash> mByUse;  ///< most recently used first
  std::unordered_map<BlockHash, std::list<BlockHash>::iterator> mPlaces;
  std::deque<CacheEvent> mEvents;
  uint64_t mLastEvent = 0;
};

}  // namespace rillwall::standin
