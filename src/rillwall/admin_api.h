/// \file
/// The operators' HTTP API: policies, state of the fleet, dumps and draining.

#pragma once

#include <functional>
#include <string>
#include <vector>

#include "api_common.h"
#include "group_runner.h"
#include "node.h"
#include "policy_keeper.h"
#include "step_owner.h"
#include "upstream_keeper.h"

namespace rillwall {

/// Handles the requests under /admin. All of them need an operator's token once
/// a policy declares tokens.
class AdminApi {
 public:
  /// \param aDrain starts draining this node
  AdminApi(Node& aNode, PolicyKeeper& aPolicies, UpstreamKeeper& aUpstreams,
           StepOwner& aSteps, GroupRunner& aRunner,
           std::function<void()> aDrain);
  /// Handles a request whose path is /admin/...
  /// \param aParts segments of the path after "admin"
  asio::awaitable<HttpResponse> Handle(const HttpRequest& aRequest,
                                       std::vector<std::string> aParts);
  /// Call on the control strand only.
  /// \return the state of this process as JSON text
  std::string Dump();

 private:
  using Answer = asio::awaitable<Result<HttpResponse>>;
  Answer Route(const HttpRequest& aRequest,
               const std::vector<std::string>& aParts);
  Answer ListPolicies();
  Answer ShowPolicy(std::string aName);
  Answer History();
  Answer ChangePolicy(const HttpRequest& aRequest, std::string aName,
                      std::string aAuthor, bool aRemove);
  Answer CheckPolicy(const HttpRequest& aRequest, std::string aName);
  Answer Hosts();
  Answer Upstreams();
  Answer Trainers();
  Answer Steps();
  Answer DrainState();

  Node& mNode;
  PolicyKeeper& mPolicies;
  UpstreamKeeper& mUpstreams;
  StepOwner& mSteps;
  GroupRunner& mRunner;
  std::function<void()> mDrain;
};

}  // namespace rillwall
