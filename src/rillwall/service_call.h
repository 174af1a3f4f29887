/// \file
/// A call of a plain service, and functions that send it to an upstream.

#pragma once

#include <string>

#include "api_common.h"
#include "node.h"

namespace rillwall {

/// A caller's call, without the headers that are meant for rillwall only.
struct ServiceCall {
  std::string mHouse;  ///< organisation of the caller
  std::string mService;
  std::string mKey;      ///< Idempotency-Key; empty if none was given
  HttpRequest mRequest;  ///< as it is sent to the upstream
  Millis mTimeout;
  std::string mRequestId;
};

/// Sends a call to one upstream, without retries.
/// \return the upstream's response, or an error whose Run() is NotRun only if
/// nothing of the call was written to an upstream
asio::awaitable<Result<HttpResponse>> SendOnce(Node& aNode,
                                               const ServiceCall& aCall);

/// \return the upstream's response without hop-by-hop headers
HttpResponse RelayedResponse(HttpResponse aUpstream);

}  // namespace rillwall
