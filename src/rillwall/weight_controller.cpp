#include "weight_controller.h"

#include <algorithm>
#include <random>
#include <set>

#include "rillwall/json.h"
#include "rillwall/log.h"
#include "rillwall/swap_plan.h"
#include "rillwall/upstream_codec.h"

namespace rillwall {

namespace {

constexpr const char* kFactPrefix = "version/";
constexpr const char* kKvPrefix = "rillwall/version/";
constexpr const char* kFencePrefix = "rillwall/fence/";
constexpr Millis kTickPeriod{100};
constexpr Millis kKvRetryPause{1000};
// Spreads the writes when one node or fleet acquires many tokens: for 600
// engines this makes 200 writes per second.
constexpr Millis kFenceJitter{3000};
constexpr Millis kFenceDelay{2000};
constexpr Millis kOrderTimeout{3000};
constexpr int kOk = 200;
constexpr int kConflict = 409;

std::string Encode(const WeightVersion& aVersion) {
  json::object body;
  body["version"] = aVersion.mVersion;
  body["weights"] = aVersion.mWeights;
  body["bytes"] = aVersion.mBytes;
  return json::serialize(body);
}

std::optional<WeightVersion> Decode(const std::string& aModel,
                                    const std::string& aText) {
  const Result<json::object> object = ParseJsonObject(aText);
  if (!object) {
    return std::nullopt;
  }
  JsonReader reader(*object);
  WeightVersion decoded;
  decoded.mModel = aModel;
  decoded.mVersion = reader.Int("version");
  decoded.mWeights = reader.String("weights");
  decoded.mBytes = reader.Int("bytes");
  return reader.Failed() ? std::nullopt : std::optional(decoded);
}

}  // namespace

/// All members are used on the control strand only.
struct WeightController::Impl {
  Node& mNode;
  GossipLoop& mGossip;
  UpstreamKeeper& mUpstreams;
  std::map<std::string, SwapPlan> mPlans;    ///< by model
  std::map<std::string, Millis> mLearnedAt;  ///< by fact key
  std::map<std::string, uint64_t> mFences;   ///< fencing tokens, by engine
  std::set<std::string> mAcquiring;   ///< engines whose token is being acquired
  std::set<std::string> mPersisting;  ///< models whose version is being written
  std::set<std::string> mDuties;      ///< engines that this node controls
  std::vector<std::string> mEngineIds;  ///< engines considered for mDuties
  bool mMembersChanged = true;
  std::mt19937_64 mRandom{std::random_device()()};
  Millis mFencesConfirmedAt;
  bool mFenceCheckRunning = false;

  asio::awaitable<void> TickLoop();
  asio::awaitable<void> RestoreLoop();
  asio::awaitable<void> Persist(std::string aModel);
  asio::awaitable<void> AcquireFence(std::string aEngine);
  asio::awaitable<void> ConfirmFences();
  asio::awaitable<void> Send(SwapOrder aOrder, Upstream aEngine,
                             WeightVersion aVersion);
  void TickModel(const std::string& aModel,
                 const std::vector<Upstream>& aEngines);
  void ReviewOwnership(const std::vector<Upstream>& aEngines);
  void AcquireMissingFences();
  std::optional<WeightVersion> Newest(const std::string& aModel) const;
};

WeightController::WeightController(Node& aNode, GossipLoop& aGossip,
                                   UpstreamKeeper& aUpstreams)
    : mImpl(new Impl{aNode, aGossip, aUpstreams}) {}

WeightController::~WeightController() = default;

void WeightController::Start() {
  mImpl->mGossip.OnFact([impl = mImpl.get()](const Fact& aFact) {
    if (aFact.mKey.starts_with(kFactPrefix)) {
      impl->mLearnedAt[aFact.mKey] = impl->mNode.Now();
    }
  });
  mImpl->mGossip.OnMember(
      [impl = mImpl.get()](const Member&) { impl->mMembersChanged = true; });
  mImpl->mNode.SpawnControl(mImpl->TickLoop());
  mImpl->mNode.SpawnControl(mImpl->RestoreLoop());
}

std::optional<Error> WeightController::Announce(const WeightVersion& aVersion) {
  const std::optional<WeightVersion> newest = mImpl->Newest(aVersion.mModel);
  if (newest && *newest == aVersion) {
    return std::nullopt;
  }
  if (newest && newest->mVersion >= aVersion.mVersion) {
    return Error(ErrorKind::Stale,
                 "Version " + std::to_string(newest->mVersion) + " of '" +
                     aVersion.mModel +
                     "' was already announced; use a greater number.");
  }
  const std::string key = kFactPrefix + aVersion.mModel;
  mImpl->mGossip.SetFact(
      {key, static_cast<uint64_t>(aVersion.mVersion), Encode(aVersion)});
  Log(Part::Weight)
      .Info("Version " + std::to_string(aVersion.mVersion) + " of " +
            aVersion.mModel + " is announced.");
  mImpl->mNode.SpawnControl(mImpl->Persist(aVersion.mModel));
  return std::nullopt;
}

std::optional<WeightVersion> WeightController::Newest(
    const std::string& aModel) const {
  return mImpl->Newest(aModel);
}

std::optional<WeightVersion> WeightController::Impl::Newest(
    const std::string& aModel) const {
  const Fact* fact = mNode.Members().FindFact(kFactPrefix + aModel);
  return fact == nullptr ? std::nullopt : Decode(aModel, fact->mValue);
}

// Gossip keeps the newest version while any node runs; the key-value service
// keeps it for a restart of the whole fleet. Retries until the service has this
// version or a newer one.
asio::awaitable<void> WeightController::Impl::Persist(std::string aModel) {
  if (!mPersisting.insert(aModel).second) {
    co_return;
  }
  while (true) {
    const std::optional<WeightVersion> newest = Newest(aModel);
    const Result<KvRange> range =
        co_await mNode.Kv().Range(kKvPrefix + aModel, false);
    if (!range) {
      co_await Node::Sleep(kKvRetryPause);
      continue;
    }
    int64_t revision = 0;
    if (!range->mEntries.empty()) {
      const KvEntry& entry = range->mEntries.front();
      const std::optional<WeightVersion> stored = Decode(aModel, entry.mValue);
      revision = entry.mModRevision;
      if (stored && newest && stored->mVersion >= newest->mVersion) {
        break;
      }
    }
    const Result<KvSwap> swap = co_await mNode.Kv().CompareAndSwap(
        kKvPrefix + aModel, revision, Encode(*newest), 0);
    if (!swap) {
      co_await Node::Sleep(kKvRetryPause);
    }
    // Reads again, because another node may have written meanwhile, or a newer
    // version may have been announced.
  }
  mPersisting.erase(aModel);
}

asio::awaitable<void> WeightController::Impl::RestoreLoop() {
  while (true) {
    const Result<KvRange> range = co_await mNode.Kv().Range(kKvPrefix, true);
    if (range) {
      for (const KvEntry& entry : range->mEntries) {
        const std::string model =
            entry.mKey.substr(std::string(kKvPrefix).size());
        const std::optional<WeightVersion> stored = Decode(model, entry.mValue);
        if (stored) {
          mGossip.SetFact({kFactPrefix + model,
                           static_cast<uint64_t>(stored->mVersion),
                           entry.mValue});
        }
      }
      co_return;
    }
    co_await Node::Sleep(kKvRetryPause);
  }
}

// Hashing all engines over all members is expensive in a large fleet, so it is
// done only when the members or the engines have changed, not at every tick.
void WeightController::Impl::ReviewOwnership(
    const std::vector<Upstream>& aEngines) {
  std::vector<std::string> ids;
  for (const Upstream& engine : aEngines) {
    ids.push_back(engine.mId);
  }
  if (!mMembersChanged && ids == mEngineIds) {
    return;
  }
  mMembersChanged = false;
  mEngineIds = std::move(ids);
  const std::vector<Member> live = mNode.Members().Live();
  mDuties.clear();
  for (const std::string& id : mEngineIds) {
    const std::vector<Member> owners = DutyOwners(live, "engine/" + id, 1);
    if (!owners.empty() && owners[0].mId == mNode.Settings().mNodeId) {
      mDuties.insert(id);
    }
  }
  std::erase_if(mFences, [this](const auto& aEntry) {
    return !mDuties.contains(aEntry.first);
  });
}

// A token is acquired as soon as this node gets a duty, before any order needs
// it. A random delay prevents a burst of writes when the whole fleet starts or
// an outage ends.
void WeightController::Impl::AcquireMissingFences() {
  for (const std::string& engine : mDuties) {
    if (!mFences.contains(engine) && mAcquiring.insert(engine).second) {
      mNode.SpawnControl(AcquireFence(engine));
    }
  }
}

asio::awaitable<void> WeightController::Impl::TickLoop() {
  while (true) {
    std::map<std::string, std::vector<Upstream>> models;
    const std::vector<Upstream> all = mUpstreams.Engines();
    ReviewOwnership(all);
    AcquireMissingFences();
    for (const Upstream& engine : all) {
      models[engine.mName].push_back(engine);
    }
    for (const auto& [model, engines] : models) {
      TickModel(model, engines);
    }
    co_await Node::Sleep(kTickPeriod);
  }
}

void WeightController::Impl::TickModel(const std::string& aModel,
                                       const std::vector<Upstream>& aEngines) {
  const std::optional<WeightVersion> newest = Newest(aModel);
  if (!newest) {
    return;
  }
  SwapInputs inputs;
  const auto policies = mNode.Policies().Read();
  const ModelRule* rule = policies->Rules().Model(aModel);
  if (rule != nullptr) {
    inputs.mRule = *rule;
  }
  inputs.mNewest.mVersion = newest->mVersion;
  inputs.mNewest.mBytes = newest->mBytes;
  inputs.mNewest.mLearnedAt = mLearnedAt[kFactPrefix + aModel];
  inputs.mFencesConfirmedAt = mFencesConfirmedAt;
  for (const Upstream& engine : aEngines) {
    SwapEngine swap;
    swap.mId = engine.mId;
    swap.mLeaving = mUpstreams.IsLeaving(engine);
    swap.mIsController = mDuties.contains(engine.mId);
    const auto fence = mFences.find(engine.mId);
    if (fence != mFences.end()) {
      swap.mFence = fence->second;
    }
    const auto report = mUpstreams.Reports().find(engine.mId);
    if (report != mUpstreams.Reports().end()) {
      swap.mReport = report->second;
    }
    inputs.mEngines.push_back(std::move(swap));
  }
  SwapPlan& plan = mPlans[aModel];
  for (const SwapOrder& order : plan.Tick(inputs, mNode.Now())) {
    const auto engine =
        std::ranges::find(aEngines, order.mUpstream, &Upstream::mId);
    mNode.SpawnControl(Send(order, *engine, *newest));
  }
  if (plan.NeedsFenceCheck() && !mFenceCheckRunning) {
    mFenceCheckRunning = true;
    mNode.SpawnControl(ConfirmFences());
  }
}

// The fencing token is the store's revision after a write. Revisions only grow,
// so the later of two controllers always holds the greater token. A lost
// response is harmless, because the next write yields a still greater token.
asio::awaitable<void> WeightController::Impl::AcquireFence(
    std::string aEngine) {
  const int64_t pause = static_cast<int64_t>(
      mRandom() % static_cast<uint64_t>(kFenceJitter.Count()));
  // A node that has just started knows few members and assumes that it owns
  // every duty. By the end of the delay it has learned of the others.
  co_await Node::Sleep(kFenceDelay + Millis(pause));
  if (!mDuties.contains(aEngine)) {
    mAcquiring.erase(aEngine);
    co_return;
  }
  const Result<int64_t> revision = co_await mNode.Kv().Put(
      kFencePrefix + aEngine, mNode.Settings().mNodeId, 0);
  if (revision && mDuties.contains(aEngine)) {
    mFences[aEngine] = static_cast<uint64_t>(*revision);
  }
  mAcquiring.erase(aEngine);
}

// After a pause of this node, another node may have taken duties over. Engines
// that ignore fencing tokens would not reject the orders of this one.
asio::awaitable<void> WeightController::Impl::ConfirmFences() {
  const Result<KvRange> range = co_await mNode.Kv().Range(kFencePrefix, true);
  if (range) {
    const size_t prefix = std::string(kFencePrefix).size();
    for (const KvEntry& entry : range->mEntries) {
      const auto own = mFences.find(entry.mKey.substr(prefix));
      const bool overtaken =
          own != mFences.end() &&
          own->second < static_cast<uint64_t>(entry.mModRevision);
      if (overtaken) {
        mFences.erase(own);
      }
    }
    mFencesConfirmedAt = mNode.Now();
  } else {
    co_await Node::Sleep(kKvRetryPause);
  }
  mFenceCheckRunning = false;
}

asio::awaitable<void> WeightController::Impl::Send(SwapOrder aOrder,
                                                   Upstream aEngine,
                                                   WeightVersion aVersion) {
  const Result<Endpoint> endpoint = Endpoint::Parse(aEngine.mAddress);
  if (!endpoint) {
    co_return;
  }
  LoadOrder order;
  order.mVersion = aOrder.mVersion;
  order.mWeights = aVersion.mWeights;
  order.mBytes = aVersion.mBytes;
  order.mFence = aOrder.mFence;
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/orders";
  request.mBody = EncodeLoadOrder(order);
  mNode.Meter().Add(Counter::OrdersSent);
  const Result<HttpResponse> response =
      co_await mNode.Http().Send(*endpoint, std::move(request), kOrderTimeout);
  if (response && response->mStatus == kOk) {
    co_return;
  }
  mNode.Meter().Add(Counter::OrdersRefused);
  SwapPlan& plan = mPlans[aEngine.mName];
  if (response && response->mStatus == kConflict) {
    Log(Part::Weight)
        .Info("Engine " + aEngine.mId + " has a newer controller.");
    plan.StaleFence(aEngine.mId, aOrder.mFence);
    mFences.erase(aEngine.mId);
    co_return;
  }
  plan.OrderFailed(aEngine.mId, mNode.Now());
}

}  // namespace rillwall
