/// \file
/// How long a queued call will wait, from the rate at which slots come free.
///
/// Sans-IO and single-threaded.

#pragma once

#include "rillwall/millis.h"

namespace rillwall {

class WaitEstimate {
 public:
  /// A slot that queued calls can take has come free.
  void Freed(Millis aNow);
  /// \param aAhead calls that go first
  /// \return the wait expected; zero while nothing is known
  Millis Wait(double aAhead, Millis aNow) const;

 private:
  double Rate(Millis aNow) const;

  Millis mFirst;
  Millis mLast;
  double mCount = 0;  ///< slots freed, decayed exponentially
  bool mAny = false;
};

}  // namespace rillwall
