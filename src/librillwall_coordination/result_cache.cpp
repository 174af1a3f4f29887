#include "rillwall/result_cache.h"

#include <algorithm>

namespace rillwall {

namespace {

/// Approximate size of a result without its text.
constexpr size_t kResultOverheadBytes = 200;

size_t BytesOf(const RolloutResult& aResult) {
  return aResult.mOutput.size() + aResult.mScore.size() + kResultOverheadBytes;
}

}  // namespace

void ResultCache::Add(const std::string& aStep, int64_t aFirst, int64_t aTotal,
                      const std::vector<RolloutResult>& aResults) {
  Step& step = mSteps[aStep];
  step.mTotal = aTotal;
  step.mLastUse = ++mUseCounter;
  int64_t position = aFirst;
  for (const RolloutResult& result : aResults) {
    // A known result is the same, as positions never change.
    if (step.mResults.emplace(position, result).second) {
      step.mBytes += BytesOf(result);
      mBytes += BytesOf(result);
    }
    ++position;
  }
  Trim();
}

std::vector<RolloutResult> ResultCache::From(const std::string& aStep,
                                             int64_t aFirst) {
  std::vector<RolloutResult> results;
  const auto found = mSteps.find(aStep);
  if (found == mSteps.end()) {
    return results;
  }
  found->second.mLastUse = ++mUseCounter;
  const auto& known = found->second.mResults;
  int64_t next = aFirst;
  for (auto at = known.find(aFirst); at != known.end() && at->first == next;
       ++at) {
    results.push_back(at->second);
    ++next;
  }
  return results;
}

int64_t ResultCache::Total(const std::string& aStep) const {
  const auto found = mSteps.find(aStep);
  return found == mSteps.end() ? 0 : found->second.mTotal;
}

void ResultCache::Trim() {
  while (mBytes > mMaxBytes && mSteps.size() > 1) {
    const auto oldest = std::min_element(
        mSteps.begin(), mSteps.end(), [](const auto& aOne, const auto& aOther) {
          return aOne.second.mLastUse < aOther.second.mLastUse;
        });
    mBytes -= oldest->second.mBytes;
    mSteps.erase(oldest);
  }
}

}  // namespace rillwall
