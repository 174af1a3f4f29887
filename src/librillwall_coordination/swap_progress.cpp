#include "swap_progress.h"

#include <algorithm>
#include <array>

#include "rillwall/backoff.h"

namespace rillwall {

const char* SwapPhaseName(SwapPhase aPhase) {
  constexpr std::array<const char*, 4> kNames = {"due", "sent", "loading",
                                                 "reached"};
  return kNames[static_cast<size_t>(aPhase)];
}

void SwapProgress::SetTarget(int64_t aVersion) {
  mTargetVersion = aVersion;
  mPhase = SwapPhase::Due;
  mNotBefore = Millis(0);
  mFailures = 0;
}

void SwapProgress::Observe(const LoadReport& aReport, Millis aNow,
                           SwapCounts& aCounts) {
  if (aReport.mVersion >= mTargetVersion) {
    const bool ordered =
        mPhase == SwapPhase::Sent || mPhase == SwapPhase::Loading;
    mLoadTime = ordered ? aNow - mSentAt : mLoadTime;
    mPhase = SwapPhase::Reached;
    return;
  }
  if (aReport.mLoading < mTargetVersion) {
    ObserveBehind(aNow, aCounts);
    return;
  }
  if (mPhase != SwapPhase::Sent && mPhase != SwapPhase::Loading) {
    mSentAt = aNow;  // Ordered by an earlier controller.
  }
  mPhase = SwapPhase::Loading;
  if (aNow - mSentAt >= mLimits.mLoadTimeout) {
    Fail(aNow);
  }
}

// The engine serves an older version and is not loading the target version.
void SwapProgress::ObserveBehind(Millis aNow, SwapCounts& aCounts) {
  switch (mPhase) {
    case SwapPhase::Due:
      return;
    case SwapPhase::Sent:
      // The report may have been made before the order.
      if (aNow - mSentAt >= mLimits.mOrderTimeout) {
        Fail(aNow);
      }
      return;
    case SwapPhase::Loading:
      Fail(aNow);
      return;
    case SwapPhase::Reached:
      // The engine restarted, or carried out an order of an old controller. The
      // backoff limits the rate of orders if two controllers both believe that
      // they are the current one.
      ++aCounts.mReconciled;
      Fail(aNow);
      return;
  }
}

void SwapProgress::Fail(Millis aNow) {
  ++mFailures;
  mPhase = SwapPhase::Due;
  mNotBefore = aNow + BackoffDelay(mFailures, mLimits.mRetryBackoff,
                                   mLimits.mMaxRetryBackoff);
}

void SwapProgress::Send(Millis aNow, SwapCounts& aCounts) {
  mPhase = SwapPhase::Sent;
  mSentAt = aNow;
  ++aCounts.mOrders;
  aCounts.mRetries += mFailures > 0 ? 1 : 0;
}

void SwapProgress::StaleFence(uint64_t aFence) {
  mRefusedFence = std::max(mRefusedFence, aFence);
  mPhase = SwapPhase::Due;
}

bool SwapProgress::MaySend(uint64_t aFence, Millis aScheduledStart,
                           Millis aNow) const {
  const bool due = mPhase == SwapPhase::Due && aNow >= mNotBefore;
  // Retries, including those for an engine that fell back to an older version,
  // do not wait for the scheduled start.
  const bool startReached = mFailures > 0 || aNow >= aScheduledStart;
  return due && startReached && aFence > mRefusedFence;
}

}  // namespace rillwall
