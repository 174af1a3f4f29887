/// \file
/// Finds out whether a replica's process still runs after one of its
/// connections was closed.

#pragma once

#include "rillwall/node_context.h"

namespace rillwall {

/// What is known of the process of a replica.
enum class ReplicaState {
  Runs,     ///< this very process has just answered
  Ended,    ///< nothing listens at its address, or another replica does
  Unknown,  ///< there was no answer
};

/// Asks a replica over a new connection whether it still runs. The request
/// names the replica, so that another one that has taken over its address
/// rejects it, and has no identity, so that no replica runs it. A closed
/// connection or a silent host shows nothing.
asio::awaitable<ReplicaState> AskReplica(NodeContext& aNode, Replica aReplica);

/// \return a check that passes if the replica still runs after it has closed
/// the connection of a response
EndCheck EndCheckFor(NodeContext& aNode, const Replica& aReplica);

}  // namespace rillwall
