/// \file
/// Regions in which a request may be served.
///
/// A route and a client account may each list regions, and both restrictions
/// apply. They apply to replicas, to hosts that own steps and to scoring calls.
///
/// Pure: no I/O and no clock.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rillwall/route_table.h"

namespace rillwall {

/// Names of the allowed regions; unset: any region.
using AllowedRegions = std::optional<std::vector<std::string>>;

/// Region of each availability zone.
using RegionMap = std::map<std::string, std::string>;

/// \return the regions that both arguments allow; an empty list if there are
/// none
AllowedRegions IntersectRegions(const AllowedRegions& aOne,
                                const AllowedRegions& aOther);

/// \param aAccount name of the client account, empty for none
/// \return the regions in which requests of a route and an account may be
/// served
AllowedRegions RegionsOf(const RouteTable& aTable, const Route& aRoute,
                         const std::string& aAccount);

/// \param aZone an availability zone; a zone without a known region is in no
/// region
/// \return whether the zone is in an allowed region
bool InRegions(const AllowedRegions& aRegions, const RegionMap& aMap,
               const std::string& aZone);

/// A problem in a configuration that is in force although parts of it cannot
/// serve any request.
struct ConfigWarning {
  std::string mField;
  std::string mReason;  ///< includes the remedy
  bool operator==(const ConfigWarning&) const = default;
};

/// \return warnings about regions without a zone, accounts that no region of a
/// route may serve, and services whose cold replicas have no rate set
std::vector<ConfigWarning> ConfigWarnings(const RouteTable& aTable,
                                          const RegionMap& aMap);

}  // namespace rillwall
