/// \file
/// The operator's routes, services and client accounts as one immutable
/// snapshot, and the choice of a route for a request.
///
/// Pure: no I/O and no clock. A new configuration makes a new RouteTable, which
/// readers take from an RcuCell.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/client_accounts.h"
#include "rillwall/millis.h"

namespace rillwall {

/// What may be done again for a request of a route.
enum class RequestKind {
  Idempotent,     ///< may run more than once
  NonIdempotent,  ///< runs at most once for each attempt of the client
  Streaming,      ///< a stream of events; repeated only if resumable
  Rollout,        ///< accepts rollout steps of a trainer
};

/// \return the kind's stable name, such as "idempotent"
const char* RequestKindName(RequestKind aKind);

/// One service of a route with its share of the requests.
struct RouteTarget {
  std::string mService;
  int64_t mWeight = 1;
  bool operator==(const RouteTarget&) const = default;
};

/// One route: which requests it takes, where they go, what is owed to them.
struct Route {
  std::string mName;
  std::string mHost;    ///< the Host header it belongs to
  std::string mPrefix;  ///< of the path; begins and ends with a slash
  RequestKind mKind = RequestKind::Idempotent;
  Millis mTimeout;        ///< longest wait for an answer; 0: none is set
  Millis mTargetLatency;  ///< latency objective of an answer
  Millis mDueIn;          ///< rollout steps: results are due this long after
  Millis mMaxWait;        ///< rollout steps: then an item may be given up
  int mAttempts = 1;      ///< replicas that one client attempt may reach
  int mPriority = 0;      ///< 0 is the highest
  bool mResumable = false;
  bool mSingleVersion = false;  ///< a text must come from one weight version
  bool mPublic = false;         ///< needs no key, if accounts are configured
  std::vector<RouteTarget> mTargets;
  /// Where its requests may be served; nothing: in any region.
  std::optional<std::vector<std::string>> mRegions;
  bool operator==(const Route&) const = default;
};

/// One service: how many connections a replica of it takes, and its engine.
struct ServiceSpec {
  std::string mName;
  int64_t mMaxConnections = 0;  ///< of a replica, from all callers; 0: unknown
  bool mEngine = false;         ///< its replicas generate text with a model
  std::vector<std::string> mModels;
  Millis mColdDuration;       ///< its replicas are cold so long after a start
  double mColdPerSecond = 0;  ///< requests that a cold one takes, of all hosts
  bool operator==(const ServiceSpec&) const = default;
};

/// What a client may send, and how long it may take.
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
  /// \param aVersion the operator's version; 0 means that none is known yet
  RouteTable(int64_t aVersion, std::vector<Route> aRoutes,
             std::vector<ServiceSpec> aServices, ClientLimits aLimits,
             AccountTable aAccounts = AccountTable());

  int64_t Version() const { return mVersion; }
  const ClientLimits& Limits() const { return mLimits; }
  const std::vector<Route>& Routes() const { return mRoutes; }
  const std::vector<ServiceSpec>& Services() const { return mServices; }
  const AccountTable& Accounts() const { return mAccounts; }

  /// \param aHost value of the Host header
  /// \param aPath path without a query
  /// \return the route of that host with the longest matching prefix, or null
  const Route* Find(std::string_view aHost, std::string_view aPath) const;
  /// \return the service of that name, or null
  const ServiceSpec* Service(std::string_view aName) const;
  bool operator==(const RouteTable&) const = default;

 private:
  int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<ServiceSpec> mServices;
  ClientLimits mLimits;
  AccountTable mAccounts;
};

/// Chooses the service of a request among a route's targets by weight.
/// \param aKey spreads requests; the same key gives the same service
/// \return null if no target has a weight
const std::string* PickService(const Route& aRoute, uint64_t aKey);

}  // namespace rillwall
