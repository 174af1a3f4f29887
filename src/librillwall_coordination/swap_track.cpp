#include "swap_track.h"

#include <algorithm>
#include <array>

#include "rillwall/backoff.h"

namespace rillwall {

const char* SwapPhaseName(SwapPhase aPhase) {
  constexpr std::array<const char*, 4> kNames = {"due", "sent", "loading",
                                                 "reached"};
  return kNames[static_cast<size_t>(aPhase)];
}

void SwapTrack::Want(int64_t aVersion) {
  mWanted = aVersion;
  mPhase = SwapPhase::Due;
  mNotBefore = Millis(0);
  mFailures = 0;
}

void SwapTrack::Observe(const LoadReport& aReport, Millis aNow,
                        SwapCounts& aCounts) {
  if (aReport.mVersion >= mWanted) {
    const bool ours = mPhase == SwapPhase::Sent || mPhase == SwapPhase::Loading;
    mLoadTime = ours ? aNow - mSentAt : mLoadTime;
    mPhase = SwapPhase::Reached;
    return;
  }
  if (aReport.mLoading < mWanted) {
    ObserveBehind(aNow, aCounts);
    return;
  }
  if (mPhase != SwapPhase::Sent && mPhase != SwapPhase::Loading) {
    mSentAt = aNow;  // ordered by an earlier controller
  }
  mPhase = SwapPhase::Loading;
  if (aNow - mSentAt >= mLimits.mLoadTimeout) {
    Fail(aNow);
  }
}

// The engine serves an older version and does not load the wanted one.
void SwapTrack::ObserveBehind(Millis aNow, SwapCounts& aCounts) {
  switch (mPhase) {
    case SwapPhase::Due:
      return;
    case SwapPhase::Sent:
      // The report may be older than the order.
      if (aNow - mSentAt >= mLimits.mOrderTimeout) {
        Fail(aNow);
      }
      return;
    case SwapPhase::Loading:
      Fail(aNow);
      return;
    case SwapPhase::Reached:
      // Restarted, or loaded an old controller's order. The pause keeps two
      // controllers that both take themselves for the newest from hammering.
      ++aCounts.mReconciled;
      Fail(aNow);
      return;
  }
}

void SwapTrack::Fail(Millis aNow) {
  ++mFailures;
  mPhase = SwapPhase::Due;
  mNotBefore = aNow + BackoffDelay(mFailures, mLimits.mRetryPause,
                                   mLimits.mRetryLongest);
}

void SwapTrack::Send(Millis aNow, SwapCounts& aCounts) {
  mPhase = SwapPhase::Sent;
  mSentAt = aNow;
  ++aCounts.mOrders;
  aCounts.mRetries += mFailures > 0 ? 1 : 0;
}

void SwapTrack::StaleFence(uint64_t aFence) {
  mRefusedFence = std::max(mRefusedFence, aFence);
  mPhase = SwapPhase::Due;
}

bool SwapTrack::MaySend(uint64_t aFence, Millis aSlot, Millis aNow) const {
  const bool due = mPhase == SwapPhase::Due && aNow >= mNotBefore;
  // An engine that joined later, or fell back, has no place in the order.
  const bool slotCame = mFailures > 0 || aNow >= aSlot;
  return due && slotCame && aFence > mRefusedFence;
}

}  // namespace rillwall
