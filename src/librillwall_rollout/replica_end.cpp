#include "replica_end.h"

#include <optional>

#include "rillwall/event_log.h"

namespace rillwall {

namespace {

/// A refused connection takes one round trip: 2 ms between availability zones,
/// some tens of ms between regions. The caller's next try waits for it.
constexpr Millis kConnectTimeout{100};
/// A replica rejects the request without a slot, but may be slow or frozen.
constexpr Millis kAnswerTimeout{400};
/// Largest answer, in bytes; it may be the report of a replica.
constexpr size_t kMaxAnswer = 64 * 1024;
/// Any path serves, as the request is rejected for its headers.
constexpr char kRejectedPath[] = "/";
constexpr int kMisdirected = 421;

const char* NameOf(ReplicaState aState) {
  switch (aState) {
    case ReplicaState::Runs:
      return "runs";
    case ReplicaState::Ended:
      return "ended";
    case ReplicaState::Unknown:
      return "unknown";
  }
  return "unknown";
}

/// Sends one request that no replica runs, over a new connection: on an older
/// one, bytes of an earlier response could be taken for the answer.
/// \return nothing if the connection was closed without an answer
asio::awaitable<std::optional<ReplicaState>> AskOnce(NodeContext& aNode,
                                                     const Replica& aReplica,
                                                     const Endpoint& aEndpoint,
                                                     const std::string& aPath) {
  HttpRequest request;
  request.mTarget = aPath;
  request.mHeaders = {{aNode.mHeaders.mExpectReplica, aReplica.mId}};
  HttpClient::OpenOptions options;
  options.mNewConnection = true;
  options.mEndCheck = AnyEnd();
  const Result<HttpResponse> answer =
      co_await aNode.mClient.Send(aEndpoint, std::move(request), kAnswerTimeout,
                                  kMaxAnswer, std::move(options));
  if (!answer && answer.error().Run() == RunState::NotRun) {
    const Listening listening =
        co_await aNode.mClient.Probe(aEndpoint, kConnectTimeout);
    co_return listening == Listening::No ? ReplicaState::Ended
                                         : ReplicaState::Unknown;
  }
  if (!answer && answer.error().Kind() == ErrorKind::ConnectionLost) {
    co_return std::nullopt;
  }
  if (!answer) {
    co_return ReplicaState::Unknown;
  }
  const std::string* id = answer->Find(aNode.mHeaders.mReplicaId);
  const bool other =
      answer->mStatus == kMisdirected || (id != nullptr && *id != aReplica.mId);
  co_return other ? ReplicaState::Ended : ReplicaState::Runs;
}

}  // namespace

asio::awaitable<ReplicaState> AskReplica(NodeContext& aNode, Replica aReplica) {
  const Result<Endpoint> endpoint = Endpoint::Parse(aReplica.mAddress);
  if (!endpoint) {
    co_return ReplicaState::Unknown;
  }
  std::optional<ReplicaState> state =
      co_await AskOnce(aNode, aReplica, *endpoint, kRejectedPath);
  if (!state && !aNode.mReplicaReportPath.empty()) {
    // Some replicas close the connection of a request that has no identity.
    state =
        co_await AskOnce(aNode, aReplica, *endpoint, aNode.mReplicaReportPath);
  }
  if (state == ReplicaState::Ended) {
    aNode.mMetrics.Count("replica_ends_seen_total");
  }
  co_return state.value_or(ReplicaState::Unknown);
}

EndCheck EndCheckFor(NodeContext& aNode, const Replica& aReplica) {
  return [&aNode, aReplica]() -> asio::awaitable<bool> {
    const ReplicaState state = co_await AskReplica(aNode, aReplica);
    Event("response-ended-by-close")
        .Text("replica", aReplica.mId)
        .Text("replica_state", NameOf(state))
        .Write();
    aNode.mMetrics.Count("responses_ended_by_close_total",
                         std::string("replica=\"") + NameOf(state) + '"');
    co_return state == ReplicaState::Runs;
  };
}

}  // namespace rillwall
