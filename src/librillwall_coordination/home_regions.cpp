#include "rillwall/home_regions.h"

#include <algorithm>

namespace rillwall {

namespace {

bool Contains(const std::vector<std::string>& aAll, const std::string& aOne) {
  return std::find(aAll.begin(), aAll.end(), aOne) != aAll.end();
}

bool IsRegion(const RegionMap& aMap, const std::string& aName) {
  return std::any_of(aMap.begin(), aMap.end(), [&](const auto& aEntry) {
    return aEntry.second == aName;
  });
}

void AddUnknownRegions(const AllowedRegions& aRegions,
                       const std::string& aField, const RegionMap& aMap,
                       std::vector<ConfigWarning>& aWarnings) {
  if (!aRegions || aMap.empty()) {
    return;
  }
  for (const std::string& region : *aRegions) {
    if (!IsRegion(aMap, region)) {
      aWarnings.push_back({aField, "no availability zone belongs to region " +
                                       region +
                                       "; correct the name of the region"});
    }
  }
}

}  // namespace

AllowedRegions IntersectRegions(const AllowedRegions& aOne,
                                const AllowedRegions& aOther) {
  if (!aOne || !aOther) {
    return aOne ? aOne : aOther;
  }
  std::vector<std::string> common;
  for (const std::string& region : *aOne) {
    if (Contains(*aOther, region)) {
      common.push_back(region);
    }
  }
  return common;
}

AllowedRegions RegionsOf(const RouteTable& aTable, const Route& aRoute,
                         const std::string& aAccount) {
  const ClientAccount* account =
      aAccount.empty() ? nullptr : aTable.Accounts().FindByName(aAccount);
  return account == nullptr
             ? aRoute.mRegions
             : IntersectRegions(aRoute.mRegions, account->mRegions);
}

bool InRegions(const AllowedRegions& aRegions, const RegionMap& aMap,
               const std::string& aZone) {
  if (!aRegions) {
    return true;
  }
  const auto found = aMap.find(aZone);
  return found != aMap.end() && Contains(*aRegions, found->second);
}

std::vector<ConfigWarning> ConfigWarnings(const RouteTable& aTable,
                                          const RegionMap& aMap) {
  std::vector<ConfigWarning> warnings;
  for (const Route& route : aTable.Routes()) {
    const std::string field = "route " + route.mName + ": regions";
    AddUnknownRegions(route.mRegions, field, aMap, warnings);
    for (const ClientAccount& account : aTable.Accounts().Accounts()) {
      const AllowedRegions common =
          IntersectRegions(route.mRegions, account.mRegions);
      if (route.mRegions && account.mRegions && common->empty()) {
        warnings.push_back(
            {field, "none of them is allowed for account " + account.mName +
                        ", so its requests on this route are refused; "
                        "list a common region for both"});
      }
    }
  }
  for (const ClientAccount& account : aTable.Accounts().Accounts()) {
    AddUnknownRegions(account.mRegions,
                      "account " + account.mName + ": regions", aMap, warnings);
  }
  for (const ServiceSpec& service : aTable.Services()) {
    if (service.mColdDuration > Millis(0) && service.mColdPerSecond <= 0) {
      warnings.push_back(
          {"service " + service.mName + ": rate of cold replicas",
           "its replicas are cold after a start but no rate is set, so that "
           "each host sends them at most one request a second; set the rate"});
    }
  }
  return warnings;
}

}  // namespace rillwall
