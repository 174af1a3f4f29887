/// \file
/// What the parts of one node share: sockets, clocks, snapshots and the
/// single-threaded decisions.
///
/// Requests run on any thread of the io_context and read the snapshots
/// (Policies, Upstreams) without a lock. The decisions (Members, Calls) belong
/// to the control strand: use OnControl to reach them from elsewhere.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <string>
#include <type_traits>
#include <utility>

#include "metrics.h"
#include "rillwall/dispatcher.h"
#include "rillwall/http.h"
#include "rillwall/kv_port.h"
#include "rillwall/membership.h"
#include "rillwall/node_lifecycle.h"
#include "rillwall/peer.h"
#include "rillwall/policy.h"
#include "rillwall/rcu.h"
#include "rillwall/settings.h"
#include "upstream_table.h"

namespace rillwall {

/// \return TLS towards callers, if a certificate is set; they need none
std::optional<TlsSettings> CallerTls(const NodeSettings& aSettings);
/// \return TLS between nodes, if certificate, key and authority are set; each
/// side checks the other's certificate
std::optional<TlsSettings> FleetTls(const NodeSettings& aSettings);

using ControlStrand = asio::strand<asio::io_context::executor_type>;

class Node {
 public:
  /// \param aContext runs everything; outlives the node
  Node(asio::io_context& aContext, NodeSettings aSettings);
  ~Node();

  const NodeSettings& Settings() const { return mSettings; }
  asio::io_context& Context() { return mContext; }
  const ControlStrand& Control() const { return mControl; }
  Millis Now() const { return mClock.Now(); }
  HttpClient& Http() { return mHttp; }
  PeerClient& Peers() { return mPeers; }
  KvPort& Kv() { return *mKv; }
  Metrics& Meter() { return mMetrics; }
  RcuCell<PolicySet>& Policies() { return mPolicies; }
  RcuCell<UpstreamTable>& Upstreams() { return mUpstreams; }

  /// \name On the control strand only
  /// @{
  Membership& Members() { return mMembership; }
  Dispatcher& Calls() { return mDispatcher; }
  NodeLifecycle& Lifecycle() { return mLifecycle; }
  /// @}

  /// \return the phase as last seen by the control strand, from any thread
  NodePhase Phase() const { return mPhase.load(std::memory_order_acquire); }
  /// \return whether requests are taken: while ready, and while draining if it
  /// was ready before. A node that drains without ever having had its policies
  /// confirmed must not act on none.
  bool TakesWork() const { return mTakesWork.load(std::memory_order_acquire); }
  /// Publishes Life().Phase(); on the control strand.
  void PublishPhase();

  /// Runs a function on the control strand and returns its result. The caller
  /// waits, so the function captures by reference only: g++ 12 copies the bits
  /// of a closure inside a co_await expression and destroys it twice.
  template <class Function>
  asio::awaitable<std::invoke_result_t<Function>> OnControl(
      Function aFunction) {
    static_assert(std::is_trivially_copyable_v<Function>,
                  "capture by reference");
    co_return co_await asio::co_spawn(
        mControl, RunOnControl<Function>(std::move(aFunction)),
        asio::use_awaitable);
  }

  /// Starts a coroutine on the control strand that nobody waits for.
  void SpawnControl(asio::awaitable<void> aRun);
  /// Starts a coroutine on the io_context that nobody waits for.
  void Spawn(asio::awaitable<void> aRun);
  /// Waits; returns early with an error code only at shutdown.
  static asio::awaitable<void> Sleep(Millis aSpan);

  /// Who answers calls of peers; also used when a duty is this node's own.
  void SetPeerHandler(PeerHandler aHandler) {
    mPeerHandler = std::move(aHandler);
  }
  /// Calls a member; a call to this node itself takes no socket.
  asio::awaitable<Result<wire::PeerReply>> CallPeer(std::string aId,
                                                    std::string aRpc,
                                                    wire::PeerRequest aRequest,
                                                    Millis aTimeout);

  /// Counts, logs and, in test builds, ends the process.
  /// \param aWhat the invariant and the values that break it
  void BrokenInvariant(const std::string& aWhat);

 private:
  template <class Function>
  static asio::awaitable<std::invoke_result_t<Function>> RunOnControl(
      Function aFunction) {
    co_return aFunction();
  }

  asio::io_context& mContext;
  NodeSettings mSettings;
  ControlStrand mControl;
  SteadyClock mClock;
  HttpClient mHttp;
  PeerClient mPeers;
  std::unique_ptr<KvPort> mKv;
  Metrics mMetrics;
  RcuCell<PolicySet> mPolicies;
  RcuCell<UpstreamTable> mUpstreams;
  Membership mMembership;
  Dispatcher mDispatcher;
  NodeLifecycle mLifecycle;
  std::atomic<NodePhase> mPhase{NodePhase::Starting};
  std::atomic<bool> mTakesWork{false};
  PeerHandler mPeerHandler;
};

}  // namespace rillwall
