/// \file
/// Shows what a host knows of the current load of a service's replicas.

#pragma once

#include "rillwall/node_context.h"

namespace rillwall {

/// Path of a host's figures; the query parameter service names the service.
inline constexpr char kLoadPath[] = "/node/load";

/// Serves a request to kLoadPath.
/// \return 200 with JSON; 404 if no replica of the service is known
HttpResponse HandleLoadRequest(const NodeContext& aNode,
                               const HttpRequest& aRequest);

}  // namespace rillwall
