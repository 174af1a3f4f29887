#include "router.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace rillwall {

namespace {

class RouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(PrefersOwnZoneUnlessBusier);
  CPPUNIT_TEST(RespectsZonesAndExclusions);
  CPPUNIT_TEST(RequiresVersionWhileAvailable);
  CPPUNIT_TEST(PrefixUsesHomeUnlessLoaded);
  CPPUNIT_TEST(PopularPrefixHasSeveralHomes);
  CPPUNIT_TEST(RemovalMovesOnlyPrefixesOfAnEngine);
  CPPUNIT_TEST(OldReportsDecay);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    mEngines.clear();
    mPool = std::make_unique<EnginePool>("z1", mTuning);
    mRandom.seed(5);
  }

  /// Creates engines e0, e1, ... distributed round-robin over the zones.
  void Make(size_t aCount, size_t aZones) {
    std::vector<EngineState*> engines;
    for (size_t index = 0; index < aCount; ++index) {
      const Upstream upstream = {.mId = "e" + std::to_string(index),
                                 .mZone = "z" + std::to_string(index % aZones)};
      mEngines.push_back(
          std::make_unique<EngineState>(upstream, BreakerLimits(), mTuning));
      engines.push_back(mEngines.back().get());
      Report(index, 0, 0);
    }
    mPool->SetEngines(engines, kNow);
  }

  void Report(size_t aIndex, int64_t aRunning, int64_t aVersion) {
    mEngines[aIndex]->Report(
        {.mRunning = aRunning, .mSlots = 20, .mVersion = aVersion, .mAt = kNow},
        0);
    mPool->RefreshAll(kNow);
  }

  /// \return how often each engine is chosen when no calls are started
  std::map<std::string, int> Choose(const CallSpec& aSpec, int aTimes = 200) {
    std::map<std::string, int> times;
    for (int time = 0; time < aTimes; ++time) {
      const EngineState* engine = mPool->Choose(aSpec, mRandom, kNow);
      ++times[engine ? engine->Info().mId : "none"];
    }
    return times;
  }

  void PrefersOwnZoneUnlessBusier() {
    Make(4, 2);
    auto times = Choose({});
    CPPUNIT_ASSERT_EQUAL(200, times["e1"] + times["e3"]);
    Report(1, 10, 0);
    Report(3, 10, 0);
    times = Choose({});
    CPPUNIT_ASSERT_EQUAL(200, times["e0"] + times["e2"]);
  }

  void RespectsZonesAndExclusions() {
    Make(6, 3);
    const auto times = Choose({.mZones = {"z1"}, .mAvoid = {"e1"}});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, times.size());
    CPPUNIT_ASSERT_EQUAL(200, times.at("e4"));
    CPPUNIT_ASSERT_EQUAL(
        200, Choose({.mZones = {"z1"}, .mAvoid = {"e1", "e4"}}).at("none"));
  }

  void RequiresVersionWhileAvailable() {
    Make(50, 1);
    CPPUNIT_ASSERT(Choose({.mMinVersion = 7}).size() > 10);
    Report(13, 0, 7);
    CPPUNIT_ASSERT_EQUAL(200, Choose({.mMinVersion = 7}).at("e13"));
    CPPUNIT_ASSERT(Choose({.mMinVersion = 7, .mAvoid = {"e13"}}).size() > 10);
    // The engine is full but still the only one that has the version.
    Report(13, 20, 7);
    CPPUNIT_ASSERT_EQUAL(200, Choose({.mMinVersion = 7}).at("none"));
    mEngines[13]->MarkLeaving();
    mPool->RefreshAll(kNow);
    CPPUNIT_ASSERT(Choose({.mMinVersion = 7}).size() > 10);
  }

  void PrefixUsesHomeUnlessLoaded() {
    Make(20, 1);
    // Other prefixes keep the share of this one small, so that it has one home.
    for (uint64_t prefix = 1; prefix < 500; ++prefix) {
      Choose({.mPrefixHash = prefix}, 1);
    }
    const auto times = Choose({.mPrefixHash = 1000}, 5);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, times.size());
    const std::string home = times.begin()->first;
    Report(std::stoul(home.substr(1)), 18, 0);
    const auto others = Choose({.mPrefixHash = 1000}, 5);
    CPPUNIT_ASSERT(!others.contains(home));
  }

  void PopularPrefixHasSeveralHomes() {
    Make(20, 1);
    CPPUNIT_ASSERT(Choose({.mPrefixHash = 1000}).size() > 10);
  }

  void RemovalMovesOnlyPrefixesOfAnEngine() {
    std::vector<std::string> ids;
    for (int index = 0; index < 50; ++index) {
      ids.push_back("engine" + std::to_string(index));
    }
    const auto home = [](const PrefixRing& aRing, uint64_t aPrefix) {
      uint32_t found = 0;
      aRing.Visit(aPrefix, 1, [&found](uint32_t aIndex) {
        found = aIndex;
        return true;
      });
      return found;
    };
    const PrefixRing before(ids);
    ids.pop_back();
    const PrefixRing after(ids);
    for (uint64_t prefix = 1; prefix <= 2000; ++prefix) {
      const uint32_t homeBefore = home(before, prefix);
      CPPUNIT_ASSERT(homeBefore == 49 || home(after, prefix) == homeBefore);
    }
  }

  void OldReportsDecay() {
    Make(10, 1);
    Report(0, 16, 0);
    const EngineState& engine = *mEngines[0];
    const double fresh = engine.Load(mPool->Prior(), kNow);
    const double old = engine.Load(mPool->Prior(), kNow + Millis(20000));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(16, fresh, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(mPool->Prior(), old, 0.01);
    // Own calls that the report already counts are not counted twice.
    mEngines[1]->Started(CallClass::Interactive, 1, kNow);
    mEngines[1]->Started(CallClass::Interactive, 2, kNow);
    mEngines[1]->Report({.mRunning = 2, .mSlots = 20, .mAt = kNow + kLong}, 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2, mEngines[1]->Load(0, kNow + kLong), 0.01);
  }

 private:
  static constexpr Millis kNow{100000};
  static constexpr Millis kLong{10000};
  DispatchTuning mTuning;
  std::vector<std::unique_ptr<EngineState>> mEngines;
  std::unique_ptr<EnginePool> mPool;
  std::mt19937_64 mRandom;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

}  // namespace

}  // namespace rillwall
