#include "rillwall/probe_plan.h"

#include <algorithm>

namespace rillwall {

namespace {

/// Percentage up to which a replica's speed is usual: above that of inherently
/// slower machines (120), below that of disturbed ones (137 and more).
constexpr double kUsualSpeedPercent = 125;

bool IsFresh(const ReplicaFigures& aFigures) {
  return aFigures.mAge && *aFigures.mAge <= kFreshAge;
}

}  // namespace

bool IsReady(const ReplicaFigures& aFigures) {
  const std::optional<ReplicaLoad>& report = aFigures.mReport;
  return report && !aFigures.mPaused && report->mRunning < report->mSlots &&
         aFigures.mExpected.mWaitMs == 0 &&
         aFigures.mPercent <= kUsualSpeedPercent;
}

std::vector<size_t> PlanProbes(const std::vector<ReplicaFigures>& aFigures,
                               uint64_t aSeed) {
  std::vector<size_t> open;
  size_t fresh = 0;
  for (size_t i = 0; i < aFigures.size(); ++i) {
    const ReplicaFigures& figures = aFigures[i];
    if (IsFresh(figures)) {
      ++fresh;
      if (IsReady(figures)) {
        return {};
      }
    } else if (figures.mConnected && !figures.mPaused) {
      open.push_back(i);
    }
  }
  if (fresh >= kMaxProbes || aFigures.size() < 2) {
    return {};
  }
  const size_t wanted = std::min(kMaxProbes - fresh, open.size());
  const auto better = [&](size_t aOne, size_t aTwo) {
    return aFigures[aOne].mExpected.Total() < aFigures[aTwo].mExpected.Total();
  };
  std::stable_sort(open.begin(), open.end(), better);
  if (wanted > 0 && wanted < open.size()) {
    const size_t others = open.size() - (wanted - 1);
    std::swap(open[wanted - 1], open[wanted - 1 + aSeed % others]);
  }
  open.resize(wanted);
  return open;
}

}  // namespace rillwall
