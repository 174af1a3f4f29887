/// \file
/// Authentication of client requests: finds the client account that a request's
/// API key belongs to.
///
/// Only the host that received the request from the client checks the key.
/// After that the account's name identifies the sender: upstreams, other hosts,
/// logs and the store see the name and never the key.

#pragma once

#include <optional>
#include <string>

#include "rillwall/node_context.h"

namespace rillwall {

/// The authenticated sender of a request.
struct Caller {
  std::string mAccount;  ///< empty if the route needs no account
  /// Priority that the account sets for its requests, if any; 0 goes first.
  std::optional<int> mPriority;
  bool operator==(const Caller&) const = default;
};

/// Authenticates the sender of a request.
/// \param aRoutes the routing snapshot that the request was routed with
/// \param aPublic whether the route needs no API key
/// \return the sender; Unauthorized if the key is missing or belongs to no
/// account; or Unavailable if the key is unknown and this host has not
/// confirmed within ServingBounds::mConfig that its configuration is the
/// newest, because the key may be new
Result<Caller> Authenticate(const NodeContext& aNode, const RouteTable& aRoutes,
                            const HttpRequest& aRequest, bool aPublic);

/// Replaces the client's credentials by what an upstream may see: removes the
/// API key and any account name that the client sent, and adds the
/// authenticated account's name.
/// \param aAccount the authenticated account; if empty, no account name is sent
void SetAccountHeader(const NodeContext& aNode, const RouteTable& aRoutes,
                      const std::string& aAccount,
                      std::vector<HttpHeader>& aHeaders);

}  // namespace rillwall
