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
constexpr Millis kTick{100};
constexpr Millis kKvPause{1000};
// 600 engines drawn for within this time are 200 writes a second.
constexpr Millis kDrawSpread{3000};
constexpr Millis kDrawSettle{2000};
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

/// Everything here runs on the control strand.
struct WeightController::Impl {
  Node& mNode;
  GossipLoop& mGossip;
  UpstreamKeeper& mUpstreams;
  std::map<std::string, SwapPlan> mPlans;    ///< by model
  std::map<std::string, Millis> mLearnedAt;  ///< by fact key
  std::map<std::string, uint64_t> mFences;   ///< by engine of the duty
  std::set<std::string> mDrawing;            ///< engines whose fence is drawn
  std::set<std::string> mPersisting;         ///< models being written
  std::set<std::string> mDuties;             ///< engines of this controller
  std::vector<std::string> mEngineIds;       ///< that the duties were made for
  bool mMembersChanged = true;
  std::mt19937_64 mRandom{std::random_device()()};
  Millis mFencesConfirmedAt;
  bool mConfirming = false;

  asio::awaitable<void> TickLoop();
  asio::awaitable<void> RestoreLoop();
  asio::awaitable<void> Persist(std::string aModel);
  asio::awaitable<void> DrawFence(std::string aEngine);
  asio::awaitable<void> ConfirmFences();
  asio::awaitable<void> Send(SwapOrder aOrder, Upstream aEngine,
                             WeightVersion aVersion);
  void TickModel(const std::string& aModel,
                 const std::vector<Upstream>& aEngines);
  void ReviewDuties(const std::vector<Upstream>& aEngines);
  void DrawMissingFences();
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
                     "' was announced already; take a greater number.");
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

// The nodes hold the newest version among them; the key-value service keeps it
// for a time when all are restarted. Written until it has it or a newer one.
asio::awaitable<void> WeightController::Impl::Persist(std::string aModel) {
  if (!mPersisting.insert(aModel).second) {
    co_return;
  }
  while (true) {
    const std::optional<WeightVersion> newest = Newest(aModel);
    const Result<KvRange> range =
        co_await mNode.Kv().Range(kKvPrefix + aModel, false);
    if (!range) {
      co_await Node::Sleep(kKvPause);
      continue;
    }
    int64_t revision = 0;
    if (!range->mEntries.empty()) {
      const KvEntry& entry = range->mEntries.front();
      const std::optional<WeightVersion> kept = Decode(aModel, entry.mValue);
      revision = entry.mModRevision;
      if (kept && newest && kept->mVersion >= newest->mVersion) {
        break;
      }
    }
    const Result<KvSwap> swap = co_await mNode.Kv().CompareAndSwap(
        kKvPrefix + aModel, revision, Encode(*newest), 0);
    if (!swap) {
      co_await Node::Sleep(kKvPause);
    }
    // Read again: another node or a newer version may have come between.
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
        const std::optional<WeightVersion> kept = Decode(model, entry.mValue);
        if (kept) {
          mGossip.SetFact({kFactPrefix + model,
                           static_cast<uint64_t>(kept->mVersion),
                           entry.mValue});
        }
      }
      co_return;
    }
    co_await Node::Sleep(kKvPause);
  }
}

// Hashing all engines over all members is dear at size, so it is done when the
// members or the engines have changed and not at every tick.
void WeightController::Impl::ReviewDuties(
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

// A number is drawn when the duty comes, before any order needs it, and after a
// random pause, so that a start of the whole fleet or the end of an outage does
// not bring a burst of writes.
void WeightController::Impl::DrawMissingFences() {
  for (const std::string& engine : mDuties) {
    if (!mFences.contains(engine) && mDrawing.insert(engine).second) {
      mNode.SpawnControl(DrawFence(engine));
    }
  }
}

asio::awaitable<void> WeightController::Impl::TickLoop() {
  while (true) {
    std::map<std::string, std::vector<Upstream>> models;
    const std::vector<Upstream> all = mUpstreams.Engines();
    ReviewDuties(all);
    DrawMissingFences();
    for (const Upstream& engine : all) {
      models[engine.mName].push_back(engine);
    }
    for (const auto& [model, engines] : models) {
      TickModel(model, engines);
    }
    co_await Node::Sleep(kTick);
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
  if (plan.NeedsFenceCheck() && !mConfirming) {
    mConfirming = true;
    mNode.SpawnControl(ConfirmFences());
  }
}

// The store's revision after a write is a number that only grows, so that the
// later of two controllers always holds the greater one. A lost answer does no
// harm: the next write gives a greater number still.
asio::awaitable<void> WeightController::Impl::DrawFence(std::string aEngine) {
  const int64_t pause = static_cast<int64_t>(
      mRandom() % static_cast<uint64_t>(kDrawSpread.Count()));
  // A node that has just started sees few others and takes all duties for its
  // own; by the end of the pause it knows better.
  co_await Node::Sleep(kDrawSettle + Millis(pause));
  if (!mDuties.contains(aEngine)) {
    mDrawing.erase(aEngine);
    co_return;
  }
  const Result<int64_t> revision = co_await mNode.Kv().Put(
      kFencePrefix + aEngine, mNode.Settings().mNodeId, 0);
  if (revision && mDuties.contains(aEngine)) {
    mFences[aEngine] = static_cast<uint64_t>(*revision);
  }
  mDrawing.erase(aEngine);
}

// After a pause another node may have taken over; some engines would not tell.
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
    co_await Node::Sleep(kKvPause);
  }
  mConfirming = false;
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
