/// \file
/// The regions in which a request may be served, kept and passed on.
///
/// A route and a client account may each name regions; both bind. Replicas,
/// hosts that own steps and calls for scores are held to them.
///
/// Pure: no I/O and no clock.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rillwall/route_table.h"

namespace rillwall {

/// Names of regions; nothing: any region will do.
using AllowedRegions = std::optional<std::vector<std::string>>;

/// The region of each availability zone.
using RegionMap = std::map<std::string, std::string>;

/// \return the regions that both allow; an empty list if none does
AllowedRegions BothAllow(const AllowedRegions& aOne,
                         const AllowedRegions& aOther);

/// \return where requests of a route and an account may be served
/// \param aAccount its name; empty: none
AllowedRegions RegionsOf(const RouteTable& aTable, const Route& aRoute,
                         const std::string& aAccount);

/// \param aZone an availability zone; one of no known region is in none
/// \return whether it lies in an allowed region
bool InRegions(const AllowedRegions& aRegions, const RegionMap& aMap,
               const std::string& aZone);

/// What an operator should know of a configuration that is in force although
/// parts of it can't serve anybody.
struct ConfigWarning {
  std::string mField;
  std::string mReason;  ///< with the remedy
  bool operator==(const ConfigWarning&) const = default;
};

/// \return regions that no zone has, routes that no region may serve, rates of
/// cold replicas that let none through
std::vector<ConfigWarning> ConfigWarnings(const RouteTable& aTable,
                                          const RegionMap& aMap);

}  // namespace rillwall
