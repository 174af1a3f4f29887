#include "rillwall/load_probe.h"

#include <algorithm>
#include <functional>

#include "rillwall/event_log.h"
#include "rillwall/probe_plan.h"
#include "rillwall/replica_answer.h"

namespace rillwall {

namespace {

/// Timeout of a probe. A call that times out makes the client close all idle
/// connections to the replica, so only a replica that does not answer at all
/// may reach it.
constexpr Millis kProbeTimeout{1000};
constexpr int kOk = 200;

/// The probes before one request. Shared with the probes, which may outlast
/// the wait for them.
struct ProbeRound {
  explicit ProbeRound(asio::io_context& aIo) : mTimer(aIo) {}
  asio::steady_timer mTimer;
  ReplicaRequirements mRequirements;
  size_t mOpen = 0;    ///< probes without an answer
  bool mOver = false;  ///< nobody waits any more
};

/// \return whether the current figures of a replica make others not worth
/// waiting for
bool IsReadyNow(const NodeContext& aNode,
                const ReplicaRequirements& aRequirements,
                const std::string& aId) {
  const std::vector<ReplicaFigures> all =
      aNode.mReplicas.Figures(aRequirements, aNode.Now());
  return std::any_of(all.begin(), all.end(), [&](const ReplicaFigures& aEach) {
    return aEach.mReplica->mId == aId && IsReady(aEach);
  });
}

/// Records the answer to a probe.
/// \return whether it came from the replica that was asked
bool RecordAnswer(NodeContext& aNode, const std::string& aId,
                  const HttpResponse& aAnswer, Millis aRoundTrip) {
  const std::string* id = aAnswer.Find(aNode.mHeaders.mReplicaId);
  if (id == nullptr || *id != aId || !IsAnswerTo(aNode, aAnswer, {})) {
    return false;
  }
  ObserveLoad(aNode, aId, aAnswer);
  aNode.mReplicas.ObserveProbe(aId, aAnswer.mStatus == kOk, aRoundTrip,
                               aNode.Now());
  return true;
}

asio::awaitable<void> ProbeOne(NodeContext& aNode, std::string aId,
                               Endpoint aEndpoint, std::string aPath,
                               std::shared_ptr<ProbeRound> aRound) {
  HttpRequest request;
  request.mTarget = std::move(aPath);
  HttpClient::OpenOptions options;
  options.mEndCheck = AnyEnd();  // only the head is used
  options.mMayReuse = ReuseAfterAnswer(aNode, {}, AfterRefusal::Keep);
  const Millis begun = aNode.Now();
  const Result<HttpResponse> answer =
      co_await aNode.mClient.Send(aEndpoint, std::move(request), kProbeTimeout,
                                  kMaxShortBody, std::move(options));
  --aRound->mOpen;
  const bool valid =
      answer && RecordAnswer(aNode, aId, *answer, aNode.Now() - begun);
  aNode.mLoadCounts.mProbesAnswered += valid ? 1 : 0;
  aNode.mMetrics.Count(valid ? "load_probes_answered_total"
                             : "load_probes_failed_total");
  if (aRound->mOver) {
    ++aNode.mLoadCounts.mProbesLate;
    aNode.mMetrics.Count("load_probes_late_total");
  } else if (aRound->mOpen == 0 ||
             (valid && IsReadyNow(aNode, aRound->mRequirements, aId))) {
    aRound->mTimer.cancel();
  }
}

}  // namespace

void FindConnected(NodeContext& aNode, ReplicaRequirements& aRequirements) {
  aRequirements.mConnected.clear();
  if (!aNode.mReplicas.UsesCurrentLoad(aRequirements.mService)) {
    return;
  }
  for (const Replica* each :
       aNode.mReplicas.OfService(aRequirements.mService)) {
    const Result<Endpoint> endpoint = Endpoint::Parse(each->mAddress);
    if (endpoint && aNode.mClient.HasIdle(*endpoint)) {
      aRequirements.mConnected.push_back(each->mId);
    }
  }
  std::sort(aRequirements.mConnected.begin(), aRequirements.mConnected.end());
}

asio::awaitable<void> RefreshLoad(NodeContext& aNode,
                                  const ReplicaRequirements& aRequirements,
                                  Millis aLimit) {
  if (aRequirements.mConnected.empty() ||
      !aNode.mReplicas.UsesCurrentLoad(aRequirements.mService)) {
    co_return;
  }
  const auto routes = aNode.mRoutes.Read();
  const ServiceSpec* service = routes->Service(aRequirements.mService);
  if (service == nullptr || service->mHealthPath.empty()) {
    co_return;
  }
  const std::vector<ReplicaFigures> figures =
      aNode.mReplicas.Figures(aRequirements, aNode.Now());
  const auto seed = static_cast<uint64_t>(aNode.mTimeOfDay()) ^
                    std::hash<std::string>()(aNode.mIdentity.mRun);
  const auto round = std::make_shared<ProbeRound>(aNode.mIo);
  round->mRequirements = aRequirements;
  for (const size_t index : PlanProbes(figures, seed)) {
    const Replica& replica = *figures[index].mReplica;
    const Result<Endpoint> endpoint = Endpoint::Parse(replica.mAddress);
    if (endpoint) {
      ++round->mOpen;
      Launch(
          aNode.mIo, "load-probe",
          ProbeOne(aNode, replica.mId, *endpoint, service->mHealthPath, round));
    }
  }
  if (round->mOpen == 0) {
    co_return;
  }
  aNode.mLoadCounts.mProbesSent += round->mOpen;
  aNode.mMetrics.Count("load_probes_sent_total", {}, round->mOpen);
  co_await WaitOnTimer(round->mTimer, aLimit);
  round->mOver = true;
}

}  // namespace rillwall
