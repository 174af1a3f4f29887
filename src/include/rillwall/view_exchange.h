/// \file
/// Shares what the store says among the nodes, so that few of them ask it.
///
/// The lead lists the replicas and follows the configuration; the others ask
/// it. Whoever gets no answer asks a candidate, which then reads the store
/// itself for some time, for all who ask it. Only what a node read from the
/// store itself is passed on, with its age, so that a view is never older than
/// it is thought to be, however late a node is.
///
/// Bytes told, with H nodes and R replicas: a node that knows nothing is told R
/// entries of some 200 bytes once, from a text that is written down once for
/// all. One that knows the list is told what changed; entry hosts hear nothing
/// of weight versions, so in a calm state that is some 150 bytes for each
/// question. The list of nodes is bounded (NodeDirectory).
///
/// With very many replicas (RegistryTable::kFullListLimit) every candidate
/// reads the store itself, and a host asks one of its own availability zone,
/// which tells it a subset: bytes, state and connections of a host do not grow
/// with R, and the lead answers none of the H. A calm question costs a
/// comparison; after a change, K look-ups.

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rillwall/lead_claim.h"
#include "rillwall/node_context.h"
#include "rillwall/node_directory.h"
#include "rillwall/registry_table.h"
#include "rillwall/shared_view.h"
#include "rillwall/view_plan.h"

namespace rillwall {

/// The operator's configuration as the store has it.
struct ConfigText {
  std::string mText;
  int64_t mRevision = 0;
  bool operator==(const ConfigText&) const = default;
};

/// What another node told.
struct ViewUpdate {
  /// All replicas, if they are not those told before.
  std::optional<std::vector<Replica>> mReplicas;
  bool mFollowsConfig = false;        ///< that node follows the configuration
  std::optional<ConfigText> mConfig;  ///< newer than the one known here
};

class ViewExchange {
 public:
  ViewExchange(NodeContext& aNode, LeadClaim& aLead, NodeDirectory& aNodes);
  /// Called when another node asks this one in the lead's place.
  std::function<void()> mOnHelpRequested;
  /// \return whether this node owns steps, and has to know weight versions
  std::function<bool()> mOwnsSteps = [] { return false; };
  /// Takes in what a node tells beside its question, if this node leads.
  std::function<void(const NodeEntry&, const std::string&)> mOnUsage;
  /// When and whom to ask.
  ViewPlan& Plan() { return mPlan; }
  /// \return the source to ask now; nothing if it is not time for any
  std::optional<ViewSource> NextSource();
  /// Asks the lead or a helper.
  /// \return what it told; nothing if that does not help
  asio::awaitable<std::optional<ViewUpdate>> Ask(ViewSource aSource);
  /// \return all replicas as another node told them last
  std::vector<Replica> Told() const { return mMirror.All(); }
  /// \return the candidate that keeps an ended step for all nodes, chosen by
  /// the hash of both names; nothing if none is known
  std::optional<std::string> ArchiveHostOf(const std::string& aStep) const;
  /// \return whether weight versions are known here
  bool KnowsVersions() const { return mListedAt || mMirrorVersions; }
  /// Asks the store who leads.
  asio::awaitable<void> LookUp();
  /// \return whether others ask this node in the lead's place
  bool Helping() const;

  /// This node has listed the replicas in the store.
  /// \param aAsked when it asked
  void Listed(const std::vector<Replica>& aReplicas, Millis aAsked);
  /// This node has brought a table of very many replicas up to date. From then
  /// on others are told subsets of it.
  /// \param aTable lives as long as this
  void ReadTable(const RegistryTable& aTable, Millis aAsked);
  /// \return whether there are so many replicas that hosts are told subsets
  bool Large() const { return mTable != nullptr || mLargeTold; }
  /// \return whether this node reads the store for others: it leads, or was
  /// asked in the lead's place, or is a candidate where there are very many
  /// replicas
  bool ReadsForOthers() const;
  /// Tells the lead that this node lives, and hears which others do. For a node
  /// that reads the store itself.
  asio::awaitable<void> Introduce();

  /// This node could not list them: the store does not answer it.
  void ListingFailed() { mUnlistedAt = mNode.Now(); }
  /// The configuration in force here.
  void Configured(ConfigText aConfig);
  /// The zones that the operator has evacuated, all of them.
  void Evacuated(std::set<std::string> aZones);
  /// Whether this node follows the configuration in the store itself.
  void Follows(bool aFollows);

  /// Answers another node's question. Status 503 if this node has never read
  /// the store itself; it says so if that is since the store does not answer.
  HttpResponse Answer(const HttpRequest& aRequest);
  /// Gives out the text of the configuration.
  HttpResponse HandleConfigRequest();

  /// Says whether this node reaches another one: 200, or 404; 503 if it does
  /// not know that node.
  asio::awaitable<HttpResponse> HandleReachRequest(const HttpRequest& aRequest);
  /// Asks some entry hosts, in different availability zones as far as that can
  /// be told, whether they reach a node.
  /// \return whether some answered, and none of them reaches it
  asio::awaitable<bool> ConfirmUnreachable(std::string aAddress);

 private:
  /// What makes answers differ from one another.
  struct AnswerKey {
    bool mVersions = false;
    ReplicaCursor mKnown;
    int64_t mCrashes = 0;  ///< records of crashes are known up to this
    bool mNodes = false;   ///< the nodes are told
    // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const AnswerKey&) const = default;
  };

  /// This node has just read the store.
  void NoteListed(Millis aAsked);
  /// The candidate that tells this host its subset did not answer.
  void PassOverTeller();
  /// \return whom this node knows
  ViewContacts Contacts() const;
  /// \return the question to a source, with the usage that it lacks
  HttpRequest QuestionTo(ViewSource aSource, const std::string& aAddress);
  /// \return the node to ask
  std::optional<std::string> AddressOf(ViewSource aSource) const;
  void NoteMiss(ViewSource aSource, const std::string& aAddress,
                const Result<HttpResponse>& aAnswer);
  asio::awaitable<std::optional<ViewUpdate>> Take(SharedView aView,
                                                  Endpoint aFrom);
  /// Takes in which nodes there are and who leads.
  void TakeNodes(const SharedView& aView);
  /// \return the candidate of the own zone that tells this host its subset;
  /// nothing if the lead is to be asked
  std::optional<std::string> Teller() const;
  bool Leads(const std::string& aAddress) const;
  /// \return an answer that names a subset
  std::string SubsetText(const ViewRequest& aQuestion, bool aNodes);
  ReplicaDelta SubsetOf(const ViewRequest& aQuestion) const;
  /// Fills in what is the same in all answers.
  void AddCommon(SharedView& aView, int64_t aCrashes, bool aNodes) const;
  /// \return hosts that take clients; 0 while not all of them can have asked
  size_t CountedHosts() const;
  /// \return the fixed part of an answer, written down once
  const std::string& Text(const AnswerKey& aKey);
  asio::awaitable<std::optional<ConfigText>> FetchConfig(Endpoint aFrom,
                                                         int64_t aRevision);

  NodeContext& mNode;
  LeadClaim& mLead;
  NodeDirectory& mNodes;
  ViewPlan mPlan;
  ReplicaLog mLog;                        ///< what this node listed itself
  ReplicaLog mLogWithoutWeights;          ///< the same without weight versions
  const RegistryTable* mTable = nullptr;  ///< if there are very many replicas
  bool mLargeTold = false;                ///< another node says so
  size_t mTellerShift = 0;                ///< candidates that were passed over
  Millis mTellerMissedAt;
  ReplicaMirror mMirror;         ///< what another node told
  bool mMirrorVersions = false;  ///< that names weight versions
  std::optional<Millis> mListedAt;
  Millis mListsSince;                 ///< without a pause
  std::optional<Millis> mUnlistedAt;  ///< when the store last did not answer
  std::optional<Millis> mHelpAskedAt;
  bool mLookedUp = false;  ///< this process has looked for the lead
  std::string mLeadAsked;  ///< address of the lead asked last
  size_t mHelper = 0;      ///< which of the candidates is asked
  ConfigText mConfig;
  /// Its text packed, once it is first asked for, for all H nodes that fetch
  /// it: a tenth of the bytes of a configuration of a thousand routes.
  std::string mPackedConfig;
  bool mFollows = false;
  std::map<AnswerKey, std::string> mTexts;  ///< answers to the present state
  std::optional<LeadHolder> mTextsLead;     ///< the lead that they name
  uint64_t mTextsNodes = 0;                 ///< tag of the nodes that they name
  size_t mTextsHosts = 0;                   ///< number of hosts that they tell
  int64_t mTextsCrashes =
      0;  ///< number of the records of crashes that they hold
  /// How far this node knows the records of crashes of the node told last.
  std::string mCrashesRun;
  int64_t mCrashesNumber = 0;
};

}  // namespace rillwall
