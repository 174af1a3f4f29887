/// \file
/// Which replicas a host asks for their load before it sends a request.
///
/// Pure: no I/O, no clock and no randomness; the seed is an argument. Made for
/// services on which each host sends few requests, so that its figures are
/// older than the replicas' load is stable, and for surges, in which many hosts
/// choose at the same moment. Of few replicas asked at random the best is
/// nearly as good as the best of all, and hosts ask different ones.

#pragma once

#include <cstdint>
#include <vector>

#include "rillwall/millis.h"
#include "rillwall/replica_pool.h"

namespace rillwall {

/// Most replicas that are probed for one request.
inline constexpr size_t kMaxProbes = 3;
/// Figures up to this age are as good as those of a new probe, which takes
/// about as long between two zones.
inline constexpr Millis kFreshAge{5};

/// \return whether a replica has a free slot and its usual speed, so that
/// others need not be compared
bool IsReady(const ReplicaFigures& aFigures);

/// Selects the replicas to probe: those with an idle connection that look best,
/// and one at random.
/// \param aFigures eligible replicas, in the order in which equal ones are
/// chosen
/// \param aSeed differs between requests and hosts
/// \return indexes into aFigures; empty if the figures are recent enough, or
/// there are not two replicas to choose from
std::vector<size_t> PlanProbes(const std::vector<ReplicaFigures>& aFigures,
                               uint64_t aSeed);

}  // namespace rillwall
