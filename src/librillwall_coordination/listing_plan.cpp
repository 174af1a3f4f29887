#include "rillwall/listing_plan.h"

namespace rillwall {

namespace {

/// While the trainer has to wait anyway. What is lost with an owner is bounded
/// by this.
constexpr Millis kGatherLong{700};
/// While it may wait for certain groups only, or the results are due: readers
/// ask about twice a second.
constexpr Millis kGatherShort{200};
/// Groups count in full if they are read within 0.7 s after they are due.
constexpr Millis kBeforeDue{1000};
constexpr Millis kAfterDue{700};

}  // namespace

bool ListNow(const ListingState& aState) {
  const bool reached = aState.mWhole >= aState.mTarget;
  if (aState.mAllEnded || (reached && aState.mWholeListed < aState.mTarget)) {
    return true;
  }
  const bool due = aState.mHasDue &&
                   aState.mPastDue + kBeforeDue >= Millis(0) &&
                   aState.mPastDue <= kAfterDue;
  return aState.mWaited >= (reached || due ? kGatherShort : kGatherLong);
}

}  // namespace rillwall
