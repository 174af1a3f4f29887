/// \file
/// Interface to the platform's key-value service. Another platform needs only
/// another implementation of this interface.
///
/// Calls are never retried. A write whose response was lost fails with
/// KvUncertain, and the writer must read the key back before it continues. Each
/// value contains a nonce by which its writer recognises it.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/millis.h"

namespace rillwall {

namespace asio = boost::asio;

/// A key with its value and the revisions of its creation and last change.
struct KvEntry {
  std::string mKey;
  std::string mValue;
  int64_t mCreateRevision = 0;
  int64_t mModRevision = 0;
  bool operator==(const KvEntry&) const = default;
};

/// The result of a read.
struct KvRange {
  std::vector<KvEntry> mEntries;
  int64_t mRevision = 0;  ///< of the store at the time of the read
};

/// The result of a compare-and-swap or compare-and-delete.
struct KvSwap {
  bool mApplied = false;
  int64_t mRevision = 0;          ///< of the store after the call
  std::vector<KvEntry> mCurrent;  ///< current entry of the key if not applied
};

/// One change reported by a watch.
struct KvEvent {
  bool mDeleted = false;
  KvEntry mEntry;
};

/// Number of calls by kind, for metrics and the capacity page.
struct KvCounts {
  uint64_t mReads = 0;
  uint64_t mWrites = 0;
  uint64_t mWatches = 0;
  uint64_t mErrors = 0;
  bool operator==(const KvCounts&) const = default;
};

/// A key-value store with revisions, leases and watches.
class KvPort {
 public:
  virtual ~KvPort() = default;
  /// Reads one key, or all keys that start with aKey if aPrefix is set.
  virtual asio::awaitable<Result<KvRange>> Range(std::string aKey,
                                                 bool aPrefix) = 0;
  /// Writes a key unconditionally.
  /// \param aLeaseSeconds lifetime of the key; 0: without limit
  /// \return the store's revision after the write
  virtual asio::awaitable<Result<int64_t>> Put(std::string aKey,
                                               std::string aValue,
                                               int64_t aLeaseSeconds) = 0;
  /// Writes a key if it was last changed at aModRevision.
  /// \param aModRevision 0: write only if the key does not exist
  /// \param aLeaseSeconds lifetime of the key; 0: without limit
  virtual asio::awaitable<Result<KvSwap>> CompareAndSwap(
      std::string aKey, int64_t aModRevision, std::string aValue,
      int64_t aLeaseSeconds) = 0;
  /// Deletes a key if it was last changed at aModRevision.
  virtual asio::awaitable<Result<KvSwap>> CompareAndDelete(
      std::string aKey, int64_t aModRevision) = 0;
  /// Watches the keys of a prefix until the stream ends or fails.
  /// \param aFromRevision the first revision to report
  /// \param aOnEvents called with the changes of each revision, in order
  /// \return the error that ended the watch
  virtual asio::awaitable<Error> Watch(
      std::string aPrefix, int64_t aFromRevision,
      std::function<void(const std::vector<KvEvent>&)> aOnEvents) = 0;
  /// \return the number of calls so far
  virtual KvCounts Counts() const = 0;
};

}  // namespace rillwall
