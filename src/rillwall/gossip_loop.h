/// \file
/// Runs the membership: datagrams, ticks and full exchanges with peers.

#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "node.h"
#include "rillwall/datagram.h"

namespace rillwall {

class GossipLoop {
 public:
  using MemberListener = std::function<void(const Member& aMember)>;
  using FactListener = std::function<void(const Fact& aFact)>;

  explicit GossipLoop(Node& aNode);
  /// \return the endpoint taken, or why it could not be
  Result<Endpoint> Start();
  /// Listeners run on the control strand; add them before Start().
  void OnMember(MemberListener aListener);
  void OnFact(FactListener aListener);

  /// \name On the control strand only
  /// @{
  void SetFact(Fact aFact);
  void Leave();
  /// Answers a peer's full exchange.
  GossipState Exchange(const GossipState& aTheirs);
  /// @}
  void Stop();

 private:
  asio::awaitable<void> TickLoop();
  asio::awaitable<void> ExchangeLoop();
  asio::awaitable<void> ExchangeWith(Member aPeer);
  void CarryOut(GossipActions aActions);
  void Received(std::string aBytes, const std::string& aFrom);

  Node& mNode;
  DatagramSocket mSocket;
  std::vector<MemberListener> mMemberListeners;
  std::vector<FactListener> mFactListeners;
  std::string mKey;  ///< the fleet's shared key; empty: none
  std::mt19937_64 mRandom;
  uint64_t mSentBytes = 0;
  uint64_t mReceivedBytes = 0;
};

}  // namespace rillwall
