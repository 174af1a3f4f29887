/// \file
/// State shared by the parts of a serving node: its identity, its
/// configuration, the known replicas, and its clients.
///
/// A serving node runs on one thread, since its hosts have a quarter of a core;
/// therefore nothing here is locked. Code on other threads reads the routes
/// through their RcuCell.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "rillwall/crash_pacer.h"
#include "rillwall/crash_table.h"
#include "rillwall/hedge_plan.h"
#include "rillwall/http.h"
#include "rillwall/memory_budget.h"
#include "rillwall/millis.h"
#include "rillwall/open_requests.h"
#include "rillwall/rcu.h"
#include "rillwall/replica_pool.h"
#include "rillwall/route_table.h"
#include "rillwall/service_metrics.h"
#include "rillwall/store_port.h"
#include "rillwall/usage_meter.h"

namespace rillwall {

/// Names of the HTTP headers between clients, nodes and replicas. The adapter
/// of a platform fills them in.
struct HeaderNames {
  std::string mRequestId;  ///< identity of one client attempt
  std::string mTimeLeft;   ///< time that the sender still waits, in ms
  std::string
      mExpectReplica;   ///< only the replica with this id may run the request
  std::string mNotRun;  ///< in responses: the replica did not run the request
  std::string mSignature;  ///< in responses: the replica's signature
  std::string
      mWeightVersion;      ///< in responses and events: version of the weights
  std::string mLastEvent;  ///< resume a stream after this event
  std::string mPriority;   ///< priority of the request; 0 goes first
  std::string mReplicaLoad;  ///< in responses: "running,waiting,slots,..."
  std::string mAccount;      ///< the client account, as sent to upstreams
  std::string mReplicaId;  ///< in responses to health checks: the replica's id
};

/// The identity of this node.
struct NodeIdentity {
  std::string mName;
  std::string mZone;     ///< availability zone
  std::string mAddress;  ///< where other nodes reach this node, ip:port
  std::string mRun;      ///< identity of this process start; never reused
  /// Whether the host accepts client requests (an entry host). Other hosts are
  /// candidates for the lead.
  bool mTakesClients = false;
};

/// Time limits from the operator's settings, in milliseconds.
struct ServingBounds {
  bool operator==(const ServingBounds&) const = default;
  Millis mLease{3000};     ///< between the orders of two holders of a claim
  Millis mDrain{2000};     ///< until a leaving replica gets no new requests
  Millis mConfig{2000};    ///< until a configuration is in force on all hosts
  Millis mCancel{3000};    ///< until an ended step starts no more work
  Millis mGrace{8000};     ///< from the stop signal to the kill signal
  Millis mStatus{120000};  ///< how long results stay readable
  Millis mEvacuate;  ///< until an evacuated zone gets no new requests; 0: no
                     ///< zone is ever evacuated
};

class RequestGate;
/// Counts of the balancing by current load, for operators.
struct LoadCounts {
  uint64_t mProbesSent = 0;
  uint64_t mProbesAnswered = 0;
  uint64_t mProbesLate = 0;
  uint64_t mHedgesSent = 0;
  uint64_t mHedgesWon = 0;
};

/// Shared state of one serving node. Used on the node's thread only.
struct NodeContext {
  NodeContext(asio::io_context& aIo, StorePort& aStore)
      : mIo(aIo), mStore(aStore), mClient(aIo) {}

  asio::io_context& mIo;
  StorePort& mStore;
  HttpClient mClient;
  std::shared_ptr<const Clock> mClock = std::make_shared<SteadyClock>();
  NodeIdentity mIdentity;
  HeaderNames mHeaders;
  /// Path at which a replica reports its state without running a request; may
  /// be empty.
  std::string mReplicaReportPath;
  ServingBounds mBounds;
  RcuCell<RouteTable> mRoutes;
  Millis mConfigConfirmedAt;  ///< when mRoutes were last confirmed to be the
                              ///< newest
  /// What all servers of the process, and the steps here, are charged to.
  const std::shared_ptr<MemoryBudget> mMemory =
      std::make_shared<MemoryBudget>();
  ReplicaPool mReplicas;
  HedgePlan mHedges;
  LoadCounts mLoadCounts;
  ServiceMetrics mMetrics;
  UsageMeter mUsage;
  CrashTable mCrashes;
  CrashPacer mPacer;  ///< of owed requests under which replicas crashed
  /// Admission of calls; null until the first call that needs it.
  std::shared_ptr<RequestGate> mGate;
  /// Returns the time of day in ms since 1970. Usage is counted by it.
  std::function<int64_t()> mTimeOfDay = WallClockMs;
  bool mStopping = false;  ///< the stop signal has arrived
  /// Once the stop signal has arrived: when all responses must have been sent.
  std::optional<Millis> mRespondsUntil;
  OpenRequests mOpenRequests;  ///< ended at mRespondsUntil
  /// This node stops, and the load balancer sends it no new connections.
  bool mOutOfRotation = false;

  /// Returns how long the host has been suspended since it was started.
  std::function<Millis()> mSuspendedFor = SuspendedFor;

  /// \return the current instant of mClock
  Millis Now() const { return mClock->Now(); }
};

/// Records the load of a replica from the mReplicaLoad header of its response.
/// Does nothing if the header is missing or cannot be read.
void ObserveLoad(NodeContext& aNode, const std::string& aReplica,
                 const HttpResponse& aHead);

/// Path of a node's health check. Answers 200, or 503 if the store has not
/// answered the node for some time, as the node cannot own steps then.
inline constexpr char kHealthPath[] = "/node/health";
/// Sends a health check to another node.
/// \param aLimit longest wait for the response
/// \return the response's status, or nothing if none arrived in time
asio::awaitable<std::optional<int>> AskHealth(NodeContext& aNode,
                                              std::string aAddress,
                                              Millis aLimit);

/// Waits until a timer is cancelled, but no longer than aSpan.
asio::awaitable<void> WaitOnTimer(asio::steady_timer& aTimer, Millis aSpan);
/// Waits for aSpan. Ends early, without an error, if the coroutine is
/// cancelled.
asio::awaitable<void> Sleep(asio::io_context& aIo, Millis aSpan);
/// Starts a detached coroutine. Exceptions that leave it are logged.
/// \param aName names the coroutine in the log
void Launch(asio::io_context& aIo, std::string aName,
            asio::awaitable<void> aRun);
/// \return whether the running coroutine has been cancelled
asio::awaitable<bool> Cancelled();

}  // namespace rillwall
