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

ReplicaRequirements Wish(AllowedRegions aRegions, bool aWithinSlots) {
  ReplicaRequirements wish;
  wish.mService = "s";
  wish.mZone = "s1";
  wish.mNeedsFreeSlot = aWithinSlots;
  wish.mRegions = std::move(aRegions);
  return wish;
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
  CPPUNIT_TEST(RouteAndAccountBothBind);
  CPPUNIT_TEST(ReplicasElsewhereGetNothing);
  CPPUNIT_TEST(EvacuatedZoneGetsNothing);
  CPPUNIT_TEST(DoubtsAreNamed);
  CPPUNIT_TEST_SUITE_END();

  void RouteAndAccountBothBind() {
    const AllowedRegions north = Only("north");
    const AllowedRegions both = std::vector<std::string>{"north", "south"};
    const RouteTable table = TableOf(both, north);
    const Route& route = table.Routes().front();
    CPPUNIT_ASSERT(RegionsOf(table, route, "a") == north);
    CPPUNIT_ASSERT(RegionsOf(table, route, "") == both);
    CPPUNIT_ASSERT(RegionsOf(table, route, "none") == both);
    CPPUNIT_ASSERT(BothAllow(std::nullopt, north) == north);
    CPPUNIT_ASSERT(BothAllow(Only("south"), north)->empty());
    CPPUNIT_ASSERT(InRegions(north, kMap, "n2"));
    CPPUNIT_ASSERT(!InRegions(north, kMap, "s1"));
    CPPUNIT_ASSERT(!InRegions(north, kMap, "unknown"));
    CPPUNIT_ASSERT(InRegions(std::nullopt, kMap, "unknown"));
  }

  void ReplicasElsewhereGetNothing() {
    ReplicaPool pool;
    pool.SetRegions(kMap);
    pool.Update({ReplicaIn("s1"), ReplicaIn("n2")}, false);
    for (const bool slots : {true, false}) {
      CPPUNIT_ASSERT_EQUAL(std::string("i-s1"),
                           *pool.Choose(Wish(std::nullopt, slots), Millis(1)));
      CPPUNIT_ASSERT_EQUAL(std::string("i-n2"),
                           *pool.Choose(Wish(Only("north"), slots), Millis(1)));
      CPPUNIT_ASSERT(!pool.Choose(Wish(Only("east"), slots), Millis(1)));
    }
  }

  void EvacuatedZoneGetsNothing() {
    ReplicaPool pool;
    pool.Update({ReplicaIn("s1"), ReplicaIn("n2")}, false);
    CPPUNIT_ASSERT(pool.Evacuate({"s1"}));
    CPPUNIT_ASSERT(!pool.Evacuate({"s1"}));
    for (const bool slots : {true, false}) {
      CPPUNIT_ASSERT_EQUAL(std::string("i-n2"),
                           *pool.Choose(Wish(std::nullopt, slots), Millis(1)));
    }
    CPPUNIT_ASSERT(pool.Evacuate({"s1", "n2"}));
    CPPUNIT_ASSERT(!pool.Choose(Wish(std::nullopt, true), Millis(1)));
    // Taken back.
    CPPUNIT_ASSERT(pool.Evacuate({}));
    CPPUNIT_ASSERT(pool.Choose(Wish(std::nullopt, true), Millis(1)));
  }

  void DoubtsAreNamed() {
    CPPUNIT_ASSERT(
        ConfigWarnings(TableOf(Only("north"), Only("north")), kMap).empty());
    CPPUNIT_ASSERT(
        ConfigWarnings(TableOf(std::nullopt, std::nullopt), kMap).empty());
    const std::vector<ConfigWarning> doubts =
        ConfigWarnings(TableOf(Only("north"), Only("nroth")), kMap);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, doubts.size());
    CPPUNIT_ASSERT(doubts[0].mField.find("route r") != std::string::npos);
    CPPUNIT_ASSERT(doubts[1].mReason.find("nroth") != std::string::npos);
    ServiceSpec service;
    service.mName = "s";
    service.mColdDuration = Millis(3000);
    const RouteTable cold(1, {}, {service}, {});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ConfigWarnings(cold, kMap).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomeRegionsTest);

}  // namespace rillwall
