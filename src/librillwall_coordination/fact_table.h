/// \file
/// Facts shared by all nodes: a set of max-registers.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/membership.h"

namespace rillwall {

/// What became of a fact offered to a table.
enum class FactVerdict {
  Same,   ///< known already
  Older,  ///< a greater one is known
  Newer,  ///< taken in
};

/// Registers by key in which the greatest (revision, value) wins. Taking facts
/// in is commutative, associative and idempotent, so that tables which have
/// seen the same facts are equal, whatever the order.
class FactTable {
 public:
  /// Takes a fact in if it is greater than the one known.
  FactVerdict Take(const Fact& aFact);
  /// \return the fact of this key, or nullptr
  const Fact* Find(std::string_view aKey) const;
  /// \return facts whose key starts with aPrefix, ordered by key
  std::vector<Fact> Under(std::string_view aPrefix) const;
  /// \return a digest that is equal for equal tables
  uint64_t Digest() const;

 private:
  std::map<std::string, Fact, std::less<>> mFacts;
};

}  // namespace rillwall
