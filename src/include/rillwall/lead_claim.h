/// \file
/// The claim on the duty of leading: owning new rollout steps and giving orders
/// to replicas.
///
/// The claim is a key of the store under a lease. Its revision is the fencing
/// token of all orders under it. A node that cannot renew the lease stops
/// ordering before the lease can have ended; a new holder waits until no order
/// of its predecessor can still be under way, and for the whole lease time if
/// it has led itself lately. A host that was its own predecessor need not wait.
/// A holder that other nodes do not reach either has its lease ended by a
/// candidate, so that the claim does not stand idle until the lease lapses.

#pragma once

#include <functional>
#include <optional>
#include <string>

#include "rillwall/backoff.h"
#include "rillwall/node_context.h"
#include "rillwall/shared_view.h"

namespace rillwall {

class LeadClaim {
 public:
  /// \param aOnWon called after each claim that this node wins
  LeadClaim(NodeContext& aNode, std::function<void()> aOnWon);
  /// Asks other nodes whether they reach an address that this one does not.
  /// \return whether some answered, and none of them reaches it
  using PeerProbe = std::function<asio::awaitable<bool>(std::string aAddress)>;
  /// Without witnesses a claim is left until its lease lapses.
  void SetPeerProbe(PeerProbe aWitnesses) {
    mWitnesses = std::move(aWitnesses);
  }

  /// Claims and renews until the node stops. For candidates only.
  asio::awaitable<void> Run();
  /// The same for a host that leads only if no candidate does: all of them may
  /// be gone. Claims once nobody has been known to lead for some time.
  /// \param aPatience how long that is; not alike on all hosts
  asio::awaitable<void> RunAsFallback(Millis aPatience);
  /// Gives the claim up at once.
  asio::awaitable<void> Resign();

  bool Held() const { return mLease != 0; }
  /// \return whether an order may be sent now
  bool MayOrder() const;
  /// \return the fencing token of this claim, 0 if not held
  int64_t Fence() const { return Held() ? mFence : 0; }

  /// \return what a change of the store has to be guarded by, to be made only
  /// while this claim holds
  StoreGuard Guard() const;

  /// Reads who leads; remembers it until Forget().
  /// \param aMayBeOld who led some seconds ago will do, which is cheaper to ask
  asio::awaitable<Result<std::optional<LeadHolder>>> Holder(
      bool aMayBeOld = false);
  void Forget() { mKnown.reset(); }
  /// Another node told who leads. A holder of the claim knows better.
  void Learn(const LeadHolder& aHolder);
  /// \return the holder before this one if nobody reached it, else empty
  const std::string& UnreachableHolder() const { return mUnreached; }
  /// \return who leads as far as this node knows; may be out of date
  const std::optional<LeadHolder>& Known() const { return mKnown; }

 private:
  /// \param aGuard revision of the claim's key that is replaced; 0: none
  /// \param aNoOthers no other host can have given orders since this one did
  asio::awaitable<void> TryClaim(int64_t aGuard, bool aNoOthers);
  /// Writes down that this host gives orders from now on.
  asio::awaitable<void> MarkOrders();
  asio::awaitable<void> Renew();
  /// The claim of another host.
  struct Holding {
    std::string mAddress;  ///< empty if it can't be read
    int64_t mLease = 0;
    int64_t mRevision = 0;  ///< of the store when it was read
  };
  /// Claims if nobody holds the claim. \return who does, if that was read
  asio::awaitable<std::optional<Holding>> ClaimIfFree();
  /// Keeps the claim for some time.
  asio::awaitable<void> Hold();
  /// Claims if nobody holds the claim, else waits for a change of it.
  asio::awaitable<void> AwaitAndClaim();
  /// Waits until the claim is to be read again.
  asio::awaitable<void> WatchClaim(int64_t aRevision);
  /// Ends the holder's lease if neither this node nor others reach it.
  asio::awaitable<void> WatchHolder(std::string aAddress, int64_t aLease);
  void Lose(const char* aWhy);
  /// \return how long this host, which another one has ordered before, must not
  /// order yet
  Millis WaitForOthers(Millis aNow) const;

  NodeContext& mNode;
  const std::function<void()> mOnWon;
  PeerProbe mWitnesses;
  Jitter mJitter{0};  ///< seeded by the process's run
  int64_t mLease = 0;
  int64_t mFence = 0;
  Millis mRenewedAt;   ///< when the last renewal that succeeded was sent
  Millis mOrdersFrom;  ///< no order before
  /// No order of this host can have reached a replica since; the process before
  /// this one had ended when this one began.
  Millis mOrderedUntil;
  bool mMarked = false;  ///< the store names this host as the one that orders
  std::optional<Millis> mLostAt;  ///< when the lease was found ended
  std::optional<LeadHolder> mKnown;
  std::string mUnreached;  ///< address of the holder whose lease was ended here
};

}  // namespace rillwall
