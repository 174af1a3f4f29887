#include "rillwall/memory_budget.h"

#include <malloc.h>

#include <algorithm>
#include <utility>

namespace rillwall {

namespace {

/// Host's own part, and the part that Large and Host leave to Small, are one in
/// so many of the budget.
constexpr size_t kHostPartDivisor = 10;
constexpr size_t kSmallPartDivisor = 16;
/// All hosts of a fleet connect to the lead, which may use this much for them
/// while others do not need it.
constexpr size_t kHostDivisor = 2;
/// Each waiter keeps its unread input in the kernel's buffers.
constexpr size_t kMaxWaiters = 32;
/// A receiver below this rate, in bytes per ms, yields to those that wait. The
/// slowest planned link carries a multiple of it.
constexpr int64_t kMinReceiveRate = 256;
/// Time in which a receiver is not judged by its rate, and its longest pause.
constexpr Millis kReceiveGrace{400};
/// Blocks from this size on are mapped by themselves and unmapped when freed.
/// Without a fixed size, the allocator raises it to 32 MB after the first large
/// block, and keeps later ones.
constexpr int kMapThreshold = 1024 * 1024;
constexpr int kTrimThreshold = 4 * 1024 * 1024;

}  // namespace

MemoryBudget::MemoryBudget(size_t aCapacity) : mCapacity(aCapacity) {}

void MemoryBudget::SetCapacity(size_t aCapacity) {
  const std::lock_guard lock(mMutex);
  mCapacity = aCapacity;
}

size_t MemoryBudget::LimitOf(MemoryUse aUse) const {
  const std::lock_guard lock(mMutex);
  return LimitLocked(aUse);
}

size_t MemoryBudget::LimitLocked(MemoryUse aUse) const {
  const size_t hostPart = mCapacity / kHostPartDivisor;
  switch (aUse) {
    case MemoryUse::Host:
      return mCapacity / kHostDivisor;
    case MemoryUse::Small:
      return mCapacity - hostPart;
    case MemoryUse::Large:
      return mCapacity - hostPart - mCapacity / kSmallPartDivisor;
  }
  return 0;
}

bool MemoryBudget::FitsLocked(size_t aBytes, MemoryUse aUse) const {
  const auto fits = [aBytes](size_t aHeld, size_t aLimit) {
    return aHeld <= aLimit && aBytes <= aLimit - aHeld;
  };
  const bool leavesSmallPart =
      fits(mCharged, mCapacity - mCapacity / kSmallPartDivisor);
  switch (aUse) {
    case MemoryUse::Host:
      return (fits(mHost, mCapacity / kHostPartDivisor) &&
              fits(mCharged, mCapacity)) ||
             (fits(mHost, LimitLocked(aUse)) && leavesSmallPart);
    case MemoryUse::Small:
      return fits(mCharged - mHost, LimitLocked(aUse)) &&
             fits(mCharged, mCapacity);
    case MemoryUse::Large:
      // Counts what Small has, too, or else both would end at one limit.
      return fits(mCharged - mHost, LimitLocked(aUse)) && leavesSmallPart;
  }
  return false;
}

void MemoryBudget::ChargeLocked(size_t aBytes, MemoryUse aUse) {
  mCharged += aBytes;
  mHost += aUse == MemoryUse::Host ? aBytes : 0;
  mCounts.mPeak = std::max(mCounts.mPeak, mCharged);
}

bool MemoryBudget::TryCharge(size_t aBytes, MemoryUse aUse) {
  const std::lock_guard lock(mMutex);
  const bool fits = FitsLocked(aBytes, aUse);
  if (fits) {
    ChargeLocked(aBytes, aUse);
  }
  return fits;
}

void MemoryBudget::Charge(size_t aBytes, MemoryUse aUse) {
  const std::lock_guard lock(mMutex);
  ChargeLocked(aBytes, aUse);
}

void MemoryBudget::Release(size_t aBytes, MemoryUse aUse) {
  std::list<std::function<void()>> granted;
  {
    const std::lock_guard lock(mMutex);
    mCharged -= aBytes;
    mHost -= aUse == MemoryUse::Host ? aBytes : 0;
    for (auto each = mWaiters.begin(); each != mWaiters.end();) {
      if (!FitsLocked(each->first, each->second.mUse)) {
        ++each;
        continue;
      }
      ChargeLocked(each->first, each->second.mUse);
      granted.push_back(std::move(each->second.mGranted));
      each = mWaiters.erase(each);
    }
  }
  for (const std::function<void()>& each : granted) {
    each();
  }
}

void MemoryBudget::CountRefusal() {
  const std::lock_guard lock(mMutex);
  ++mCounts.mRefused;
}

std::optional<MemoryBudget::Ticket> MemoryBudget::Wait(
    size_t aBytes, MemoryUse aUse, std::function<void()> aGranted) {
  std::unique_lock lock(mMutex);
  if (mWaiters.size() >= kMaxWaiters || aBytes > LimitLocked(aUse)) {
    return std::nullopt;
  }
  const Ticket ticket = mNextTicket++;
  if (FitsLocked(aBytes, aUse)) {
    // Another thread has made room since the caller tried.
    ChargeLocked(aBytes, aUse);
    lock.unlock();
    aGranted();
    return ticket;
  }
  ++mCounts.mWaits;
  mWaiters.emplace(aBytes, Waiter{ticket, aUse, std::move(aGranted)});
  return ticket;
}

bool MemoryBudget::StopWaiting(Ticket aTicket) {
  const std::lock_guard lock(mMutex);
  const auto found = std::find_if(
      mWaiters.begin(), mWaiters.end(),
      [&](const auto& aEntry) { return aEntry.second.mTicket == aTicket; });
  const bool waiting = found != mWaiters.end();
  if (waiting) {
    mWaiters.erase(found);
  }
  return waiting;
}

MemoryBudget::ReceiverPlace MemoryBudget::AddReceiver(Receiver aReceiver) {
  const std::lock_guard lock(mMutex);
  return mReceivers.insert(mReceivers.end(), std::move(aReceiver));
}

void MemoryBudget::Received(ReceiverPlace aPlace, size_t aBytes, Millis aNow) {
  const std::lock_guard lock(mMutex);
  aPlace->mReceived += aBytes;
  aPlace->mLastAt = aNow;
}

void MemoryBudget::RemoveReceiver(ReceiverPlace aPlace) {
  const std::lock_guard lock(mMutex);
  mReceivers.erase(aPlace);
}

bool MemoryBudget::EvictSlowReceiver(Millis aNow) {
  std::function<void()> evict;
  {
    const std::lock_guard lock(mMutex);
    double most = 0;
    auto chosen = mReceivers.end();
    for (auto each = mReceivers.begin(); each != mReceivers.end(); ++each) {
      const Millis age = aNow - each->mSince;
      const bool pauses = aNow - each->mLastAt >= kReceiveGrace;
      const bool slow = pauses || static_cast<int64_t>(each->mReceived) <
                                      age.Count() * kMinReceiveRate;
      const double held =
          static_cast<double>(each->mBytes) * static_cast<double>(age.Count());
      if (age >= kReceiveGrace && slow && each->mEvict && held > most) {
        most = held;
        chosen = each;
      }
    }
    if (chosen == mReceivers.end()) {
      return false;
    }
    evict = std::exchange(chosen->mEvict, nullptr);
    ++mCounts.mEvicted;
  }
  evict();
  return true;
}

MemoryCounts MemoryBudget::Counts() const {
  const std::lock_guard lock(mMutex);
  MemoryCounts counts = mCounts;
  counts.mCapacity = mCapacity;
  counts.mCharged = mCharged;
  return counts;
}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& aOther) noexcept {
  if (this != &aOther) {
    Shrink(0);
    mBudget = std::move(aOther.mBudget);
    mSmallUse = aOther.mSmallUse;
    mUse = aOther.mUse;
    mBytes = std::exchange(aOther.mBytes, 0);
  }
  return *this;
}

bool MemoryCharge::TryGrow(size_t aBytes) {
  if (!mBudget || aBytes <= mBytes) {
    return true;
  }
  const MemoryUse use = UseOf(aBytes);
  // A charge that becomes large moves to the other use as a whole.
  const size_t more = use == mUse ? aBytes - mBytes : aBytes;
  if (!mBudget->TryCharge(more, use)) {
    return false;
  }
  if (use != mUse) {
    mBudget->Release(mBytes, mUse);
  }
  mUse = use;
  mBytes = aBytes;
  return true;
}

void MemoryCharge::Grow(size_t aBytes) {
  if (!mBudget || aBytes <= mBytes) {
    return;
  }
  const MemoryUse use = UseOf(aBytes);
  mBudget->Charge(aBytes, use);
  Adopt(aBytes);
}

void MemoryCharge::Adopt(size_t aBytes) {
  if (mBudget && mBytes > 0) {
    mBudget->Release(mBytes, mUse);
  }
  mUse = UseOf(aBytes);
  mBytes = aBytes;
}

void MemoryCharge::Shrink(size_t aBytes) {
  if (mBudget && aBytes < mBytes) {
    mBudget->Release(mBytes - aBytes, mUse);
    mBytes = aBytes;
  }
}

void LimitRetainedMemory() {
  mallopt(M_MMAP_THRESHOLD, kMapThreshold);
  mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
}

void ReturnFreeMemory() { malloc_trim(0); }

}  // namespace rillwall
