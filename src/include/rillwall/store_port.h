/// \file
/// The linearizable store that keeps what must outlive every host.
///
/// A port with one implementation for each platform. Calls never retry. An
/// error of kind KvUnavailable says that nothing was done; KvUncertain says
/// that a change may have been made, or may still be made later if its guards
/// hold then. Callers settle that by sending the same guarded change again.

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

/// A key as it stands.
struct StoreItem {
  std::string mKey;
  std::string mValue;
  int64_t mRevision = 0;        ///< of its last change
  int64_t mCreateRevision = 0;  ///< revision of its creation
  int64_t mLease = 0;           ///< it goes with this lease; 0: it has none
  bool operator==(const StoreItem&) const = default;
};

/// The answer to a list.
struct StoreList {
  std::vector<StoreItem> mItems;
  int64_t mRevision = 0;  ///< of the whole store
  bool mMore = false;     ///< goes on after the last key
};

/// A key that must still be at a revision; 0: that must not exist.
struct StoreGuard {
  std::string mKey;
  int64_t mRevision = 0;
  bool operator==(const StoreGuard&) const = default;
};

/// A value to write.
struct StorePut {
  std::string mKey;
  std::string mValue;
  int64_t mLease = 0;  ///< the key goes when this lease ends; 0: never
  bool operator==(const StorePut&) const = default;
};

/// An all-or-nothing change.
struct StoreChange {
  std::vector<StoreGuard> mGuards;
  std::vector<StorePut> mPuts;
  std::vector<std::string> mRemoves;
  bool operator==(const StoreChange&) const = default;
};

/// Whether a change was made.
struct StoreCommit {
  bool mApplied = false;
  bool mLeaseExpired = false;       ///< not applied, as a lease has ended
  int64_t mRevision = 0;            ///< of the change, if applied
  std::vector<StoreItem> mCurrent;  ///< the guards' keys, if not applied

  /// \return a guard's key as it stood, or null if it did not exist
  const StoreItem* Find(const std::string& aKey) const;
};

/// One change that a watch saw.
struct StoreEvent {
  bool mDeleted = false;
  StoreItem mItem;
};

/// The answer to one wait of a watch.
struct StoreEvents {
  std::vector<StoreEvent> mEvents;
  int64_t mRevision = 0;    ///< go on from here
  bool mCompacted = false;  ///< history is gone: read everything again
};

/// A lease as granted.
struct StoreLease {
  int64_t mId = 0;
  Millis mTtl;
};

/// Calls by kind, for metrics.
struct StoreCounts {
  uint64_t mReads = 0;
  uint64_t mWrites = 0;
  uint64_t mWatches = 0;
  uint64_t mRenewals = 0;
  uint64_t mErrors = 0;
  bool operator==(const StoreCounts&) const = default;
};

class StorePort {
 public:
  virtual ~StorePort() = default;
  /// \return the key as it stands, or nothing if it does not exist
  virtual asio::awaitable<Result<std::optional<StoreItem>>> Get(
      std::string aKey) = 0;
  /// The same for a fraction of the price: the key as it stood at some time
  /// within the last seconds.
  virtual asio::awaitable<Result<std::optional<StoreItem>>> GetStale(
      std::string aKey) = 0;
  /// \param aAfter list keys after this one; empty: from the start
  virtual asio::awaitable<Result<StoreList>> List(std::string aPrefix,
                                                  std::string aAfter) = 0;
  /// Waits once for changes under a prefix.
  /// \param aAfter the last revision that is known
  virtual asio::awaitable<Result<StoreEvents>> Watch(std::string aPrefix,
                                                     int64_t aAfter,
                                                     Millis aWait) = 0;
  virtual asio::awaitable<Result<StoreCommit>> Commit(StoreChange aChange) = 0;
  virtual asio::awaitable<Result<StoreLease>> Grant(Millis aTtl) = 0;
  /// \return whether the lease still lives
  virtual asio::awaitable<Result<bool>> Renew(int64_t aLease) = 0;
  /// Ends a lease and removes its keys.
  virtual asio::awaitable<std::optional<Error>> Release(int64_t aLease) = 0;
  virtual StoreCounts Counts() const = 0;
};

/// Lists all pages of a prefix.
asio::awaitable<Result<StoreList>> ListAll(StorePort& aStore,
                                           std::string aPrefix);

}  // namespace rillwall
