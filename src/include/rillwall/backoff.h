/// \file
/// Exponential backoff with jitter for retries.

#pragma once

#include <cstdint>
#include <random>

#include "rillwall/millis.h"

namespace rillwall {

/// Computes an exponential backoff.
/// \param aFailures consecutive failures, at least 1
/// \param aBase delay after the first failure
/// \param aMax upper limit of the delay
/// \return the delay before the next try: aBase, doubled with every further
/// failure, at most aMax
Millis BackoffDelay(int aFailures, Millis aBase, Millis aMax);

/// Adds randomness to delays, so that nodes that failed at the same time do not
/// retry at the same time.
class Jitter {
 public:
  /// \param aSeed seed of the random numbers; must differ between nodes
  explicit Jitter(uint64_t aSeed)
      : mRandom(static_cast<std::minstd_rand::result_type>(aSeed)) {}
  /// \return a random delay between half of aSpan and aSpan
  Millis EqualJitter(Millis aSpan);
  /// \return a random delay between 0 and aSpan
  Millis FullJitter(Millis aSpan);

 private:
  std::minstd_rand mRandom;
};

}  // namespace rillwall
