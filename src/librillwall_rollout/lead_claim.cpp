#include "rillwall/lead_claim.h"

#include "rillwall/event_log.h"
#include "rillwall/json.h"

namespace rillwall {

namespace {

constexpr char kLeadKey[] = "rillwall/lead";
/// Life of the claim without a renewal: short, as a step without an owner
/// stands still; long enough to outlast two lost renewals.
constexpr Millis kClaimTtl{2400};
constexpr Millis kRenewEvery{700};
/// Orders stop so long before the lease can end: an order must have left and
/// arrived by then.
constexpr Millis kOrderMargin{500};
constexpr Millis kRetryPause{200};
constexpr Millis kWatchWait{25000};

std::string Encode(const LeadHolder& aHolder) {
  json::object object;
  object["name"] = aHolder.mName;
  object["address"] = aHolder.mAddress;
  object["run"] = aHolder.mRun;
  return json::serialize(object);
}

Result<LeadHolder> Decode(const std::string& aText) {
  const Result<json::object> object = ParseJsonObject(aText);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object, "lead");
  LeadHolder holder;
  holder.mName = reader.String("name");
  holder.mAddress = reader.String("address");
  holder.mRun = reader.String("run");
  if (reader.Failed()) {
    return reader.Failure();
  }
  return holder;
}

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
    co_await AwaitVacancy();
    if (!mNode.mStopping) {
      co_await TryClaim();
    }
  }
}

asio::awaitable<void> LeadClaim::TryClaim() {
  const Millis asked = mNode.Now();
  const Result<StoreLease> lease = co_await mNode.mStore.Grant(kClaimTtl);
  if (!lease) {
    co_await Sleep(mNode.mIo, kRetryPause);
    co_return;
  }
  const NodeIdentity& self = mNode.mIdentity;
  StoreChange change;
  change.mGuards.push_back({kLeadKey, 0});
  const LeadHolder holder{self.mName, self.mAddress, self.mRun};
  change.mPuts.push_back({kLeadKey, Encode(holder), lease->mId});
  const Result<StoreCommit> done = co_await mNode.mStore.Commit(change);
  if (!done || !done->mApplied) {
    // An uncertain claim ends with its lease, which nobody renews.
    co_return;
  }
  mLease = lease->mId;
  mFence = done->mRevision;
  mRenewedAt = asked;
  mOrdersFrom = mNode.Now() + mNode.mBounds.mLease;
  mKnown = holder;
  Event("claim-won").Text("claim", "lead").Number("fence", mFence).Write();
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

asio::awaitable<void> LeadClaim::AwaitVacancy() {
  while (!mNode.mStopping) {
    const Result<StoreList> list = co_await mNode.mStore.List(kLeadKey, {});
    if (!list) {
      co_await Sleep(mNode.mIo, kRetryPause);
      continue;
    }
    if (list->mItems.empty()) {
      co_return;
    }
    // From the store's revision, as the key's own may be out of its history.
    const bool vacant = co_await WatchClaim(list->mRevision);
    if (vacant) {
      co_return;
    }
  }
}

asio::awaitable<bool> LeadClaim::WatchClaim(int64_t aRevision) {
  while (!mNode.mStopping) {
    const Result<StoreEvents> seen =
        co_await mNode.mStore.Watch(kLeadKey, aRevision, kWatchWait);
    if (!seen || seen->mCompacted) {
      co_await Sleep(mNode.mIo, kRetryPause);
      co_return false;
    }
    if (!seen->mEvents.empty()) {
      co_return seen->mEvents.back().mDeleted;
    }
    aRevision = std::max(aRevision, seen->mRevision);
  }
  co_return false;
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
  const Result<LeadHolder> holder = Decode((*item)->mValue);
  if (!holder) {
    co_return holder.error();
  }
  mKnown = *holder;
  co_return mKnown;
}

}  // namespace rillwall
