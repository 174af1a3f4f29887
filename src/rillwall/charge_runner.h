/// \file
/// Runs non-idempotent calls, such as charges, at most once.
///
/// ClaimCall (claim.h) decides the steps; this class performs them on the
/// key-value service and an upstream.

#pragma once

#include <memory>
#include <string>

#include "rillwall/claim.h"
#include "service_call.h"

namespace rillwall {

/// Runs each non-idempotent call at most once per idempotency key.
class ChargeRunner {
 public:
  explicit ChargeRunner(Node& aNode) : mNode(aNode) {}
  /// \param aCall a call that a policy declares non-idempotent
  /// \return the upstream's response, the recorded response of an earlier run
  /// with the same key, or an error whose run state is not-run only if the call
  /// certainly was not run
  asio::awaitable<HttpResponse> Run(ServiceCall aCall);

 private:
  /// A call and the state of its claim.
  struct RunningCall {
    RunningCall(ServiceCall aCall, const ClaimKey& aKey, std::string aNonce);
    ServiceCall mCall;
    std::string mPath;
    ClaimCall mClaim;
  };

  asio::awaitable<ClaimStep> CarryOut(RunningCall& aRunningCall,
                                      ClaimStep aStep);
  asio::awaitable<ClaimStep> Create(RunningCall& aRunningCall,
                                    const ClaimStep& aStep);
  asio::awaitable<ClaimStep> Read(RunningCall& aRunningCall);
  asio::awaitable<ClaimStep> Send(RunningCall& aRunningCall);
  asio::awaitable<ClaimStep> Record(RunningCall& aRunningCall,
                                    const ClaimStep& aStep);
  asio::awaitable<ClaimStep> Remove(RunningCall& aRunningCall,
                                    const ClaimStep& aStep);
  asio::awaitable<void> CarryOutRemaining(
      std::shared_ptr<RunningCall> aRunningCall, ClaimStep aStep);
  HttpResponse Answer(const RunningCall& aRunningCall);

  Node& mNode;
};

}  // namespace rillwall
