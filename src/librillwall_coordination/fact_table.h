/// \file
/// Facts shared by all nodes: a set of max-registers that are merged by gossip.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/membership.h"

namespace rillwall {

/// Result of merging a fact into a table.
enum class FactMergeResult {
  Same,   ///< already known
  Older,  ///< a greater one is known; not stored
  Newer,  ///< stored
};

/// Registers by key in which the greatest (revision, value) wins. Merging is
/// commutative, associative and idempotent, so tables that have merged the same
/// facts are equal, whatever the order.
class FactTable {
 public:
  /// Stores a fact if it is greater than the known one.
  FactMergeResult Merge(const Fact& aFact);
  /// \return the fact with this key, or nullptr
  const Fact* Find(std::string_view aKey) const;
  /// \return facts whose key starts with aPrefix, ordered by key
  std::vector<Fact> WithPrefix(std::string_view aPrefix) const;
  /// \return a digest that is equal for equal tables
  uint64_t Digest() const;

 private:
  std::map<std::string, Fact, std::less<>> mFacts;
};

}  // namespace rillwall
