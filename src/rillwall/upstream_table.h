/// \file
/// Immutable snapshot of all upstreams, which requests read without a lock.

#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/http.h"
#include "rillwall/upstream.h"

namespace rillwall {

/// Load of one upstream, shared by all threads and by successive snapshots.
struct UpstreamLoad {
  std::atomic<int64_t> mInFlight{0};   ///< calls of this node in flight
  std::atomic<int64_t> mFailures{0};   ///< consecutive failures
  std::atomic<int64_t> mOpenUntil{0};  ///< end of the open circuit, in ms
};

/// One upstream with its endpoint and shared load.
struct UpstreamEntry {
  Upstream mUpstream;
  Endpoint mEndpoint;
  bool mLeaving = false;  ///< according to any source
  std::shared_ptr<UpstreamLoad> mLoad;
};

/// All upstreams, sorted by id. Immutable.
class UpstreamTable {
 public:
  UpstreamTable() = default;
  explicit UpstreamTable(std::vector<UpstreamEntry> aEntries);
  const std::vector<UpstreamEntry>& Entries() const { return mEntries; }
  /// \return the upstream with this id, or nullptr
  const UpstreamEntry* Find(std::string_view aId) const;
  /// Chooses an upstream for a call of a plain service or scorer: the one with
  /// fewer calls in flight out of two random upstreams that accept calls. A tie
  /// goes to an upstream in the caller's zone.
  /// \param aName name of the service or scorer; empty: any
  /// \param aZone zone of the caller
  /// \param aRandom a new random number for each call
  /// \return nullptr if no upstream accepts calls
  const UpstreamEntry* Choose(UpstreamKind aKind, std::string_view aName,
                              std::string_view aZone, uint64_t aRandom,
                              Millis aNow) const;

 private:
  std::vector<UpstreamEntry> mEntries;
};

/// Counts one call as in flight at an upstream for the lifetime of the object,
/// and records its outcome.
class InFlightCall {
 public:
  explicit InFlightCall(std::shared_ptr<UpstreamLoad> aLoad);
  ~InFlightCall();
  InFlightCall(const InFlightCall&) = delete;
  InFlightCall& operator=(const InFlightCall&) = delete;
  /// Records the outcome of the call. A number of consecutive failures opens
  /// the circuit: for a time, no calls are sent to the upstream.
  /// \param aFailed whether the upstream failed
  void End(bool aFailed, Millis aNow);

 private:
  std::shared_ptr<UpstreamLoad> mLoad;
};

}  // namespace rillwall
