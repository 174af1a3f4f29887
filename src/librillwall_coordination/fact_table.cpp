#include "fact_table.h"

#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rillwall {

namespace {

bool Greater(const Fact& aLeft, const Fact& aRight) {
  return std::tie(aLeft.mRevision, aLeft.mValue) >
         std::tie(aRight.mRevision, aRight.mValue);
}

uint64_t FactDigest(const Fact& aFact) {
  const uint64_t key = XXH3_64bits(aFact.mKey.data(), aFact.mKey.size());
  const uint64_t value = XXH3_64bits_withSeed(
      aFact.mValue.data(), aFact.mValue.size(), aFact.mRevision);
  return XXH3_64bits_withSeed(&value, sizeof(value), key);
}

}  // namespace

FactMergeResult FactTable::Merge(const Fact& aFact) {
  const auto [position, isNew] = mFacts.try_emplace(aFact.mKey, aFact);
  if (isNew) {
    return FactMergeResult::Newer;
  }
  Fact& known = position->second;
  if (Greater(aFact, known)) {
    known = aFact;
    return FactMergeResult::Newer;
  }
  return known == aFact ? FactMergeResult::Same : FactMergeResult::Older;
}

const Fact* FactTable::Find(std::string_view aKey) const {
  const auto position = mFacts.find(aKey);
  return position == mFacts.end() ? nullptr : &position->second;
}

std::vector<Fact> FactTable::WithPrefix(std::string_view aPrefix) const {
  std::vector<Fact> facts;
  for (auto position = mFacts.lower_bound(aPrefix);
       position != mFacts.end() && position->first.starts_with(aPrefix);
       ++position) {
    facts.push_back(position->second);
  }
  return facts;
}

uint64_t FactTable::Digest() const {
  uint64_t digest = 0;
  for (const auto& [key, fact] : mFacts) {
    digest ^= FactDigest(fact);
  }
  return digest;
}

}  // namespace rillwall
