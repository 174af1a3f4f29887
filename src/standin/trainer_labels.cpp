#include "trainer_labels.h"

#include <algorithm>

namespace rillwall::standin {

namespace {

bool MatchesJournals(const EngineJournals& aJournals,
                     const SampleLabel& aLabel) {
  const auto found = aJournals.mProduced.find(aLabel.mTextId);
  if (found == aJournals.mProduced.end()) {
    return false;
  }
  return std::all_of(
      aLabel.mLabel.begin(), aLabel.mLabel.end(),
      [&](const VersionSpan& aSpan) { return Covers(found->second, aSpan); });
}

}  // namespace

LabelCounts CompareLabels(const EngineJournals& aJournals,
                          const std::vector<SampleLabel>& aLabels,
                          uint64_t aRestarts) {
  LabelCounts counts;
  counts.mJournalsLost = aJournals.mUnreadable + aRestarts;
  for (const SampleLabel& label : aLabels) {
    if (MatchesJournals(aJournals, label)) {
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
