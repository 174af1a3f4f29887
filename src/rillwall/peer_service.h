/// \file
/// Dispatches calls of peers to the parts of the node that handle them.

#pragma once

#include "gossip_loop.h"
#include "group_runner.h"
#include "node.h"
#include "policy_keeper.h"
#include "step_owner.h"

namespace rillwall {

/// Handles the calls that other nodes make through PeerServer.
class PeerService {
 public:
  PeerService(Node& aNode, GossipLoop& aGossip, PolicyKeeper& aPolicies,
              StepOwner& aSteps, GroupRunner& aRunner);
  /// Handles one call. May be called on any thread.
  asio::awaitable<Result<wire::PeerReply>> Handle(wire::PeerRequest aRequest);

 private:
  using Reply = asio::awaitable<Result<wire::PeerReply>>;
  Reply Exchange(wire::PeerRequest aRequest);
  Reply OpenStep(wire::PeerRequest aRequest);
  Reply PlanPull(wire::PeerRequest aRequest);
  Reply CloseStep(wire::PeerRequest aRequest);
  Reply RunGroup(wire::PeerRequest aRequest);
  Reply CancelGroup(wire::PeerRequest aRequest);
  Reply ReleaseGroups(wire::PeerRequest aRequest);
  Reply FetchGroups(wire::PeerRequest aRequest);
  Reply AskInventory(wire::PeerRequest aRequest);
  Reply AskStep(wire::PeerRequest aRequest);
  Reply AskPolicy(wire::PeerRequest aRequest);
  Reply AskRoom(wire::PeerRequest aRequest);
  Reply HandOver(wire::PeerRequest aRequest);

  /// A kind of call: its handler, and the accessor of the step id in the
  /// request (which returns null for calls without a step).
  struct Kind {
    wire::PeerRequest::KindCase mCase;
    Reply (PeerService::*mHandler)(wire::PeerRequest);
    const wire::StepId* (*mStep)(const wire::PeerRequest&);
  };
  static const std::vector<Kind>& Kinds();

  Node& mNode;
  GossipLoop& mGossip;
  PolicyKeeper& mPolicies;
  StepOwner& mSteps;
  GroupRunner& mRunner;
};

}  // namespace rillwall
