/// \file
/// One node's budget of retries: a token bucket that first calls fill by a
/// ratio and retries draw from.
///
/// Over a node's life, retries are at most the ratio of its first calls (one
/// is granted on credit during the first few). The last part of the bucket is
/// kept for interactive calls. Sans-IO, single-threaded.

#pragma once

#include <cstdint>

#include "rillwall/dispatcher.h"

namespace rillwall {

class RetryBudget {
 public:
  /// \param aRatio retries per first call
  explicit RetryBudget(double aRatio) : mRatio(aRatio) {}

  /// A first call was started.
  void Earn();
  /// \return whether a retry may go ahead; it is then drawn
  bool Draw(CallClass aClass);
  /// \return retries that could be drawn now
  double Balance() const { return mBalance; }
  /// \return retries refused so far
  uint64_t Denied() const { return mDenied; }

 private:
  double mRatio;
  double mBalance = 0;
  bool mCreditUsed = false;
  uint64_t mDenied = 0;
};

}  // namespace rillwall
