/// \file
/// The platform's key-value service as rillwall uses it.
///
/// One small interface, so that another platform is one more implementation.
/// Calls never retry. A write whose answer was lost ends as KvUncertain; the
/// writer must read back before it goes on. Each write carries what lets its
/// writer recognise it (a nonce in the value).

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

/// A key's value and the revisions of its making and of its last change.
struct KvEntry {
  std::string mKey;
  std::string mValue;
  int64_t mCreateRevision = 0;
  int64_t mModRevision = 0;
  bool operator==(const KvEntry&) const = default;
};

/// The answer to a read.
struct KvRange {
  std::vector<KvEntry> mEntries;
  int64_t mRevision = 0;  ///< of the whole store
};

/// The answer to a compare-and-swap.
struct KvSwap {
  bool mApplied = false;
  int64_t mRevision = 0;          ///< of the store after the call
  std::vector<KvEntry> mCurrent;  ///< what stands there if not applied
};

/// One change seen by a watch.
struct KvEvent {
  bool mDeleted = false;
  KvEntry mEntry;
};

/// Calls by kind, for metrics and the capacity page.
struct KvCounts {
  uint64_t mReads = 0;
  uint64_t mWrites = 0;
  uint64_t mWatches = 0;
  uint64_t mErrors = 0;
  bool operator==(const KvCounts&) const = default;
};

class KvPort {
 public:
  virtual ~KvPort() = default;
  /// Reads one key, or all keys that start with aKey if aPrefix.
  virtual asio::awaitable<Result<KvRange>> Range(std::string aKey,
                                                 bool aPrefix) = 0;
  /// Writes a key whatever it holds.
  /// \param aLeaseSeconds the key's life; 0 keeps it
  /// \return the store's revision after the write
  virtual asio::awaitable<Result<int64_t>> Put(std::string aKey,
                                               std::string aValue,
                                               int64_t aLeaseSeconds) = 0;
  /// Writes a key if its last change is still aModRevision (0: if absent).
  virtual asio::awaitable<Result<KvSwap>> CompareAndSwap(
      std::string aKey, int64_t aModRevision, std::string aValue,
      int64_t aLeaseSeconds) = 0;
  /// Removes a key if its last change is still aModRevision.
  virtual asio::awaitable<Result<KvSwap>> CompareAndDelete(
      std::string aKey, int64_t aModRevision) = 0;
  /// Waits for changes under a prefix and hands them on, until the stream
  /// ends or fails.
  /// \param aFromRevision the first revision wanted
  /// \return the error that ended it
  virtual asio::awaitable<Error> Watch(
      std::string aPrefix, int64_t aFromRevision,
      std::function<void(const std::vector<KvEvent>&)> aOnEvents) = 0;
  virtual KvCounts Counts() const = 0;
};

}  // namespace rillwall
