/// \file
/// Selects the running texts of a step that should move to a faster replica.
///
/// Pure: no I/O and no clock. The target replicas are looked up once for all
/// texts of a service, so that a plan for S texts costs O(S) and not S times
/// the number of replicas: owners check all their running texts ten times a
/// second.

#pragma once

#include <string>
#include <vector>

#include "rillwall/millis.h"
#include "rillwall/replica_pool.h"
#include "rillwall/text_move.h"

namespace rillwall {

/// A text that is being generated.
struct RunningText {
  size_t mItem = 0;
  std::string mService;  ///< service that the route allows
  std::string mReplica;  ///< replica that generates it
  int64_t mEvents = 0;   ///< events received so far
  /// Events of the complete text according to its hint; 0: unknown.
  int64_t mExpected = 0;
  bool operator==(const RunningText&) const = default;
};

/// A text that should continue at another replica.
struct PlannedMove {
  size_t mItem = 0;
  TextMove mMove;  ///< the values that led to the decision
};

/// \param aTexts running texts of one step
/// \param aRequirements requirements of the texts on a replica; the service is
/// taken from each text
/// \param aMaxMoves limit of moves per call; the next call accounts for the
/// slots that these take
/// \return the most profitable moves, best first
std::vector<PlannedMove> PlanMoves(const std::vector<RunningText>& aTexts,
                                   const ReplicaPool& aReplicas,
                                   ReplicaRequirements aRequirements,
                                   size_t aMaxMoves, Millis aNow);

}  // namespace rillwall
