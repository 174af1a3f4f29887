/// \file
/// Keeps the node's table of upstreams: the platform's host list, load reports
/// of the engines that this node routes to, and who is leaving.
///
/// The host list lags, so leaving is learned from every source (list, load
/// report, refusal) and spread to all nodes as a fact.

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "gossip_loop.h"
#include "node.h"

namespace rillwall {

class UpstreamKeeper {
 public:
  UpstreamKeeper(Node& aNode, GossipLoop& aGossip);
  void Start();

  /// An upstream was seen to be leaving; all nodes are told. On the control
  /// strand.
  void SawLeaving(const std::string& aUpstream);
  /// \return the last load report of each polled engine; on the control strand
  const std::map<std::string, LoadReport>& Reports() const { return mReports; }
  /// \return engines of the host list; on the control strand
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
  /// The part of the engines that this node polls and routes to; it changes
  /// with the list and the members only, and costs a hash for each pair.
  std::vector<Upstream> mPolled;
  std::string mListTag;
  std::map<std::string, LoadReport> mReports;
  std::map<std::string, std::shared_ptr<UpstreamLoad>> mLoads;
};

}  // namespace rillwall
