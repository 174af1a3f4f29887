/// \file
/// Refreshes the load figures of replicas before they are used for a decision.

#pragma once

#include "rillwall/node_context.h"

namespace rillwall {

/// Refreshes the figures of some replicas by probes if they are too old.
/// \param aRequirements requirements of the request that is decided about
/// \param aLimit longest wait for the answers
asio::awaitable<void> RefreshLoad(NodeContext& aNode,
                                  const ReplicaRequirements& aRequirements,
                                  Millis aLimit);

}  // namespace rillwall
