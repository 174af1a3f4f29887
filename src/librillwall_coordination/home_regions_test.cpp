/// \file
/// Tests of where requests may be served.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/home_regions.h"
#include "rillwall/replica_pool.h"

namespace rillwall {

namespace {

const RegionMap kMap{{"n1", "north"}, {"n2", "north"}, {"s1", "south"}};

AllowedRegions Only(std::string aRegion) {
  return std::vector<std::string>{std::move(aRegion)};
}

Replica ReplicaIn(const std::string& aZone) {
  Replica replica;
  replica.mId = "i-" + aZone;
  replica.mService = "s";
  replica.mZone = aZone;
  replica.mSlots = 4;
  return replica;
}

ReplicaRequirements Requirements(AllowedRegions aRegions, bool aWithinSlots) {
  ReplicaRequirements requirements;
  requirements.mService = "s";
  requirements.mZone = "s1";
  requirements.mNeedsFreeSlot = aWithinSlots;
  requirements.mRegions = std::move(aRegions);
  return requirements;
}

RouteTable TableOf(AllowedRegions aOfRoute, AllowedRegions aOfAccount) {
  Route route;
  route.mName = "r";
  route.mHost = "h";
  route.mPrefix = "/p/";
  route.mTargets = {{"s", 1}};
  route.mRegions = std::move(aOfRoute);
  ClientAccount account;
  account.mName = "a";
  account.mRegions = std::move(aOfAccount);
  return RouteTable(1, {route}, {}, {}, AccountTable({account}));
}

}  // namespace

class HomeRegionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HomeRegionsTest);
  CPPUNIT_TEST(RouteAndAccountRestrictionsBothApply);
  CPPUNIT_TEST(ReplicasOutsideTheRegionsAreNotChosen);
  CPPUNIT_TEST(EvacuatedZoneIsNotChosen);
  CPPUNIT_TEST(WarningsNameFieldAndReason);
  CPPUNIT_TEST_SUITE_END();

  void RouteAndAccountRestrictionsBothApply() {
    const AllowedRegions north = Only("north");
    const AllowedRegions common = std::vector<std::string>{"north", "south"};
    const RouteTable table = TableOf(common, north);
    const Route& route = table.Routes().front();
    CPPUNIT_ASSERT(RegionsOf(table, route, "a") == north);
    CPPUNIT_ASSERT(RegionsOf(table, route, "") == common);
    CPPUNIT_ASSERT(RegionsOf(table, route, "none") == common);
    CPPUNIT_ASSERT(IntersectRegions(std::nullopt, north) == north);
    CPPUNIT_ASSERT(IntersectRegions(Only("south"), north)->empty());
    CPPUNIT_ASSERT(InRegions(north, kMap, "n2"));
    CPPUNIT_ASSERT(!InRegions(north, kMap, "s1"));
    CPPUNIT_ASSERT(!InRegions(north, kMap, "unknown"));
    CPPUNIT_ASSERT(InRegions(std::nullopt, kMap, "unknown"));
  }

  void ReplicasOutsideTheRegionsAreNotChosen() {
    ReplicaPool pool;
    pool.SetRegions(kMap);
    pool.Update({ReplicaIn("s1"), ReplicaIn("n2")}, false);
    for (const bool slots : {true, false}) {
      CPPUNIT_ASSERT_EQUAL(
          std::string("i-s1"),
          *pool.Choose(Requirements(std::nullopt, slots), Millis(1)));
      CPPUNIT_ASSERT_EQUAL(
          std::string("i-n2"),
          *pool.Choose(Requirements(Only("north"), slots), Millis(1)));
      CPPUNIT_ASSERT(
          !pool.Choose(Requirements(Only("east"), slots), Millis(1)));
    }
  }

  void EvacuatedZoneIsNotChosen() {
    ReplicaPool pool;
    pool.Update({ReplicaIn("s1"), ReplicaIn("n2")}, false);
    CPPUNIT_ASSERT(pool.Evacuate({"s1"}));
    CPPUNIT_ASSERT(!pool.Evacuate({"s1"}));
    for (const bool slots : {true, false}) {
      CPPUNIT_ASSERT_EQUAL(
          std::string("i-n2"),
          *pool.Choose(Requirements(std::nullopt, slots), Millis(1)));
    }
    CPPUNIT_ASSERT(pool.Evacuate({"s1", "n2"}));
    CPPUNIT_ASSERT(!pool.Choose(Requirements(std::nullopt, true), Millis(1)));
    // The evacuation is withdrawn.
    CPPUNIT_ASSERT(pool.Evacuate({}));
    CPPUNIT_ASSERT(pool.Choose(Requirements(std::nullopt, true), Millis(1)));
  }

  void WarningsNameFieldAndReason() {
    CPPUNIT_ASSERT(
        ConfigWarnings(TableOf(Only("north"), Only("north")), kMap).empty());
    CPPUNIT_ASSERT(
        ConfigWarnings(TableOf(std::nullopt, std::nullopt), kMap).empty());
    const std::vector<ConfigWarning> warnings =
        ConfigWarnings(TableOf(Only("north"), Only("nroth")), kMap);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, warnings.size());
    CPPUNIT_ASSERT(warnings[0].mField.find("route r") != std::string::npos);
    CPPUNIT_ASSERT(warnings[1].mReason.find("nroth") != std::string::npos);
    ServiceSpec service;
    service.mName = "s";
    service.mColdDuration = Millis(3000);
    const RouteTable cold(1, {}, {service}, {});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ConfigWarnings(cold, kMap).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomeRegionsTest);

}  // namespace rillwall
