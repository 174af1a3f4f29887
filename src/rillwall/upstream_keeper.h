/// \file
/// Keeps the node's table of upstreams up to date.
///
/// The sources are the platform's host list and the load reports of the engines
/// to which this node routes. The host list lags, so a node that sees an
/// upstream leave in the list or in a load report publishes this to all nodes
/// as a fact.

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "gossip_loop.h"
#include "node.h"

namespace rillwall {

/// Polls the host list and the engines, and publishes the upstream table.
class UpstreamKeeper {
 public:
  UpstreamKeeper(Node& aNode, GossipLoop& aGossip);
  void Start();

  /// Records that an upstream is leaving and informs all nodes. Call on the
  /// control strand only.
  void RecordLeaving(const std::string& aUpstream);
  /// Call on the control strand only.
  /// \return the last load report of each polled engine, by id
  const std::map<std::string, LoadReport>& Reports() const { return mReports; }
  /// Call on the control strand only.
  /// \return the engines in the host list
  std::vector<Upstream> Engines() const;
  bool IsLeaving(const Upstream& aUpstream) const;

 private:
  asio::awaitable<void> ListLoop();
  asio::awaitable<void> LoadLoop();
  asio::awaitable<void> PollList();
  asio::awaitable<void> PollLoad(Upstream aEngine);
  void Publish();
  std::vector<Upstream> Aperture() const;

  Node& mNode;
  GossipLoop& mGossip;
  std::vector<Upstream> mList;
  /// The engines that this node polls and routes to. Cached, because computing
  /// them takes one hash for each pair of engine and member; they change only
  /// with the host list and the members.
  std::vector<Upstream> mPolled;
  std::string mListTag;  ///< ETag of the host list
  std::map<std::string, LoadReport> mReports;
  std::map<std::string, std::shared_ptr<UpstreamLoad>> mLoads;
};

}  // namespace rillwall
