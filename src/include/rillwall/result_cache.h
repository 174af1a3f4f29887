/// \file
/// Cache of results of steps that other nodes own.
///
/// A listed result never changes its position or content. What was read once
/// can therefore be served again without asking the owner: from any position,
/// to any client, and while the owner or the store is unreachable. Pure; use it
/// on one thread.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rillwall/rollout.h"

namespace rillwall {

/// Results by step and position, limited in size.
class ResultCache {
 public:
  /// \param aMaxBytes size of the cached text; the least recently used steps
  /// are evicted first
  explicit ResultCache(size_t aMaxBytes) : mMaxBytes(aMaxBytes) {}

  /// Adds results. Positions that were not read through this node may be
  /// missing, because reading them ahead would cost more bytes than it saves.
  /// \param aFirst position of the first result
  /// \param aTotal number of items of the step
  void Add(const std::string& aStep, int64_t aFirst, int64_t aTotal,
           const std::vector<RolloutResult>& aResults);
  /// \return cached results from position aFirst up to the first missing one
  std::vector<RolloutResult> From(const std::string& aStep, int64_t aFirst);
  /// \return number of items of a step, 0 if unknown
  int64_t Total(const std::string& aStep) const;
  bool Knows(const std::string& aStep) const { return mSteps.contains(aStep); }
  size_t Bytes() const { return mBytes; }

 private:
  struct Step {
    std::map<int64_t, RolloutResult> mResults;  ///< by position
    int64_t mTotal = 0;
    size_t mBytes = 0;
    uint64_t mLastUse = 0;  ///< value of mUseCounter at the last use
  };
  void Trim();

  const size_t mMaxBytes;
  size_t mBytes = 0;
  uint64_t mUseCounter = 0;
  std::map<std::string, Step> mSteps;
};

}  // namespace rillwall
