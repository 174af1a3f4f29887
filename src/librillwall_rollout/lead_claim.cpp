#include "rillwall/lead_claim.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include "rillwall/event_log.h"

namespace rillwall {

namespace {

using asio::experimental::awaitable_operators::operator||;

constexpr char kLeadKey[] = "rillwall/lead";
/// Names the host that gave orders last. The key is written before a holder's
/// first order, and stays when the claim lapses. It begins with the claim's
/// key, so that both are listed together.
constexpr char kLastOrderingHostKey[] = "rillwall/lead-last";
/// Lifetime of the claim without a renewal: short, as a step without an owner
/// makes no progress; long enough to survive two lost renewals.
constexpr Millis kClaimTtl{2000};
constexpr Millis kRenewInterval{500};
/// Orders stop this long after the last renewal. The claim can change hands
/// right after a renewal, so a new holder waits for this time too.
constexpr Millis kOrderValidity{1000};
/// Covers an order that was under way when its holder had to stop. A call is
/// given up after 0.6 s; the rest is for a host that is slow between its check
/// of the claim and the call.
constexpr Millis kMaxOrderFlight{1000};
constexpr Millis kRetryPause{200};
/// Candidates that learn at once that the claim is free read it at random
/// instants within this time: each one that races for the claim costs a lease
/// and a change that fails.
constexpr Millis kClaimJitter{60};
constexpr Millis kFallbackPoll{500};
constexpr Millis kWatchWait{25000};
/// After this many probes in a row without an answer, other nodes are asked
/// whether they reach the holder. A live holder on a quarter of a core answers
/// within a few ms. The claim is not ended sooner, because a host that restarts
/// within a second continues at once, while a new holder may give no orders for
/// seconds.
constexpr Millis kProbeInterval{300};
constexpr Millis kProbeTimeout{300};
constexpr int kMaxProbeMisses = 2;
/// Pause before the store is asked again to end a lease.
constexpr Millis kReleasePause{700};
/// A holder whose lease was ended while it lived does not claim at once, so
/// that others go first: nodes did not reach it, and perhaps still do not.
constexpr Millis kYieldPeriod{5000};
constexpr Millis kYieldPause{1000};

}  // namespace

LeadClaim::LeadClaim(NodeContext& aNode, std::function<void()> aOnWon)
    : mNode(aNode), mOnWon(std::move(aOnWon)), mLastOrderUntil(aNode.Now()) {}

bool LeadClaim::MayOrder() const {
  const Millis now = mNode.Now();
  return Held() && mOrderingHostRecorded && now >= mMayOrderFrom &&
         now < mRenewedAt + kOrderValidity;
}

StoreGuard LeadClaim::Guard() const { return {kLeadKey, mFence}; }

asio::awaitable<void> LeadClaim::Run() {
  mJitter = Jitter(std::hash<std::string>()(mNode.mIdentity.mRun));
  while (!mNode.mStopping) {
    if (Held()) {
      co_await Hold();
    } else {
      co_await AwaitAndClaim();
    }
  }
}

asio::awaitable<void> LeadClaim::RunAsFallback(Millis aMaxTimeWithoutLead) {
  Millis lastLedAt = mNode.Now();
  while (!mNode.mStopping) {
    if (Held()) {
      co_await Hold();
      lastLedAt = mNode.Now();
      continue;
    }
    co_await Sleep(mNode.mIo, kFallbackPoll);
    if (mKnown) {
      lastLedAt = mNode.Now();
    }
    if (mNode.Now() - lastLedAt >= aMaxTimeWithoutLead) {
      co_await ClaimIfFree();
      lastLedAt = mNode.Now();
    }
  }
}

asio::awaitable<void> LeadClaim::Hold() {
  if (!mOrderingHostRecorded && mNode.Now() >= mMayOrderFrom) {
    co_await RecordOrderingHost();
  }
  co_await Sleep(mNode.mIo, HoldPause());
  co_await Renew();
}

Millis LeadClaim::HoldPause() const {
  if (mOrderingHostRecorded) {
    return kRenewInterval;
  }
  const Millis untilOrders = mMayOrderFrom - mNode.Now();
  return untilOrders > Millis(0) ? std::min(kRenewInterval, untilOrders)
                                 : kRetryPause;
}

asio::awaitable<void> LeadClaim::RecordOrderingHost() {
  StoreChange change;
  change.mGuards.push_back(Guard());
  change.mPuts.push_back({kLastOrderingHostKey, mNode.mIdentity.mName, 0});
  const Result<StoreCommit> done =
      co_await mNode.mStore.Commit(std::move(change));
  mOrderingHostRecorded = done && done->mApplied;
  Event("claim-orders")
      .Text("claim", "lead")
      .Number("fence", mFence)
      .Flag("marked", mOrderingHostRecorded)
      .Write();
}

asio::awaitable<void> LeadClaim::TryClaim(int64_t aGuard, bool aOrderedLast) {
  const Millis asked = mNode.Now();
  const Result<StoreLease> lease = co_await mNode.mStore.Grant(kClaimTtl);
  if (!lease) {
    co_await Sleep(mNode.mIo, kRetryPause);
    co_return;
  }
  const NodeIdentity& self = mNode.mIdentity;
  StoreChange change;
  change.mGuards.push_back({kLeadKey, aGuard});
  const LeadHolder holder{self.mName, self.mAddress, self.mRun, self.mZone};
  change.mPuts.push_back({kLeadKey, EncodeLead(holder), lease->mId});
  if (aOrderedLast) {
    change.mPuts.push_back({kLastOrderingHostKey, self.mName, 0});
  }
  const Result<StoreCommit> done = co_await mNode.mStore.Commit(change);
  if (!done || !done->mApplied) {
    // If the change was applied after all, the claim ends with its lease, which
    // nobody renews.
    co_return;
  }
  mLease = lease->mId;
  mFence = done->mRevision;
  mRenewedAt = asked;
  mOrderingHostRecorded = aOrderedLast;
  const Millis now = mNode.Now();
  const Millis wait = aOrderedLast ? Millis(0) : OrderDelay(now);
  mMayOrderFrom = now + wait;
  Know({self.mName, self.mAddress, self.mRun, self.mZone, mFence});
  Event("claim-won")
      .Text("claim", "lead")
      .Number("fence", mFence)
      .Number("orders_in_ms", wait.Count())
      .Write();
  mNode.mMetrics.Count("claims_total");
  mOnWon();
}

// Two cases must be prevented. First, an order of the previous holder reaches a
// replica after an order of this one. Second, this host orders, another host
// does, and this host does again, all within the lease time. A host that has
// not led recently waits for the first only: two seconds instead of four,
// during which no weights load and the trainers that wait for them make no
// progress.
Millis LeadClaim::OrderDelay(Millis aNow) const {
  const Millis forPredecessor = kOrderValidity + kMaxOrderFlight;
  const Millis forOwnOrders = mLastOrderUntil + mNode.mBounds.mLease - aNow;
  return std::max(forPredecessor, forOwnOrders);
}

asio::awaitable<void> LeadClaim::Renew() {
  const int64_t lease = mLease;
  if (lease == 0) {
    co_return;
  }
  const Millis asked = mNode.Now();
  const Result<bool> alive = co_await mNode.mStore.Renew(lease);
  if (mLease != lease) {
    co_return;
  }
  if (alive && !*alive) {
    DropClaim("the lease has ended");
    mLostAt = mNode.Now();
  } else if (alive) {
    mRenewedAt = asked;
  } else if (mNode.Now() > mRenewedAt + kClaimTtl) {
    DropClaim("no renewal succeeded within the lease time");
  }
}

asio::awaitable<std::optional<LeadClaim::ClaimState>> LeadClaim::ClaimIfFree() {
  const Result<StoreList> list = co_await mNode.mStore.List(kLeadKey, {});
  if (!list) {
    co_await Sleep(mNode.mIo, kRetryPause);
    co_return std::nullopt;
  }
  const NodeIdentity& self = mNode.mIdentity;
  const StoreItem* claim = nullptr;
  // If kLastOrderingHostKey is missing, nobody has ever given orders.
  bool orderedLast = true;
  for (const StoreItem& item : list->mItems) {
    if (item.mKey == kLeadKey) {
      claim = &item;
    } else if (item.mKey == kLastOrderingHostKey) {
      orderedLast = item.mValue == self.mName;
    }
  }
  if (claim == nullptr) {
    mKnown.reset();
    if (mLostAt && mNode.Now() - *mLostAt < kYieldPeriod) {
      mLostAt.reset();
      co_await Sleep(mNode.mIo, kYieldPause);
      co_return std::nullopt;
    }
    co_await TryClaim(0, orderedLast);
    co_return std::nullopt;
  }
  Result<LeadHolder> holder = DecodeLead(claim->mValue);
  if (holder) {
    holder->mFence = claim->mRevision;
    Know(*holder);
  }
  if (holder && holder->mName == self.mName && holder->mRun != self.mRun) {
    // The claim of the previous process on this host, which has ended and gives
    // no orders.
    co_await TryClaim(claim->mRevision, orderedLast);
    co_return std::nullopt;
  }
  if (!holder) {
    Event("claim-unread")
        .Text("claim", "lead")
        .Number("revision", claim->mRevision)
        .Text("why", holder.error().Detail())
        .Write();
  }
  if (!holder && claim->mLease == 0) {
    // No holder wrote it, and it never lapses.
    co_await TryClaim(claim->mRevision, orderedLast);
    co_return std::nullopt;
  }
  // Watch from the store's revision, as the key's own may be compacted.
  co_return ClaimState{holder ? holder->mAddress : std::string(), claim->mLease,
                       list->mRevision};
}

asio::awaitable<void> LeadClaim::AwaitAndClaim() {
  co_await Sleep(mNode.mIo, mJitter.FullJitter(kClaimJitter));
  const std::optional<ClaimState> claimState = co_await ClaimIfFree();
  if (!claimState) {
    co_return;
  }
  if (claimState->mAddress.empty() || !mPeerProbe) {
    co_await WatchClaim(claimState->mRevision);
    co_return;
  }
  co_await (WatchClaim(claimState->mRevision) ||
            ProbeHolder(claimState->mAddress, claimState->mLease));
}

asio::awaitable<void> LeadClaim::ProbeHolder(std::string aAddress,
                                             int64_t aLease) {
  int misses = 0;
  while (true) {
    co_await Sleep(mNode.mIo, kProbeInterval);
    const bool cancelled = co_await Cancelled();
    if (cancelled || mNode.mStopping) {
      co_return;
    }
    const std::optional<int> status =
        co_await AskHealth(mNode, aAddress, kProbeTimeout);
    misses = status ? 0 : misses + 1;
    if (misses < kMaxProbeMisses) {
      continue;
    }
    const bool confirmed = co_await mPeerProbe(aAddress);
    if (!confirmed) {
      misses = 0;
      continue;
    }
    const std::optional<Error> failed = co_await mNode.mStore.Release(aLease);
    Event("claim-released")
        .Text("claim", "lead")
        .Text("holder", aAddress)
        .Number("lease", aLease)
        .Number("misses", misses)
        .Text("why", failed ? failed->Detail()
                            : "neither this node nor other nodes "
                              "reach the holder")
        .Write();
    if (!failed) {
      mUnreachableHolder = aAddress;
      co_return;
    }
    co_await Sleep(mNode.mIo, kReleasePause);
  }
}

asio::awaitable<void> LeadClaim::WatchClaim(int64_t aRevision) {
  while (!mNode.mStopping) {
    const Result<StoreEvents> seen =
        co_await mNode.mStore.Watch(kLeadKey, aRevision, kWatchWait);
    if (!seen || seen->mCompacted) {
      co_await Sleep(mNode.mIo, kRetryPause);
      co_return;
    }
    if (!seen->mEvents.empty()) {
      co_return;
    }
    aRevision = std::max(aRevision, seen->mRevision);
  }
}

void LeadClaim::DropClaim(const char* aWhy) {
  Event("claim-lost")
      .Text("claim", "lead")
      .Number("fence", mFence)
      .Text("why", aWhy)
      .Write();
  mLease = 0;
  mLastOrderUntil = mRenewedAt + kOrderValidity + kMaxOrderFlight;
  mKnown.reset();
}

asio::awaitable<void> LeadClaim::Resign() {
  const int64_t lease = mLease;
  if (lease == 0) {
    co_return;
  }
  DropClaim("the node stops");
  const std::optional<Error> failed = co_await mNode.mStore.Release(lease);
  if (failed) {
    // The lease lapses by itself; the successor only has to wait longer.
    Event("release-failed").Text("why", failed->Detail()).Write();
  }
}

void LeadClaim::Learn(const LeadHolder& aHolder) {
  const bool earlier = aHolder.mFence != 0 && aHolder.mFence < mNewestFence;
  if (!Held() && !earlier) {
    Know(aHolder);
  }
}

void LeadClaim::Know(LeadHolder aHolder) {
  mNewestFence = aHolder.mFence == 0 ? mNewestFence : aHolder.mFence;
  mKnown = std::move(aHolder);
}

asio::awaitable<Result<std::optional<LeadHolder>>> LeadClaim::Holder(
    bool aMayBeOld) {
  if (mKnown) {
    co_return mKnown;
  }
  Result<std::optional<StoreItem>> item = std::optional<StoreItem>();
  if (aMayBeOld) {
    item = co_await mNode.mStore.GetStale(kLeadKey);
  } else {
    item = co_await mNode.mStore.Get(kLeadKey);
  }
  if (!item) {
    co_return item.error();
  }
  if (!*item) {
    co_return std::optional<LeadHolder>();
  }
  Result<LeadHolder> holder = DecodeLead((*item)->mValue);
  if (!holder) {
    co_return holder.error();
  }
  holder->mFence = (*item)->mRevision;
  if (aMayBeOld) {
    Learn(*holder);
  } else {
    Know(*holder);
  }
  co_return mKnown;
}

}  // namespace rillwall
