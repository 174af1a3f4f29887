/// \file
/// Which groups a step's owner orders next, and from which runners.

#pragma once

#include <cstdint>
#include <vector>

#include "step_estimate.h"
#include "step_group.h"
#include "step_runners.h"

namespace rillwall {

/// What the scheduler has learned and must respect.
struct ScheduleInputs {
  const TrainerRule& mRule;
  const std::vector<RunnerCapacity>& mRunners;
  int64_t mGroupSize = 1;
  int64_t mNewest = 0;
  Millis mNow;
};

/// Estimates used and fed by the scheduler.
struct StepEstimates {
  LengthModel mLengths;
  DurationModel mDurations;
  VersionPace mPace;
  RunnerHealth mHealth;

  /// \return tokens expected of a group, what it took before if known
  double Tokens(const GroupRecord& aGroup) const;
};

/// Adds the orders of one tick to aOrders and notes them as attempts.
void ScheduleGroups(GroupTable& aGroups, const StepEstimates& aEstimates,
                    const ScheduleInputs& aInputs,
                    std::vector<GroupOrder>& aOrders);

}  // namespace rillwall
