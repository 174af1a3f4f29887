/// \file
/// Shares the contents of the store among the nodes, so that few of them read
/// it.
///
/// The lead lists the replicas and follows the configuration; the other nodes
/// ask it. A node that gets no answer from the lead asks a candidate, which
/// then reads the store itself for some time on behalf of all that ask it (a
/// helper). A node passes on only what it read from the store itself, together
/// with its age. A view is therefore never older than its reader assumes,
/// however late a node is.
///
/// What a node knows never goes backwards: lists of replicas, the lead, the
/// configuration and the evacuated zones are ordered by the store's revision at
/// which they were read, and an answer that is behind changes nothing. A node
/// keeps the list that it read when it last led or helped, so that its first
/// answer after a change of the lead may be far behind.
///
/// Cost, with H nodes and R replicas: a node that knows nothing is sent R
/// entries of some 200 bytes once, from a text that is encoded once for all
/// nodes. A node that knows the list is sent the changes. Entry hosts (which
/// accept client requests) are sent no weight versions, so that a view request
/// without changes costs some 150 bytes. The list of nodes is bounded
/// (NodeDirectory).
///
/// With very many replicas (RegistryTable::kFullListLimit) every candidate
/// reads the store itself, and an entry host asks a candidate of its own
/// availability zone, which sends it a subset. The bytes, state and connections
/// of a host then do not grow with R, and the lead does not answer all H nodes.
/// A view request without changes costs one comparison; after a change, it
/// costs K look-ups for a subset of K replicas.

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

/// The operator's configuration as read from the store.
struct ConfigText {
  std::string mText;
  int64_t mRevision = 0;
  bool operator==(const ConfigText&) const = default;
};

/// Why a list has lapsed replicas (Replica::mLapsed).
struct LapsedNote {
  Millis mSince;  ///< when the reader had read the store last before
  Millis mFor;    ///< time after which it removes them from its list
};

/// What another node's answer changes here.
struct ViewUpdate {
  /// The reading of the registry by the node that answered.
  Listing mListing;
  std::string mFrom;  ///< address of that node
  std::optional<LapsedNote> mLapsed;
  /// All replicas, if they differ from those of the previous answer.
  std::optional<std::vector<Replica>> mReplicas;
  /// The answering node follows the configuration.
  bool mFollowsConfig = false;
  std::optional<ConfigText> mConfig;  ///< set if newer than the one known here
};

/// Asks other nodes for their view of the store, and answers such view
/// requests.
class ViewExchange {
 public:
  ViewExchange(NodeContext& aNode, LeadClaim& aLead, NodeDirectory& aNodes);
  /// Called when another node begins to ask this node in place of the lead.
  std::function<void()> mOnHelpRequested;
  /// Returns whether this node owns steps, and therefore needs weight versions.
  std::function<bool()> mOwnsSteps = [] { return false; };
  /// Called on the lead with a node and the usage counts that came with its
  /// view request.
  std::function<void(const NodeEntry&, const std::string&)> mOnUsage;
  /// \return the plan of when to ask which source
  ViewPlan& Plan() { return mPlan; }
  /// \return the source to ask now, or nothing if it is not time for any
  std::optional<ViewSource> NextSource();
  /// Asks the lead or a helper.
  /// \return what changed, or nothing if the source gave no usable answer
  asio::awaitable<std::optional<ViewUpdate>> Ask(ViewSource aSource);
  /// \return all replicas of the last answer
  std::vector<Replica> ReportedReplicas() const { return mMirror.All(); }
  /// \return the candidate that caches an ended step for all nodes, chosen by a
  /// hash of both names; nothing if no candidate is known
  std::optional<std::string> ArchiveHostOf(const std::string& aStep) const;
  /// \return addresses of the other nodes that may run steps: the known lead,
  /// and the advertised nodes, whose number is bounded
  std::vector<std::string> PossibleOwners() const;
  /// \return whether this node knows weight versions
  bool KnowsVersions() const { return mListing || mMirrorVersions; }
  /// Asks the store who leads.
  asio::awaitable<void> LookUp();
  /// \return whether others ask this node in place of the lead
  bool Helping() const;

  /// Records that this node listed the replicas in the store.
  void Listed(const std::vector<Replica>& aReplicas, const Listing& aListing);
  /// Records whether the list has lapsed replicas. Nodes that are sent it ask
  /// again when these are removed.
  void KeepsLapsed(const std::optional<LapsedNote>& aNote) {
    mListChangesAt = mNode.Now() + (aNote ? aNote->mFor : Millis(0));
    mLapsedSince = aNote ? aNote->mSince : Millis(0);
  }
  /// Records that this node updated a table of very many replicas from the
  /// store. From then on others are sent subsets of it.
  /// \param aTable must outlive this object
  void ReadTable(const RegistryTable& aTable, const Listing& aListing);
  /// \return whether there are so many replicas that hosts are sent subsets
  bool Large() const { return mTable != nullptr || mLargeReported; }
  /// \return whether this node reads the store for others: it leads, or is
  /// asked in place of the lead, or is a candidate and there are very many
  /// replicas
  bool ReadsForOthers() const;
  /// Tells the lead that this node lives, and learns which other nodes do. For
  /// a node that reads the store itself.
  asio::awaitable<void> Introduce();

  /// Records that this node could not list the replicas, as the store did not
  /// answer it.
  void ListingFailed() { mListingFailedAt = mNode.Now(); }
  /// Sets the configuration in force here.
  void Configured(ConfigText aConfig);
  /// Sets the zones that the operator has evacuated. Replaces the previous set.
  /// \param aRevision of the store when they were read
  void Evacuated(std::set<std::string> aZones, int64_t aRevision);
  /// Sets whether this node follows the configuration in the store itself.
  void Follows(bool aFollows);

  /// Answers another node's view request. The status is 503 if this node has
  /// never read the store itself; a header shows if the reason is that the
  /// store does not answer.
  HttpResponse Answer(const HttpRequest& aRequest);
  /// Answers with the compressed text of the configuration.
  HttpResponse HandleConfigRequest();

  /// Answers whether this node reaches another one: 200 if it does, 404 if not,
  /// 503 if it does not know that node.
  asio::awaitable<HttpResponse> HandleReachRequest(const HttpRequest& aRequest);
  /// Asks some entry hosts, spread over availability zones as far as that is
  /// known, whether they reach a node.
  /// \return whether at least one host answered and none of them reaches the
  /// node
  asio::awaitable<bool> ConfirmUnreachable(std::string aAddress);

 private:
  /// The parts of a view request that its answer depends on.
  struct AnswerKey {
    bool mVersions = false;
    ReplicaCursor mKnown;
    /// Number of the last crash record that the asking node knows.
    int64_t mCrashes = 0;
    bool mNodes = false;  ///< the answer names the nodes
    // clang-tidy 14 mistakes the 0 of a rewritten comparison for a null
    // pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const AnswerKey&) const = default;
  };

  /// \return whether a list is older than one that this node had before
  bool IsOutdated(const Listing& aListing) const;
  /// Records that a source has answered with an older list than the known one.
  /// \param aStoreAway the source says that the store does not answer it
  void HandleOutdated(ViewSource aSource, const std::string& aAddress,
                      const SharedView& aView, const Listing& aListing,
                      bool aStoreAway);
  /// \return whether this node's last attempt to list the replicas failed
  bool StoreAway() const;
  /// Records that this node has just read the store.
  void RecordListing(const Listing& aListing);
  /// Skips the candidate that sends this host its subset, as it did not answer.
  void SkipSubsetSource();
  /// \return which kinds of sources this node knows
  ViewContacts Contacts() const;
  /// \return the view request to a source, with the usage counts that the lead
  /// lacks
  HttpRequest MakeViewRequest(ViewSource aSource, const std::string& aAddress);
  /// \return the address of the node to ask, if one is known
  std::optional<std::string> AddressOf(ViewSource aSource) const;
  /// Records that a source gave no usable answer, and selects the next one to
  /// ask.
  void HandleMiss(ViewSource aSource, const std::string& aAddress,
                  const Result<HttpResponse>& aAnswer);
  /// Applies an answer. Fetches the configuration if the answer names a newer
  /// one.
  asio::awaitable<std::optional<ViewUpdate>> ApplyView(SharedView aView,
                                                       Endpoint aFrom,
                                                       Listing aListing);
  /// \return what an answer says of lapsed replicas
  /// \param aAsked when this node asked
  std::optional<LapsedNote> LapsedNoteOf(const HttpResponse& aAnswer,
                                         Millis aAsked) const;
  /// Applies the nodes and the lead that an answer names.
  void ApplyNodes(const SharedView& aView);
  /// \return the candidate of this host's zone that sends it its subset;
  /// nothing if the lead is to be asked
  std::optional<std::string> SubsetSource() const;
  bool Leads(const std::string& aAddress) const;
  /// \return an encoded answer with a subset of the replicas
  std::string SubsetText(const ViewRequest& aViewRequest, bool aNodes);
  /// \return the subset of the replicas for the asking node, if it changed
  ReplicaDelta SubsetOf(const ViewRequest& aViewRequest) const;
  /// Sets the fields that are the same in all answers.
  void AddCommonFields(SharedView& aView, int64_t aCrashes, bool aNodes) const;
  /// \return the number of entry hosts; 0 while some of them may not have asked
  /// this node yet
  size_t HostCount() const;
  /// \return the part of an answer that is encoded once for all nodes with the
  /// same key
  const std::string& CachedAnswer(const AnswerKey& aKey);
  asio::awaitable<std::optional<ConfigText>> FetchConfig(Endpoint aFrom,
                                                         int64_t aRevision);

  NodeContext& mNode;
  LeadClaim& mLead;
  NodeDirectory& mNodes;
  ViewPlan mPlan;
  ReplicaLog mReplicaLog;  ///< replicas that this node listed itself
  ReplicaLog mReplicaLogWithoutVersions;  ///< the same without weight versions
  /// Set if there are very many replicas.
  const RegistryTable* mTable = nullptr;
  /// Another node says that there are very many replicas.
  bool mLargeReported = false;
  size_t mSubsetSourceShift = 0;  ///< number of candidates to skip
  Millis mSubsetSourceMissedAt;
  ReplicaMirror mMirror;                  ///< replicas of the last answer
  bool mMirrorVersions = false;           ///< mMirror has weight versions
  std::optional<Listing> mListing;        ///< this node's last own listing
  std::optional<Listing> mNewestListing;  ///< of all lists known so far
  int64_t mEvacuatedRevision = 0;         ///< see SharedView
  Millis mListingSince;  ///< start of the listings without a long gap
  /// When the store last failed to answer.
  std::optional<Millis> mListingFailedAt;
  Millis mListChangesAt;  ///< when lapsed replicas will be removed
  Millis mLapsedSince;    ///< see LapsedNote
  std::optional<Millis> mHelpAskedAt;
  bool mLookedUp = false;  ///< this process has asked the store for the lead
  std::string mLastLeadAddress;  ///< address of the lead that was asked last
  size_t mHelperIndex = 0;       ///< selects the candidate to ask
  ConfigText mConfig;
  /// mConfig's text, compressed at the first request for all H nodes that fetch
  /// it: a tenth of the bytes for a configuration of a thousand routes.
  std::string mPackedConfig;
  bool mFollows = false;
  /// Encoded answers for the present state.
  std::map<AnswerKey, std::string> mCachedAnswers;
  std::optional<LeadHolder> mCachedLead;  ///< the lead in mCachedAnswers
  uint64_t mCachedNodesTag = 0;  ///< tag of the nodes in mCachedAnswers
  size_t mCachedHostCount = 0;   ///< number of entry hosts in mCachedAnswers
  /// Number of the last crash record in mCachedAnswers.
  int64_t mCachedCrashNumber = 0;
  /// Process identity of the node that answered last, and number of the last of
  /// its crash records known here.
  std::string mCrashesRun;
  int64_t mCrashesNumber = 0;
};

}  // namespace rillwall
