/// \file
/// Decides when the owner of a step writes finished results to the store.
///
/// Each write is a billed call, and a trainer continues only when a number of
/// groups is complete. Results are therefore collected while the trainer has to
/// wait anyway, and written at once when it can continue. Pure: durations are
/// arguments.

#pragma once

#include <cstddef>
#include <vector>

#include "rillwall/millis.h"
#include "rillwall/rollout.h"

namespace rillwall {

/// Inputs of the decision.
struct ListingState {
  bool mAllEnded = false;  ///< no item of the step is left to run
  /// The trainer has the number of groups that it waits for.
  bool mTargetReached = false;
  bool mTargetReachedAtLastWrite = false;  ///< value at the last write
  Millis mWaited;        ///< time since the oldest unwritten result finished
  bool mHasDue = false;  ///< the results of the step have a due time
  Millis mPastDue;       ///< time since the due time; negative before it
};

/// \return whether the collected results should be written now
bool ShouldWriteResults(const ListingState& aState);

/// Takes results from the front, as many as fit in one page, but at least one.
/// \param aMaxBytes limit for the encoded texts
/// \param aMaxResults limit for the number of results
std::vector<RolloutResult> TakePage(std::vector<RolloutResult>& aWaiting,
                                    size_t aMaxBytes,
                                    size_t aMaxResults = ~size_t{0});

}  // namespace rillwall
