/// \file
/// Results of steps that other nodes own, as this node has read them.
///
/// A position that was listed never changes, so that what was read once can be
/// given again without asking the owner: from any position, by any client, and
/// while the owner or the store is away. Pure; used on one thread.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rillwall/rollout.h"

namespace rillwall {

class ResultCache {
 public:
  /// \param aMaxBytes of text kept; the steps read least recently go first
  explicit ResultCache(size_t aMaxBytes) : mMaxBytes(aMaxBytes) {}

  /// Takes results in. Positions that nobody read here may be missing: to read
  /// them ahead would cost more bytes than it saves.
  /// \param aFirst position of the first one
  /// \param aTotal items of the step
  void Add(const std::string& aStep, int64_t aFirst, int64_t aTotal,
           const std::vector<RolloutResult>& aResults);
  /// \return known results from a position on, up to the first unknown one
  std::vector<RolloutResult> From(const std::string& aStep, int64_t aAfter);
  /// \return items of a step, 0 if it is not known
  int64_t Total(const std::string& aStep) const;
  bool Knows(const std::string& aStep) const { return mSteps.contains(aStep); }
  size_t Bytes() const { return mBytes; }

 private:
  struct Step {
    std::map<int64_t, RolloutResult> mResults;  ///< by position
    int64_t mTotal = 0;
    size_t mBytes = 0;
    uint64_t mUsed = 0;  ///< tick of the last use
  };
  void Trim();

  const size_t mMaxBytes;
  size_t mBytes = 0;
  uint64_t mTick = 0;
  std::map<std::string, Step> mSteps;
};

}  // namespace rillwall
