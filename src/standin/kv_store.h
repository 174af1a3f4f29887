/// \file
/// Data model of the key-value stand-in: keys, revisions, leases and history,
/// with the semantics of etcd.
///
/// The store does no I/O and reads no clock; callers pass the time. All
/// operations of one transaction take place at one revision.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/millis.h"

namespace rillwall::standin {

/// Maximum size of a value in bytes.
constexpr size_t kMaxValueBytes = 1000 * 1000;

/// A key with its value and revisions.
struct StoredEntry {
  std::string mKey;
  std::string mValue;
  int64_t mCreateRevision = 0;
  int64_t mModRevision = 0;
  int64_t mVersion = 0;
  int64_t mLease = 0;
  bool operator==(const StoredEntry&) const = default;
};

/// The keys [mBegin, mEnd). If mEnd is empty, mBegin only; if mEnd is a single
/// zero byte, all keys from mBegin on.
struct KeyInterval {
  std::string mBegin;
  std::string mEnd;
  bool Contains(const std::string& aKey) const;
  bool operator==(const KeyInterval&) const = default;
};

enum class StoreOpKind { Range, Put, Delete };

/// One operation of a transaction.
struct StoreOp {
  StoreOpKind mKind = StoreOpKind::Range;
  KeyInterval mKeys;   ///< for Put, only mBegin is used
  std::string mValue;  ///< for Put
  int64_t mLease = 0;  ///< for Put; 0: no lease
};

/// Result of one operation.
struct StoreOpResult {
  StoreOpKind mKind = StoreOpKind::Range;
  std::vector<StoredEntry> mEntries;  ///< for Range
  int64_t mDeleted = 0;               ///< for Delete: number of keys deleted
};

/// The property of a key that a comparison reads.
enum class CompareTarget { Version, Create, Mod, Value };
/// The relation that a comparison requires.
enum class CompareResult { Equal, Greater, Less, NotEqual };

/// A condition of a transaction.
struct StoreCompare {
  std::string mKey;
  CompareTarget mTarget = CompareTarget::Version;
  CompareResult mResult = CompareResult::Equal;
  int64_t mNumber = 0;
  std::string mValue;
};

/// A transaction: mSuccess runs if all conditions hold, else mFailure.
struct StoreTxn {
  std::vector<StoreCompare> mCompare;
  std::vector<StoreOp> mSuccess;
  std::vector<StoreOp> mFailure;
};

/// Result of a transaction, with one result per operation that ran.
struct StoreTxnResult {
  bool mSucceeded = false;
  std::vector<StoreOpResult> mResults;
};

/// A change in the history.
struct StoreEvent {
  bool mDeleted = false;
  StoredEntry mEntry;  ///< for a deletion, only key and mod revision
};

/// The key-value store. Single-threaded.
class KvStore {
 public:
  /// \param aHistory number of changes kept for watches
  explicit KvStore(size_t aHistory) : mHistoryLimit(aHistory) {}

  int64_t Revision() const { return mRevision; }
  /// \return the oldest revision from which a watch can start
  int64_t CompactRevision() const { return mCompacted + 1; }

  /// Runs a transaction.
  /// \return the results in order; or BadRequest, TooLarge or NotFound (of a
  /// lease), and the store is unchanged
  Result<StoreTxnResult> Run(const StoreTxn& aTxn);
  /// \return the changes to these keys at aRevision or later, oldest first
  std::vector<StoreEvent> Since(int64_t aRevision,
                                const KeyInterval& aKeys) const;

  /// Grants a lease.
  /// \param aId requested id; 0 lets the store choose one
  /// \param aTtl time to live after the grant and after each keep-alive
  /// \return the id of the lease; BadRequest if aTtl is not positive; Conflict
  /// if the id exists
  Result<int64_t> Grant(int64_t aId, Millis aTtl, Millis aNow);
  /// Revokes a lease and deletes its keys.
  /// \return whether it existed
  bool Revoke(int64_t aId);
  /// Renews a lease.
  /// \return its time to live; 0 if it has expired
  Millis KeepAlive(int64_t aId, Millis aNow);
  /// Revokes the expired leases.
  /// \return whether there were any
  bool Expire(Millis aNow);

 private:
  struct Lease {
    Millis mTtl;
    Millis mEnd;
    std::set<std::string> mKeys;
  };
  bool Matches(const StoreCompare& aCompare) const;
  Result<void> Check(const std::vector<StoreOp>& aOps) const;
  StoreOpResult Apply(const StoreOp& aOp, int64_t aRevision);
  std::vector<StoredEntry> Select(const KeyInterval& aKeys) const;
  void Put(const StoreOp& aOp, int64_t aRevision);
  int64_t Delete(const KeyInterval& aKeys, int64_t aRevision);
  void Detach(const StoredEntry& aEntry);
  void Record(StoreEvent aEvent);

  size_t mHistoryLimit;
  int64_t mRevision = 1;
  int64_t mCompacted = 0;
  int64_t mNextLease = 1;
  std::map<std::string, StoredEntry> mEntries;
  std::map<int64_t, Lease> mLeases;
  std::deque<StoreEvent> mHistory;
};

}  // namespace rillwall::standin
