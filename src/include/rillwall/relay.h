/// \file
/// Relays client requests to the replicas of a route's service, and passes the
/// responses back unchanged.

#pragma once

#include "rillwall/admission.h"
#include "rillwall/node_context.h"

namespace rillwall {

/// Serves one request on a route other than a rollout route.
/// \param aRoute a copy, as the configuration may change meanwhile
/// \param aCaller the authenticated sender
asio::awaitable<void> RelayRequest(NodeContext& aNode, Route aRoute,
                                   Caller aCaller, const HttpRequest& aRequest,
                                   HttpExchange& aExchange);

/// \return the client's identity of this attempt, or null if the request has
/// none
const std::string* RequestId(const NodeContext& aNode,
                             const HttpRequest& aRequest);

/// \return the deadline for the response: the earlier of the client's wait and
/// the route's timeout
Millis DeadlineOf(const NodeContext& aNode, const Route& aRoute,
                  const HttpRequest& aRequest);

/// Makes the response for an error of rillwall itself. Its status promises that
/// nothing ran only if the error says so.
HttpResponse ErrorAnswer(const Error& aError);

/// Counts and logs an error of rillwall itself.
/// \return its response, as ErrorAnswer() makes it
HttpResponse RefuseRequest(NodeContext& aNode, const std::string& aId,
                           const Error& aError);
/// As RefuseRequest(), and sends the response.
asio::awaitable<void> RespondWithError(NodeContext& aNode, std::string aId,
                                       Error aError, HttpExchange& aExchange);

/// \return the headers without those that concern only one connection
std::vector<HttpHeader> EndToEndHeaders(const std::vector<HttpHeader>& aAll);

}  // namespace rillwall
