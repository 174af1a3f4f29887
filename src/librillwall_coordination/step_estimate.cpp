#include "step_estimate.h"

#include <algorithm>
#include <bit>

namespace rillwall {

namespace {

/// Observations that the mean of all groups counts for in each class.
constexpr double kPriorWeight = 4;
/// From a group's end to its delivery: a pull's round trip and the fetch.
constexpr Millis kDeliveryMargin{2000};
/// A group that never fits is begun in the first part of a version's life.
constexpr int64_t kEarlyPart = 4;

}  // namespace

void LengthModel::Observe(size_t aPromptBytes, int64_t aTokens) {
  const size_t index =
      std::min<size_t>(std::bit_width(aPromptBytes), kClasses - 1);
  for (Class* each : {&mClasses[index], &mAll}) {
    each->mTokens += static_cast<double>(aTokens);
    each->mCount += 1;
  }
}

double LengthModel::Expect(size_t aPromptBytes) const {
  if (mAll.mCount == 0) {
    return static_cast<double>(aPromptBytes);
  }
  const size_t index =
      std::min<size_t>(std::bit_width(aPromptBytes), kClasses - 1);
  const Class& own = mClasses[index];
  const double mean = mAll.mTokens / mAll.mCount;
  return (own.mTokens + kPriorWeight * mean) / (own.mCount + kPriorWeight);
}

void DurationModel::Observe(Millis aDuration, int64_t aTokens) {
  const auto at =
      std::upper_bound(mDurations.begin(), mDurations.end(), aDuration);
  mDurations.insert(at, aDuration);
  mTotalMillis += static_cast<double>(aDuration.Count());
  mTotalTokens += static_cast<double>(std::max<int64_t>(aTokens, 1));
}

Millis DurationModel::Median() const {
  return mDurations.empty() ? Millis(0) : mDurations[mDurations.size() / 2];
}

Millis DurationModel::Expect(double aTokens) const {
  if (mDurations.empty()) {
    return Millis(0);
  }
  return Millis(static_cast<int64_t>(aTokens * mTotalMillis / mTotalTokens));
}

void VersionPace::Observe(int64_t aNewest, Millis aNow) {
  if (aNewest <= mNewest) {
    return;
  }
  const bool first = mNewest < 0;
  const int64_t rises = aNewest - mNewest;
  mNewest = aNewest;
  if (first) {
    return;
  }
  if (mLastRise) {
    const Millis interval = (aNow - *mLastRise) / rises;
    mInterval = mInterval == Millis(0) ? interval : (mInterval + interval) / 2;
  }
  mLastRise = aNow;
}

Millis VersionPace::Interval() const {
  return mInterval > Millis(0) ? mInterval : mExpected;
}

bool VersionPace::FitsBound(const StalenessBound& aBound, Millis aDuration,
                            Millis aNow) const {
  const Millis interval = Interval();
  if (aBound.mVersions < 0 || !mLastRise || interval <= Millis(0)) {
    return true;
  }
  const auto rises = [&](Millis aSpan) {
    return aSpan.Count() / interval.Count();
  };
  const Millis elapsed = aNow - *mLastRise;
  if (elapsed >= interval) {
    return true;
  }
  const Millis needed = aDuration + kDeliveryMargin;
  if (rises(elapsed + needed) <= aBound.mVersions) {
    return true;
  }
  const bool neverFits = rises(needed) > aBound.mVersions;
  return neverFits && elapsed < interval / kEarlyPart;
}

}  // namespace rillwall
