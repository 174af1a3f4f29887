/// \file
/// Drives the membership protocol: gossip datagrams, ticks and full state
/// exchanges with peers.

#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "node.h"
#include "rillwall/datagram.h"

namespace rillwall {

/// Connects Membership with the network and notifies listeners of changes.
class GossipLoop {
 public:
  using MemberListener = std::function<void(const Member& aMember)>;
  using FactListener = std::function<void(const Fact& aFact)>;

  explicit GossipLoop(Node& aNode);
  /// Opens the socket and starts the loops.
  /// \return the bound endpoint, or the error of binding it
  Result<Endpoint> Start();
  /// Add listeners before Start(). They run on the control strand.
  void OnMember(MemberListener aListener);
  void OnFact(FactListener aListener);

  /// \name On the control strand only
  /// @{
  /// Publishes a fact to all nodes.
  void SetFact(Fact aFact);
  /// Announces that this node leaves the fleet.
  void Leave();
  /// Merges the state that a peer sent in a full exchange.
  /// \return the state of this node after the merge
  GossipState Exchange(const GossipState& aTheirs);
  /// @}
  void Stop();

 private:
  asio::awaitable<void> TickLoop();
  asio::awaitable<void> ExchangeLoop();
  asio::awaitable<void> ExchangeWith(Member aPeer);
  void CarryOut(GossipActions aActions);
  void HandleDatagram(std::string aBytes, const std::string& aFrom);

  Node& mNode;
  DatagramSocket mSocket;
  std::vector<MemberListener> mMemberListeners;
  std::vector<FactListener> mFactListeners;
  std::string mKey;  ///< the fleet's shared key; empty: none
  std::mt19937_64 mRandom;
  uint64_t mSentBytes = 0;      ///< already added to the metrics
  uint64_t mReceivedBytes = 0;  ///< already added to the metrics
};

}  // namespace rillwall
