/// \file
/// Tests of which texts move and to which replicas.

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

ReplicaRequirements Requirements() {
  ReplicaRequirements requirements;
  requirements.mZone = "z";
  requirements.mModel = "m";
  requirements.mMinVersion = 5;
  requirements.mNeedsFreeSlot = true;
  return requirements;
}

}  // namespace

class MovePlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MovePlanTest);
  CPPUNIT_TEST(TextOnASlowReplicaMovesToTheFastest);
  CPPUNIT_TEST(LargestGainMovesFirst);
  CPPUNIT_TEST(TextOnTheFastestReplicaStays);
  CPPUNIT_TEST(FullReplicasAreNoTargets);
  CPPUNIT_TEST(EachServiceHasItsOwnTargets);
  CPPUNIT_TEST_SUITE_END();

  ReplicaPool mPool;

 public:
  /// Registers a slow, a typical and a fast replica.
  void setUp() override {
    mPool.Update({ReplicaOf("fast"), ReplicaOf("slow"), ReplicaOf("typical")},
                 false);
    mPool.ObservePace("fast", 40, kNow);
    mPool.ObservePace("slow", 160, kNow);
    mPool.ObservePace("typical", 80, kNow);
  }

 private:
  std::vector<PlannedMove> Plan(const std::vector<RunningText>& aTexts,
                                size_t aMaxMoves = 9) const {
    return PlanMoves(aTexts, mPool, Requirements(), aMaxMoves, kNow);
  }

  void TextOnASlowReplicaMovesToTheFastest() {
    const auto moves = Plan({TextAt(0, "slow")});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, moves.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(160, moves[0].mMove.mSourcePace, 1e-9);
    CPPUNIT_ASSERT(moves[0].mMove.mTargetPace < 45);
  }

  void LargestGainMovesFirst() {
    const std::vector<RunningText> texts = {
        TextAt(0, "slow", 20), TextAt(1, "slow", 80), TextAt(2, "slow", 50)};
    const auto moves = Plan(texts, 2);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, moves.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, moves[0].mItem);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, moves[1].mItem);
  }

  void TextOnTheFastestReplicaStays() {
    CPPUNIT_ASSERT(Plan({TextAt(0, "fast")}).empty());
  }

  void FullReplicasAreNoTargets() {
    mPool.Start("fast", "m");
    mPool.Start("fast", "m");
    const auto moves = Plan({TextAt(0, "slow")});
    CPPUNIT_ASSERT(moves[0].mMove.mTargetPace > 75);
    mPool.Start("typical", "m");
    mPool.Start("typical", "m");
    CPPUNIT_ASSERT(Plan({TextAt(0, "slow")}).empty());
  }

  void EachServiceHasItsOwnTargets() {
    RunningText other = TextAt(1, "slow");
    other.mService = "t";
    const auto moves = Plan({other, TextAt(0, "slow")});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, moves.size());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, moves[0].mItem);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MovePlanTest);

}  // namespace rillwall
