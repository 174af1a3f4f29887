/// \file
/// Circuit breaker for one upstream.
///
/// Consecutive failures open the breaker. After a delay one probe call is let
/// through, and its success closes the breaker. Each failed probe doubles the
/// delay. After closing, the share of admitted calls rises slowly (slow start),
/// so that all nodes together do not overload an upstream that has just
/// recovered. Sans-IO and single-threaded.

#pragma once

#include <cstdint>

#include "rillwall/millis.h"

namespace rillwall {

enum class BreakerState { Closed, Open, Probing };

/// \return the name of the state for the dump
const char* BreakerStateName(BreakerState aState);

/// Thresholds and times of a circuit breaker.
struct BreakerLimits {
  int mFailures = 3;           ///< consecutive failures that open it
  int mRefusals = 12;          ///< consecutive refusals that open it
  Millis mOpenTime{2000};      ///< from opening to the first probe
  Millis mMaxOpenTime{30000};  ///< maximum time until a later probe
  Millis mSlowStart{10000};    ///< from closing until all calls are admitted
};

/// Circuit breaker of one upstream, informed about every call by its owner.
class Breaker {
 public:
  explicit Breaker(const BreakerLimits& aLimits) : mLimits(aLimits) {}

  /// \return whether a call may start now. While open, this is a probe call
  /// after the delay.
  bool Allows(Millis aNow) const;
  /// Records the start of a call, which is the probe if the breaker is open.
  /// \param aTicket ticket of the call
  void Started(uint64_t aTicket, Millis aNow);
  /// Records that a call delivered tokens or ended successfully.
  void Succeeded(uint64_t aTicket, Millis aNow);
  /// Records that a call failed or timed out.
  void Failed(uint64_t aTicket, Millis aNow);
  /// Records that the upstream refused a call.
  void Refused(uint64_t aTicket, Millis aNow);
  /// Records that a call was cancelled, which shows nothing about the upstream.
  void Cancelled(uint64_t aTicket, Millis aNow);

  BreakerState State() const { return mState; }
  /// \return the time of the next probe, while open
  Millis NextProbe() const { return mNextProbe; }
  /// \return the share of calls to admit, in (0, 1]; below 1 during slow start
  double SlowStartShare(Millis aNow) const;

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
  uint64_t mProbeTicket = 0;
};

}  // namespace rillwall
