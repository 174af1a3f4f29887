/// \file
/// Estimates that the owner of a step makes while the step runs: tokens and
/// duration of a group, and the interval between new weight versions.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "rillwall/millis.h"
#include "rillwall/policy.h"

namespace rillwall {

/// Estimates the tokens of a group from the size of its prompt. Prompt sizes
/// are classified by powers of two. The estimate of a class with few groups is
/// weighted towards the mean of all groups, so that a single outlier does not
/// determine the order.
class LengthModel {
 public:
  void Observe(size_t aPromptBytes, int64_t aTokens);
  /// \return the expected tokens. Before the first observation the size of the
  /// prompt in bytes, which puts longer prompts first.
  double Estimate(size_t aPromptBytes) const;

 private:
  struct Class {
    double mTokens = 0;
    double mCount = 0;
  };
  static constexpr size_t kClasses = 32;
  std::array<Class, kClasses> mClasses;
  Class mAll;
};

/// Estimates how long groups run.
class DurationModel {
 public:
  void Observe(Millis aDuration, int64_t aTokens);
  size_t Count() const { return mDurations.size(); }
  /// \return the median duration; 0 if nothing was observed
  Millis Median() const;
  /// \return the expected duration for this number of tokens; 0 if nothing was
  /// observed
  Millis Estimate(double aTokens) const;

 private:
  std::vector<Millis> mDurations;  ///< sorted
  double mTotalMillis = 0;
  double mTotalTokens = 0;
};

/// Estimates the interval between new weight versions while the step runs.
///
/// The forecast is used only until the next version is due. A trainer that
/// makes its next version from this step waits for the very groups that the
/// forecast would hold back.
class VersionRate {
 public:
  void Observe(int64_t aNewest, Millis aNow);
  /// Sets the interval observed before the step; 0: not known.
  void SetExpectedInterval(Millis aInterval) { mExpectedInterval = aInterval; }
  /// \return whether a group that starts now would be within the staleness
  /// bound when it is delivered
  bool FitsBound(const StalenessBound& aBound, Millis aDuration,
                 Millis aNow) const;

 private:
  /// \return interval between versions; 0: not known
  Millis Interval() const;

  int64_t mNewest = -1;
  std::optional<Millis> mLastVersionAt;
  Millis mInterval{
      0};  ///< observed during the step; 0: fewer than two new versions
  Millis mExpectedInterval{0};
};

}  // namespace rillwall
