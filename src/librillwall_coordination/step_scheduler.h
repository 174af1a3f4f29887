/// \file
/// Decides which groups the owner of a step orders next, and from which
/// runners.

#pragma once

#include <cstdint>
#include <vector>

#include "step_estimate.h"
#include "step_group.h"
#include "step_runners.h"

namespace rillwall {

/// Rule, capacities and time of one tick.
struct ScheduleInputs {
  const TrainerRule& mRule;
  const std::vector<RunnerCapacity>& mRunners;
  int64_t mGroupSize = 1;
  int64_t mNewest = 0;
  Millis mNow;
};

/// Estimates that the scheduler uses.
struct StepEstimates {
  LengthModel mLengths;
  DurationModel mDurations;
  VersionRate mVersionRate;
  RunnerHealth mHealth;

  /// \return expected tokens of a group: those of its previous run if known
  double Tokens(const GroupRecord& aGroup) const;
};

/// Appends the orders of one tick to aOrders and records them as attempts in
/// aGroups.
void ScheduleGroups(GroupTable& aGroups, const StepEstimates& aEstimates,
                    const ScheduleInputs& aInputs,
                    std::vector<GroupOrder>& aOrders);

}  // namespace rillwall
