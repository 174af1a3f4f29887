#include "upstream_keeper.h"

#include <algorithm>

#include "rillwall/log.h"
#include "rillwall/upstream_codec.h"

namespace rillwall {

namespace {

constexpr Millis kListPeriod{1000};
constexpr Millis kLoadPeriod{500};
constexpr Millis kPollTimeout{2000};
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
  // A node that joined or left changes who routes to which engine.
  mGossip.OnMember([this](const Member&) { Publish(); });
  mNode.SpawnControl(ListLoop());
  mNode.SpawnControl(LoadLoop());
}

void UpstreamKeeper::SawLeaving(const std::string& aUpstream) {
  const auto found = std::ranges::find(mList, aUpstream, &Upstream::mId);
  if (found == mList.end() || IsLeaving(*found)) {
    return;
  }
  Log(Part::Upstream).Info("Upstream " + aUpstream + " is leaving.");
  // The revision is the process's generation plus one, so that zero counts.
  mGossip.SetFact({kLeavingPrefix + aUpstream, found->mGeneration + 1, ""});
  Publish();
}

bool UpstreamKeeper::IsLeaving(const Upstream& aUpstream) const {
  const Fact* fact = mNode.Members().FindFact(kLeavingPrefix + aUpstream.mId);
  const bool told = fact != nullptr && fact->mRevision > aUpstream.mGeneration;
  return aUpstream.mLeaving || told;
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
  const Result<HttpResponse> response = co_await mNode.Http().Send(
      mNode.Settings().mHostList, std::move(request), kPollTimeout);
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
      SawLeaving(upstream.mId);
    }
  }
  Publish();
}

// With many engines a node routes to a part of them only, chosen so that the
// nodes' parts cover all engines evenly; it polls no others.
std::vector<Upstream> UpstreamKeeper::Aperture() const {
  std::vector<Upstream> engines = Engines();
  const size_t most = static_cast<size_t>(mNode.Settings().mAperture);
  if (engines.size() <= most) {
    return engines;
  }
  const std::vector<Member> live = mNode.Members().Live();
  std::vector<Upstream> chosen;
  const size_t copies = (live.size() * most) / engines.size() + 1;
  for (const Upstream& engine : engines) {
    // The engine's duty has the same name, so that its controller, the first of
    // the owners, is among those that poll it and reads its orders' effect.
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
    // Not waited for: one frozen engine must not delay the others' reports.
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
    SawLeaving(aEngine.mId);
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
