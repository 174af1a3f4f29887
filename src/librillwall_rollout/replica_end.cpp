#include "replica_end.h"

namespace rillwall {

namespace {

/// A refused connection takes one round trip: 2 ms between availability zones,
/// some tens of ms between regions. The caller's next try waits for it.
constexpr Millis kProbeTimeout{100};

}  // namespace

asio::awaitable<bool> ReplicaEnded(NodeContext& aNode, std::string aAddress) {
  const Result<Endpoint> endpoint = Endpoint::Parse(aAddress);
  if (!endpoint) {
    co_return false;
  }
  const Listening listening =
      co_await aNode.mClient.Probe(*endpoint, kProbeTimeout);
  const bool ended = listening == Listening::No;
  if (ended) {
    aNode.mMetrics.Count("replica_ends_seen_total");
  }
  co_return ended;
}

}  // namespace rillwall
