#include "rillwall/listing_plan.h"

#include <algorithm>
#include <iterator>

namespace rillwall {

namespace {

/// Longest delay while the trainer has to wait anyway. It also limits what is
/// lost if the owner fails.
constexpr Millis kBatchDelay{700};
/// A trainer that received results pauses for half a second before it asks
/// again. No results are therefore written shortly before their due time: those
/// that finish then come with the rest, and a waiting trainer gets them at
/// once. From kDueWindowBegin after the due time until groups no longer count
/// in full, results are written almost as soon as they finish.
constexpr Millis kDueWindowBegin{100};
constexpr Millis kDueWindowEnd{700};
constexpr Millis kDueBatchDelay{50};

}  // namespace

bool ShouldWriteResults(const ListingState& aState) {
  if (aState.mAllEnded ||
      (aState.mTargetReached && !aState.mTargetReachedAtLastWrite)) {
    return true;
  }
  const bool due = aState.mHasDue && aState.mPastDue >= kDueWindowBegin &&
                   aState.mPastDue <= kDueWindowEnd;
  return aState.mWaited >= (due ? kDueBatchDelay : kBatchDelay);
}

std::vector<RolloutResult> TakePage(std::vector<RolloutResult>& aWaiting,
                                    size_t aMaxBytes, size_t aMaxResults) {
  const size_t most = std::min(aWaiting.size(), aMaxResults);
  size_t count = 0;
  for (size_t bytes = 0; count < most; ++count) {
    bytes += EncodedBytes(aWaiting[count].mOutput);
    if (count > 0 && bytes >= aMaxBytes) {
      break;
    }
  }
  const auto middle = aWaiting.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<RolloutResult> page(std::make_move_iterator(aWaiting.begin()),
                                  std::make_move_iterator(middle));
  aWaiting.erase(aWaiting.begin(), middle);
  return page;
}

}  // namespace rillwall
