/// \file
/// Election of the lead: the node that owns new rollout steps and gives orders
/// to replicas.
///
/// The lead claim is a key in the store under a lease. The key's revision is
/// the fencing token of all orders under the claim. A holder that cannot renew
/// the lease stops giving orders before the lease can have ended. A new holder
/// waits until no order of its predecessor can still be under way. If it has
/// led recently itself, before that predecessor, it also waits until the whole
/// lease time has passed since its own orders. A host that gave the previous
/// orders itself need not wait.
///
/// If a candidate and other nodes all fail to reach the holder, the candidate
/// ends the holder's lease, so that the claim does not stay unused until the
/// lease lapses.

#pragma once

#include <functional>
#include <optional>
#include <string>

#include "rillwall/backoff.h"
#include "rillwall/node_context.h"
#include "rillwall/shared_view.h"

namespace rillwall {

/// This node's part in the election of the lead.
class LeadClaim {
 public:
  /// \param aOnWon called each time this node wins the claim
  LeadClaim(NodeContext& aNode, std::function<void()> aOnWon);
  /// Asks other nodes whether they reach an address that this node does not
  /// reach.
  /// \return whether at least one node answered and none of them reaches the
  /// address
  using PeerProbe = std::function<asio::awaitable<bool>(std::string aAddress)>;
  /// Sets the probe that confirms that a holder is unreachable. Without it, a
  /// claim is left until its lease lapses.
  void SetPeerProbe(PeerProbe aPeerProbe) {
    mPeerProbe = std::move(aPeerProbe);
  }

  /// Claims and renews until the node stops. For candidates only.
  asio::awaitable<void> Run();
  /// Runs as a fallback on a host that is no candidate: claims once no lead has
  /// been known for some time, as all candidates may be gone.
  /// \param aMaxTimeWithoutLead time without a known lead before this host
  /// claims; must differ between hosts
  asio::awaitable<void> RunAsFallback(Millis aMaxTimeWithoutLead);
  /// Gives up the claim at once.
  asio::awaitable<void> Resign();

  /// \return whether this node holds the claim
  bool Held() const { return mLease != 0; }
  /// \return whether this node may send an order now
  bool MayOrder() const;
  /// \return the fencing token of this claim, 0 if not held
  int64_t Fence() const { return Held() ? mFence : 0; }

  /// \return the guard that makes a store change apply only while this claim
  /// holds
  StoreGuard Guard() const;

  /// Reads who leads, and remembers it until Forget().
  /// \param aMayBeOld allow an answer that is some seconds out of date, which
  /// is cheaper for the store
  /// \return the holder, or nothing if nobody leads; or the store's error
  asio::awaitable<Result<std::optional<LeadHolder>>> Holder(
      bool aMayBeOld = false);
  /// Forgets the known lead, so that the next Holder() reads the store.
  void Forget() { mKnown.reset(); }
  /// Records the lead that another node named. Ignored while this node holds
  /// the claim itself, and if a later holder was known before.
  void Learn(const LeadHolder& aHolder);
  /// \return the address of the previous holder if this node ended its lease as
  /// unreachable, else empty
  const std::string& UnreachableHolder() const { return mUnreachableHolder; }
  /// \return the lead as far as this node knows; may be out of date
  const std::optional<LeadHolder>& Known() const { return mKnown; }

 private:
  /// \param aGuard revision of the claim's key that the claim replaces; 0 if
  /// there is no key
  /// \param aOrderedLast whether no other host can have given orders since this
  /// one did
  asio::awaitable<void> TryClaim(int64_t aGuard, bool aOrderedLast);
  /// Records in the store that this host gives orders from now on.
  asio::awaitable<void> RecordOrderingHost();
  asio::awaitable<void> Renew();
  /// The claim of another host, as read from the store.
  struct ClaimState {
    std::string mAddress;  ///< empty if the claim's value cannot be decoded
    int64_t mLease = 0;
    int64_t mRevision = 0;  ///< revision of the store at the read
  };
  /// Claims if nobody holds the claim.
  /// \return the claim of its holder, or nothing if there was none or the read
  /// failed
  asio::awaitable<std::optional<ClaimState>> ClaimIfFree();
  /// Waits for the renewal interval, then renews the claim.
  asio::awaitable<void> Hold();
  /// \return time until the claim is renewed, or its holder is marked as the
  /// ordering host, again
  Millis HoldPause() const;
  /// Claims if nobody holds the claim, else waits until it changes.
  asio::awaitable<void> AwaitAndClaim();
  /// Watches the claim's key. Returns when the claim must be read again.
  asio::awaitable<void> WatchClaim(int64_t aRevision);
  /// Probes the holder, and ends its lease if neither this node nor other nodes
  /// reach it.
  asio::awaitable<void> ProbeHolder(std::string aAddress, int64_t aLease);
  /// Records the holder that the store names.
  void Know(LeadHolder aHolder);
  /// Stops holding the claim, and logs the reason.
  void DropClaim(const char* aWhy);
  /// \return how long this host must wait before it gives orders, given that
  /// another host ordered last
  Millis OrderDelay(Millis aNow) const;

  NodeContext& mNode;
  const std::function<void()> mOnWon;
  PeerProbe mPeerProbe;
  Jitter mJitter{0};  ///< seeded with the identity of this process start
  int64_t mLease = 0;
  int64_t mFence = 0;
  Millis mRenewedAt;     ///< when the last successful renewal was sent
  Millis mMayOrderFrom;  ///< no order is sent before this instant
  /// No order of this host can reach a replica after this instant. Starts at
  /// the construction time, as the previous process on this host had ended by
  /// then.
  Millis mLastOrderUntil;
  /// The store names this host as the one that orders.
  bool mOrderingHostRecorded = false;
  /// When a renewal showed that the lease had ended.
  std::optional<Millis> mLostAt;
  std::optional<LeadHolder> mKnown;
  int64_t mNewestFence = 0;        ///< of the last holder that was known
  std::string mUnreachableHolder;  ///< address of the holder whose lease this
                                   ///< node ended
};

}  // namespace rillwall
