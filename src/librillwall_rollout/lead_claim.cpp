#include "rillwall/lead_claim.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include "rillwall/event_log.h"

namespace rillwall {

namespace {

using asio::experimental::awaitable_operators::operator||;

constexpr char kLeadKey[] = "rillwall/lead";
/// Name of the host that gave orders last; stays when the claim lapses, and is
/// written before the first order. Listed together with the claim, as it begins
/// with its key.
constexpr char kLastKey[] = "rillwall/lead-last";
/// Life of the claim without a renewal: short, as a step without an owner
/// stands still; long enough to outlast two lost renewals.
constexpr Millis kClaimTtl{2000};
constexpr Millis kRenewEvery{500};
/// Orders stop so long after the last renewal. A claim can change hands right
/// after one, so a new holder waits for this too.
constexpr Millis kOrderReach{1000};
/// For an order that was under way when its holder had to stop: a call is given
/// up after 0.6 s; the rest is for a host that is slow between its look at the
/// claim and the call.
constexpr Millis kOrderFlight{1000};
constexpr Millis kRetryPause{200};
/// Candidates that learn at once that the claim is free look at it within this,
/// not all together: each one that races for it makes a lease and a change that
/// fails.
constexpr Millis kClaimSpread{60};
constexpr Millis kReserveLook{500};
constexpr Millis kWatchWait{25000};
/// A holder that does not answer so often in a row is asked for elsewhere. A
/// live one on a quarter of a core answers within some ms. Not sooner: a host
/// that restarts within a second goes on at once, while another one may give no
/// orders for seconds.
constexpr Millis kProbeEvery{300};
constexpr Millis kProbeLimit{300};
constexpr int kMisses = 2;
/// Before the store is asked again to end a lease.
constexpr Millis kReleasePause{700};
/// A holder whose lease was ended while it lived lets others go first: nodes
/// did not reach it, and perhaps still don't.
constexpr Millis kStandBack{5000};
constexpr Millis kStandBackPause{1000};

}  // namespace

LeadClaim::LeadClaim(NodeContext& aNode, std::function<void()> aOnWon)
    : mNode(aNode), mOnWon(std::move(aOnWon)), mOrderedUntil(aNode.Now()) {}

bool LeadClaim::MayOrder() const {
  const Millis now = mNode.Now();
  return Held() && mMarked && now >= mOrdersFrom &&
         now < mRenewedAt + kOrderReach;
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

asio::awaitable<void> LeadClaim::RunAsFallback(Millis aPatience) {
  Millis knownAt = mNode.Now();
  while (!mNode.mStopping) {
    if (Held()) {
      co_await Hold();
      knownAt = mNode.Now();
      continue;
    }
    co_await Sleep(mNode.mIo, kReserveLook);
    if (mKnown) {
      knownAt = mNode.Now();
    }
    if (mNode.Now() - knownAt >= aPatience) {
      co_await ClaimIfFree();
      knownAt = mNode.Now();
    }
  }
}

asio::awaitable<void> LeadClaim::Hold() {
  if (!mMarked && mNode.Now() >= mOrdersFrom) {
    co_await MarkOrders();
  }
  const Millis untilOrders = std::max(Millis(1), mOrdersFrom - mNode.Now());
  co_await Sleep(mNode.mIo,
                 mMarked ? kRenewEvery : std::min(kRenewEvery, untilOrders));
  co_await Renew();
}

asio::awaitable<void> LeadClaim::MarkOrders() {
  StoreChange change;
  change.mGuards.push_back(Guard());
  change.mPuts.push_back({kLastKey, mNode.mIdentity.mName, 0});
  const Result<StoreCommit> done =
      co_await mNode.mStore.Commit(std::move(change));
  mMarked = done && done->mApplied;
  Event("claim-orders")
      .Text("claim", "lead")
      .Number("fence", mFence)
      .Flag("marked", mMarked)
      .Write();
}

asio::awaitable<void> LeadClaim::TryClaim(int64_t aGuard, bool aNoOthers) {
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
  if (aNoOthers) {
    change.mPuts.push_back({kLastKey, self.mName, 0});
  }
  const Result<StoreCommit> done = co_await mNode.mStore.Commit(change);
  if (!done || !done->mApplied) {
    // An uncertain claim ends with its lease, which nobody renews.
    co_return;
  }
  mLease = lease->mId;
  mFence = done->mRevision;
  mRenewedAt = asked;
  mMarked = aNoOthers;
  const Millis now = mNode.Now();
  const Millis wait = aNoOthers ? Millis(0) : WaitForOthers(now);
  mOrdersFrom = now + wait;
  mKnown = holder;
  Event("claim-won")
      .Text("claim", "lead")
      .Number("fence", mFence)
      .Number("orders_in_ms", wait.Count())
      .Write();
  mNode.mMetrics.Count("claims_total");
  mOnWon();
}

// Two things must not happen: an order of the holder before reaches a replica
// after one of this holder, and this host orders, another one does, and this
// host does again within the lease time. A host that has not led lately waits
// for the first only: two seconds in place of four, in which no weights load
// and trainers that wait for them stand still.
Millis LeadClaim::WaitForOthers(Millis aNow) const {
  const Millis forThem = kOrderReach + kOrderFlight;
  const Millis sinceOurs = mOrderedUntil + mNode.mBounds.mLease - aNow;
  return std::max(forThem, sinceOurs);
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
    Lose("the lease has ended");
    mLostAt = mNode.Now();
  } else if (alive) {
    mRenewedAt = asked;
  } else if (mNode.Now() > mRenewedAt + kClaimTtl) {
    Lose("no renewal got through");
  }
}

asio::awaitable<std::optional<LeadClaim::Holding>> LeadClaim::ClaimIfFree() {
  const Result<StoreList> list = co_await mNode.mStore.List(kLeadKey, {});
  if (!list) {
    co_await Sleep(mNode.mIo, kRetryPause);
    co_return std::nullopt;
  }
  const NodeIdentity& self = mNode.mIdentity;
  const StoreItem* claim = nullptr;
  // Nobody has ever given orders if nobody is named.
  bool noOthers = true;
  for (const StoreItem& item : list->mItems) {
    if (item.mKey == kLeadKey) {
      claim = &item;
    } else if (item.mKey == kLastKey) {
      noOthers = item.mValue == self.mName;
    }
  }
  if (claim == nullptr) {
    mKnown.reset();
    if (mLostAt && mNode.Now() - *mLostAt < kStandBack) {
      mLostAt.reset();
      co_await Sleep(mNode.mIo, kStandBackPause);
      co_return std::nullopt;
    }
    co_await TryClaim(0, noOthers);
    co_return std::nullopt;
  }
  const Result<LeadHolder> holder = DecodeLead(claim->mValue);
  if (holder) {
    mKnown = *holder;
  }
  if (holder && holder->mName == self.mName && holder->mRun != self.mRun) {
    // This host's process before this one: it has ended, and gives no orders.
    co_await TryClaim(claim->mRevision, noOthers);
    co_return std::nullopt;
  }
  // From the store's revision, as the key's own may be out of its history.
  co_return Holding{holder ? holder->mAddress : std::string(), claim->mLease,
                    list->mRevision};
}

asio::awaitable<void> LeadClaim::AwaitAndClaim() {
  co_await Sleep(mNode.mIo, mJitter.FullJitter(kClaimSpread));
  const std::optional<Holding> holding = co_await ClaimIfFree();
  if (!holding) {
    co_return;
  }
  if (holding->mAddress.empty() || !mWitnesses) {
    co_await WatchClaim(holding->mRevision);
    co_return;
  }
  co_await (WatchClaim(holding->mRevision) ||
            WatchHolder(holding->mAddress, holding->mLease));
}

asio::awaitable<void> LeadClaim::WatchHolder(std::string aAddress,
                                             int64_t aLease) {
  int misses = 0;
  while (true) {
    co_await Sleep(mNode.mIo, kProbeEvery);
    const bool cancelled = co_await Cancelled();
    if (cancelled || mNode.mStopping) {
      co_return;
    }
    const std::optional<int> status =
        co_await AskHealth(mNode, aAddress, kProbeLimit);
    misses = status ? 0 : misses + 1;
    if (misses < kMisses) {
      continue;
    }
    const bool confirmed = co_await mWitnesses(aAddress);
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
                            : "neither this node nor others "
                              "reach its holder")
        .Write();
    if (!failed) {
      mUnreached = aAddress;
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

void LeadClaim::Lose(const char* aWhy) {
  Event("claim-lost")
      .Text("claim", "lead")
      .Number("fence", mFence)
      .Text("why", aWhy)
      .Write();
  mLease = 0;
  mOrderedUntil = mRenewedAt + kOrderReach + kOrderFlight;
  mKnown.reset();
}

asio::awaitable<void> LeadClaim::Resign() {
  const int64_t lease = mLease;
  if (lease == 0) {
    co_return;
  }
  Lose("the node stops");
  const std::optional<Error> failed = co_await mNode.mStore.Release(lease);
  if (failed) {
    // It ends by itself; only the successor has to wait longer.
    Event("release-failed").Text("why", failed->Detail()).Write();
  }
}

void LeadClaim::Learn(const LeadHolder& aHolder) {
  if (!Held()) {
    mKnown = aHolder;
  }
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
  const Result<LeadHolder> holder = DecodeLead((*item)->mValue);
  if (!holder) {
    co_return holder.error();
  }
  mKnown = *holder;
  co_return mKnown;
}

}  // namespace rillwall
