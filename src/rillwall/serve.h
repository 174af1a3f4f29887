/// \file
/// One node's process: wires the parts, listens, drains and ends.

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

class Server {
 public:
  Server(asio::io_context& aContext, NodeSettings aSettings);
  /// Takes the sockets and starts all parts.
  /// \return why it could not, if it could not
  std::optional<Error> Start();
  /// Leaves the fleet, lets everything in flight end, and stops the context.
  void Drain();
  /// Writes the state to the log.
  void LogDump();

 private:
  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange);
  asio::awaitable<HttpResponse> HandleWhole(const HttpRequest& aRequest,
                                            std::vector<std::string> aParts);
  HttpResponse Ready() const;
  asio::awaitable<void> DrainRun();
  asio::awaitable<void> HandOverHeld();

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
/// \return the process's exit code
int Serve(const NodeSettings& aSettings);

}  // namespace rillwall
