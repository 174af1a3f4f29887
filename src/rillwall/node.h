/// \file
/// State shared by the parts of one node: clients, clock, snapshots and the
/// single-threaded control state.
///
/// Requests run on any thread of the io_context and read the snapshots
/// (Policies, Upstreams) without a lock. The control state (Members, Calls,
/// Lifecycle) may be used on the control strand only; OnControl() runs a
/// function there.

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

/// \return TLS settings for callers if a certificate is set. Callers need no
/// certificate.
std::optional<TlsSettings> CallerTls(const NodeSettings& aSettings);
/// \return TLS settings between nodes if certificate, key and authority are
/// set. Each side verifies the other's certificate.
std::optional<TlsSettings> FleetTls(const NodeSettings& aSettings);

using ControlStrand = asio::strand<asio::io_context::executor_type>;

/// Owns the shared state of one node.
class Node {
 public:
  /// \param aContext runs all work of the node; must outlive it
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

  /// May be called on any thread.
  /// \return the phase as last published by the control strand
  NodePhase Phase() const { return mPhase.load(std::memory_order_acquire); }
  /// \return whether the node accepts requests: while it is ready, and while it
  /// drains if it was ready before. A node that drains before its policies were
  /// ever confirmed must not act on an empty policy set.
  bool AcceptsWork() const {
    return mAcceptsWork.load(std::memory_order_acquire);
  }
  /// Publishes Lifecycle().Phase() for Phase() and AcceptsWork(). Call on the
  /// control strand only.
  void PublishPhase();

  /// Runs a function on the control strand and returns its result. The function
  /// must capture by reference, which is safe because the caller waits: g++ 12
  /// copies the bits of a closure inside a co_await expression and destroys it
  /// twice.
  template <class Function>
  asio::awaitable<std::invoke_result_t<Function>> OnControl(
      Function aFunction) {
    static_assert(std::is_trivially_copyable_v<Function>,
                  "capture by reference");
    co_return co_await asio::co_spawn(
        mControl, RunOnControl<Function>(std::move(aFunction)),
        asio::use_awaitable);
  }

  /// Starts a detached coroutine on the control strand.
  void SpawnControl(asio::awaitable<void> aRun);
  /// Starts a detached coroutine on a new strand of the io_context.
  void Spawn(asio::awaitable<void> aRun);
  /// Waits for aSpan.
  static asio::awaitable<void> Sleep(Millis aSpan);

  /// Sets the handler of peer calls. CallPeer() uses it too when the target is
  /// this node.
  void SetPeerHandler(PeerHandler aHandler) {
    mPeerHandler = std::move(aHandler);
  }
  /// Calls a member of the fleet. A call to this node itself goes to the peer
  /// handler without a socket.
  asio::awaitable<Result<wire::PeerReply>> CallPeer(std::string aId,
                                                    std::string aRpc,
                                                    wire::PeerRequest aRequest,
                                                    Millis aTimeout);

  /// Counts and logs a broken invariant, and aborts the process in builds with
  /// RILLWALL_FATAL_INVARIANTS.
  /// \param aWhat the invariant and the values that break it
  void ReportBrokenInvariant(const std::string& aWhat);

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
  std::atomic<bool> mAcceptsWork{false};
  PeerHandler mPeerHandler;
};

}  // namespace rillwall
