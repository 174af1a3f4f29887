/// \file
/// Calls of plain services: relayed to an upstream, at most once where the
/// policy says so.
///
/// The path of an idempotent call takes no lock and reads only snapshots and
/// atomics.

#pragma once

#include <string>

#include "api_common.h"
#include "charge_runner.h"
#include "node.h"

namespace rillwall {

class ServiceApi {
 public:
  explicit ServiceApi(Node& aNode);
  /// Answers a request whose path is /services/{service}/...
  asio::awaitable<HttpResponse> Handle(const HttpRequest& aRequest,
                                       std::string aRequestId);

 private:
  asio::awaitable<HttpResponse> Relay(const ServiceCall& aCall, bool aRepeat);

  Node& mNode;
  ChargeRunner mCharges;
};

}  // namespace rillwall
