/// \file
/// Labels of samples and the staleness bound.

#include <algorithm>

#include "rillwall/step.h"

namespace rillwall {

void Label::Append(int64_t aVersion, int64_t aTokens) {
  if (aTokens <= 0) {
    return;
  }
  const int64_t begin = Tokens();
  if (!mSpans.empty() && mSpans.back().mVersion == aVersion) {
    mSpans.back().mEnd += aTokens;
    return;
  }
  mSpans.push_back({aVersion, begin, begin + aTokens});
}

int64_t Label::Oldest() const {
  const auto older = [](const VersionSpan& aLeft, const VersionSpan& aRight) {
    return aLeft.mVersion < aRight.mVersion;
  };
  const auto oldest = std::min_element(mSpans.begin(), mSpans.end(), older);
  return oldest == mSpans.end() ? 0 : oldest->mVersion;
}

bool WithinStalenessBound(const StalenessBound& aBound, int64_t aOldestVersion,
                          int64_t aNewest, Millis aAge) {
  const bool versionsHold =
      aBound.mVersions < 0 || aNewest - aOldestVersion <= aBound.mVersions;
  const bool ageHolds = aBound.mAge < Millis(0) || aAge <= aBound.mAge;
  return versionsHold && ageHolds;
}

}  // namespace rillwall
