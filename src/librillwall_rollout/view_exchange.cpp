#include "rillwall/view_exchange.h"

#include <algorithm>
#include <functional>
#include <random>
#include <utility>

#include "crash_guard.h"
#include "rillwall/compression.h"
#include "rillwall/event_log.h"
#include "rillwall/numbers.h"
#include "rillwall/usage_record.h"

namespace rillwall {

namespace {

/// How long a node goes on reading the store after it was asked in place of the
/// lead: some requests later, each node that asked has asked again or found
/// the lead.
constexpr Millis kHelpDuration{5000};
/// Limit for encoded answers: they differ for nodes that are some changes
/// behind.
constexpr size_t kMaxCachedAnswers = 64;
/// The configuration may have some hundred KB.
constexpr Millis kConfigTimeout{1000};
/// Far above real configurations, which have some thousand routes and accounts.
constexpr size_t kMaxConfigBytes = 64 * 1024 * 1024;
/// Largest configuration as it is sent, in bytes. It is compressed, and one
/// value of the store.
constexpr size_t kMaxSentConfigBytes = 4 * 1024 * 1024;
/// Time limit for one node to reach another.
constexpr Millis kReachTimeout{250};
/// Nodes that are asked whether they reach a node that this one does not.
constexpr size_t kPeersAsked = 3;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr char kRevisionHeader[] = "Rillwall-Revision";
/// In answers: age of the list in ms. It is a header, as all nodes with the
/// same cursor share one body.
constexpr char kAgeHeader[] = "Rillwall-View-Age";
/// In answers: revision of the store at which the list was read.
constexpr char kListRevisionHeader[] = "Rillwall-View-Revision";
/// In answers: time in ms after which replicas will be removed from the list.
constexpr char kChangesInHeader[] = "Rillwall-View-Changes-In";
/// In answers with that header: time in ms since the sender had read the store
/// last before these replicas were missing.
constexpr char kLapsedSinceHeader[] = "Rillwall-View-Lapsed-Since";
/// Time for the sender to read the store once more.
constexpr Millis kReadMargin{50};
/// In answers: the store does not answer the node.
constexpr char kStoreAwayHeader[] = "Rillwall-Store-Away";
/// In answers: the usage counts that came with the request are recorded.
constexpr char kUsageTakenHeader[] = "Rillwall-Usage-Taken";
/// After this many misses of a late lead the store is asked for the lead, as it
/// may have changed.
constexpr int kMissesBeforeLookUp = 3;

/// \return the number in a header, or nothing if there is none
std::optional<int64_t> HeaderNumber(const HttpResponse& aResponse,
                                    const char* aName) {
  const std::string* text = aResponse.Find(aName);
  return text == nullptr ? std::nullopt : ParseNumber(*text);
}

}  // namespace

ViewExchange::ViewExchange(NodeContext& aNode, LeadClaim& aLead,
                           NodeDirectory& aNodes)
    : mNode(aNode),
      mLead(aLead),
      mNodes(aNodes),
      mPlan(aNode.mBounds.mDrain, std::random_device()()) {}

void ViewExchange::Listed(const std::vector<Replica>& aReplicas,
                          const Listing& aListing) {
  const int64_t before = mReplicaLog.Number();
  mTable = nullptr;
  mReplicaLog.Replace(aReplicas);
  mReplicaLogWithoutVersions.Replace(WithoutVersions(aReplicas));
  RecordListing(aListing);
  if (mReplicaLog.Number() != before) {
    mCachedAnswers.clear();
  }
}

void ViewExchange::Configured(ConfigText aConfig) {
  mPackedConfig.clear();
  mConfig = std::move(aConfig);
  mCachedAnswers.clear();
}

void ViewExchange::Evacuated(std::set<std::string> aZones, int64_t aRevision) {
  if (aRevision != mEvacuatedRevision) {
    mEvacuatedRevision = aRevision;
    mCachedAnswers.clear();
  }
  if (!mNode.mReplicas.Evacuate(std::move(aZones))) {
    return;
  }
  mCachedAnswers.clear();
  std::string named;
  for (const std::string& zone : mNode.mReplicas.EvacuatedZones()) {
    named += named.empty() ? zone : "," + zone;
  }
  Event("evacuated-zones").Text("zones", named).Write();
}

void ViewExchange::Follows(bool aFollows) {
  mFollows = aFollows;
  mCachedAnswers.clear();
}

bool ViewExchange::Helping() const {
  return mHelpAskedAt && mNode.Now() - *mHelpAskedAt < kHelpDuration;
}

const std::string& ViewExchange::CachedAnswer(const AnswerKey& aKey) {
  const bool same = mCachedLead == mLead.Known() &&
                    mCachedNodesTag == mNodes.Tag() &&
                    mCachedHostCount == HostCount() &&
                    mCachedCrashNumber == mNode.mCrashes.Number();
  if (!same || mCachedAnswers.size() >= kMaxCachedAnswers) {
    mCachedAnswers.clear();
    mCachedLead = mLead.Known();
    mCachedNodesTag = mNodes.Tag();
    mCachedHostCount = HostCount();
    mCachedCrashNumber = mNode.mCrashes.Number();
  }
  std::string& text = mCachedAnswers[aKey];
  if (text.empty()) {
    SharedView view;
    view.mRun = mNode.mIdentity.mRun;
    view.mVersions = aKey.mVersions;
    view.mReplicas = (aKey.mVersions ? mReplicaLog : mReplicaLogWithoutVersions)
                         .Since(aKey.mKnown);
    AddCommonFields(view, aKey.mCrashes, aKey.mNodes);
    text = EncodeView(view);
  }
  return text;
}

void ViewExchange::AddCommonFields(SharedView& aView, int64_t aCrashes,
                                   bool aNodes) const {
  aView.mConfig = mFollows ? mConfig.mRevision : 0;
  aView.mHosts = static_cast<int64_t>(HostCount());
  if (mFollows) {
    const std::set<std::string>& zones = mNode.mReplicas.EvacuatedZones();
    aView.mEvacuated.assign(zones.begin(), zones.end());
    aView.mEvacuatedRevision = mEvacuatedRevision;
  }
  aView.mLead = mLead.Known();
  aView.mCrashNumber = mNode.mCrashes.Number();
  aView.mCrashes = mNode.mCrashes.Since(aCrashes);
  if (aNodes) {
    aView.mNodes = mNodes.Advertised();
  }
}

HttpResponse ViewExchange::Answer(const HttpRequest& aRequest) {
  const Millis now = mNode.Now();
  const ViewRequest viewRequest = DecodeViewRequest(
      [&](std::string_view aName) { return aRequest.Query(aName); });
  if (!viewRequest.mFrom.mAddress.empty()) {
    mNodes.RecordContact(viewRequest.mFrom, now);
  }
  const bool leads = mOnUsage && mLead.Held();
  if (leads) {
    mOnUsage(viewRequest.mFrom, aRequest.mBody);
  }
  if (viewRequest.mHelpRequested && !mLead.Held()) {
    const bool begins = !Helping();
    mHelpAskedAt = now;
    if (begins && mOnHelpRequested) {
      mOnHelpRequested();
    }
  }
  HttpResponse response;
  response.mStatus = kUnavailable;
  if (!mListing) {
    if (StoreAway()) {
      response.mHeaders.push_back({kStoreAwayHeader, "1"});
    }
    return response;
  }
  const NodeIdentity& self = mNode.mIdentity;
  mNodes.RecordContact({self.mAddress, self.mTakesClients, self.mZone}, now);
  AnswerKey key;
  key.mVersions = viewRequest.mVersions;
  key.mKnown = viewRequest.mReplicas;
  key.mKnown.mNumber = viewRequest.mRun == self.mRun ? key.mKnown.mNumber : 0;
  key.mCrashes = viewRequest.mRun == self.mRun ? viewRequest.mCrashes : 0;
  key.mNodes = mNodes.Tag() != viewRequest.mNodes;
  response = HttpResponse::Json(kOk, mTable == nullptr
                                         ? CachedAnswer(key)
                                         : SubsetText(viewRequest, key.mNodes));
  response.mHeaders.push_back(
      {kAgeHeader, std::to_string((now - mListing->mReadAt).Count())});
  response.mHeaders.push_back(
      {kListRevisionHeader, std::to_string(mListing->mRevision)});
  if (mListChangesAt > now) {
    response.mHeaders.push_back(
        {kChangesInHeader, std::to_string((mListChangesAt - now).Count())});
    response.mHeaders.push_back(
        {kLapsedSinceHeader, std::to_string((now - mLapsedSince).Count())});
  }
  if (StoreAway()) {
    response.mHeaders.push_back({kStoreAwayHeader, "1"});
  }
  if (leads && !aRequest.mBody.empty()) {
    response.mHeaders.push_back({kUsageTakenHeader, "1"});
  }
  return response;
}

HttpResponse ViewExchange::HandleConfigRequest() {
  if (mPackedConfig.empty()) {
    mPackedConfig = Compress(mConfig.mText);
  }
  HttpResponse response;
  response.mStatus = mConfig.mRevision == 0 ? kUnavailable : kOk;
  response.mHeaders.push_back(
      {kRevisionHeader, std::to_string(mConfig.mRevision)});
  response.mBody = mPackedConfig;
  return response;
}

asio::awaitable<HttpResponse> ViewExchange::HandleReachRequest(
    const HttpRequest& aRequest) {
  const std::string address = aRequest.Query("address");
  const bool leads = mLead.Known() && mLead.Known()->mAddress == address;
  HttpResponse response;
  if (!leads && !mNodes.Knows(address)) {
    // An unknown address does not show whether the node can be reached.
    response.mStatus = kUnavailable;
    co_return response;
  }
  const std::optional<int> health =
      co_await AskHealth(mNode, address, kReachTimeout);
  response.mStatus = health ? kOk : kNotFound;
  co_return response;
}

asio::awaitable<bool> ViewExchange::ConfirmUnreachable(std::string aAddress) {
  const std::vector<std::string> nodes =
      mNodes.Relays(mNode.mIdentity.mAddress);
  // Spread the choice over the list, which is ordered by address.
  const size_t step = std::max<size_t>(1, nodes.size() / kPeersAsked);
  bool answered = false;
  for (size_t i = 0; i < nodes.size(); i += step) {
    const Result<Endpoint> endpoint = Endpoint::Parse(nodes[i]);
    if (!endpoint || nodes[i] == aAddress) {
      continue;
    }
    HttpRequest request;
    request.mTarget = std::string(kReachPath) + "?address=" + aAddress;
    const Result<HttpResponse> answer = co_await mNode.mClient.Send(
        *endpoint, std::move(request), kReachTimeout * 2);
    answered = answered || (answer && answer->mStatus == kNotFound);
    if (answer && answer->mStatus == kOk) {
      co_return false;
    }
  }
  co_return answered;
}

std::optional<ViewSource> ViewExchange::NextSource() {
  const Millis now = mNode.Now();
  mPlan.SetBound(mNode.mBounds.mDrain);
  const std::optional<LeadHolder>& lead = mLead.Known();
  if (lead && lead->mAddress != mLastLeadAddress) {
    if (!mLastLeadAddress.empty() && !SubsetSource()) {
      mPlan.LeadChanged(now);
    }
    mLastLeadAddress = lead->mAddress;
  }
  return mPlan.Next(Contacts(), now);
}

ViewContacts ViewExchange::Contacts() const {
  const NodeIdentity& self = mNode.mIdentity;
  const std::optional<std::string> first = AddressOf(ViewSource::Lead);
  ViewContacts contacts;
  contacts.mLead = first && *first != self.mAddress;
  contacts.mCandidate = !self.mTakesClients;
  contacts.mHelpers = AddressOf(ViewSource::Helper).has_value();
  return contacts;
}

std::optional<std::string> ViewExchange::AddressOf(ViewSource aSource) const {
  const NodeIdentity& self = mNode.mIdentity;
  const std::optional<LeadHolder>& lead = mLead.Known();
  if (aSource == ViewSource::Lead) {
    const std::optional<std::string> source = SubsetSource();
    return source ? source
                  : (lead ? std::optional(lead->mAddress) : std::nullopt);
  }
  std::vector<std::string> candidates = mNodes.Candidates(self.mAddress);
  std::erase_if(candidates, [&](const std::string& aAddress) {
    return lead && aAddress == lead->mAddress;
  });
  if (candidates.empty()) {
    return std::nullopt;
  }
  // The hash makes each node begin with a different candidate.
  const size_t first = std::hash<std::string>()(self.mName);
  return candidates[(first + mHelperIndex) % candidates.size()];
}

bool ViewExchange::Leads(const std::string& aAddress) const {
  return mLead.Known() && mLead.Known()->mAddress == aAddress;
}

std::optional<std::string> ViewExchange::ArchiveHostOf(
    const std::string& aStep) const {
  const std::vector<std::string> candidates =
      mNodes.Candidates(mNode.mIdentity.mAddress);
  const auto weight = [&](const std::string& aAddress) {
    return std::hash<std::string>()(aAddress + '/' + aStep);
  };
  const auto host =
      std::max_element(candidates.begin(), candidates.end(),
                       [&](const std::string& aOne, const std::string& aOther) {
                         return weight(aOne) < weight(aOther);
                       });
  return host == candidates.end() ? std::nullopt : std::optional(*host);
}

std::vector<std::string> ViewExchange::PossibleOwners() const {
  std::set<std::string> addresses;
  for (const NodeEntry& node : mNodes.Advertised()) {
    addresses.insert(node.mAddress);
  }
  if (mLead.Known()) {
    addresses.insert(mLead.Known()->mAddress);
  }
  addresses.erase(mNode.mIdentity.mAddress);
  return {addresses.begin(), addresses.end()};
}

asio::awaitable<void> ViewExchange::LookUp() {
  // All hosts look up the lead when they start, so the first read may be stale,
  // which costs the store less. A lead that it did not find, or that has
  // changed since, is looked up with a current read.
  const bool first = !std::exchange(mLookedUp, true);
  const Result<std::optional<LeadHolder>> holder = co_await mLead.Holder(first);
  const Millis now = mNode.Now();
  if (holder && *holder) {
    mPlan.LeadFound(now);
  } else {
    mPlan.RecordMiss(ViewSource::LookUp, now);
  }
}

void ViewExchange::HandleMiss(ViewSource aSource, const std::string& aAddress,
                              const Result<HttpResponse>& aAnswer) {
  if (aAnswer && aAnswer->Find(kStoreAwayHeader) != nullptr) {
    mPlan.RecordStoreUnreachable(aSource, mNode.Now());
  } else {
    mPlan.RecordMiss(aSource, mNode.Now());
  }
  Event("view-unanswered")
      .Text("node", aAddress)
      .Text("why", aAnswer ? "status " + std::to_string(aAnswer->mStatus)
                           : aAnswer.error().Detail())
      .Number("misses", mPlan.Misses(aSource))
      .Write();
  if (aSource == ViewSource::Helper) {
    // A helper that has not read the store yet begins to when it is asked.
    const bool begins = aAnswer && aAnswer->Find(kStoreAwayHeader) == nullptr &&
                        mPlan.Misses(aSource) == 1;
    mHelperIndex += begins ? 0 : 1;
    return;
  }
  if (!Leads(aAddress)) {
    SkipSubsetSource();
    return;
  }
  // An unreachable lead is gone. A late one is asked again later.
  const bool gone = !aAnswer && aAnswer.error().Run() == RunState::NotRun;
  if (gone || mPlan.Misses(aSource) >= kMissesBeforeLookUp) {
    mLead.Forget();
  }
}

HttpRequest ViewExchange::MakeViewRequest(ViewSource aSource,
                                          const std::string& aAddress) {
  const NodeIdentity& self = mNode.mIdentity;
  ViewRequest viewRequest;
  viewRequest.mFrom = {self.mAddress, self.mTakesClients, self.mZone};
  viewRequest.mVersions = !self.mTakesClients || mOwnsSteps();
  viewRequest.mHelpRequested =
      aSource == ViewSource::Helper || !Leads(aAddress);
  viewRequest.mNodes = mNodes.Tag();
  if (viewRequest.mVersions == mMirrorVersions) {
    viewRequest.mRun = mMirror.Run();
    viewRequest.mReplicas = mMirror.Cursor();
  }
  const bool sameRun = viewRequest.mRun == mCrashesRun;
  viewRequest.mCrashes = sameRun ? mCrashesNumber : 0;
  HttpRequest request;
  request.mTarget = EncodeViewRequest(viewRequest);
  if (aSource == ViewSource::Lead && Leads(aAddress)) {
    HostUsage usageReport{self.mRun,
                          mNode.mUsage.UnreportedCounts(mLead.Known()->mRun)};
    if (!usageReport.mCounts.empty()) {
      request.mMethod = "POST";
      request.mBody = EncodeHostUsage(usageReport);
    }
  }
  return request;
}

asio::awaitable<std::optional<ViewUpdate>> ViewExchange::Ask(
    ViewSource aSource) {
  const std::optional<std::string> address = AddressOf(aSource);
  const Result<Endpoint> endpoint =
      address ? Endpoint::Parse(*address)
              : Error(ErrorKind::Unavailable, "No node of this kind is known.");
  if (!endpoint) {
    mPlan.RecordMiss(aSource, mNode.Now());
    co_return std::nullopt;
  }
  HttpRequest request = MakeViewRequest(aSource, *address);
  const std::string leadRun =
      Leads(*address) ? mLead.Known()->mRun : std::string();
  const Millis asked = mNode.Now();
  const Result<HttpResponse> answer = co_await mNode.mClient.Send(
      *endpoint, std::move(request), mPlan.RequestTimeout(), kMaxViewBytes);
  if (!answer || answer->mStatus != kOk) {
    HandleMiss(aSource, *address, answer);
    co_return std::nullopt;
  }
  Result<SharedView> view = DecodeView(answer->mBody);
  const std::optional<int64_t> ageMs = HeaderNumber(*answer, kAgeHeader);
  const std::optional<int64_t> revision =
      HeaderNumber(*answer, kListRevisionHeader);
  if (!view || !ageMs) {
    Event("view-unread")
        .Text("node", *address)
        .Text("why", view ? "the answer has no age" : view.error().Detail())
        .Write();
    mPlan.RecordMiss(aSource, mNode.Now());
    co_return std::nullopt;
  }
  if (view->mRun == leadRun && answer->Find(kUsageTakenHeader) != nullptr) {
    mNode.mUsage.RecordAcknowledgement();
  }
  const Listing listing{revision.value_or(0), asked - Millis(*ageMs)};
  if (IsOutdated(listing)) {
    HandleOutdated(aSource, *address, *view, listing,
                   answer->Find(kStoreAwayHeader) != nullptr);
    co_return std::nullopt;
  }
  mPlan.RecordAnswer(aSource, asked, Millis(*ageMs), mNode.Now());
  const std::optional<int64_t> changesIn =
      HeaderNumber(*answer, kChangesInHeader);
  if (changesIn) {
    mPlan.AskBy(aSource, mNode.Now() + Millis(*changesIn) + kReadMargin);
  }
  if (aSource == ViewSource::Helper && mPlan.Misses(aSource) > 1) {
    // The helper gets no answer from the store either.
    ++mHelperIndex;
  }
  std::optional<ViewUpdate> update =
      co_await ApplyView(std::move(*view), *endpoint, listing);
  if (update) {
    update->mLapsed = LapsedNoteOf(*answer, asked);
  }
  co_return update;
}

std::optional<LapsedNote> ViewExchange::LapsedNoteOf(
    const HttpResponse& aAnswer, Millis aAsked) const {
  const std::optional<int64_t> changesIn =
      HeaderNumber(aAnswer, kChangesInHeader);
  const std::optional<int64_t> since =
      HeaderNumber(aAnswer, kLapsedSinceHeader);
  if (!changesIn || !since) {
    return std::nullopt;
  }
  return LapsedNote{aAsked - Millis(*since), Millis(*changesIn)};
}

bool ViewExchange::IsOutdated(const Listing& aListing) const {
  if (!mNewestListing) {
    return false;
  }
  // A node of an earlier release names no revision.
  const bool comparable =
      aListing.mRevision != 0 && mNewestListing->mRevision != 0;
  return comparable ? aListing.mRevision < mNewestListing->mRevision
                    : aListing.mReadAt < mNewestListing->mReadAt;
}

void ViewExchange::HandleOutdated(ViewSource aSource,
                                  const std::string& aAddress,
                                  const SharedView& aView,
                                  const Listing& aListing, bool aStoreAway) {
  if (aStoreAway) {
    mPlan.RecordStoreUnreachable(aSource, mNode.Now());
  } else {
    mPlan.RecordMiss(aSource, mNode.Now());
  }
  Event("view-outdated")
      .Text("node", aAddress)
      .Number("revision", aListing.mRevision)
      .Number("known", mNewestListing->mRevision)
      .Number("list_age_ms", (mNode.Now() - aListing.mReadAt).Count())
      .Number("misses", mPlan.Misses(aSource))
      .Write();
  // These are ordered by themselves.
  MergeCrashRecords(mNode, aView.mCrashes, aView.mRun);
  if (aView.mLead) {
    mLead.Learn(*aView.mLead);
  }
  if (aSource == ViewSource::Helper && mPlan.Misses(aSource) > 1) {
    ++mHelperIndex;
  }
}

bool ViewExchange::StoreAway() const {
  const bool failedLast =
      mListingFailedAt && (!mListing || *mListingFailedAt > mListing->mReadAt);
  return failedLast && mNode.Now() - *mListingFailedAt < kHelpDuration;
}

asio::awaitable<std::optional<ViewUpdate>> ViewExchange::ApplyView(
    SharedView aView, Endpoint aFrom, Listing aListing) {
  MergeCrashRecords(mNode, aView.mCrashes, aView.mRun);
  mCrashesRun = aView.mRun;
  mCrashesNumber = aView.mCrashNumber;
  const ReplicaCursor before = mMirror.Cursor();
  if (!mMirror.Apply(aView.mRun, aView.mReplicas)) {
    Event("view-mismatch")
        .Text("node", aFrom.Text())
        .Number("number", aView.mReplicas.mNumber)
        .Number("known", before.mNumber)
        .Write();
    co_return std::nullopt;
  }
  mNewestListing = aListing;
  ApplyNodes(aView);
  ViewUpdate update;
  update.mListing = aListing;
  update.mFrom = aFrom.Text();
  const bool changed = before.mDigest != mMirror.Cursor().mDigest ||
                       mMirrorVersions != aView.mVersions;
  mMirrorVersions = aView.mVersions;
  if (changed || before.mNumber == 0) {
    update.mReplicas = mMirror.All();
  }
  if (aView.mHosts > 0) {
    mNode.mReplicas.Cold().SetHostCount(static_cast<size_t>(aView.mHosts));
  }
  // A node that knows an earlier configuration than this one does not follow
  // it in time.
  update.mFollowsConfig =
      aView.mConfig > 0 && aView.mConfig >= mConfig.mRevision;
  if (aView.mConfig > 0 && aView.mEvacuatedRevision >= mEvacuatedRevision) {
    Evacuated({aView.mEvacuated.begin(), aView.mEvacuated.end()},
              aView.mEvacuatedRevision);
  }
  if (aView.mConfig > mConfig.mRevision) {
    update.mConfig = co_await FetchConfig(aFrom, aView.mConfig);
    update.mFollowsConfig = update.mConfig.has_value();
  }
  co_return update;
}

asio::awaitable<std::optional<ConfigText>> ViewExchange::FetchConfig(
    Endpoint aFrom, int64_t aRevision) {
  HttpRequest request;
  request.mTarget = kViewConfigPath;
  Result<HttpResponse> answer = co_await mNode.mClient.Send(
      aFrom, std::move(request), kConfigTimeout, kMaxSentConfigBytes);
  if (!answer || answer->mStatus != kOk) {
    Event("config-unfetched")
        .Text("node", aFrom.Text())
        .Number("revision", aRevision)
        .Text("why", answer ? "status " + std::to_string(answer->mStatus)
                            : answer.error().Detail())
        .Write();
    co_return std::nullopt;
  }
  const std::optional<int64_t> number = HeaderNumber(*answer, kRevisionHeader);
  if (!number) {
    co_return std::nullopt;
  }
  Result<std::string> text = Decompress(answer->mBody, kMaxConfigBytes);
  if (!text) {
    Event("config-unfetched")
        .Text("node", aFrom.Text())
        .Number("revision", aRevision)
        .Text("why", text.error().Detail())
        .Write();
    co_return std::nullopt;
  }
  co_return ConfigText{std::move(*text), *number};
}

}  // namespace rillwall
