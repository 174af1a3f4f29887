/// \file
/// Read-copy-update: an immutable value that is read by many threads and
/// replaced rarely.
///
/// Each thread caches a handle to the newest snapshot with its own reference
/// count. As long as nothing new is published, a read compares the generation
/// number, which only writers modify, and copies the cached handle. It takes no
/// lock and writes to no cache line shared with other readers. The first read
/// of each thread after a publication takes the lock once.

#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace rillwall {

/// A cell holding an immutable snapshot. Thread-safe.
template <class T>
class RcuCell {
 public:
  /// A snapshot stays valid and unchanged while it is held, also across a
  /// suspension point of a coroutine and on another thread.
  using Snapshot = std::shared_ptr<const T>;

  /// \param aFirst the first snapshot, not null
  explicit RcuCell(Snapshot aFirst)
      : mState(std::make_shared<State>(std::move(aFirst))) {}
  RcuCell() : RcuCell(std::make_shared<const T>()) {}
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  /// \return the newest snapshot
  Snapshot Read() const {
    const uint64_t newest = mState->mGeneration.load(std::memory_order_acquire);
    for (const Cached& cached : Cache()) {
      if (cached.mId != mState->mId) {
        continue;
      }
      if (cached.mGeneration == newest) {
        return cached.mSnapshot;
      }
      break;
    }
    return Refresh();
  }

  /// Replaces the snapshot.
  /// \param aNext the new snapshot, not null
  void Publish(Snapshot aNext) {
    Snapshot last = std::move(aNext);
    const std::lock_guard lock(mState->mMutex);
    mState->mCurrent.swap(last);
    mState->mGeneration.fetch_add(1, std::memory_order_release);
  }

  /// Replaces the snapshot by one derived from the current one. Writers are
  /// serialized, so no update is lost.
  /// \param aChange called with the current value under the lock; returns the
  /// next snapshot, or null to keep the current one
  /// \return whether a snapshot was published
  template <class Change>
  bool Update(Change&& aChange) {
    Snapshot last;
    const std::lock_guard lock(mState->mMutex);
    Snapshot next = aChange(*mState->mCurrent);
    if (!next) {
      return false;
    }
    last = std::exchange(mState->mCurrent, std::move(next));
    mState->mGeneration.fetch_add(1, std::memory_order_release);
    return true;
  }

 private:
  struct State {
    explicit State(Snapshot aFirst) : mCurrent(std::move(aFirst)) {}

    const uint64_t mId = NextId();
    std::atomic<uint64_t> mGeneration{0};
    std::mutex mMutex;
    Snapshot mCurrent;
  };

  /// A thread's cached handle to the snapshot of one cell.
  struct Cached {
    uint64_t mId = 0;
    uint64_t mGeneration = 0;
    Snapshot mSnapshot;
    std::weak_ptr<const State> mCell;  ///< expires with the cell
  };

  /// Stores the newest snapshot in this thread's cache and drops entries of
  /// destroyed cells.
  Snapshot Refresh() const {
    Cached fresh;
    fresh.mId = mState->mId;
    fresh.mCell = mState;
    Snapshot current;
    {
      const std::lock_guard lock(mState->mMutex);
      current = mState->mCurrent;
      fresh.mGeneration = mState->mGeneration.load(std::memory_order_relaxed);
    }
    // The extra holder gives this thread's copies a separate reference count.
    auto holder = std::make_shared<const Snapshot>(std::move(current));
    fresh.mSnapshot = Snapshot(holder, holder->get());
    Snapshot result = fresh.mSnapshot;
    std::vector<Cached>& cache = Cache();
    std::erase_if(cache, [&](const Cached& aCached) {
      return aCached.mId == fresh.mId || aCached.mCell.expired();
    });
    cache.push_back(std::move(fresh));
    return result;
  }

  static uint64_t NextId() {
    static std::atomic<uint64_t> sNext{1};
    return sNext.fetch_add(1, std::memory_order_relaxed);
  }
  /// \return this thread's cached handles
  static std::vector<Cached>& Cache() {
    static thread_local std::vector<Cached> sCache;
    return sCache;
  }

  std::shared_ptr<State> mState;
};

}  // namespace rillwall
