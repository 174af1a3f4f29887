/// \file
/// Runs non-idempotent calls at most once: carries out the steps of a
/// ClaimCall (claim.h) against the key-value service and an upstream.

#pragma once

#include <memory>
#include <string>

#include "rillwall/claim.h"
#include "service_call.h"

namespace rillwall {

class ChargeRunner {
 public:
  explicit ChargeRunner(Node& aNode) : mNode(aNode) {}
  /// \param aCall a call that the policy names as non-idempotent
  /// \return the upstream's answer, its recorded answer, or an error that says
  /// truthfully whether the call was run
  asio::awaitable<HttpResponse> Run(ServiceCall aCall);

 private:
  /// A call and where its claim stands.
  struct Running {
    Running(ServiceCall aCall, const ClaimKey& aKey, std::string aNonce);
    ServiceCall mCall;
    std::string mPath;
    ClaimCall mClaim;
  };

  asio::awaitable<ClaimStep> CarryOut(Running& aRunning, ClaimStep aStep);
  asio::awaitable<ClaimStep> Create(Running& aRunning, const ClaimStep& aStep);
  asio::awaitable<ClaimStep> Read(Running& aRunning);
  asio::awaitable<ClaimStep> Send(Running& aRunning);
  asio::awaitable<ClaimStep> Record(Running& aRunning, const ClaimStep& aStep);
  asio::awaitable<ClaimStep> Remove(Running& aRunning, const ClaimStep& aStep);
  asio::awaitable<void> CarryOutRest(std::shared_ptr<Running> aRunning,
                                     ClaimStep aStep);
  HttpResponse Answer(const Running& aRunning);

  Node& mNode;
};

}  // namespace rillwall
