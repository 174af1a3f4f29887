/// \file
/// Relays a client's request to a replica of its route's service and the
/// answer back, unchanged.

#pragma once

#include "rillwall/admission.h"
#include "rillwall/node_context.h"

namespace rillwall {

/// Serves one request on a route other than a rollout route.
/// \param aRoute a copy, as the configuration may change meanwhile
/// \param aCaller who sends it
asio::awaitable<void> RelayRequest(NodeContext& aNode, Route aRoute,
                                   Caller aCaller, const HttpRequest& aRequest,
                                   HttpExchange& aExchange);

/// \return the client's identity of this attempt, or null if it sent none
const std::string* RequestId(const NodeContext& aNode,
                             const HttpRequest& aRequest);

/// \return the instant until which the client waits and the operator allows
Millis DeadlineOf(const NodeContext& aNode, const Route& aRoute,
                  const HttpRequest& aRequest);

/// \return an answer of rillwall's own that tells an error. A status that
/// promises that nothing ran is given only if the error says so.
HttpResponse ErrorAnswer(const Error& aError);

/// Gives an answer of rillwall's own, counts and logs it.
asio::awaitable<void> RespondWithError(NodeContext& aNode, std::string aId,
                                       Error aError, HttpExchange& aExchange);

/// Headers that concern only one connection are left out.
std::vector<HttpHeader> EndToEndHeaders(const std::vector<HttpHeader>& aAll);

}  // namespace rillwall
