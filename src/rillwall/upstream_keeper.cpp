#include "upstream_keeper.h"

#include <algorithm>

#include "rillwall/log.h"
#include "rillwall/upstream_codec.h"

namespace rillwall {

namespace {

constexpr Millis kListPeriod{1000};
constexpr Millis kLoadPeriod{500};
constexpr Millis kPollTimeout{2000};
/// Largest host list, in bytes; an upstream takes some hundred.
constexpr size_t kMaxHostList = 4 * 1024 * 1024;
constexpr const char* kLeavingPrefix = "leaving/";
constexpr int kNotModified = 304;
constexpr int kOk = 200;

}  // namespace

UpstreamKeeper::UpstreamKeeper(Node& aNode, GossipLoop& aGossip)
    : mNode(aNode), mGossip(aGossip) {}

void UpstreamKeeper::Start() {
  mGossip.OnFact([this](const Fact& aFact) {
    if (aFact.mKey.starts_with(kLeavingPrefix)) {
      Publish();
    }
  });
  // A change of the membership changes which nodes route to which engines.
  mGossip.OnMember([this](const Member&) { Publish(); });
  mNode.SpawnControl(ListLoop());
  mNode.SpawnControl(LoadLoop());
}

void UpstreamKeeper::RecordLeaving(const std::string& aUpstream) {
  const auto found = std::ranges::find(mList, aUpstream, &Upstream::mId);
  if (found == mList.end() || IsLeaving(*found)) {
    return;
  }
  Log(Part::Upstream).Info("Upstream " + aUpstream + " is leaving.");
  // The revision of the fact is the generation of the upstream's process plus
  // one, so that generation zero is covered too.
  mGossip.SetFact({kLeavingPrefix + aUpstream, found->mGeneration + 1, ""});
  Publish();
}

bool UpstreamKeeper::IsLeaving(const Upstream& aUpstream) const {
  const Fact* fact = mNode.Members().FindFact(kLeavingPrefix + aUpstream.mId);
  const bool gossiped =
      fact != nullptr && fact->mRevision > aUpstream.mGeneration;
  return aUpstream.mLeaving || gossiped;
}

std::vector<Upstream> UpstreamKeeper::Engines() const {
  std::vector<Upstream> engines;
  for (const Upstream& upstream : mList) {
    if (upstream.mKind == UpstreamKind::Engine) {
      engines.push_back(upstream);
    }
  }
  return engines;
}

asio::awaitable<void> UpstreamKeeper::ListLoop() {
  while (true) {
    co_await PollList();
    co_await Node::Sleep(kListPeriod);
  }
}

asio::awaitable<void> UpstreamKeeper::PollList() {
  HttpRequest request;
  request.mTarget = "/hosts";
  if (!mListTag.empty()) {
    request.mHeaders.push_back({"If-None-Match", mListTag});
  }
  const Result<HttpResponse> response =
      co_await mNode.Http().Send(mNode.Settings().mHostList, std::move(request),
                                 kPollTimeout, kMaxHostList);
  if (!response || response->mStatus == kNotModified) {
    co_return;
  }
  if (response->mStatus != kOk) {
    co_return;
  }
  Result<std::vector<Upstream>> list = ParseHostList(response->mBody);
  if (!list) {
    Log(Part::Upstream).Warn(list.error().Message());
    co_return;
  }
  const std::string* tag = response->Find("ETag");
  mListTag = tag == nullptr ? "" : *tag;
  mList = std::move(*list);
  for (const Upstream& upstream : mList) {
    if (upstream.mLeaving) {
      RecordLeaving(upstream.mId);
    }
  }
  Publish();
}

// If there are more engines than the aperture, a node polls and routes to a
// subset only. Rendezvous hashing makes the subsets of all nodes cover the
// engines evenly.
std::vector<Upstream> UpstreamKeeper::Aperture() const {
  std::vector<Upstream> engines = Engines();
  const size_t limit = static_cast<size_t>(mNode.Settings().mAperture);
  if (engines.size() <= limit) {
    return engines;
  }
  const std::vector<Member> live = mNode.Members().Live();
  std::vector<Upstream> chosen;
  const size_t copies = (live.size() * limit) / engines.size() + 1;
  for (const Upstream& engine : engines) {
    // Uses the name of the engine's duty, so that the engine's controller, the
    // first of the owners, also polls the engine and sees the effect of its
    // orders.
    const std::vector<Member> owners =
        DutyOwners(live, "engine/" + engine.mId, copies);
    const bool ours = std::ranges::any_of(owners, [this](const Member& aOwner) {
      return aOwner.mId == mNode.Settings().mNodeId;
    });
    if (ours) {
      chosen.push_back(engine);
    }
  }
  return chosen;
}

asio::awaitable<void> UpstreamKeeper::LoadLoop() {
  while (true) {
    // The polls run detached, so that one engine that hangs does not delay the
    // reports of the others.
    for (const Upstream& engine : mPolled) {
      mNode.SpawnControl(PollLoad(engine));
    }
    co_await Node::Sleep(kLoadPeriod);
  }
}

asio::awaitable<void> UpstreamKeeper::PollLoad(Upstream aEngine) {
  const Result<Endpoint> endpoint = Endpoint::Parse(aEngine.mAddress);
  if (!endpoint) {
    co_return;
  }
  HttpRequest request;
  request.mTarget = "/load";
  const Result<HttpResponse> response =
      co_await mNode.Http().Send(*endpoint, std::move(request), kPollTimeout);
  if (!response || response->mStatus != kOk) {
    co_return;
  }
  const Result<LoadReport> report =
      ParseLoadReport(response->mBody, mNode.Now());
  if (!report) {
    co_return;
  }
  mReports[aEngine.mId] = *report;
  mNode.Calls().Report(aEngine.mId, *report);
  if (report->mLeaving) {
    RecordLeaving(aEngine.mId);
  }
  co_return;
}

void UpstreamKeeper::Publish() {
  std::vector<UpstreamEntry> entries;
  for (const Upstream& upstream : mList) {
    const Result<Endpoint> endpoint = Endpoint::Parse(upstream.mAddress);
    if (!endpoint) {
      continue;
    }
    std::shared_ptr<UpstreamLoad>& load = mLoads[upstream.mId];
    if (load == nullptr) {
      load = std::make_shared<UpstreamLoad>();
    }
    entries.push_back({upstream, *endpoint, IsLeaving(upstream), load});
  }
  mNode.Upstreams().Publish(
      std::make_shared<const UpstreamTable>(std::move(entries)));
  mPolled = Aperture();
  std::vector<Upstream> engines = mPolled;
  for (Upstream& engine : engines) {
    engine.mLeaving = IsLeaving(engine);
  }
  const auto policies = mNode.Policies().Read();
  mNode.Calls().Configure(engines, policies->Rules(), mNode.Now());
  for (const Upstream& engine : engines) {
    if (engine.mLeaving) {
      mNode.Calls().MarkLeaving(engine.mId, mNode.Now());
    }
  }
}

}  // namespace rillwall
