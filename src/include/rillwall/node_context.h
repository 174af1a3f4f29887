/// \file
/// What the parts of a serving node share: its identity, what it knows of the
/// configuration and the replicas, and its clients.
///
/// A serving node runs on one thread, since its hosts have a quarter of a core;
/// so nothing here is locked. Parts outside that thread read the routes through
/// their RcuCell.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "rillwall/crash_table.h"
#include "rillwall/http.h"
#include "rillwall/millis.h"
#include "rillwall/rcu.h"
#include "rillwall/replica_pool.h"
#include "rillwall/route_table.h"
#include "rillwall/service_metrics.h"
#include "rillwall/store_port.h"
#include "rillwall/usage_meter.h"

namespace rillwall {

/// Names of the headers between clients, nodes and replicas. The adapter of a
/// platform fills them in.
struct HeaderNames {
  std::string mRequestId;      ///< identity of one client attempt
  std::string mTimeLeft;       ///< ms that the sender still waits
  std::string mExpectReplica;  ///< only the replica of this id may run it
  std::string mNotRun;         ///< in answers: the replica did not run it
  std::string mSignature;      ///< in answers: the replica's signature
  std::string mWeightVersion;  ///< in answers and events: of the weights
  std::string mLastEvent;      ///< a stream goes on after this event
  std::string mPriority;       ///< 0 goes first
  std::string mReplicaLoad;    ///< in answers: "running,waiting,slots,..."
  std::string mAccount;        ///< the client account, as told to upstreams
};

/// Who this node is.
struct NodeIdentity {
  std::string mName;
  std::string mZone;     ///< availability zone
  std::string mAddress;  ///< where other nodes reach it, ip:port
  std::string mRun;      ///< of this start of the process; never used again
  bool mTakesClients = false;
};

/// Bounds that the operator's settings give, all in milliseconds.
struct ServingBounds {
  bool operator==(const ServingBounds&) const = default;
  Millis mLease{3000};     ///< between the orders of two holders of a claim
  Millis mDrain{2000};     ///< then a leaving replica gets nothing new
  Millis mConfig{2000};    ///< then a configuration is in force everywhere
  Millis mCancel{3000};    ///< then nothing new of a step that was ended runs
  Millis mGrace{8000};     ///< from the stop signal to the kill
  Millis mStatus{120000};  ///< results stay readable so long
  Millis mEvacuate;  ///< then an evacuated zone gets nothing new; 0: no zone is
                     ///< ever evacuated
};

struct NodeContext {
  NodeContext(asio::io_context& aIo, StorePort& aStore)
      : mIo(aIo), mStore(aStore), mClient(aIo) {}

  asio::io_context& mIo;
  StorePort& mStore;
  HttpClient mClient;
  std::shared_ptr<const Clock> mClock = std::make_shared<SteadyClock>();
  NodeIdentity mIdentity;
  HeaderNames mHeaders;
  ServingBounds mBounds;
  RcuCell<RouteTable> mRoutes;
  Millis
      mConfigConfirmedAt;  ///< when it was last known that they are the newest
  ReplicaPool mReplicas;
  ServiceMetrics mMetrics;
  UsageMeter mUsage;
  CrashTable mCrashes;
  /// Time of day in ms since 1970, by which usage is counted.
  std::function<int64_t()> mTimeOfDay = WallClockMs;
  bool mStopping = false;  ///< the stop signal has come

  /// How long the host has been suspended since it was started.
  std::function<Millis()> mSuspendedFor = SuspendedFor;

  Millis Now() const { return mClock->Now(); }
};

/// Takes in what an answer tells of its replica's load, if it tells any.
void ObserveLoad(NodeContext& aNode, const std::string& aReplica,
                 const HttpResponse& aHead);

/// Path under which a node says that it lives: 200, or 503 if it is no good as
/// an owner of steps, as the store has not answered it for some time.
inline constexpr char kHealthPath[] = "/node/health";
/// Asks a node for a sign of life.
/// \return the status of its answer, or nothing if it gives none in time
asio::awaitable<std::optional<int>> AskHealth(NodeContext& aNode,
                                              std::string aAddress,
                                              Millis aLimit);

/// Waits until a timer is cancelled, or so long.
asio::awaitable<void> WaitOnTimer(asio::steady_timer& aTimer, Millis aSpan);
/// Waits. Ends early, without an error, if the coroutine is cancelled.
asio::awaitable<void> Sleep(asio::io_context& aIo, Millis aSpan);
/// Starts a coroutine that nobody waits for; what it throws is logged.
void Launch(asio::io_context& aIo, std::string aName,
            asio::awaitable<void> aRun);
/// \return whether the running coroutine has been cancelled
asio::awaitable<bool> Cancelled();

}  // namespace rillwall
