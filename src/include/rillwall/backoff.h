/// \file
/// Pauses between tries that double up to a limit, and are not alike on all
/// nodes.

#pragma once

#include <cstdint>
#include <random>

#include "rillwall/millis.h"

namespace rillwall {

/// \param aFailures failures in a row, 1 or more
/// \return the pause before the next try: aBase after the first failure, twice
/// as long after each further one, aMost at most
Millis BackoffDelay(int aFailures, Millis aBase, Millis aMost);

/// Draws pauses, so that nodes that failed together do not try again together.
class Jitter {
 public:
  /// \param aSeed not alike on all nodes
  explicit Jitter(uint64_t aSeed)
      : mRandom(static_cast<std::minstd_rand::result_type>(aSeed)) {}
  /// \return between half and all of a span
  Millis EqualJitter(Millis aSpan);
  /// \return between nothing and all of a span
  Millis FullJitter(Millis aSpan);

 private:
  std::minstd_rand mRandom;
};

}  // namespace rillwall
