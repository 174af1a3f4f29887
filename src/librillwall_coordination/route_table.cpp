#include "rillwall/route_table.h"

#include <algorithm>

namespace rillwall {

const char* RequestKindName(RequestKind aKind) {
  switch (aKind) {
    case RequestKind::Idempotent:
      return "idempotent";
    case RequestKind::NonIdempotent:
      return "non-idempotent";
    case RequestKind::Streaming:
      return "streaming";
    case RequestKind::Rollout:
      return "rollout";
  }
  return "unknown";
}

RouteTable::RouteTable(int64_t aVersion, std::vector<Route> aRoutes,
                       std::vector<ServiceSpec> aServices, ClientLimits aLimits,
                       AccountTable aAccounts)
    : mVersion(aVersion),
      mRoutes(std::move(aRoutes)),
      mServices(std::move(aServices)),
      mLimits(aLimits),
      mAccounts(std::move(aAccounts)) {
  // The longest prefix comes first, so that the first match is the best one.
  std::stable_sort(mRoutes.begin(), mRoutes.end(),
                   [](const Route& aOne, const Route& aOther) {
                     if (aOne.mHost != aOther.mHost) {
                       return aOne.mHost < aOther.mHost;
                     }
                     return aOne.mPrefix.size() > aOther.mPrefix.size();
                   });
}

const Route* RouteTable::Find(std::string_view aHost,
                              std::string_view aPath) const {
  const auto first =
      std::lower_bound(mRoutes.begin(), mRoutes.end(), aHost,
                       [](const Route& aRoute, std::string_view aName) {
                         return aRoute.mHost < aName;
                       });
  for (auto at = first; at != mRoutes.end() && at->mHost == aHost; ++at) {
    if (aPath.starts_with(at->mPrefix)) {
      return &*at;
    }
  }
  return nullptr;
}

const ServiceSpec* RouteTable::Service(std::string_view aName) const {
  for (const ServiceSpec& service : mServices) {
    if (service.mName == aName) {
      return &service;
    }
  }
  return nullptr;
}

const std::string* PickService(const Route& aRoute, uint64_t aKey) {
  uint64_t total = 0;
  for (const RouteTarget& target : aRoute.mTargets) {
    total += static_cast<uint64_t>(std::max<int64_t>(target.mWeight, 0));
  }
  if (total == 0) {
    return nullptr;
  }
  uint64_t at = aKey % total;
  for (const RouteTarget& target : aRoute.mTargets) {
    const auto weight =
        static_cast<uint64_t>(std::max<int64_t>(target.mWeight, 0));
    if (at < weight) {
      return &target.mService;
    }
    at -= weight;
  }
  return nullptr;
}

bool HasRankedRollouts(const RouteTable& aRoutes, std::string_view aService) {
  const auto leadsTo = [aService](const Route& aRoute) {
    return aRoute.mKind == RequestKind::Rollout &&
           std::any_of(aRoute.mTargets.begin(), aRoute.mTargets.end(),
                       [aService](const RouteTarget& aTarget) {
                         return aTarget.mService == aService;
                       });
  };
  std::optional<int> first;
  for (const Route& route : aRoutes.Routes()) {
    if (leadsTo(route) && first.value_or(route.mPriority) != route.mPriority) {
      return true;
    }
    if (leadsTo(route)) {
      first = route.mPriority;
    }
  }
  return false;
}

}  // namespace rillwall
