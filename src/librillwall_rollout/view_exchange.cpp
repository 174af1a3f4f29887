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

/// A node that was asked in the lead's place goes on reading the store for so
/// long: some questions later, whoever asked has come again or found the lead.
constexpr Millis kHelpFor{5000};
/// Answers kept as text: the marks of listeners that are some changes behind.
constexpr size_t kMaxTexts = 64;
/// The operator's text may have some hundred KB.
constexpr Millis kConfigLimit{1000};
/// Far over what operators write: some thousand routes and accounts.
constexpr size_t kMaxConfigBytes = 64 * 1024 * 1024;
/// For one node to reach another.
constexpr Millis kReachLimit{250};
/// Nodes asked whether they reach one that does not answer here.
constexpr size_t kWitnesses = 3;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr char kRevisionHeader[] = "Rillwall-Revision";
/// In answers: age of the list in ms. Not in the text, which is shared by all
/// who are at the same mark.
constexpr char kAgeHeader[] = "Rillwall-View-Age";
/// In answers with status 503: the store does not answer that node.
constexpr char kAwayHeader[] = "Rillwall-Store-Away";
/// In answers: the usage that came with the question is kept.
constexpr char kUsageTakenHeader[] = "Rillwall-Usage-Taken";
/// Then a lead that is late is looked for in the store: it may have changed.
constexpr int kMissesOfALead = 3;

}  // namespace

ViewExchange::ViewExchange(NodeContext& aNode, LeadClaim& aLead,
                           NodeDirectory& aNodes)
    : mNode(aNode),
      mLead(aLead),
      mNodes(aNodes),
      mPlan(aNode.mBounds.mDrain, std::random_device()()) {}

void ViewExchange::Listed(const std::vector<Replica>& aReplicas,
                          Millis aAsked) {
  const int64_t before = mLog.Number();
  mTable = nullptr;
  mLog.Take(aReplicas);
  mLogWithoutWeights.Take(WithoutVersions(aReplicas));
  NoteListed(aAsked);
  if (mLog.Number() != before) {
    mTexts.clear();
  }
}

void ViewExchange::Configured(ConfigText aConfig) {
  mPackedConfig.clear();
  mConfig = std::move(aConfig);
  mTexts.clear();
}

void ViewExchange::Evacuated(std::set<std::string> aZones) {
  if (!mNode.mReplicas.Evacuate(std::move(aZones))) {
    return;
  }
  mTexts.clear();
  std::string named;
  for (const std::string& zone : mNode.mReplicas.EvacuatedZones()) {
    named += named.empty() ? zone : "," + zone;
  }
  Event("evacuated-zones").Text("zones", named).Write();
}

void ViewExchange::Follows(bool aFollows) {
  mFollows = aFollows;
  mTexts.clear();
}

bool ViewExchange::Helping() const {
  return mHelpAskedAt && mNode.Now() - *mHelpAskedAt < kHelpFor;
}

const std::string& ViewExchange::Text(const AnswerKey& aKey) {
  const bool same =
      mTextsLead == mLead.Known() && mTextsNodes == mNodes.Tag() &&
      mTextsHosts == CountedHosts() && mTextsCrashes == mNode.mCrashes.Number();
  if (!same || mTexts.size() >= kMaxTexts) {
    mTexts.clear();
    mTextsLead = mLead.Known();
    mTextsNodes = mNodes.Tag();
    mTextsHosts = CountedHosts();
    mTextsCrashes = mNode.mCrashes.Number();
  }
  std::string& text = mTexts[aKey];
  if (text.empty()) {
    SharedView view;
    view.mRun = mNode.mIdentity.mRun;
    view.mVersions = aKey.mVersions;
    view.mReplicas =
        (aKey.mVersions ? mLog : mLogWithoutWeights).Since(aKey.mKnown);
    AddCommon(view, aKey.mCrashes, aKey.mNodes);
    text = EncodeView(view);
  }
  return text;
}

void ViewExchange::AddCommon(SharedView& aView, int64_t aCrashes,
                             bool aNodes) const {
  aView.mConfig = mFollows ? mConfig.mRevision : 0;
  aView.mHosts = static_cast<int64_t>(CountedHosts());
  if (mFollows) {
    const std::set<std::string>& zones = mNode.mReplicas.EvacuatedZones();
    aView.mEvacuated.assign(zones.begin(), zones.end());
  }
  aView.mLead = mLead.Known();
  aView.mCrashNumber = mNode.mCrashes.Number();
  aView.mCrashes = mNode.mCrashes.Since(aCrashes);
  if (aNodes) {
    aView.mNodes = mNodes.Told();
  }
}

HttpResponse ViewExchange::Answer(const HttpRequest& aRequest) {
  const Millis now = mNode.Now();
  const ViewRequest question = DecodeViewRequest(
      [&](std::string_view aName) { return aRequest.Query(aName); });
  if (!question.mFrom.mAddress.empty()) {
    mNodes.RecordContact(question.mFrom, now);
  }
  const bool leads = mOnUsage && mLead.Held();
  if (leads) {
    mOnUsage(question.mFrom, aRequest.mBody);
  }
  if (question.mHelpRequested && !mLead.Held()) {
    const bool begins = !Helping();
    mHelpAskedAt = now;
    if (begins && mOnHelpRequested) {
      mOnHelpRequested();
    }
  }
  HttpResponse response;
  response.mStatus = kUnavailable;
  if (!mListedAt) {
    if (mUnlistedAt && now - *mUnlistedAt < mPlan.PollInterval()) {
      response.mHeaders.push_back({kAwayHeader, "1"});
    }
    return response;
  }
  const NodeIdentity& self = mNode.mIdentity;
  mNodes.RecordContact({self.mAddress, self.mTakesClients, self.mZone}, now);
  AnswerKey key;
  key.mVersions = question.mVersions;
  key.mKnown = question.mReplicas;
  key.mKnown.mNumber = question.mRun == self.mRun ? key.mKnown.mNumber : 0;
  key.mCrashes = question.mRun == self.mRun ? question.mCrashes : 0;
  key.mNodes = mNodes.Tag() != question.mNodes;
  response = HttpResponse::Json(
      kOk, mTable == nullptr ? Text(key) : SubsetText(question, key.mNodes));
  response.mHeaders.push_back(
      {kAgeHeader, std::to_string((now - *mListedAt).Count())});
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
    // That says nothing of whether it could be reached.
    response.mStatus = kUnavailable;
    co_return response;
  }
  const std::optional<int> health =
      co_await AskHealth(mNode, address, kReachLimit);
  response.mStatus = health ? kOk : kNotFound;
  co_return response;
}

asio::awaitable<bool> ViewExchange::ConfirmUnreachable(std::string aAddress) {
  const std::vector<std::string> nodes =
      mNodes.Relays(mNode.mIdentity.mAddress);
  // Spread over the list, which is in the order of addresses.
  const size_t step = std::max<size_t>(1, nodes.size() / kWitnesses);
  bool answered = false;
  for (size_t i = 0; i < nodes.size(); i += step) {
    const Result<Endpoint> endpoint = Endpoint::Parse(nodes[i]);
    if (!endpoint || nodes[i] == aAddress) {
      continue;
    }
    HttpRequest request;
    request.mTarget = std::string(kReachPath) + "?address=" + aAddress;
    const Result<HttpResponse> answer = co_await mNode.mClient.Send(
        *endpoint, std::move(request), kReachLimit * 2);
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
  if (lead && lead->mAddress != mLeadAsked) {
    if (!mLeadAsked.empty() && !Teller()) {
      mPlan.LeadChanged(now);
    }
    mLeadAsked = lead->mAddress;
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
    const std::optional<std::string> teller = Teller();
    return teller ? teller
                  : (lead ? std::optional(lead->mAddress) : std::nullopt);
  }
  std::vector<std::string> candidates = mNodes.Candidates(self.mAddress);
  std::erase_if(candidates, [&](const std::string& aAddress) {
    return lead && aAddress == lead->mAddress;
  });
  if (candidates.empty()) {
    return std::nullopt;
  }
  // Each node begins with another one.
  const size_t first = std::hash<std::string>()(self.mName);
  return candidates[(first + mHelper) % candidates.size()];
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
  const auto keeper =
      std::max_element(candidates.begin(), candidates.end(),
                       [&](const std::string& aOne, const std::string& aOther) {
                         return weight(aOne) < weight(aOther);
                       });
  return keeper == candidates.end() ? std::nullopt : std::optional(*keeper);
}

asio::awaitable<void> ViewExchange::LookUp() {
  // All hosts look for the lead as they start. One that is not found so, or has
  // changed since, is looked for again.
  const bool first = !std::exchange(mLookedUp, true);
  const Result<std::optional<LeadHolder>> holder = co_await mLead.Holder(first);
  const Millis now = mNode.Now();
  if (holder && *holder) {
    mPlan.LeadFound(now);
  } else {
    mPlan.RecordMiss(ViewSource::LookUp, now);
  }
}

void ViewExchange::NoteMiss(ViewSource aSource, const std::string& aAddress,
                            const Result<HttpResponse>& aAnswer) {
  if (aAnswer && aAnswer->Find(kAwayHeader) != nullptr) {
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
    ++mHelper;
    return;
  }
  if (!Leads(aAddress)) {
    PassOverTeller();
    return;
  }
  // One that can't be reached is gone. One that is late is asked again, later.
  const bool gone = !aAnswer && aAnswer.error().Run() == RunState::NotRun;
  if (gone || mPlan.Misses(aSource) >= kMissesOfALead) {
    mLead.Forget();
  }
}

HttpRequest ViewExchange::QuestionTo(ViewSource aSource,
                                     const std::string& aAddress) {
  const NodeIdentity& self = mNode.mIdentity;
  ViewRequest question;
  question.mFrom = {self.mAddress, self.mTakesClients, self.mZone};
  question.mVersions = !self.mTakesClients || mOwnsSteps();
  question.mHelpRequested = aSource == ViewSource::Helper || !Leads(aAddress);
  question.mNodes = mNodes.Tag();
  if (question.mVersions == mMirrorVersions) {
    question.mRun = mMirror.Run();
    question.mReplicas = mMirror.Cursor();
  }
  const bool sameRun = question.mRun == mCrashesRun;
  question.mCrashes = sameRun ? mCrashesNumber : 0;
  HttpRequest request;
  request.mTarget = EncodeViewRequest(question);
  if (aSource == ViewSource::Lead && Leads(aAddress)) {
    HostUsage told{self.mRun,
                   mNode.mUsage.UnreportedCounts(mLead.Known()->mRun)};
    if (!told.mCounts.empty()) {
      request.mMethod = "POST";
      request.mBody = EncodeHostUsage(told);
    }
  }
  return request;
}

asio::awaitable<std::optional<ViewUpdate>> ViewExchange::Ask(
    ViewSource aSource) {
  const std::optional<std::string> address = AddressOf(aSource);
  const Result<Endpoint> endpoint =
      address ? Endpoint::Parse(*address)
              : Error(ErrorKind::Unavailable, "No such node is known.");
  if (!endpoint) {
    mPlan.RecordMiss(aSource, mNode.Now());
    co_return std::nullopt;
  }
  HttpRequest request = QuestionTo(aSource, *address);
  const std::string leadRun =
      Leads(*address) ? mLead.Known()->mRun : std::string();
  const Millis asked = mNode.Now();
  const Result<HttpResponse> answer =
      co_await mNode.mClient.Send(*endpoint, std::move(request), mPlan.Limit());
  if (!answer || answer->mStatus != kOk) {
    NoteMiss(aSource, *address, answer);
    co_return std::nullopt;
  }
  const std::string* age = answer->Find(kAgeHeader);
  Result<SharedView> view = DecodeView(answer->mBody);
  const std::optional<int64_t> aged =
      age == nullptr ? std::nullopt : ParseNumber(*age);
  if (!view || !aged) {
    Event("view-unread")
        .Text("node", *address)
        .Text("why", view ? "it has no age" : view.error().Detail())
        .Write();
    mPlan.RecordMiss(aSource, mNode.Now());
    co_return std::nullopt;
  }
  if (view->mRun == leadRun && answer->Find(kUsageTakenHeader) != nullptr) {
    mNode.mUsage.Told();
  }
  mPlan.Told(aSource, asked, Millis(*aged), mNode.Now());
  if (aSource == ViewSource::Helper && mPlan.Misses(aSource) > 1) {
    // It does not hear from the store either.
    ++mHelper;
  }
  co_return co_await Take(std::move(*view), *endpoint);
}

asio::awaitable<std::optional<ViewUpdate>> ViewExchange::Take(SharedView aView,
                                                              Endpoint aFrom) {
  TakeCrashNews(mNode, aView.mCrashes, aView.mRun);
  mCrashesRun = aView.mRun;
  mCrashesNumber = aView.mCrashNumber;
  const ReplicaCursor before = mMirror.Cursor();
  if (!mMirror.Take(aView.mRun, aView.mReplicas)) {
    Event("view-mismatch")
        .Text("node", aFrom.Text())
        .Number("number", aView.mReplicas.mNumber)
        .Number("known", before.mNumber)
        .Write();
    co_return std::nullopt;
  }
  TakeNodes(aView);
  ViewUpdate news;
  const bool changed = before.mDigest != mMirror.Cursor().mDigest ||
                       mMirrorVersions != aView.mVersions;
  mMirrorVersions = aView.mVersions;
  if (changed || before.mNumber == 0) {
    news.mReplicas = mMirror.All();
  }
  if (aView.mHosts > 0) {
    mNode.mReplicas.Cold().SetHostCount(static_cast<size_t>(aView.mHosts));
  }
  news.mFollowsConfig = aView.mConfig > 0;
  if (news.mFollowsConfig) {
    Evacuated({aView.mEvacuated.begin(), aView.mEvacuated.end()});
  }
  if (aView.mConfig > mConfig.mRevision) {
    news.mConfig = co_await FetchConfig(aFrom, aView.mConfig);
    news.mFollowsConfig = news.mConfig.has_value();
  }
  co_return news;
}

asio::awaitable<std::optional<ConfigText>> ViewExchange::FetchConfig(
    Endpoint aFrom, int64_t aRevision) {
  HttpRequest request;
  request.mTarget = kViewConfigPath;
  Result<HttpResponse> answer =
      co_await mNode.mClient.Send(aFrom, std::move(request), kConfigLimit);
  if (!answer || answer->mStatus != kOk) {
    Event("config-unfetched")
        .Text("node", aFrom.Text())
        .Number("revision", aRevision)
        .Text("why", answer ? "status " + std::to_string(answer->mStatus)
                            : answer.error().Detail())
        .Write();
    co_return std::nullopt;
  }
  const std::string* revision = answer->Find(kRevisionHeader);
  const std::optional<int64_t> number =
      revision == nullptr ? std::nullopt : ParseNumber(*revision);
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
