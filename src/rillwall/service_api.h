/// \file
/// HTTP API for calls of plain services.
///
/// A call is relayed to an upstream. Calls that a policy declares
/// non-idempotent run at most once. Choosing the upstream of an idempotent call
/// reads only snapshots and atomics and takes no lock.

#pragma once

#include <string>

#include "api_common.h"
#include "charge_runner.h"
#include "node.h"

namespace rillwall {

/// Handles the requests under /services.
class ServiceApi {
 public:
  explicit ServiceApi(Node& aNode);
  /// Handles a request whose path is /services/{service}/...
  asio::awaitable<HttpResponse> Handle(const HttpRequest& aRequest,
                                       std::string aRequestId);

 private:
  asio::awaitable<HttpResponse> Relay(const ServiceCall& aCall,
                                      bool aRetryable);

  Node& mNode;
  ChargeRunner mCharges;
};

}  // namespace rillwall
