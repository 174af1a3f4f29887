#include "retry_budget.h"

#include <algorithm>

namespace rillwall {

namespace {
constexpr double kInteractiveReserve = 4;
// In floating point, ten times 0.1 is less than 1.
constexpr double kEpsilon = 1e-9;
}  // namespace

void RetryBudget::Deposit() {
  mBalance = std::min(mBalance + mRatio, mMaxBalance);
}

bool RetryBudget::TryWithdraw(CallClass aClass) {
  const bool interactive = aClass == CallClass::Interactive;
  const double minBalance = interactive ? 1 : 1 + kInteractiveReserve;
  if (mBalance + kEpsilon >= minBalance) {
    mBalance -= 1;
    return true;
  }
  // A node that has just started may retry once on credit.
  if (!mCreditUsed && mRatio > 0 && mBalance < 1) {
    mCreditUsed = true;
    mBalance -= 1;
    return true;
  }
  ++mDenied;
  return false;
}

}  // namespace rillwall
