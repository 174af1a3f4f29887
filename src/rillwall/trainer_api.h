/// \file
/// HTTP API for trainers: weight versions, steps and pulls (docs/API.md).
///
/// Any node handles these requests. It forwards the opening of steps and the
/// planning of pulls to the owner of the step, fetches the samples from the
/// runners that hold them, and checks staleness again at delivery.

#pragma once

#include <string>
#include <vector>

#include "api_common.h"
#include "node.h"
#include "rillwall/step.h"
#include "step_owner.h"
#include "weight_controller.h"

namespace rillwall {

/// Handles the requests under /v1/trainers.
class TrainerApi {
 public:
  TrainerApi(Node& aNode, StepOwner& aSteps, WeightController& aWeights);
  /// Handles a request whose path is /v1/trainers/{trainer}/...
  /// \param aParts segments of the path after "trainers"
  asio::awaitable<HttpResponse> Handle(const HttpRequest& aRequest,
                                       std::vector<std::string> aParts);

 private:
  /// A parsed pull request.
  struct Pull {
    StepId mId;
    std::string mReceipt;
    int64_t mVersion = 0;
    int64_t mMaxGroups = 0;
    Millis mEnd;
  };
  /// Result of one round of a pull: the plan, the groups that were fetched and
  /// those that could not be fetched or are stale.
  struct Round {
    wire::PullPlan mPlan;
    std::vector<wire::FetchedGroup> mGroups;
    std::vector<wire::HeldGroup> mLost;
  };

  asio::awaitable<Result<HttpResponse>> Announce(std::string aTrainer,
                                                 const HttpRequest& aRequest);
  asio::awaitable<Result<HttpResponse>> Open(std::string aTrainer,
                                             const HttpRequest& aRequest);
  asio::awaitable<Result<HttpResponse>> PullStep(StepId aId,
                                                 const HttpRequest& aRequest);
  asio::awaitable<Result<HttpResponse>> Progress(StepId aId);
  asio::awaitable<Result<HttpResponse>> Close(StepId aId);
  asio::awaitable<Result<HttpResponse>> Route(
      const HttpRequest& aRequest, const std::vector<std::string>& aParts);

  asio::awaitable<Result<wire::PeerReply>> CallOwner(StepId aId,
                                                     wire::PeerRequest aRequest,
                                                     Millis aEnd);
  asio::awaitable<Result<Round>> PullRound(
      const Pull& aPull, const std::vector<wire::HeldGroup>& aLost);
  asio::awaitable<Result<wire::PeerReply>> FetchFrom(
      std::string aRunner, std::string aRpc, wire::PeerRequest aRequest);
  HttpResponse Deliver(const Pull& aPull, const Round& aRound,
                       const Receipt& aReceipt);
  bool Deliverable(const Pull& aPull, const wire::FetchedGroup& aGroup,
                   int64_t aNewest);

  Node& mNode;
  StepOwner& mSteps;
  WeightController& mWeights;
};

}  // namespace rillwall
