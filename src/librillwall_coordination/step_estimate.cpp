#include "step_estimate.h"

#include <algorithm>
#include <bit>

namespace rillwall {

namespace {

/// Weight of the mean of all groups in each class, in observations.
constexpr double kPriorWeight = 4;
/// Time from the end of a group to its delivery: the round trip of a pull and
/// the fetch of the samples.
constexpr Millis kDeliveryMargin{2000};
/// A group that would exceed the bound at any start time may start only in the
/// first 1/kEarlyDivisor of a version interval.
constexpr int64_t kEarlyDivisor = 4;

}  // namespace

void LengthModel::Observe(size_t aPromptBytes, int64_t aTokens) {
  const size_t index =
      std::min<size_t>(std::bit_width(aPromptBytes), kClasses - 1);
  for (Class* each : {&mClasses[index], &mAll}) {
    each->mTokens += static_cast<double>(aTokens);
    each->mCount += 1;
  }
}

double LengthModel::Estimate(size_t aPromptBytes) const {
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

Millis DurationModel::Estimate(double aTokens) const {
  if (mDurations.empty()) {
    return Millis(0);
  }
  return Millis(static_cast<int64_t>(aTokens * mTotalMillis / mTotalTokens));
}

void VersionRate::Observe(int64_t aNewest, Millis aNow) {
  if (aNewest <= mNewest) {
    return;
  }
  const bool first = mNewest < 0;
  const int64_t newVersions = aNewest - mNewest;
  mNewest = aNewest;
  if (first) {
    return;
  }
  if (mLastVersionAt) {
    const Millis interval = (aNow - *mLastVersionAt) / newVersions;
    mInterval = mInterval == Millis(0) ? interval : (mInterval + interval) / 2;
  }
  mLastVersionAt = aNow;
}

Millis VersionRate::Interval() const {
  return mInterval > Millis(0) ? mInterval : mExpectedInterval;
}

bool VersionRate::FitsBound(const StalenessBound& aBound, Millis aDuration,
                            Millis aNow) const {
  const Millis interval = Interval();
  if (aBound.mVersions < 0 || !mLastVersionAt || interval <= Millis(0)) {
    return true;
  }
  const auto newVersions = [&](Millis aSpan) {
    return aSpan.Count() / interval.Count();
  };
  const Millis elapsed = aNow - *mLastVersionAt;
  if (elapsed >= interval) {
    return true;
  }
  const Millis needed = aDuration + kDeliveryMargin;
  if (newVersions(elapsed + needed) <= aBound.mVersions) {
    return true;
  }
  const bool neverFits = newVersions(needed) > aBound.mVersions;
  return neverFits && elapsed < interval / kEarlyDivisor;
}

}  // namespace rillwall
