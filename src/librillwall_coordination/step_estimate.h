/// \file
/// What a step's owner learns while the step runs: how many tokens a group
/// takes, how long it runs, and how often new weight versions come.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "rillwall/millis.h"
#include "rillwall/policy.h"

namespace rillwall {

/// Expected tokens of a group by the size of its prompt. Prompts are put into
/// classes by powers of two; a class with few groups is drawn to the mean of
/// all, so that one odd group does not set the order.
class LengthModel {
 public:
  void Observe(size_t aPromptBytes, int64_t aTokens);
  /// \return tokens expected; before anything was observed the prompt's size,
  /// which orders longer prompts first
  double Expect(size_t aPromptBytes) const;

 private:
  struct Class {
    double mTokens = 0;
    double mCount = 0;
  };
  static constexpr size_t kClasses = 32;
  std::array<Class, kClasses> mClasses;
  Class mAll;
};

/// How long groups run.
class DurationModel {
 public:
  void Observe(Millis aDuration, int64_t aTokens);
  size_t Count() const { return mDurations.size(); }
  /// \return the median; 0 if nothing was observed
  Millis Median() const;
  /// \return the time that this many tokens take; 0 if nothing was observed
  Millis Expect(double aTokens) const;

 private:
  std::vector<Millis> mDurations;  ///< ordered
  double mTotalMillis = 0;
  double mTotalTokens = 0;
};

/// How often new weight versions appear while the step runs.
///
/// The forecast counts only until the next version is due: a trainer that makes
/// its next version from this very step waits for the groups that a forecast
/// would hold back.
class VersionPace {
 public:
  void Observe(int64_t aNewest, Millis aNow);
  /// The interval seen before the step; 0: not known.
  void Expect(Millis aInterval) { mExpected = aInterval; }
  /// \return whether a group begun now would be within the bound when finished
  bool FitsBound(const StalenessBound& aBound, Millis aDuration,
                 Millis aNow) const;

 private:
  /// \return time between versions; 0: not known
  Millis Interval() const;

  int64_t mNewest = -1;
  std::optional<Millis> mLastRise;
  Millis mInterval{0};  ///< between rises seen here; 0: fewer than two
  Millis mExpected{0};
};

}  // namespace rillwall
