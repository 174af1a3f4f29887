/// \file
/// Lists the client accounts that have used this host's services with admission
/// control: their priority and how many of their calls were admitted or
/// refused.

#pragma once

#include "rillwall/node_context.h"

namespace rillwall {

/// Path of a host's accounts. GET lists them; never a key.
inline constexpr char kAccountsPath[] = "/node/accounts";

/// Serves a request to kAccountsPath.
/// \return 200 with JSON
HttpResponse HandleAccountsRequest(const NodeContext& aNode);

}  // namespace rillwall
