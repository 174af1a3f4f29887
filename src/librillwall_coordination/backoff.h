/// \file
/// Pauses between tries that double up to a limit.

#pragma once

#include "rillwall/millis.h"

namespace rillwall {

/// \param aFailures failures in a row, 1 or more
/// \return the pause before the next try: aBase after the first failure, twice
/// as long after each further one, aMost at most
Millis FailurePause(int aFailures, Millis aBase, Millis aMost);

}  // namespace rillwall
