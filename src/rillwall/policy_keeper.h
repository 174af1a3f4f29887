/// \file
/// Keeps this node's policies the newest accepted ones, and takes changes.
///
/// A change is accepted by one compare-and-swap on the one key that holds all
/// policies. The revision spreads by gossip; nodes fetch the body from a peer.
/// A few nodes of each zone watch the key. A node never goes back to an older
/// revision; after a start it takes no work until the key-value service or a
/// peer has confirmed what it knows.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gossip_loop.h"
#include "node.h"
#include "rillwall/policy_document.h"

namespace rillwall {

/// What an operator is told of an accepted change.
struct PolicyAccepted {
  uint64_t mRevision = 0;
  size_t mNodes = 0;                  ///< live nodes
  std::vector<std::string> mMissing;  ///< not known to have it in force yet
};

/// A change as an operator asks for it.
struct PolicyEdit {
  std::string mName;
  std::string mProgram;
  bool mRemove = false;
  std::string mAuthor;
  std::optional<uint64_t> mBasedOn;  ///< refuse if the set has moved on
};

class PolicyKeeper {
 public:
  PolicyKeeper(Node& aNode, GossipLoop& aGossip);
  void Start();

  /// Makes a change, or says who made another one first.
  asio::awaitable<Result<PolicyAccepted>> Change(PolicyEdit aEdit);
  /// \return the document in force; on the control strand
  const PolicyDocument& Document() const { return mDocument; }
  /// Answers a peer that asks for the policies; on the control strand.
  wire::PolicyBody Answer(const wire::AskPolicy& aAsk,
                          const std::string& aFrom);

 private:
  asio::awaitable<void> ConfirmLoop();
  asio::awaitable<void> WatchLoop();
  asio::awaitable<bool> ConfirmWithKv();
  asio::awaitable<bool> ConfirmWithPeer(Member aPeer);
  asio::awaitable<void> FetchFromPeers();
  asio::awaitable<Result<KvEntry>> ReadKey();
  asio::awaitable<Result<PolicyDocument>> Write(PolicyEdit aEdit);
  asio::awaitable<Result<PolicyDocument>> Settle(std::string aNonce,
                                                 PolicyDocument aNext);
  asio::awaitable<PolicyAccepted> AwaitInForce(uint64_t aRevision);
  asio::awaitable<bool> HasRevision(Member aPeer, uint64_t aRevision);
  bool IsWatcher();
  std::vector<Member> OtherMembers();
  void Adopt(PolicyDocument aDocument);
  void Confirm();

  Node& mNode;
  GossipLoop& mGossip;
  PolicyDocument mDocument;
  bool mKnown = false;  ///< the service or a peer has confirmed it
  bool mFetching = false;
  std::mt19937_64 mRandom;
};

}  // namespace rillwall
