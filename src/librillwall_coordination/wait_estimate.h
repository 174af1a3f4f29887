/// \file
/// How long a queued call of one class will wait for its start.
///
/// Two views of the rate of starts are kept, and the greater is believed: the
/// starts seen lately, which is right in a lasting queue, and the calls in
/// flight over their usual time, which is right at once in a burst.
/// Sans-IO and single-threaded.

#pragma once

#include <cstdint>

#include "rillwall/millis.h"

namespace rillwall {

class WaitEstimate {
 public:
  void Started(Millis aNow);
  /// A call ended that had been running for a span.
  void Ended(Millis aSpan);
  /// \param aAhead calls that go first
  /// \param aInFlight calls of this class that run now
  /// \return the wait expected; zero while nothing is known
  Millis Wait(double aAhead, int64_t aInFlight, Millis aNow) const;

 private:
  double StartRate(Millis aNow) const;

  Millis mFirst;
  Millis mLast;
  double mStarts = 0;   ///< decayed exponentially
  double mUsualMs = 0;  ///< that a call runs; 0: not known
};

}  // namespace rillwall
