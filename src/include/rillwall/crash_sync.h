/// \file
/// Shares crash records (requests under which a replica process ended) among
/// hosts through the store.
///
/// The host that sees a replica end writes the record to the store itself. The
/// record therefore counts even if no host leads or the lead changes at that
/// moment, and it outlives all hosts. The lead, and a helper that acts for it,
/// watch these keys and pass new records on with their next answers to view
/// requests. A host that gets no such answers reads the records from the store
/// together with the registry. A record thus spreads as fast as the report that
/// a replica leaves, within the bound for that, even when the lead is lost.
///
/// Store calls: one change for up to 32 records that a host made within a few
/// ms, none while nothing crashes, and one watch every 1.5 s, whatever the
/// number of hosts, replicas or accounts.

#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "rillwall/backoff.h"
#include "rillwall/node_context.h"

namespace rillwall {

/// Writes this host's crash records to the store, and follows those of other
/// hosts while this host answers view requests.
class CrashSync {
 public:
  /// \param aServesOthers returns whether other hosts ask this host for what
  /// the store holds
  CrashSync(NodeContext& aNode, std::function<bool()> aServesOthers);

  /// Writes this host's records to the store. Runs until the process ends, also
  /// while the node drains.
  asio::awaitable<void> Save();
  /// Watches the records in the store while other hosts ask this host.
  asio::awaitable<void> Follow();
  /// Reads all records from the store once.
  /// \return the store's revision at that read
  asio::awaitable<Result<int64_t>> Read();
  /// Ends the current wait or watch. To be called when this host may have to
  /// watch the store from now on, or when the path to the store has changed and
  /// a watch may hang on the old one.
  void Wake() { mFollowWake.cancel(); }
  /// Removes expired records from the store. To be called by the lead.
  asio::awaitable<void> Sweep();

 private:
  /// Reads all records and then watches for changes.
  /// \return false if the read or the watch failed, so that the caller must
  /// pause before the next one
  asio::awaitable<bool> WatchFromNewRead();

  NodeContext& mNode;
  const std::function<bool()> mServesOthers;
  asio::steady_timer mSaveWake;    ///< cancelled when this host has new records
  asio::steady_timer mFollowWake;  ///< cancelled by Wake()
  Jitter mJitter{0};  ///< seeded with the identity of this process start
  bool mClearedDelayed = false;  ///< records of cleared requests have waited
                                 ///< for others to join the change
};

}  // namespace rillwall
