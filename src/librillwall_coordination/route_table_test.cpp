/// \file
/// Tests of the choice of routes and services.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/route_table.h"

namespace rillwall {

namespace {

Route RouteOf(std::string aHost, std::string aPrefix, std::string aService) {
  Route route;
  route.mName = aHost + aPrefix;
  route.mHost = std::move(aHost);
  route.mPrefix = std::move(aPrefix);
  route.mTargets = {{std::move(aService), 1}};
  return route;
}

}  // namespace

class RouteTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(LongestPrefixOfTheHostWins);
  CPPUNIT_TEST(OtherHostsDoNotMatch);
  CPPUNIT_TEST(KeysFollowWeights);
  CPPUNIT_TEST(NoWeightGivesNoService);
  CPPUNIT_TEST(FindsServices);
  CPPUNIT_TEST(RankedRolloutsDifferInPriority);
  CPPUNIT_TEST_SUITE_END();

  void LongestPrefixOfTheHostWins() {
    const RouteTable table(
        1,
        {RouteOf("a", "/x/", "short"), RouteOf("a", "/x/y/", "long"),
         RouteOf("b", "/x/y/z/", "other")},
        {}, {});
    CPPUNIT_ASSERT_EQUAL(std::string("long"),
                         table.Find("a", "/x/y/z/1")->mTargets[0].mService);
    CPPUNIT_ASSERT_EQUAL(std::string("short"),
                         table.Find("a", "/x/1")->mTargets[0].mService);
    CPPUNIT_ASSERT_EQUAL(std::string("other"),
                         table.Find("b", "/x/y/z/1")->mTargets[0].mService);
  }

  void OtherHostsDoNotMatch() {
    const RouteTable table(1, {RouteOf("b", "/x/", "s")}, {}, {});
    CPPUNIT_ASSERT(table.Find("a", "/x/1") == nullptr);
    CPPUNIT_ASSERT(table.Find("c", "/x/1") == nullptr);
    CPPUNIT_ASSERT(table.Find("b", "/x") == nullptr);
  }

  void KeysFollowWeights() {
    Route route = RouteOf("a", "/", "one");
    route.mTargets = {{"one", 90}, {"none", 0}, {"two", 10}};
    int two = 0;
    for (uint64_t key = 0; key < 1000; ++key) {
      const std::string& service = *PickService(route, key);
      CPPUNIT_ASSERT(service != "none");
      two += service == "two" ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(100, two);
  }

  void NoWeightGivesNoService() {
    Route route = RouteOf("a", "/", "one");
    route.mTargets = {{"one", 0}};
    CPPUNIT_ASSERT(PickService(route, 7) == nullptr);
    route.mTargets.clear();
    CPPUNIT_ASSERT(PickService(route, 7) == nullptr);
  }

  void FindsServices() {
    ServiceSpec one{"one", 0, true, {"m", "n"}};
    ServiceSpec two{"two", 0, true, {"n"}};
    const RouteTable table(1, {}, {one, two}, {});
    CPPUNIT_ASSERT(*table.Service("two") == two);
    CPPUNIT_ASSERT(table.Service("three") == nullptr);
  }

  // Routes of other kinds and of other services must not turn the switch on.
  void RankedRolloutsDifferInPriority() {
    Route one = RouteOf("a", "/1/", "s");
    one.mKind = RequestKind::Rollout;
    one.mPriority = 1;
    Route other = one;
    other.mPrefix = "/2/";
    const auto ranked = [&](const Route& aOther) {
      return HasRankedRollouts(RouteTable(1, {one, aOther}, {}, {}), "s");
    };
    CPPUNIT_ASSERT(!ranked(other));
    other.mPriority = 0;
    CPPUNIT_ASSERT(ranked(other));
    other.mTargets = {{"t", 1}};
    CPPUNIT_ASSERT(!ranked(other));
    other.mTargets = {{"s", 1}};
    other.mKind = RequestKind::Idempotent;
    CPPUNIT_ASSERT(!ranked(other));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

}  // namespace rillwall
