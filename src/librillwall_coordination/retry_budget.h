/// \file
/// Retry budget of one node: a token bucket to which each first attempt adds a
/// fraction of a token and from which each retry takes one.
///
/// Over the lifetime of a node, retries are at most the given ratio of first
/// attempts. One retry is granted on credit during the first few attempts. The
/// last part of the bucket is reserved for interactive calls. Sans-IO and
/// single-threaded.

#pragma once

#include <cstdint>

#include "rillwall/dispatcher.h"

namespace rillwall {

/// Token bucket of retries.
class RetryBudget {
 public:
  /// Bounds the bucket, so that a quiet hour does not pay for a burst of
  /// retries.
  static constexpr double kMaxBalance = 10;

  /// \param aRatio retries per first attempt
  /// \param aMaxBalance most retries in the bucket
  explicit RetryBudget(double aRatio, double aMaxBalance = kMaxBalance)
      : mRatio(aRatio), mMaxBalance(aMaxBalance) {}

  /// Adds the share of one first attempt.
  void Deposit();
  /// Takes one retry from the budget if it allows that.
  /// \return whether the retry may be made
  bool TryWithdraw(CallClass aClass);
  /// \return retries in the bucket
  double Balance() const { return mBalance; }
  /// \return number of retries denied so far
  uint64_t Denied() const { return mDenied; }

 private:
  double mRatio;
  double mMaxBalance;
  double mBalance = 0;
  bool mCreditUsed = false;
  uint64_t mDenied = 0;
};

}  // namespace rillwall
