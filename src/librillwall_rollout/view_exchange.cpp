#include "rillwall/view_exchange.h"

#include <algorithm>
#include <functional>

#include "rillwall/event_log.h"
#include "rillwall/numbers.h"

namespace rillwall {

namespace {

/// Shares of the bound after which a leaving replica gets nothing new. Reading
/// the store, asking for the view and one lost answer fit into it together.
constexpr int64_t kPollShare = 4;
constexpr int64_t kAskPercent = 30;
constexpr int64_t kPercent = 100;
/// So long entry hosts do without an answer before they ask the store: while
/// the lead changes, all of them would.
constexpr int64_t kPatienceShare = 2;
/// A view that is older than a poll by this is not given to others.
constexpr Millis kViewSlack{250};
/// A live node on a quarter of a core answers well within this.
constexpr Millis kAskLimit{300};
/// The operator's text may have some hundred KB.
constexpr Millis kConfigLimit{1000};
/// How often the store is asked who leads while nobody known answers.
constexpr Millis kLookUpEvery{2000};
/// Candidates asked in a row before the store is asked directly.
constexpr size_t kMaxCandidates = 2;
/// For one node to reach another.
constexpr Millis kReachLimit{250};
/// Nodes asked whether they reach one that does not answer here.
constexpr size_t kWitnesses = 3;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr char kRevisionHeader[] = "Rillwall-Revision";

}  // namespace

ViewExchange::ViewExchange(NodeContext& aNode, LeadClaim& aLead,
                           NodeDirectory& aNodes)
    : mNode(aNode), mLead(aLead), mNodes(aNodes) {}

Millis ViewExchange::PollEvery() const {
  return Millis(mNode.mBounds.mDrain.Count() / kPollShare);
}

Millis ViewExchange::AskEvery() const {
  return Millis(mNode.mBounds.mDrain.Count() * kAskPercent / kPercent);
}

void ViewExchange::Listed(const std::vector<Replica>& aReplicas,
                          Millis aAsked) {
  mLog.Take(aReplicas);
  mListedAt = aAsked;
}

HttpResponse ViewExchange::Answer(const HttpRequest& aRequest) {
  const Millis now = mNode.Now();
  const ViewQuestion question = DecodeQuestion(
      [&](std::string_view aName) { return aRequest.Query(aName); });
  if (!question.mFrom.mAddress.empty()) {
    mNodes.Heard(question.mFrom, now);
  }
  HttpResponse response;
  response.mStatus = kUnavailable;
  const bool current = mListedAt && now - *mListedAt < PollEvery() + kViewSlack;
  if (!current) {
    return response;
  }
  const NodeIdentity& self = mNode.mIdentity;
  mNodes.Heard({self.mAddress, self.mTakesClients}, now);
  SharedView view;
  view.mRun = self.mRun;
  const bool known = question.mRun == self.mRun;
  view.mReplicas = mLog.Since(known ? question.mReplicas : 0);
  view.mConfig = mFollows ? mConfig.mRevision : 0;
  view.mLead = mLead.Known();
  if (mNodes.Tag() != question.mNodes) {
    view.mNodes = mNodes.List();
  }
  return HttpResponse::Json(kOk, EncodeView(view));
}

HttpResponse ViewExchange::AnswerConfig() const {
  HttpResponse response;
  response.mStatus = mConfig.mRevision == 0 ? kUnavailable : kOk;
  response.mHeaders.push_back(
      {kRevisionHeader, std::to_string(mConfig.mRevision)});
  response.mBody = mConfig.mText;
  return response;
}

asio::awaitable<HttpResponse> ViewExchange::AnswerReach(
    const HttpRequest& aRequest) {
  const std::string address = aRequest.Query("address");
  HttpResponse response;
  response.mStatus = kNotFound;
  if (!mNodes.Knows(address)) {
    co_return response;
  }
  const std::optional<int> health =
      co_await AskHealth(mNode, address, kReachLimit);
  response.mStatus = health ? kOk : kNotFound;
  co_return response;
}

asio::awaitable<bool> ViewExchange::NobodyReaches(std::string aAddress) {
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

std::vector<std::string> ViewExchange::Sources() const {
  const NodeIdentity& self = mNode.mIdentity;
  std::vector<std::string> sources;
  const std::optional<LeadHolder>& lead = mLead.Known();
  if (lead && lead->mAddress != self.mAddress) {
    sources.push_back(lead->mAddress);
  }
  if (!self.mTakesClients) {
    // Candidates ask the store themselves while nobody leads.
    return sources;
  }
  std::vector<std::string> candidates = mNodes.Candidates(self.mAddress);
  std::erase_if(candidates, [&](const std::string& aAddress) {
    return lead && aAddress == lead->mAddress;
  });
  if (!candidates.empty()) {
    // Each node begins with another one.
    const size_t first = std::hash<std::string>()(self.mName);
    std::rotate(candidates.begin(),
                candidates.begin() +
                    static_cast<std::ptrdiff_t>(first % candidates.size()),
                candidates.end());
  }
  candidates.resize(std::min(candidates.size(), kMaxCandidates));
  sources.insert(sources.end(), candidates.begin(), candidates.end());
  return sources;
}

bool ViewExchange::MayAskAgain() const {
  const Millis patience(mNode.mBounds.mDrain.Count() / kPatienceShare);
  return mNode.mIdentity.mTakesClients && mToldAt &&
         mNode.Now() - *mToldAt < patience;
}

asio::awaitable<std::optional<ViewNews>> ViewExchange::Ask() {
  std::vector<std::string> sources = Sources();
  if (sources.empty() && mNode.mIdentity.mTakesClients) {
    // Nobody is known yet: one call to the store finds the lead.
    co_await mLead.Holder();
    sources = Sources();
  }
  for (const std::string& source : sources) {
    std::optional<ViewNews> news = co_await AskOne(source);
    if (news) {
      co_return news;
    }
  }
  const Millis now = mNode.Now();
  if (mNode.mIdentity.mTakesClients && !mLead.Known() &&
      now - mLookedUpAt > kLookUpEvery) {
    // None of those known answers; another host may lead by now.
    mLookedUpAt = now;
    co_await mLead.Holder();
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<ViewNews>> ViewExchange::AskOne(
    std::string aAddress) {
  const Result<Endpoint> endpoint = Endpoint::Parse(aAddress);
  if (!endpoint) {
    co_return std::nullopt;
  }
  const NodeIdentity& self = mNode.mIdentity;
  const Millis asked = mNode.Now();
  const ViewQuestion question{{self.mAddress, self.mTakesClients},
                              mMirror.Run(),
                              mMirror.Number(mMirror.Run()),
                              mNodes.Tag()};
  HttpRequest request;
  request.mTarget = EncodeQuestion(question);
  const Result<HttpResponse> answer =
      co_await mNode.mClient.Send(*endpoint, std::move(request), kAskLimit);
  if (!answer || answer->mStatus != kOk) {
    Event("view-unanswered")
        .Text("node", aAddress)
        .Text("why", answer ? "status " + std::to_string(answer->mStatus)
                            : answer.error().Detail())
        .Write();
    if (!answer && mLead.Known() && mLead.Known()->mAddress == aAddress) {
      mLead.Forget();
    }
    co_return std::nullopt;
  }
  const Result<SharedView> view = DecodeView(answer->mBody);
  if (!view) {
    Event("view-unread").Text("why", view.error().Detail()).Write();
    co_return std::nullopt;
  }
  mToldAt = asked;
  mMirror.Take(view->mRun, view->mReplicas);
  const Millis now = mNode.Now();
  // What stays the same is heard again.
  mNodes.Adopt(view->mNodes ? *view->mNodes : mNodes.List(), now);
  if (view->mLead) {
    mLead.Learn(*view->mLead);
  }
  ViewNews news;
  news.mReplicas = mMirror.All();
  news.mFollowsConfig = view->mConfig > 0;
  if (view->mConfig > mConfig.mRevision) {
    news.mConfig = co_await FetchConfig(*endpoint, view->mConfig);
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
  co_return ConfigText{std::move(answer->mBody), *number};
}

}  // namespace rillwall
