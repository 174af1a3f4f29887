/// \file
/// Shows operators which requests are suspected of ending replicas, and lets
/// them know better: a request that is held may be cleared, as when a repaired
/// release of its service runs, and one may be held by hand.
///
/// What is changed at one host goes to all others by the same way as what hosts
/// see themselves (CrashSync).

#pragma once

#include "rillwall/node_context.h"

namespace rillwall {

/// Path of a host's answers: GET lists; POST with the query parameters request
/// (a digest) and action (clear or hold) changes.
inline constexpr char kSuspectsPath[] = "/node/suspects";

/// \return the answer: 200 with JSON, or 400 or 404 that tell the remedy
HttpResponse HandleSuspectsRequest(NodeContext& aNode,
                                   const HttpRequest& aRequest);

}  // namespace rillwall
