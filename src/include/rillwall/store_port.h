/// \file
/// Interface to the linearizable store for data that must survive the loss of
/// every host. Each platform has one implementation.
///
/// Calls are never retried. KvUnavailable means that nothing was changed.
/// KvUncertain means that a change may have been applied, or may still be
/// applied later if its guards hold then. The caller resolves this by sending
/// the same guarded change again.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/millis.h"

namespace rillwall {

namespace asio = boost::asio;

/// A key with its current value.
struct StoreItem {
  std::string mKey;
  std::string mValue;
  int64_t mRevision = 0;        ///< of the last change
  int64_t mCreateRevision = 0;  ///< of the creation
  int64_t mLease = 0;  ///< the key is removed with this lease; 0: no lease
  bool operator==(const StoreItem&) const = default;
};

/// One page of a listing.
struct StoreList {
  std::vector<StoreItem> mItems;
  int64_t mRevision = 0;  ///< of the whole store
  bool mMore = false;     ///< further keys follow after the last one
};

/// A condition of a change: the key's last change is at this revision; 0: the
/// key does not exist.
struct StoreGuard {
  std::string mKey;
  int64_t mRevision = 0;
  bool operator==(const StoreGuard&) const = default;
};

/// A value to write.
struct StorePut {
  std::string mKey;
  std::string mValue;
  int64_t mLease = 0;  ///< the key is removed with this lease; 0: no lease
  bool operator==(const StorePut&) const = default;
};

/// A transaction: all puts and removes are applied if all guards hold, else
/// none.
struct StoreChange {
  std::vector<StoreGuard> mGuards;
  std::vector<StorePut> mPuts;
  std::vector<std::string> mRemoves;
  bool operator==(const StoreChange&) const = default;
};

/// The result of committing a change.
struct StoreCommit {
  bool mApplied = false;
  bool mLeaseExpired = false;       ///< not applied because a lease has ended
  int64_t mRevision = 0;            ///< of the change, if applied
  std::vector<StoreItem> mCurrent;  ///< keys of the guards, if not applied

  /// \return the current item of a guard's key, or null if it does not exist
  const StoreItem* Find(const std::string& aKey) const;
};

/// One change reported by a watch.
struct StoreEvent {
  bool mDeleted = false;
  StoreItem mItem;
};

/// The result of one wait for changes.
struct StoreEvents {
  std::vector<StoreEvent> mEvents;
  int64_t mRevision = 0;  ///< the next wait continues after this revision
  /// The revisions asked for were compacted: all keys must be read again.
  bool mCompacted = false;
};

/// A lease granted by the store.
struct StoreLease {
  int64_t mId = 0;
  Millis mTtl;
};

/// Number of calls by kind, for metrics.
struct StoreCounts {
  uint64_t mReads = 0;
  uint64_t mWrites = 0;
  uint64_t mWatches = 0;
  uint64_t mRenewals = 0;
  uint64_t mErrors = 0;
  bool operator==(const StoreCounts&) const = default;
};

/// A linearizable store with revisions, transactions, leases and watches.
class StorePort {
 public:
  virtual ~StorePort() = default;
  /// Reads a key with linearizable consistency.
  /// \return the key, or nothing if it does not exist
  virtual asio::awaitable<Result<std::optional<StoreItem>>> Get(
      std::string aKey) = 0;
  /// Reads a key as it was at some time within the last seconds. Costs a
  /// fraction of Get().
  virtual asio::awaitable<Result<std::optional<StoreItem>>> GetStale(
      std::string aKey) = 0;
  /// Lists one page of the keys under a prefix, in order.
  /// \param aAfter the page starts after this key; empty: with the first key
  virtual asio::awaitable<Result<StoreList>> List(std::string aPrefix,
                                                  std::string aAfter) = 0;
  /// Waits once for changes under a prefix.
  /// \param aAfter changes after this revision are reported
  /// \param aWait longest time to wait
  virtual asio::awaitable<Result<StoreEvents>> Watch(std::string aPrefix,
                                                     int64_t aAfter,
                                                     Millis aWait) = 0;
  /// Applies a change if its guards hold.
  virtual asio::awaitable<Result<StoreCommit>> Commit(StoreChange aChange) = 0;
  /// Grants a lease.
  /// \param aTtl time to live without renewal
  virtual asio::awaitable<Result<StoreLease>> Grant(Millis aTtl) = 0;
  /// Extends a lease by its time to live.
  /// \return whether the lease was still alive
  virtual asio::awaitable<Result<bool>> Renew(int64_t aLease) = 0;
  /// Ends a lease and removes its keys.
  virtual asio::awaitable<std::optional<Error>> Release(int64_t aLease) = 0;
  /// \return the number of calls so far
  virtual StoreCounts Counts() const = 0;
};

/// Lists all keys under a prefix, page by page.
/// \return all keys, with the store's revision at the first page
asio::awaitable<Result<StoreList>> ListAll(StorePort& aStore,
                                           std::string aPrefix);

}  // namespace rillwall
