/// \file
/// The process of one node: connects the parts, listens, drains and exits.

#pragma once

#include <memory>

#include "admin_api.h"
#include "caller_api.h"
#include "gossip_loop.h"
#include "group_runner.h"
#include "model_calls.h"
#include "node.h"
#include "peer_service.h"
#include "policy_keeper.h"
#include "service_api.h"
#include "step_owner.h"
#include "trainer_api.h"
#include "upstream_keeper.h"
#include "weight_controller.h"

namespace rillwall {

/// Owns all parts of a node.
class Server {
 public:
  Server(asio::io_context& aContext, NodeSettings aSettings);
  /// Binds the sockets and starts all parts.
  /// \return the error if a socket cannot be bound
  std::optional<Error> Start();
  /// Starts leaving the fleet: waits for the work in flight up to the drain
  /// time, hands held groups over and stops the context. Further calls do
  /// nothing.
  void Drain();
  /// Writes the state of the process to the log.
  void LogDump();

 private:
  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange);
  asio::awaitable<HttpResponse> RouteRequest(const HttpRequest& aRequest,
                                             std::vector<std::string> aParts);
  HttpResponse Ready() const;
  asio::awaitable<void> RunDrain();
  asio::awaitable<void> HandOverHeldGroups();

  Node mNode;
  GossipLoop mGossip;
  PolicyKeeper mPolicies;
  UpstreamKeeper mUpstreams;
  WeightController mWeights;
  ModelCalls mCalls;
  GroupRunner mRunner;
  StepOwner mSteps;
  PeerService mPeerService;
  CallerApi mCallerApi;
  ServiceApi mServiceApi;
  TrainerApi mTrainerApi;
  AdminApi mAdminApi;
  HttpServer mHttpServer;
  PeerServer mPeerServer;
  bool mDraining = false;
};

/// Runs a node until it has drained.
/// \return the exit code of the process
int Serve(const NodeSettings& aSettings);

}  // namespace rillwall
