/// \file
/// Probes of the health path of replicas, for their current load.
///
/// A probe uses a connection that is already open: a new one takes longer than
/// the probe and may occupy a slot of the replica. A probe that is late is not
/// waited for; its figures are used by the next choice.

#pragma once

#include "rillwall/node_context.h"

namespace rillwall {

/// Longest wait for probes before a request is sent: more than a round trip
/// between zones (2.8 ms), little against the target latency (150 ms).
inline constexpr Millis kProbeWait{8};

/// Sets mConnected of the requirements to the replicas of the service to which
/// this host has an idle connection. Does nothing for services that are not
/// placed by current load.
void FindConnected(NodeContext& aNode, ReplicaRequirements& aRequirements);

/// Refreshes the figures of some replicas by probes if they are too old.
/// Returns after all answers, after the answer of a replica with a free slot
/// and its usual speed, or after aLimit. Does nothing for services that are not
/// placed by current load or have no health path.
/// \param aRequirements as set by FindConnected()
asio::awaitable<void> RefreshLoad(NodeContext& aNode,
                                  const ReplicaRequirements& aRequirements,
                                  Millis aLimit);

}  // namespace rillwall
