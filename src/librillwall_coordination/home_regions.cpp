#include "rillwall/home_regions.h"

#include <algorithm>

namespace rillwall {

namespace {

bool Holds(const std::vector<std::string>& aAll, const std::string& aOne) {
  return std::find(aAll.begin(), aAll.end(), aOne) != aAll.end();
}

bool IsRegion(const RegionMap& aMap, const std::string& aName) {
  return std::any_of(aMap.begin(), aMap.end(), [&](const auto& aEntry) {
    return aEntry.second == aName;
  });
}

void AddUnknown(const AllowedRegions& aRegions, const std::string& aField,
                const RegionMap& aMap, std::vector<ConfigWarning>& aDoubts) {
  if (!aRegions || aMap.empty()) {
    return;
  }
  for (const std::string& region : *aRegions) {
    if (!IsRegion(aMap, region)) {
      aDoubts.push_back({aField, "no availability zone is in region " + region +
                                     "; correct its name"});
    }
  }
}

}  // namespace

AllowedRegions BothAllow(const AllowedRegions& aOne,
                         const AllowedRegions& aOther) {
  if (!aOne || !aOther) {
    return aOne ? aOne : aOther;
  }
  std::vector<std::string> both;
  for (const std::string& region : *aOne) {
    if (Holds(*aOther, region)) {
      both.push_back(region);
    }
  }
  return both;
}

AllowedRegions RegionsOf(const RouteTable& aTable, const Route& aRoute,
                         const std::string& aAccount) {
  const ClientAccount* account =
      aAccount.empty() ? nullptr : aTable.Accounts().FindByName(aAccount);
  return account == nullptr ? aRoute.mRegions
                            : BothAllow(aRoute.mRegions, account->mRegions);
}

bool InRegions(const AllowedRegions& aRegions, const RegionMap& aMap,
               const std::string& aZone) {
  if (!aRegions) {
    return true;
  }
  const auto found = aMap.find(aZone);
  return found != aMap.end() && Holds(*aRegions, found->second);
}

std::vector<ConfigWarning> ConfigWarnings(const RouteTable& aTable,
                                          const RegionMap& aMap) {
  std::vector<ConfigWarning> doubts;
  for (const Route& route : aTable.Routes()) {
    const std::string field = "route " + route.mName + ": regions";
    AddUnknown(route.mRegions, field, aMap, doubts);
    for (const ClientAccount& account : aTable.Accounts().Accounts()) {
      const AllowedRegions both = BothAllow(route.mRegions, account.mRegions);
      if (route.mRegions && account.mRegions && both->empty()) {
        doubts.push_back({field, "none of them is allowed for the account " +
                                     account.mName +
                                     ", whose requests there are refused; "
                                     "let both name a region"});
      }
    }
  }
  for (const ClientAccount& account : aTable.Accounts().Accounts()) {
    AddUnknown(account.mRegions, "account " + account.mName + ": regions", aMap,
               doubts);
  }
  for (const ServiceSpec& service : aTable.Services()) {
    if (service.mColdDuration > Millis(0) && service.mColdPerSecond <= 0) {
      doubts.push_back(
          {"service " + service.mName + ": rate of cold replicas",
           "its replicas are cold after a start and no rate is set, so that "
           "each host sends them one request a second at most; set the rate"});
    }
  }
  return doubts;
}

}  // namespace rillwall
