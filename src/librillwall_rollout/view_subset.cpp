/// \file
/// Views where there are very many replicas: which candidate tells a host its
/// subset, and what is in it.

#include <functional>

#include "rillwall/event_log.h"
#include "rillwall/view_exchange.h"

namespace rillwall {

namespace {

constexpr int kOk = 200;
/// Then a candidate that did not answer is asked again.
constexpr Millis kTellerAgain{8000};
/// A node that has listed the replicas for so long has been asked by all nodes
/// that live; one that did not for a while is asked by others again.
constexpr Millis kCountFor{10000};
constexpr Millis kCountAnewAfter{3000};

}  // namespace

void ViewExchange::NoteListed(Millis aAsked) {
  if (!mListedAt || aAsked - *mListedAt > kCountAnewAfter) {
    mListsSince = aAsked;
  }
  mListedAt = aAsked;
}

void ViewExchange::PassOverTeller() {
  const Millis now = mNode.Now();
  const bool first = now - mTellerMissedAt > kTellerAgain;
  mTellerShift = first ? 1 : mTellerShift + 1;
  mTellerMissedAt = now;
}

void ViewExchange::ReadTable(const RegistryTable& aTable, Millis aAsked) {
  mTable = &aTable;
  NoteListed(aAsked);
}

bool ViewExchange::ReadsForOthers() const {
  const bool candidate = !mNode.mIdentity.mTakesClients;
  return mLead.Held() || Helping() || (candidate && Large());
}

ReplicaDelta ViewExchange::SubsetOf(const ViewRequest& aQuestion) const {
  ReplicaDelta delta;
  delta.mNumber = static_cast<int64_t>(mTable->Changes());
  delta.mDigest = aQuestion.mReplicas.mDigest;
  const bool sameRun = aQuestion.mRun == mNode.mIdentity.mRun;
  if (!aQuestion.mWantsReplicas ||
      (sameRun && aQuestion.mReplicas.mNumber == delta.mNumber)) {
    return delta;
  }
  const NodeEntry& from = aQuestion.mFrom;
  std::vector<Replica> subset =
      aQuestion.mVersions
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

std::string ViewExchange::SubsetText(const ViewRequest& aQuestion,
                                     bool aNodes) {
  SharedView view;
  view.mRun = mNode.mIdentity.mRun;
  view.mVersions = aQuestion.mVersions;
  view.mLarge = true;
  view.mReplicas = SubsetOf(aQuestion);
  const bool sameRun = aQuestion.mRun == view.mRun;
  AddCommon(view, sameRun ? aQuestion.mCrashes : 0, aNodes);
  return EncodeView(view);
}

std::optional<std::string> ViewExchange::Teller() const {
  const NodeIdentity& self = mNode.mIdentity;
  if (!self.mTakesClients || !mLargeTold || mOwnsSteps()) {
    return std::nullopt;
  }
  if (mLead.Known() &&
      !mNode.mUsage.UnreportedCounts(mLead.Known()->mRun).empty()) {
    // Usage is for the lead, and for nobody else.
    return std::nullopt;
  }
  const std::vector<std::string> near =
      mNodes.CandidatesIn(self.mZone, self.mAddress);
  if (near.empty()) {
    return std::nullopt;
  }
  const bool forgiven = mNode.Now() - mTellerMissedAt > kTellerAgain;
  const size_t shift = forgiven ? 0 : mTellerShift;
  // After each of them it is the lead's turn.
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
          : Error(ErrorKind::Unavailable, "Nobody else leads.");
  if (!endpoint) {
    co_return;
  }
  ViewRequest question;
  question.mFrom = {self.mAddress, self.mTakesClients, self.mZone};
  question.mVersions = false;
  question.mWantsReplicas = false;
  HttpRequest request;
  request.mTarget = EncodeViewRequest(question);
  const Result<HttpResponse> answer =
      co_await mNode.mClient.Send(*endpoint, std::move(request), mPlan.Limit());
  const Result<SharedView> view =
      answer && answer->mStatus == kOk
          ? DecodeView(answer->mBody)
          : Error(ErrorKind::Unavailable, "The lead does not answer.");
  if (view) {
    TakeNodes(*view);
  } else {
    Event("introduction-unanswered")
        .Text("node", lead->mAddress)
        .Text("why", view.error().Detail())
        .Write();
  }
}

void ViewExchange::TakeNodes(const SharedView& aView) {
  const Millis now = mNode.Now();
  // What stays the same is heard again.
  const std::vector<NodeEntry> nodes =
      aView.mNodes ? *aView.mNodes : mNodes.List();
  if (mTable != nullptr) {
    // The hosts that ask this node are known better here.
    mNodes.AddCandidates(nodes, now);
  } else {
    mNodes.Adopt(nodes, now);
  }
  if (aView.mLead) {
    mLead.Learn(*aView.mLead);
  }
  mLargeTold = aView.mLarge;
}

size_t ViewExchange::CountedHosts() const {
  const bool all = mListedAt && *mListedAt - mListsSince >= kCountFor;
  if (!all) {
    return 0;
  }
  // Hosts spread evenly over the candidates that tell them subsets.
  const size_t tellers =
      mTable == nullptr
          ? 1
          : mNodes.Candidates(mNode.mIdentity.mAddress).size() + 1;
  return mNodes.Hosts() * tellers;
}

}  // namespace rillwall
