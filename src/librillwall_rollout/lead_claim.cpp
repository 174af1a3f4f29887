#include "rillwall/lead_claim.h"

#include "rillwall/event_log.h"

namespace rillwall {

namespace {

constexpr char kLeadKey[] = "rillwall/lead";
/// Name of the host that held the claim last; stays when the claim lapses.
/// Listed together with the claim, as it begins with its key.
constexpr char kLastKey[] = "rillwall/lead-last";
/// Life of the claim without a renewal: short, as a step without an owner
/// stands still; long enough to outlast two lost renewals.
constexpr Millis kClaimTtl{2000};
constexpr Millis kRenewEvery{500};
/// Orders stop so long before the lease can end: an order must have left and
/// arrived by then.
constexpr Millis kOrderMargin{500};
constexpr Millis kRetryPause{200};
constexpr Millis kWatchWait{25000};

}  // namespace

LeadClaim::LeadClaim(NodeContext& aNode, std::function<void()> aOnWon)
    : mNode(aNode), mOnWon(std::move(aOnWon)) {}

bool LeadClaim::MayOrder() const {
  const Millis now = mNode.Now();
  return Held() && now >= mOrdersFrom &&
         now + kOrderMargin < mRenewedAt + kClaimTtl;
}

asio::awaitable<void> LeadClaim::Run() {
  while (!mNode.mStopping) {
    if (Held()) {
      co_await Sleep(mNode.mIo, kRenewEvery);
      co_await Renew();
      continue;
    }
    co_await AwaitAndClaim();
  }
}

asio::awaitable<void> LeadClaim::TryClaim(int64_t aGuard, bool aOwnBefore) {
  const Millis asked = mNode.Now();
  const Result<StoreLease> lease = co_await mNode.mStore.Grant(kClaimTtl);
  if (!lease) {
    co_await Sleep(mNode.mIo, kRetryPause);
    co_return;
  }
  const NodeIdentity& self = mNode.mIdentity;
  StoreChange change;
  change.mGuards.push_back({kLeadKey, aGuard});
  const LeadHolder holder{self.mName, self.mAddress, self.mRun};
  change.mPuts.push_back({kLeadKey, EncodeLead(holder), lease->mId});
  change.mPuts.push_back({kLastKey, self.mName, 0});
  const Result<StoreCommit> done = co_await mNode.mStore.Commit(change);
  if (!done || !done->mApplied) {
    // An uncertain claim ends with its lease, which nobody renews.
    co_return;
  }
  mLease = lease->mId;
  mFence = done->mRevision;
  mRenewedAt = asked;
  const Millis wait = aOwnBefore ? Millis(0) : mNode.mBounds.mLease;
  mOrdersFrom = mNode.Now() + wait;
  mKnown = holder;
  Event("claim-won")
      .Text("claim", "lead")
      .Number("fence", mFence)
      .Number("orders_in_ms", wait.Count())
      .Write();
  mNode.mMetrics.Count("claims_total");
  mOnWon();
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
  } else if (alive) {
    mRenewedAt = asked;
  } else if (mNode.Now() > mRenewedAt + kClaimTtl) {
    Lose("no renewal got through");
  }
}

asio::awaitable<void> LeadClaim::AwaitAndClaim() {
  const Result<StoreList> list = co_await mNode.mStore.List(kLeadKey, {});
  if (!list) {
    co_await Sleep(mNode.mIo, kRetryPause);
    co_return;
  }
  const NodeIdentity& self = mNode.mIdentity;
  const StoreItem* claim = nullptr;
  bool ownLast = false;
  for (const StoreItem& item : list->mItems) {
    if (item.mKey == kLeadKey) {
      claim = &item;
    } else if (item.mKey == kLastKey) {
      ownLast = item.mValue == self.mName;
    }
  }
  if (claim == nullptr) {
    mKnown.reset();
    co_await TryClaim(0, ownLast);
    co_return;
  }
  const Result<LeadHolder> holder = DecodeLead(claim->mValue);
  if (holder) {
    mKnown = *holder;
  }
  if (holder && holder->mName == self.mName && holder->mRun != self.mRun) {
    // This host's process before this one: it has ended, and gives no orders.
    co_await TryClaim(claim->mRevision, true);
    co_return;
  }
  // From the store's revision, as the key's own may be out of its history.
  co_await WatchClaim(list->mRevision);
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

asio::awaitable<Result<std::optional<LeadHolder>>> LeadClaim::Holder() {
  if (mKnown) {
    co_return mKnown;
  }
  const Result<std::optional<StoreItem>> item =
      co_await mNode.mStore.Get(kLeadKey);
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
