/// \file
/// Checks whether a replica that gave no whole response has ended.

#pragma once

#include <string>

#include "rillwall/node_context.h"

namespace rillwall {

/// Opens a new connection to the replica's address. If its host answers that
/// nothing listens there, the process has ended. A closed connection alone does
/// not show that: it may be a reset on the way, or a fault of one response. A
/// host that does not answer shows nothing.
/// \param aAddress of the replica, ip:port
/// \return whether the replica has certainly ended
asio::awaitable<bool> ReplicaEnded(NodeContext& aNode, std::string aAddress);

}  // namespace rillwall
