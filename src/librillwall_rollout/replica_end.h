/// \file
/// Finds out whether a replica that gave no whole answer has ended.

#pragma once

#include <string>

#include "rillwall/node_context.h"

namespace rillwall {

/// Asks the replica's host for a new connection. A host that answers and has
/// nothing that listens shows that the process has ended, which a connection
/// that was closed does not: that may be a reset on the way, or a fault of one
/// answer. A host that is silent shows nothing.
/// \param aAddress of the replica, ip:port
/// \return whether it has certainly ended
asio::awaitable<bool> ReplicaEnded(NodeContext& aNode, std::string aAddress);

}  // namespace rillwall
