#include "trainer_truth.h"

#include <algorithm>

namespace rillwall::standin {

namespace {

bool IsTrue(const EngineJournals& aJournals, const SampleLabel& aLabel) {
  const auto found = aJournals.mProduced.find(aLabel.mTextId);
  if (found == aJournals.mProduced.end()) {
    return false;
  }
  return std::all_of(
      aLabel.mLabel.begin(), aLabel.mLabel.end(),
      [&](const VersionSpan& aSpan) { return Covers(found->second, aSpan); });
}

}  // namespace

TruthCounts CompareLabels(const EngineJournals& aJournals,
                          const std::vector<SampleLabel>& aLabels,
                          uint64_t aRestarts) {
  TruthCounts counts;
  counts.mJournalsLost = aJournals.mLost + aRestarts;
  for (const SampleLabel& label : aLabels) {
    if (IsTrue(aJournals, label)) {
      ++counts.mTrue;
    } else if (counts.mJournalsLost > 0) {
      ++counts.mUnknown;
    } else {
      ++counts.mFalse;
    }
  }
  return counts;
}

}  // namespace rillwall::standin
