/// \file
/// How many calls one node may have at an engine until the next report.
///
/// Many nodes read the same report. If each took all the slots that it shows
/// free, the engine would be swamped, and no node knows how many others there
/// are. So a node claims a part of them: the part of the load that is its own,
/// or, where it has little there yet, a part that falls with the engine's
/// fullness. An overfull engine's nodes all yield in proportion to what they
/// hold. Sans-IO.

#pragma once

#include <cstdint>

namespace rillwall {

/// What a report says, seen from one node.
struct ClaimInput {
  double mOwn = 0;      ///< this node's calls of the kind claimed for
  double mTotal = 0;    ///< streams at the engine by the report
  double mTarget = 0;   ///< streams that it should hold
  double mRandom = 0;   ///< in [0, 1), to round by
  double mGain = 1;     ///< part of the gap to close by one report
  double mEmpty = 0.5;  ///< part of an empty engine's slots to claim
};

/// \return calls that the node may have there until the next report
int64_t Claim(const ClaimInput& aInput);

}  // namespace rillwall
