/// \file
/// Bounds the memory that a process holds for its peers.
///
/// One budget is shared by all servers of a process. Whatever a peer makes the
/// process hold is charged while it is held: connections, heads, bodies,
/// decoded steps, and responses that the peer does not read. A large holder
/// without room waits its turn, and the one that receives too slowly is evicted
/// meanwhile.
///
/// Thread-safe. A lock is held for some list operations only, and ordinary
/// requests do not take it: their connection's charge covers them.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "rillwall/millis.h"

namespace rillwall {

/// What memory is charged for, which decides how much of the budget it may use.
enum class MemoryUse {
  Host,   ///< other hosts, readiness checks and metrics; has a part of its own
  Small,  ///< connections and ordinary requests; may use all but Host's part
  Large,  ///< larger heads, bodies and steps; leaves a part to Small
};

/// Charges above this size count as MemoryUse::Large.
inline constexpr size_t kMaxSmallCharge = 64 * 1024;

/// Counts of a budget since the process started, for metrics.
struct MemoryCounts {
  size_t mCapacity = 0;   ///< bytes
  size_t mCharged = 0;    ///< bytes held now
  size_t mPeak = 0;       ///< most bytes held at once
  uint64_t mWaits = 0;    ///< charges that had to wait
  uint64_t mRefused = 0;  ///< charges that got no room
  uint64_t mEvicted = 0;  ///< holders that were evicted to make room
};

/// The bytes that a process may hold for its peers.
class MemoryBudget {
 public:
  /// \param aCapacity in bytes; by default the budget is unlimited
  explicit MemoryBudget(size_t aCapacity = kUnlimited);

  static constexpr size_t kUnlimited = SIZE_MAX / 2;

  /// Changes the capacity. Charges over it stay until they are released.
  void SetCapacity(size_t aCapacity);
  /// \return the most bytes that may be charged for a use
  size_t LimitOf(MemoryUse aUse) const;

  /// Charges bytes if there is room.
  [[nodiscard]] bool TryCharge(size_t aBytes, MemoryUse aUse);
  /// Charges bytes even without room, for what is about to replace an evicted
  /// holder.
  void Charge(size_t aBytes, MemoryUse aUse);
  /// Returns bytes, and grants the charges that fit now.
  void Release(size_t aBytes, MemoryUse aUse);
  /// Counts a peer that was refused for lack of room.
  void CountRefusal();

  using Ticket = uint64_t;
  /// Waits for room. Smaller charges are granted first, and equal ones in the
  /// order of their arrival.
  /// \param aGranted called once, on any thread, when the bytes are charged
  /// \return the place in the queue, or nothing if too many wait already
  std::optional<Ticket> Wait(size_t aBytes, MemoryUse aUse,
                             std::function<void()> aGranted);
  /// Stops waiting.
  /// \return whether the bytes were not charged
  bool StopWaiting(Ticket aTicket);

  /// A holder that still receives what it is charged for.
  struct Receiver {
    size_t mBytes = 0;     ///< charged
    size_t mReceived = 0;  ///< bytes since mSince
    Millis mSince;         ///< when the charge was granted
    Millis mLastAt;        ///< when bytes were received last
    std::function<void()> mEvict;
  };
  using ReceiverPlace = std::list<Receiver>::iterator;
  ReceiverPlace AddReceiver(Receiver aReceiver);
  void Received(ReceiverPlace aPlace, size_t aBytes, Millis aNow);
  void RemoveReceiver(ReceiverPlace aPlace);
  /// Evicts the receiver that has held most for longest, of those that pause or
  /// receive slowly. To be called by waiting holders.
  /// \return whether there was one
  bool EvictSlowReceiver(Millis aNow);

  MemoryCounts Counts() const;

 private:
  struct Waiter {
    Ticket mTicket = 0;
    MemoryUse mUse = MemoryUse::Large;
    std::function<void()> mGranted;
  };
  size_t LimitLocked(MemoryUse aUse) const;
  bool FitsLocked(size_t aBytes, MemoryUse aUse) const;
  void ChargeLocked(size_t aBytes, MemoryUse aUse);

  mutable std::mutex mMutex;  ///< guards all members
  size_t mCapacity;
  size_t mCharged = 0;
  size_t mHost = 0;  ///< part of mCharged
  MemoryCounts mCounts;
  Ticket mNextTicket = 1;
  std::multimap<size_t, Waiter> mWaiters;  ///< by bytes
  std::list<Receiver> mReceivers;
};

/// A charge on a budget, returned when the object is destroyed.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  /// An empty charge.
  /// \param aUse of its bytes while they are at most kMaxSmallCharge
  MemoryCharge(std::shared_ptr<MemoryBudget> aBudget, MemoryUse aUse)
      : mBudget(std::move(aBudget)), mSmallUse(aUse), mUse(aUse) {}
  ~MemoryCharge() { Shrink(0); }
  MemoryCharge(MemoryCharge&& aOther) noexcept { *this = std::move(aOther); }
  MemoryCharge& operator=(MemoryCharge&& aOther) noexcept;
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  size_t Bytes() const { return mBytes; }
  /// \return the use that a charge of this size has
  MemoryUse UseOf(size_t aBytes) const {
    return aBytes > kMaxSmallCharge ? MemoryUse::Large : mSmallUse;
  }
  /// Grows to aBytes; does nothing if the charge is larger.
  /// \return whether there was room
  [[nodiscard]] bool TryGrow(size_t aBytes);
  /// Grows to aBytes even without room.
  void Grow(size_t aBytes);
  /// Takes over bytes that Wait() has charged, and returns those held before.
  void Adopt(size_t aBytes);
  /// Returns the bytes over aBytes.
  void Shrink(size_t aBytes);
  const std::shared_ptr<MemoryBudget>& Budget() const { return mBudget; }

 private:
  std::shared_ptr<MemoryBudget> mBudget;
  MemoryUse mSmallUse = MemoryUse::Small;
  MemoryUse mUse = MemoryUse::Small;  ///< of mBytes
  size_t mBytes = 0;
};

/// Makes the allocator return large blocks to the system as soon as they are
/// freed. To be called once, at the start of the process.
void LimitRetainedMemory();
/// Returns free memory between small blocks to the system.
void ReturnFreeMemory();

}  // namespace rillwall
