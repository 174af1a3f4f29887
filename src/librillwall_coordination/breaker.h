/// \file
/// A circuit breaker for one upstream.
///
/// Failures in a row open it; after a while one probe is let through, whose
/// success closes it again. Each failed probe doubles the time until the next
/// one. After closing, the share of calls admitted rises slowly, so that all
/// nodes together do not flood an upstream that has just come back.
/// Sans-IO and single-threaded.

#pragma once

#include <cstdint>

#include "rillwall/millis.h"

namespace rillwall {

enum class BreakerState { Closed, Open, Probing };

/// \return the state's name for the dump
const char* BreakerStateName(BreakerState aState);

struct BreakerLimits {
  int mFailures = 3;         ///< in a row, to open
  int mRefusals = 12;        ///< in a row, to open
  Millis mOpen{2000};        ///< until the first probe
  Millis mMaxOpen{30000};    ///< until a later probe, at most
  Millis mSlowStart{10000};  ///< from closing to a full share
};

class Breaker {
 public:
  explicit Breaker(const BreakerLimits& aLimits) : mLimits(aLimits) {}

  /// \return whether a call may start now; a probe once the wait is over
  bool Allows(Millis aNow) const;
  /// A call was started; it is the probe if the breaker was open.
  /// \param aTicket the call's ticket
  void Started(uint64_t aTicket, Millis aNow);
  /// A call brought tokens or ended well.
  void Succeeded(uint64_t aTicket, Millis aNow);
  /// A call failed or timed out.
  void Failed(uint64_t aTicket, Millis aNow);
  /// The upstream refused a call.
  void Refused(uint64_t aTicket, Millis aNow);
  /// A call was cancelled, which says nothing about the upstream.
  void Cancelled(uint64_t aTicket, Millis aNow);

  BreakerState State() const { return mState; }
  /// \return the instant of the next probe, while open
  Millis NextProbe() const { return mNextProbe; }
  /// \return the share of calls to admit, in (0, 1]; below 1 in a slow start
  double Share(Millis aNow) const;

 private:
  void Open(Millis aNow);
  void Close(Millis aNow);

  BreakerLimits mLimits;
  BreakerState mState = BreakerState::Closed;
  int mFailures = 0;
  int mRefusals = 0;
  Millis mWait;
  Millis mNextProbe;
  Millis mClosedAt;
  bool mSlowStart = false;
  uint64_t mProbe = 0;
};

}  // namespace rillwall
