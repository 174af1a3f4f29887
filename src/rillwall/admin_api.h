/// \file
/// The API towards operators: policies, the fleet, dumps and draining.

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

class AdminApi {
 public:
  /// \param aDrain begins to drain this node
  AdminApi(Node& aNode, PolicyKeeper& aPolicies, UpstreamKeeper& aUpstreams,
           StepOwner& aSteps, GroupRunner& aRunner,
           std::function<void()> aDrain);
  /// Answers a request whose path is /admin/...
  /// \param aParts the path's parts after "admin"
  asio::awaitable<HttpResponse> Handle(const HttpRequest& aRequest,
                                       std::vector<std::string> aParts);
  /// \return this process's state as JSON text; on the control strand
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
