/// \file
/// Shares what the store says among the nodes, so that few of them ask it.
///
/// The lead lists the replicas and follows the configuration; the others ask
/// it, and while there is no lead, the entry hosts ask the candidates, which
/// then ask the store themselves. Only what a node read from the store itself
/// is passed on, so that a view is never older than two questions.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rillwall/lead_claim.h"
#include "rillwall/node_context.h"
#include "rillwall/node_directory.h"
#include "rillwall/shared_view.h"

namespace rillwall {

/// The operator's configuration as the store has it.
struct ConfigText {
  std::string mText;
  int64_t mRevision = 0;
  bool operator==(const ConfigText&) const = default;
};

/// What another node told.
struct ViewNews {
  std::vector<Replica> mReplicas;
  bool mFollowsConfig = false;        ///< that node follows the configuration
  std::optional<ConfigText> mConfig;  ///< newer than the one known here
};

class ViewExchange {
 public:
  ViewExchange(NodeContext& aNode, LeadClaim& aLead, NodeDirectory& aNodes);
  /// The whole system starts for the first time: somebody will lead soon, which
  /// is worth waiting for. Not so when all nodes come back, as clients wait.
  void ExpectLead() { mToldAt = mNode.Now(); }

  /// \return how often the store's list of replicas is to be read
  Millis PollEvery() const;
  /// \return how often other nodes are to be asked
  Millis AskEvery() const;

  /// This node has listed the replicas in the store.
  /// \param aAsked when it asked
  void Listed(const std::vector<Replica>& aReplicas, Millis aAsked);
  /// The configuration in force here.
  void Configured(ConfigText aConfig) { mConfig = std::move(aConfig); }
  /// Whether this node follows the configuration in the store itself.
  void Follows(bool aFollows) { mFollows = aFollows; }

  /// Answers another node's question. Status 503 if this node's own view is
  /// not current.
  HttpResponse Answer(const HttpRequest& aRequest);
  /// Gives out the text of the configuration.
  HttpResponse AnswerConfig() const;

  /// Says whether this node reaches a node that it knows: 200, or 404.
  asio::awaitable<HttpResponse> AnswerReach(const HttpRequest& aRequest);
  /// Asks some entry hosts, in different availability zones as far as that can
  /// be told, whether they reach a node.
  /// \return whether some answered, and none of them reaches it
  asio::awaitable<bool> NobodyReaches(std::string aAddress);

  /// Asks the lead or, as an entry host, a candidate.
  /// \return what it told; nothing if none of them has a current view
  asio::awaitable<std::optional<ViewNews>> Ask();
  /// \return whether what was told last is young enough to ask once more,
  /// rather than the store
  bool MayAskAgain() const;

 private:
  std::vector<std::string> Sources() const;
  asio::awaitable<std::optional<ViewNews>> AskOne(std::string aAddress);
  asio::awaitable<std::optional<ConfigText>> FetchConfig(Endpoint aFrom,
                                                         int64_t aRevision);

  NodeContext& mNode;
  LeadClaim& mLead;
  NodeDirectory& mNodes;
  ReplicaLog mLog;        ///< what this node listed itself
  ReplicaMirror mMirror;  ///< what another node told
  std::optional<Millis> mListedAt;
  std::optional<Millis>
      mToldAt;         ///< when the last node that answered was asked
  Millis mLookedUpAt;  ///< when the store was last asked who leads
  ConfigText mConfig;
  bool mFollows = false;
};

}  // namespace rillwall
