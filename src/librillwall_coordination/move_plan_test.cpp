/// \file
/// Tests of which texts move, and what a look at many of them asks of the pool.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/move_plan.h"

namespace rillwall {

namespace {

constexpr Millis kNow{100000};

Replica ReplicaOf(std::string aId) {
  Replica replica;
  replica.mId = std::move(aId);
  replica.mService = "s";
  replica.mZone = "z";
  replica.mSlots = 2;
  replica.mModels = {{"m", 5}};
  return replica;
}

RunningText TextAt(size_t aItem, std::string aReplica, int64_t aExpected = 40) {
  return {aItem, "s", std::move(aReplica), 4, aExpected};
}

ReplicaRequirements Wish() {
  ReplicaRequirements wish;
  wish.mZone = "z";
  wish.mModel = "m";
  wish.mMinVersion = 5;
  wish.mNeedsFreeSlot = true;
  return wish;
}

}  // namespace

class MovePlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MovePlanTest);
  CPPUNIT_TEST(SlowOnesMoveToTheFastest);
  CPPUNIT_TEST(WhoGainsMostGoesFirst);
  CPPUNIT_TEST(NobodyMovesToWhereItIs);
  CPPUNIT_TEST(FullReplicasTakeNobody);
  CPPUNIT_TEST(OtherServicesAreLookedUpApart);
  CPPUNIT_TEST_SUITE_END();

  ReplicaPool mPool;

 public:
  /// A slow, a typical and a fast replica.
  void setUp() override {
    mPool.Update({ReplicaOf("fast"), ReplicaOf("slow"), ReplicaOf("typical")},
                 false);
    mPool.ObservePace("fast", 40, kNow);
    mPool.ObservePace("slow", 160, kNow);
    mPool.ObservePace("typical", 80, kNow);
  }

 private:
  std::vector<PlannedMove> Plan(const std::vector<RunningText>& aTexts,
                                size_t aMost = 9) const {
    return PlanMoves(aTexts, mPool, Wish(), aMost, kNow);
  }

  void SlowOnesMoveToTheFastest() {
    const auto moves = Plan({TextAt(0, "slow")});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, moves.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(160, moves[0].mMove.mSourcePace, 1e-9);
    CPPUNIT_ASSERT(moves[0].mMove.mTargetPace < 45);
  }

  void WhoGainsMostGoesFirst() {
    const std::vector<RunningText> texts = {
        TextAt(0, "slow", 20), TextAt(1, "slow", 80), TextAt(2, "slow", 50)};
    const auto moves = Plan(texts, 2);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, moves.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, moves[0].mItem);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, moves[1].mItem);
  }

  void NobodyMovesToWhereItIs() {
    CPPUNIT_ASSERT(Plan({TextAt(0, "fast")}).empty());
  }

  void FullReplicasTakeNobody() {
    mPool.Start("fast", "m");
    mPool.Start("fast", "m");
    const auto moves = Plan({TextAt(0, "slow")});
    CPPUNIT_ASSERT(moves[0].mMove.mTargetPace > 75);
    mPool.Start("typical", "m");
    mPool.Start("typical", "m");
    CPPUNIT_ASSERT(Plan({TextAt(0, "slow")}).empty());
  }

  void OtherServicesAreLookedUpApart() {
    RunningText other = TextAt(1, "slow");
    other.mService = "t";
    const auto moves = Plan({other, TextAt(0, "slow")});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, moves.size());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, moves[0].mItem);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MovePlanTest);

}  // namespace rillwall
