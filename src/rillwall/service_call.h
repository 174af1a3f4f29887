/// \file
/// One call of a plain service, and sending it to an upstream.

#pragma once

#include <string>

#include "api_common.h"
#include "node.h"

namespace rillwall {

/// A caller's call, without what concerns rillwall only.
struct ServiceCall {
  std::string mHouse;
  std::string mService;
  std::string mKey;      ///< Idempotency-Key; empty if none was given
  HttpRequest mRequest;  ///< as the upstream gets it
  Millis mTimeout;
  std::string mRequestId;
};

/// Sends a call to one upstream, once.
/// \return the upstream's answer, or an error whose Run() is NotRun only if
/// nothing of the call was written to an upstream
asio::awaitable<Result<HttpResponse>> SendOnce(Node& aNode,
                                               const ServiceCall& aCall);

/// \return the upstream's answer as the caller gets it
HttpResponse RelayedResponse(HttpResponse aUpstream);

}  // namespace rillwall
