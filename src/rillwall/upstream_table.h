/// \file
/// The snapshot of upstreams that requests read.

#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/http.h"
#include "rillwall/upstream.h"

namespace rillwall {

/// What all threads share about one upstream; kept from snapshot to snapshot.
struct UpstreamLoad {
  std::atomic<int64_t> mInFlight{0};
  std::atomic<int64_t> mFailures{0};   ///< in a row
  std::atomic<int64_t> mOpenUntil{0};  ///< circuit open until, milliseconds
};

/// One upstream with its endpoint and shared load.
struct UpstreamEntry {
  Upstream mUpstream;
  Endpoint mEndpoint;
  bool mLeaving = false;  ///< by any source
  std::shared_ptr<UpstreamLoad> mLoad;
};

/// All upstreams, ordered by id. Immutable.
class UpstreamTable {
 public:
  UpstreamTable() = default;
  explicit UpstreamTable(std::vector<UpstreamEntry> aEntries);
  const std::vector<UpstreamEntry>& Entries() const { return mEntries; }
  /// \return the upstream of this id, or nullptr
  const UpstreamEntry* Find(std::string_view aId) const;
  /// Chooses an upstream for a call of a plain service or scorer: of two
  /// random ones that take work, that with fewer calls in flight, the caller's
  /// zone first.
  /// \param aRandom any number, drawn anew for each call
  /// \return nullptr if none takes work
  const UpstreamEntry* Choose(UpstreamKind aKind, std::string_view aName,
                              std::string_view aZone, uint64_t aRandom,
                              Millis aNow) const;

 private:
  std::vector<UpstreamEntry> mEntries;
};

/// Holds one call in flight at an upstream and records how it ended.
class UpstreamUse {
 public:
  explicit UpstreamUse(std::shared_ptr<UpstreamLoad> aLoad);
  ~UpstreamUse();
  UpstreamUse(const UpstreamUse&) = delete;
  UpstreamUse& operator=(const UpstreamUse&) = delete;
  /// \param aFailed whether the upstream failed; some in a row open the circuit
  void End(bool aFailed, Millis aNow);

 private:
  std::shared_ptr<UpstreamLoad> mLoad;
};

}  // namespace rillwall
