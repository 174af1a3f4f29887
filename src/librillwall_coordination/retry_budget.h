/// \file
/// One node's budget of retries: a token bucket that first calls fill by a
/// ratio and retries draw from.
///
/// Over a node's life, retries are at most the ratio of its first calls (one
/// is granted on credit during the first few). Sans-IO, single-threaded.

#pragma once

#include <cstdint>

namespace rillwall {

class RetryBudget {
 public:
  /// \param aRatio retries per first call
  /// \param aBurst retries that can be saved up at most
  explicit RetryBudget(double aRatio, double aBurst = 20)
      : mRatio(aRatio), mBurst(aBurst) {}

  /// A first call was started.
  void Earn();
  /// \return whether a retry may go ahead; it is then drawn
  bool Draw();
  /// \return retries that could be drawn now
  double Balance() const { return mBalance; }
  /// \return retries refused so far
  uint64_t Denied() const { return mDenied; }

 private:
  double mRatio;
  double mBurst;
  double mBalance = 0;
  bool mCreditUsed = false;
  uint64_t mDenied = 0;
};

}  // namespace rillwall
