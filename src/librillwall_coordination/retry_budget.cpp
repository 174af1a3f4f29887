#include "retry_budget.h"

#include <algorithm>

namespace rillwall {

namespace {
// Ten times a tenth is less than one in floating point.
constexpr double kRounding = 1e-9;
}  // namespace

void RetryBudget::Earn() { mBalance = std::min(mBalance + mRatio, mBurst); }

bool RetryBudget::Draw() {
  if (mBalance + kRounding >= 1.0) {
    mBalance -= 1.0;
    return true;
  }
  // A node that has just started may retry once before it has earned it.
  if (!mCreditUsed && mRatio > 0) {
    mCreditUsed = true;
    mBalance -= 1.0;
    return true;
  }
  ++mDenied;
  return false;
}

}  // namespace rillwall
