/// \file
/// Who sends a request: the client account that its API key belongs to.
///
/// A key is looked at once, by the host that took the request from the client.
/// From there on the account's name stands for it: upstreams, other hosts, logs
/// and the store get the name, none of them the key.

#pragma once

#include <optional>
#include <string>

#include "rillwall/node_context.h"

namespace rillwall {

/// Who sends a request.
struct Caller {
  std::string mAccount;  ///< empty: no account is needed
  std::optional<int> mPriority;
  bool operator==(const Caller&) const = default;
};

/// Finds out who sends a request.
/// \param aRoutes the snapshot that also gave the request's route
/// \param aPublic its route needs no key
/// \return the caller; or Unauthorized if no account has the key; or
/// Unavailable if this host has not heard for the configuration's bound whether
/// there is a newer one: a key that it does not know may be new
Result<Caller> Authenticate(const NodeContext& aNode, const RouteTable& aRoutes,
                            const HttpRequest& aRequest, bool aPublic);

/// Replaces what a client sent by what an upstream may see: the account's name,
/// and neither the key nor an account that the client claims to be.
/// \param aAccount empty: none is named
void SetAccountHeader(const NodeContext& aNode, const RouteTable& aRoutes,
                      const std::string& aAccount,
                      std::vector<HttpHeader>& aHeaders);

}  // namespace rillwall
