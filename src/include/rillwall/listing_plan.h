/// \file
/// When the owner of a step writes finished results to the store.
///
/// Each write is a priced call, and a trainer goes on only when a number of
/// groups is whole. So results are gathered while it has to wait anyway, and
/// written at once when it does not. Pure: spans are arguments.

#pragma once

#include <cstddef>

#include "rillwall/millis.h"

namespace rillwall {

/// What the plan looks at.
struct ListingState {
  bool mAllEnded = false;       ///< nothing of the step is left to do
  bool mTargetReached = false;  ///< the trainer has what it waits for
  bool mTargetReachedAtLastWrite = false;  ///< that was so at the last write
  Millis mWaited;        ///< since the oldest unwritten result ended
  bool mHasDue = false;  ///< the step's results are due at some time
  Millis mPastDue;       ///< since then; negative before it
};

/// \return whether the results at hand are to be written now
bool ShouldWriteResults(const ListingState& aState);

}  // namespace rillwall
