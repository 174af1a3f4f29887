/// \file
/// Estimate of the time until a queued call of one class starts.
///
/// The greater of two estimates of the start rate is used: the rate of recent
/// starts, which is accurate for a lasting queue, and the calls in flight
/// divided by their mean run time, which is accurate at once in a burst.
/// Sans-IO and single-threaded.

#pragma once

#include <cstdint>

#include "rillwall/millis.h"

namespace rillwall {

/// Estimates the wait in the queue of one call class.
class WaitEstimate {
 public:
  /// Records the start of a call.
  void Started(Millis aNow);
  /// Records the end of a call.
  /// \param aSpan time that the call ran
  void Ended(Millis aSpan);
  /// \param aAhead calls that start first
  /// \param aInFlight calls of this class that run now
  /// \return the expected wait; 0 while nothing is known
  Millis Wait(double aAhead, int64_t aInFlight, Millis aNow) const;

 private:
  /// \return recent starts per millisecond
  double StartRate(Millis aNow) const;

  Millis mFirst;
  Millis mLast;
  double mStarts = 0;     ///< count of starts, decayed exponentially
  double mMeanRunMs = 0;  ///< moving average of run times; 0: not known
};

}  // namespace rillwall
