#include "node.h"

#include <chrono>
#include <cstdlib>

#include "rillwall/kv_client.h"
#include "rillwall/log.h"
#include "tasks.h"

namespace rillwall {

namespace {

constexpr Millis kPolicyConfirmationLifetime{10000};
constexpr Millis kKvTimeout{2000};

// A restarted node needs a higher incarnation than before. The wall clock is
// accurate enough: if it yields a number that is too low, the node learns of
// the higher one by gossip and raises its own.
uint64_t FirstIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

Member MakeSelf(const NodeSettings& aSettings) {
  Member self;
  self.mId = aSettings.mNodeId;
  self.mZone = aSettings.mZone;
  self.mGossip = aSettings.AdvertisedGossip().Text();
  self.mRpc = aSettings.AdvertisedRpc().Text();
  self.mHttp = aSettings.AdvertisedHttp().Text();
  self.mIncarnation = FirstIncarnation();
  return self;
}

std::vector<std::string> SeedTexts(const NodeSettings& aSettings) {
  std::vector<std::string> seeds;
  for (const Endpoint& seed : aSettings.mSeeds) {
    seeds.push_back(seed.Text());
  }
  return seeds;
}

KvSettings MakeKvSettings(const NodeSettings& aSettings) {
  KvSettings settings;
  settings.mEndpoints = aSettings.mKv;
  settings.mTimeout = kKvTimeout;
  return settings;
}

uint64_t SeedOf(const NodeSettings& aSettings) {
  return std::hash<std::string>()(aSettings.mNodeId) ^ FirstIncarnation();
}

}  // namespace

std::optional<TlsSettings> CallerTls(const NodeSettings& aSettings) {
  if (aSettings.mTlsCertFile.empty()) {
    return std::nullopt;
  }
  TlsSettings tls;
  tls.mCertificateFile = aSettings.mTlsCertFile;
  tls.mKeyFile = aSettings.mTlsKeyFile;
  return tls;
}

std::optional<TlsSettings> FleetTls(const NodeSettings& aSettings) {
  std::optional<TlsSettings> tls = CallerTls(aSettings);
  if (!tls || aSettings.mTlsCaFile.empty()) {
    return std::nullopt;
  }
  tls->mAuthorityFile = aSettings.mTlsCaFile;
  return tls;
}

Node::Node(asio::io_context& aContext, NodeSettings aSettings)
    : mContext(aContext),
      mSettings(std::move(aSettings)),
      mControl(asio::make_strand(aContext)),
      mHttp(aContext),
      mPeers(aContext, FleetTls(mSettings)),
      mKv(std::make_unique<KvClient>(mHttp, MakeKvSettings(mSettings))),
      mMembership(MakeSelf(mSettings), SeedTexts(mSettings), GossipLimits(),
                  SeedOf(mSettings)),
      mDispatcher(mSettings.mZone, DispatcherLimits(), SeedOf(mSettings)),
      mLifecycle(kPolicyConfirmationLifetime) {
  mPolicies.Publish(std::make_shared<const PolicySet>());
  mUpstreams.Publish(std::make_shared<const UpstreamTable>());
}

Node::~Node() = default;

void Node::PublishPhase() {
  const NodePhase phase = mLifecycle.Phase();
  mPhase.store(phase, std::memory_order_release);
  if (phase != NodePhase::Draining) {
    mAcceptsWork.store(phase == NodePhase::Ready, std::memory_order_release);
  }
}

void Node::SpawnControl(asio::awaitable<void> aRun) {
  SpawnDetached(mControl, std::move(aRun));
}

void Node::Spawn(asio::awaitable<void> aRun) {
  SpawnDetached(asio::make_strand(mContext), std::move(aRun));
}

asio::awaitable<void> Node::Sleep(Millis aSpan) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(aSpan.Count()));
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<Result<wire::PeerReply>> Node::CallPeer(
    std::string aId, std::string aRpc, wire::PeerRequest aRequest,
    Millis aTimeout) {
  mMetrics.Add(Counter::PeerCalls);
  aRequest.set_from(mSettings.mNodeId);
  if (aId == mSettings.mNodeId) {
    co_return co_await mPeerHandler(std::move(aRequest));
  }
  co_return co_await mPeers.Call(std::move(aRpc), std::move(aRequest),
                                 aTimeout);
}

void Node::ReportBrokenInvariant(const std::string& aWhat) {
  mMetrics.Add(Counter::BrokenInvariants);
  Log(Part::Node).Error("Invariant broken: " + aWhat);
#ifdef RILLWALL_FATAL_INVARIANTS
  std::abort();
#endif
}

}  // namespace rillwall
