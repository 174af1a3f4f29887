/// \file
/// Lists the requests that are suspected of ending replicas, and lets operators
/// override the suspicion: a held request may be cleared, for example after its
/// service was repaired, and a request may be held manually.
///
/// A change that is made at one host reaches all others the same way as the
/// records that hosts make themselves (CrashSync).

#pragma once

#include "rillwall/node_context.h"

namespace rillwall {

/// Path of a host's suspects. GET lists them. POST with the query parameters
/// request (a digest) and action (clear or hold) changes one.
inline constexpr char kSuspectsPath[] = "/node/suspects";

/// Serves a request to kSuspectsPath.
/// \return 200 with JSON, or 400 or 404 with an error that names the remedy
HttpResponse HandleSuspectsRequest(NodeContext& aNode,
                                   const HttpRequest& aRequest);

}  // namespace rillwall
