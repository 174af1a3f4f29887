/// \file
/// Views with very many replicas: which candidate sends a host its subset, and
/// what the subset holds.

#include <functional>

#include "rillwall/event_log.h"
#include "rillwall/view_exchange.h"

namespace rillwall {

namespace {

constexpr int kOk = 200;
/// When a candidate that did not answer is asked again.
constexpr Millis kSubsetSourceRetry{8000};
/// A node that has listed the replicas for kFullContactTime has been asked by
/// all nodes that live. After a gap in the listings of more than
/// kMaxListingGap, nodes may have asked others meanwhile.
constexpr Millis kFullContactTime{10000};
constexpr Millis kMaxListingGap{3000};

}  // namespace

void ViewExchange::RecordListing(const Listing& aListing) {
  const Millis asked = aListing.mReadAt;
  if (!mListing || asked - mListing->mReadAt > kMaxListingGap) {
    mListingSince = asked;
  }
  mListing = aListing;
  mNewestListing = aListing;
}

void ViewExchange::SkipSubsetSource() {
  const Millis now = mNode.Now();
  const bool first = now - mSubsetSourceMissedAt > kSubsetSourceRetry;
  mSubsetSourceShift = first ? 1 : mSubsetSourceShift + 1;
  mSubsetSourceMissedAt = now;
}

void ViewExchange::ReadTable(const RegistryTable& aTable,
                             const Listing& aListing) {
  mTable = &aTable;
  RecordListing(aListing);
}

bool ViewExchange::ReadsForOthers() const {
  const bool candidate = !mNode.mIdentity.mTakesClients;
  return mLead.Held() || Helping() || (candidate && Large());
}

ReplicaDelta ViewExchange::SubsetOf(const ViewRequest& aViewRequest) const {
  ReplicaDelta delta;
  delta.mNumber = static_cast<int64_t>(mTable->Changes());
  delta.mDigest = aViewRequest.mReplicas.mDigest;
  const bool sameRun = aViewRequest.mRun == mNode.mIdentity.mRun;
  if (!aViewRequest.mWantsReplicas ||
      (sameRun && aViewRequest.mReplicas.mNumber == delta.mNumber)) {
    return delta;
  }
  const NodeEntry& from = aViewRequest.mFrom;
  std::vector<Replica> subset =
      aViewRequest.mVersions
          ? mTable->WorkingSet({})
          : WithoutVersions(mTable->SubsetFor({from.mAddress, from.mZone}));
  uint64_t digest = 0;
  for (const Replica& replica : subset) {
    digest += DigestOf(replica);
  }
  if (digest != delta.mDigest) {
    delta.mFull = true;
    delta.mChanged = std::move(subset);
    delta.mDigest = digest;
  }
  return delta;
}

std::string ViewExchange::SubsetText(const ViewRequest& aViewRequest,
                                     bool aNodes) {
  SharedView view;
  view.mRun = mNode.mIdentity.mRun;
  view.mVersions = aViewRequest.mVersions;
  view.mLarge = true;
  view.mReplicas = SubsetOf(aViewRequest);
  const bool sameRun = aViewRequest.mRun == view.mRun;
  AddCommonFields(view, sameRun ? aViewRequest.mCrashes : 0, aNodes);
  return EncodeView(view);
}

std::optional<std::string> ViewExchange::SubsetSource() const {
  const NodeIdentity& self = mNode.mIdentity;
  if (!self.mTakesClients || !mLargeReported || mOwnsSteps()) {
    return std::nullopt;
  }
  if (mLead.Known() &&
      !mNode.mUsage.UnreportedCounts(mLead.Known()->mRun).empty()) {
    // Usage counts go to the lead only.
    return std::nullopt;
  }
  const std::vector<std::string> near =
      mNodes.CandidatesIn(self.mZone, self.mAddress);
  if (near.empty()) {
    return std::nullopt;
  }
  const bool retryDue =
      mNode.Now() - mSubsetSourceMissedAt > kSubsetSourceRetry;
  const size_t shift = retryDue ? 0 : mSubsetSourceShift;
  // After all candidates were skipped, the lead is asked.
  if (shift % (near.size() + 1) == near.size()) {
    return std::nullopt;
  }
  return near[(std::hash<std::string>()(self.mName) + shift) % near.size()];
}

asio::awaitable<void> ViewExchange::Introduce() {
  const std::optional<LeadHolder> lead = mLead.Known();
  const NodeIdentity& self = mNode.mIdentity;
  const Result<Endpoint> endpoint =
      lead && lead->mAddress != self.mAddress
          ? Endpoint::Parse(lead->mAddress)
          : Error(ErrorKind::Unavailable, "No other node leads.");
  if (!endpoint) {
    co_return;
  }
  ViewRequest viewRequest;
  viewRequest.mFrom = {self.mAddress, self.mTakesClients, self.mZone};
  viewRequest.mVersions = false;
  viewRequest.mWantsReplicas = false;
  HttpRequest request;
  request.mTarget = EncodeViewRequest(viewRequest);
  const Result<HttpResponse> answer = co_await mNode.mClient.Send(
      *endpoint, std::move(request), mPlan.RequestTimeout(), kMaxViewBytes);
  const Result<SharedView> view =
      answer && answer->mStatus == kOk
          ? DecodeView(answer->mBody)
          : Error(ErrorKind::Unavailable, "The lead does not answer.");
  if (view) {
    ApplyNodes(*view);
  } else {
    Event("introduction-unanswered")
        .Text("node", lead->mAddress)
        .Text("why", view.error().Detail())
        .Write();
  }
}

void ViewExchange::ApplyNodes(const SharedView& aView) {
  const Millis now = mNode.Now();
  // Without a list in the answer, the known nodes are unchanged.
  const std::vector<NodeEntry> nodes =
      aView.mNodes ? *aView.mNodes : mNodes.List();
  if (mTable != nullptr) {
    // This node knows the hosts that ask it better than the sender does.
    mNodes.AddCandidates(nodes, now);
  } else {
    mNodes.Adopt(nodes, now);
  }
  if (aView.mLead) {
    mLead.Learn(*aView.mLead);
  }
  mLargeReported = aView.mLarge;
}

size_t ViewExchange::HostCount() const {
  const bool all =
      mListing && mListing->mReadAt - mListingSince >= kFullContactTime;
  if (!all) {
    return 0;
  }
  // Hosts spread evenly over the candidates that send them subsets.
  const size_t subsetSources =
      mTable == nullptr
          ? 1
          : mNodes.Candidates(mNode.mIdentity.mAddress).size() + 1;
  return mNodes.EntryHostCount() * subsetSources;
}

}  // namespace rillwall
