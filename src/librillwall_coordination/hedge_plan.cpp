#include "rillwall/hedge_plan.h"

#include <algorithm>
#include <cmath>

#include "retry_budget.h"

namespace rillwall {

namespace {

/// Hedged requests per request of the host.
constexpr double kHedgeShare = 0.05;
/// Share of first tries that are answered before a second one is sent.
constexpr double kHighQuantile = 0.95;
/// Relative step of the quantile per observation.
constexpr double kQuantileStep = 0.1;
/// Observations after which the quantile is used.
constexpr int64_t kMinObservations = 20;
/// Shortest delay: a few round trips between zones.
constexpr Millis kMinDelay{10};
/// Free slots of the service from which it has spare capacity, so that a second
/// try does not take the last slot from another request.
constexpr int64_t kMinFreeSlots = 2;
/// Age up to which figures show spare capacity.
constexpr Millis kMaxFiguresAge{100};

}  // namespace

HedgePlan::HedgePlan() : mBudget(std::make_unique<RetryBudget>(kHedgeShare)) {}

HedgePlan::~HedgePlan() = default;

void HedgePlan::Started() { mBudget->Deposit(); }

void HedgePlan::ObserveTry(const std::string& aRoute, Millis aSpan) {
  RouteTimes& times = mTimes[aRoute];
  const auto span = static_cast<double>(std::max<int64_t>(aSpan.Count(), 1));
  if (times.mCount == 0) {
    times.mHighMs = span;
  } else {
    times.mHighMs *= span > times.mHighMs
                         ? 1 + kQuantileStep * kHighQuantile
                         : 1 - kQuantileStep * (1 - kHighQuantile);
  }
  ++times.mCount;
}

std::optional<Millis> HedgePlan::DelayOf(const std::string& aRoute) const {
  const auto found = mTimes.find(aRoute);
  if (found == mTimes.end() || found->second.mCount < kMinObservations) {
    return std::nullopt;
  }
  return std::max(kMinDelay, Millis(std::llround(found->second.mHighMs)));
}

bool HedgePlan::TryHedge(const std::optional<AnswerEstimate>& aEstimate,
                         Millis aLeft) {
  return aEstimate && aEstimate->mAge <= kMaxFiguresAge &&
         aEstimate->mWait == Millis(0) &&
         aEstimate->mFreeSlots >= kMinFreeSlots &&
         aEstimate->mExpected < aLeft &&
         mBudget->TryWithdraw(CallClass::Interactive);
}

}  // namespace rillwall
