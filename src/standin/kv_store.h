/// \file
/// The key-value stand-in's contents: keys, revisions, leases and history.
///
/// Pure: it is given the time and holds no socket. All operations of one
/// transaction take place at one revision, as in etcd.

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

/// Largest value taken, in bytes.
constexpr size_t kMaxValueBytes = 1000 * 1000;

struct StoredEntry {
  std::string mKey;
  std::string mValue;
  int64_t mCreateRevision = 0;
  int64_t mModRevision = 0;
  int64_t mVersion = 0;
  int64_t mLease = 0;
  bool operator==(const StoredEntry&) const = default;
};

/// Keys [mBegin, mEnd). An empty mEnd stands for mBegin alone, one zero byte
/// for all keys from mBegin on.
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
  KeyInterval mKeys;   ///< for Put only mBegin counts
  std::string mValue;  ///< for Put
  int64_t mLease = 0;  ///< for Put; 0: none
};

struct StoreOpResult {
  StoreOpKind mKind = StoreOpKind::Range;
  std::vector<StoredEntry> mEntries;  ///< for Range
  int64_t mDeleted = 0;               ///< for Delete
};

enum class CompareTarget { Version, Create, Mod, Value };
enum class CompareResult { Equal, Greater, Less, NotEqual };

struct StoreCompare {
  std::string mKey;
  CompareTarget mTarget = CompareTarget::Version;
  CompareResult mResult = CompareResult::Equal;
  int64_t mNumber = 0;
  std::string mValue;
};

struct StoreTxn {
  std::vector<StoreCompare> mCompare;
  std::vector<StoreOp> mSuccess;
  std::vector<StoreOp> mFailure;
};

struct StoreTxnResult {
  bool mSucceeded = false;
  std::vector<StoreOpResult> mResults;
};

/// One change in the history.
struct StoreEvent {
  bool mDeleted = false;
  StoredEntry mEntry;  ///< for a deletion only key and mod revision
};

class KvStore {
 public:
  /// \param aHistory how many changes are kept for watches
  explicit KvStore(size_t aHistory) : mHistoryLimit(aHistory) {}

  int64_t Revision() const { return mRevision; }
  /// \return the oldest revision from which a watch can still start
  int64_t CompactRevision() const { return mCompacted + 1; }

  /// \return the results in order; BadRequest or TooLarge and nothing is done
  Result<StoreTxnResult> Run(const StoreTxn& aTxn);
  /// Changes of a revision or later to these keys, oldest first.
  std::vector<StoreEvent> Since(int64_t aRevision,
                                const KeyInterval& aKeys) const;

  /// \param aId wanted; 0 lets the store choose
  /// \return the lease's id; Conflict if it exists
  Result<int64_t> Grant(int64_t aId, Millis aLife, Millis aNow);
  /// Ends a lease and deletes its keys.
  /// \return whether it existed
  bool Revoke(int64_t aId);
  /// \return the lease's whole life; 0 if it has lapsed
  Millis KeepAlive(int64_t aId, Millis aNow);
  /// Ends the leases whose time is over.
  /// \return whether any did
  bool Expire(Millis aNow);

 private:
  struct Lease {
    Millis mLife;
    Millis mEnd;
    std::set<std::string> mKeys;
  };
  bool Holds(const StoreCompare& aCompare) const;
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
