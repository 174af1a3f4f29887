#include "retry_budget.h"

#include <algorithm>

namespace rillwall {

namespace {
// Saved up at most, so that a quiet hour does not pay for a burst of retries.
constexpr double kMostSaved = 10;
constexpr double kKeptForInteractive = 4;
// Ten times a tenth is less than one in floating point.
constexpr double kRounding = 1e-9;
}  // namespace

void RetryBudget::Earn() { mBalance = std::min(mBalance + mRatio, kMostSaved); }

bool RetryBudget::Draw(CallClass aClass) {
  const bool interactive = aClass == CallClass::Interactive;
  const double least = interactive ? 1 : 1 + kKeptForInteractive;
  if (mBalance + kRounding >= least) {
    mBalance -= 1;
    return true;
  }
  // A node that has just started may retry once before it has earned it.
  if (!mCreditUsed && mRatio > 0 && mBalance < 1) {
    mCreditUsed = true;
    mBalance -= 1;
    return true;
  }
  ++mDenied;
  return false;
}

}  // namespace rillwall
