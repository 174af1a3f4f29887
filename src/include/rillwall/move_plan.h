/// \file
/// Which running texts of a step go on at a faster replica now.
///
/// Pure: no I/O and no clock. The replicas to go to are looked up once for all
/// texts of one service, so that a look at S texts costs S and not S times the
/// replicas: owners look ten times a second at all texts that they run.

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
  std::string mService;   ///< that its route allows
  std::string mReplica;   ///< where it runs
  int64_t mEvents = 0;    ///< that it has
  int64_t mExpected = 0;  ///< of the whole text by its hint; 0: unknown
  bool operator==(const RunningText&) const = default;
};

/// A text that is to go on elsewhere.
struct PlannedMove {
  size_t mItem = 0;
  TextMove mMove;  ///< what decided it
};

/// \param aTexts of one step
/// \param aWish what its texts ask of a replica; the service comes from each
/// \param aMost moves at this look; the next one sees the slots that these take
/// \return the moves that gain most, the best first
std::vector<PlannedMove> PlanMoves(const std::vector<RunningText>& aTexts,
                                   const ReplicaPool& aReplicas,
                                   ReplicaRequirements aWish, size_t aMost,
                                   Millis aNow);

}  // namespace rillwall
