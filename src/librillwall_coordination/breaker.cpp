#include "breaker.h"

#include <algorithm>

namespace rillwall {

namespace {
constexpr double kMinShare = 0.1;
}  // namespace

const char* BreakerStateName(BreakerState aState) {
  switch (aState) {
    case BreakerState::Closed:
      return "closed";
    case BreakerState::Open:
      return "open";
    default:
      return "probing";
  }
}

bool Breaker::Allows(Millis aNow) const {
  if (mState == BreakerState::Closed) {
    return true;
  }
  return mState == BreakerState::Open && aNow >= mNextProbe;
}

void Breaker::Started(uint64_t aTicket, Millis aNow) {
  if (mState == BreakerState::Open && aNow >= mNextProbe) {
    mState = BreakerState::Probing;
    mProbeTicket = aTicket;
  }
}

void Breaker::Succeeded(uint64_t aTicket, Millis aNow) {
  mFailures = 0;
  mRefusals = 0;
  // A late success of a call that started before the breaker opened does not
  // close it.
  if (mState == BreakerState::Probing && aTicket == mProbeTicket) {
    Close(aNow);
  }
}

void Breaker::Failed(uint64_t aTicket, Millis aNow) {
  if (mState == BreakerState::Probing && aTicket == mProbeTicket) {
    Open(aNow);
    return;
  }
  ++mFailures;
  if (mState == BreakerState::Closed && mFailures >= mLimits.mFailures) {
    Open(aNow);
  }
}

void Breaker::Refused(uint64_t aTicket, Millis aNow) {
  if (mState == BreakerState::Probing && aTicket == mProbeTicket) {
    Open(aNow);
    return;
  }
  ++mRefusals;
  if (mState == BreakerState::Closed && mRefusals >= mLimits.mRefusals) {
    Open(aNow);
  }
}

void Breaker::Cancelled(uint64_t aTicket, Millis aNow) {
  if (mState == BreakerState::Probing && aTicket == mProbeTicket) {
    mState = BreakerState::Open;
    mNextProbe = aNow;
  }
}

double Breaker::SlowStartShare(Millis aNow) const {
  if (!mSlowStart) {
    return 1.0;
  }
  const double passed = static_cast<double>((aNow - mClosedAt).Count());
  const double span = static_cast<double>(mLimits.mSlowStart.Count());
  return std::clamp(passed / span, kMinShare, 1.0);
}

void Breaker::Open(Millis aNow) {
  const bool probeFailed = mState == BreakerState::Probing;
  mWait = probeFailed ? std::min(mWait * 2, mLimits.mMaxOpenTime)
                      : mLimits.mOpenTime;
  mState = BreakerState::Open;
  mNextProbe = aNow + mWait;
  mFailures = 0;
  mRefusals = 0;
}

void Breaker::Close(Millis aNow) {
  mState = BreakerState::Closed;
  mClosedAt = aNow;
  mSlowStart = true;
}

}  // namespace rillwall
