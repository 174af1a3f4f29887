#include "rillwall/listing_plan.h"

namespace rillwall {

namespace {

/// While the trainer has to wait anyway. What is lost with an owner is bounded
/// by this.
constexpr Millis kGatherLong{700};
/// A trainer that was given something pauses for half a second before it asks
/// again. So nothing is given out shortly before its results are due: what ends
/// then comes with the rest, and a trainer that waits has it at once. From that
/// on until groups stop to count in full it has everything as it ends.
constexpr Millis kFromDue{100};
constexpr Millis kAfterDue{700};
constexpr Millis kGatherDue{50};

}  // namespace

bool ShouldWriteResults(const ListingState& aState) {
  if (aState.mAllEnded ||
      (aState.mTargetReached && !aState.mTargetReachedAtLastWrite)) {
    return true;
  }
  const bool due = aState.mHasDue && aState.mPastDue >= kFromDue &&
                   aState.mPastDue <= kAfterDue;
  return aState.mWaited >= (due ? kGatherDue : kGatherLong);
}

}  // namespace rillwall
