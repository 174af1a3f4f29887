/// \file
/// Immutable snapshot of the operator's routes, services and client accounts,
/// and the selection of a route for a request.
///
/// Pure: no I/O and no clock. A new configuration creates a new RouteTable,
/// which readers take from an RcuCell.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/client_accounts.h"
#include "rillwall/millis.h"

namespace rillwall {

/// Kind of the requests of a route, which decides what may be retried.
enum class RequestKind {
  Idempotent,     ///< may run more than once
  NonIdempotent,  ///< runs at most once per client attempt
  Streaming,      ///< a stream of events; retried only if resumable
  Rollout,        ///< accepts rollout steps of a trainer
};

/// \return stable name of the kind, such as "idempotent"
const char* RequestKindName(RequestKind aKind);

/// One service of a route and its weight.
struct RouteTarget {
  std::string mService;
  int64_t mWeight = 1;
  bool operator==(const RouteTarget&) const = default;
};

/// One route: the requests it matches, their target services and their limits.
struct Route {
  std::string mName;
  std::string mHost;    ///< value of the Host header to match
  std::string mPrefix;  ///< path prefix to match; begins and ends with a slash
  RequestKind mKind = RequestKind::Idempotent;
  Millis mTimeout;        ///< longest wait for a response; 0: no limit
  Millis mTargetLatency;  ///< latency objective of a response
  Millis mDueIn;          ///< rollout steps: time until results are due
  Millis mMaxWait;  ///< rollout steps: time after which an item may be given up
  int mAttempts = 1;  ///< replicas that one client attempt may reach
  int mPriority = 0;  ///< 0 is the highest
  bool mResumable = false;
  /// A text must come from a single weight version.
  bool mSingleVersion = false;
  bool mPublic = false;  ///< needs no key even if accounts are configured
  std::vector<RouteTarget> mTargets;
  /// Regions in which its requests may be served; unset: any region.
  std::optional<std::vector<std::string>> mRegions;
  bool operator==(const Route&) const = default;
};

/// How many replicas of a service may be ordered, and what they cost.
struct ScalingSpec {
  int64_t mMin = 0;  ///< least replicas in each availability zone
  int64_t mMax = 0;  ///< most replicas in each zone, of both kinds together
  Millis mBoot;      ///< from an order until a new replica serves
  /// Price of a revocable replica as a fraction of its zone's price.
  double mSpotPrice = 1;
  /// Price of one second of an ordinary replica, by availability zone.
  std::map<std::string, double> mZonePrices;
  bool operator==(const ScalingSpec&) const = default;
};

/// One service, the limits of its replicas and the models that they serve.
struct ServiceSpec {
  std::string mName;
  int64_t mMaxConnections = 0;  ///< per replica, from all callers; 0: unknown
  bool mEngine = false;         ///< its replicas generate text with a model
  std::vector<std::string> mModels;
  Millis mColdDuration;  ///< time after its start that a replica is cold
  /// Requests that a cold replica accepts from all hosts.
  double mColdPerSecond = 0;
  std::string mHealthPath;  ///< of its replicas' health checks; may be empty
  std::optional<ScalingSpec> mScaling;  ///< set if replicas may be ordered
  /// Why the configured scaling can't be used; empty if it can, or there is
  /// none.
  std::string mScalingFault;
  bool operator==(const ServiceSpec&) const = default;
};

/// Limits on the requests of clients.
struct ClientLimits {
  int64_t mMaxHeaderBytes = 0;
  int64_t mMaxBodyBytes = 0;
  Millis mHeaderTimeout;
  Millis mIdleTimeout;
  bool operator==(const ClientLimits&) const = default;
};

/// The configuration in force.
class RouteTable {
 public:
  RouteTable() = default;
  /// \param aVersion configuration version of the operator; 0 if none is known
  /// yet
  RouteTable(int64_t aVersion, std::vector<Route> aRoutes,
             std::vector<ServiceSpec> aServices, ClientLimits aLimits,
             AccountTable aAccounts = AccountTable());

  int64_t Version() const { return mVersion; }
  const ClientLimits& Limits() const { return mLimits; }
  const std::vector<Route>& Routes() const { return mRoutes; }
  const std::vector<ServiceSpec>& Services() const { return mServices; }
  const AccountTable& Accounts() const { return mAccounts; }

  /// \param aHost value of the Host header
  /// \param aPath path without query
  /// \return the route of the host with the longest matching prefix, or null
  const Route* Find(std::string_view aHost, std::string_view aPath) const;
  /// \return the service with a name, or null
  const ServiceSpec* Service(std::string_view aName) const;
  bool operator==(const RouteTable&) const = default;

 private:
  int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<ServiceSpec> mServices;
  ClientLimits mLimits;
  AccountTable mAccounts;
};

/// Selects one of a route's services by weight.
/// \param aKey distributes requests; the same key selects the same service
/// \return null if no target has a positive weight
const std::string* PickService(const Route& aRoute, uint64_t aKey);

/// \return whether the rollout routes of a service differ in priority
bool HasRankedRollouts(const RouteTable& aRoutes, std::string_view aService);

}  // namespace rillwall
