/// \file
/// Keeps the policies of this node up to date, and accepts changes to them.
///
/// A single key in the key-value service holds all policies. A compare-and-swap
/// on this key accepts a change. The new revision spreads by gossip, and nodes
/// fetch the document from a peer. A few nodes of each zone watch the key. A
/// node never goes back to an older revision. After its start it accepts no
/// work until the key-value service or a peer has confirmed its policies.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gossip_loop.h"
#include "node.h"
#include "rillwall/policy_document.h"

namespace rillwall {

/// Result of an accepted change.
struct PolicyAccepted {
  uint64_t mRevision = 0;
  size_t mNodes = 0;                  ///< number of live nodes
  std::vector<std::string> mMissing;  ///< ids of nodes not yet confirmed
};

/// A change that an operator requests.
struct PolicyEdit {
  std::string mName;
  std::string mProgram;
  bool mRemove = false;
  std::string mAuthor;
  std::optional<uint64_t> mBasedOn;  ///< refuse if the set has another revision
};

/// Synchronizes the policies of this node with the fleet.
class PolicyKeeper {
 public:
  PolicyKeeper(Node& aNode, GossipLoop& aGossip);
  void Start();

  /// Writes a change, and waits a few seconds until it is in force on all live
  /// nodes.
  /// \return the result; Conflict, naming the author, if another change was
  /// accepted first; KvUncertain if the outcome of the write is unknown
  asio::awaitable<Result<PolicyAccepted>> Change(PolicyEdit aEdit);
  /// Call on the control strand only.
  /// \return the document in force
  const PolicyDocument& Document() const { return mDocument; }
  /// Handles a peer's request for the policies. Call on the control strand
  /// only.
  wire::PolicyBody HandleAskPolicy(const wire::AskPolicy& aRequest,
                                   const std::string& aFrom);

 private:
  asio::awaitable<void> ConfirmLoop();
  asio::awaitable<void> WatchLoop();
  asio::awaitable<bool> ConfirmWithKv();
  asio::awaitable<bool> ConfirmWithPeer(Member aPeer);
  asio::awaitable<void> FetchFromPeers();
  asio::awaitable<Result<KvEntry>> ReadKey();
  asio::awaitable<Result<PolicyDocument>> Write(PolicyEdit aEdit);
  asio::awaitable<Result<PolicyDocument>> ResolveUncertainWrite(
      std::string aNonce, PolicyDocument aNext);
  asio::awaitable<PolicyAccepted> AwaitInForce(uint64_t aRevision);
  asio::awaitable<bool> HasRevision(Member aPeer, uint64_t aRevision);
  bool IsWatcher();
  std::vector<Member> OtherMembers();
  void Adopt(PolicyDocument aDocument);
  void Confirm();

  Node& mNode;
  GossipLoop& mGossip;
  PolicyDocument mDocument;
  bool mConfirmed = false;  ///< by the key-value service or a peer
  bool mFetching = false;
  std::mt19937_64 mRandom;
};

}  // namespace rillwall
