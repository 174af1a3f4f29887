/// \file
/// Keeps what hosts know of requests that end replicas in the store, and has
/// the lead tell it to all.
///
/// The host that sees a replica end writes that to the store itself, so that it
/// counts also if no host leads, or another one leads a moment later, and
/// outlives all hosts. The lead, and a helper in its place, watch these keys
/// and tell what is new with the next answers to questions for the view; a host
/// that nobody answers reads them beside the registry. So news takes as long as
/// that of a replica that leaves: within the bound for those, with the lead
/// lost too.
///
/// Calls to the store: one change for up to 32 records that a host made in some
/// ms, none in a calm state; one watch a second and a half, whatever H, R
/// and A.

#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "rillwall/backoff.h"
#include "rillwall/node_context.h"

namespace rillwall {

class CrashSync {
 public:
  /// \param aTellsOthers whether others ask this host for what the store says
  CrashSync(NodeContext& aNode, std::function<bool()> aTellsOthers);

  /// Writes what this host saw, until the process ends: also while it drains.
  asio::awaitable<void> Save();
  /// Follows the store while others ask this host.
  asio::awaitable<void> Follow();
  /// Reads the store once.
  /// \return its revision then
  asio::awaitable<Result<int64_t>> Read();
  /// This host may have to follow the store from now on, or the path to the
  /// store has changed, on which a watch may hang.
  void Wake() { mFollowWake.cancel(); }
  /// Removes what is too old from the store. For the lead.
  asio::awaitable<void> Sweep();

 private:
  /// Reads once, and watches from there. \return whether to go on at once
  asio::awaitable<bool> FollowOnce();

  NodeContext& mNode;
  const std::function<bool()> mTellsOthers;
  asio::steady_timer mSaveWake;    ///< cancelled when there is news here
  asio::steady_timer mFollowWake;  ///< cancelled by Wake()
  Jitter mJitter{0};               ///< seeded by the process's run
  bool mGathered = false;          ///< cleared records have waited for others
};

}  // namespace rillwall
