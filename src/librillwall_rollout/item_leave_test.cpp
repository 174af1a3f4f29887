/// \file
/// Tests of texts at replicas that the platform takes away.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/rollout_service.h"
#include "rollout_test_support.h"

namespace rillwall {

class ItemLeaveTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ItemLeaveTest);
  CPPUNIT_TEST(TextsMoveBeforeTheirReplicaLeaves);
  CPPUNIT_TEST(TextsWithoutAFreeSlotStayUntilTheLastMoment);
  CPPUNIT_TEST(DemandCountsUnfinishedTexts);
  CPPUNIT_TEST_SUITE_END();

  TestWorld mWorld;
  ScriptedReplica mLeaving{mWorld.mIo, "leaving", TestHeaders()};
  ScriptedReplica mOther{mWorld.mIo, "other", TestHeaders()};
  TestNode mTest{mWorld};
  RolloutService mService{
      mTest.mNode,
      [](const std::string&, const StepRecord&, const std::string&,
         MemoryCharge&) -> Result<RolloutSpec> { return Spec(); }};

 public:
  void setUp() override {
    mTest.mNode.mRoutes.Publish(
        std::make_shared<const RouteTable>(StepRoutes()));
    for (ScriptedReplica* replica : {&mLeaving, &mOther}) {
      replica->mEvents = 100000;
      replica->mSlots = 2;
    }
    Launch(mTest.mIo, "steps", mService.Run());
  }

 private:
  static RolloutSpec Spec() {
    RolloutSpec spec;
    spec.mId = "s1";
    spec.mHost = "h";
    spec.mPath = "/r/";
    spec.mModel = "m";
    for (const char* id : {"one", "two"}) {
      RolloutItem item;
      item.mId = id;
      item.mGroup = id;
      item.mPath = "/r/x";
      spec.mItems.push_back(item);
    }
    return spec;
  }
  /// Runs both items at the replica that leaves later.
  void StartItems() {
    mTest.mNode.mReplicas.Update({mLeaving.Entry("engine")}, false);
    const Route route = *mTest.mNode.mRoutes.Read()->Find("h", "/r/");
    CPPUNIT_ASSERT(!mTest.Run(mService.Accept(Spec(), route, "body")));
    mTest.RunUntil([&] { return mLeaving.mRunning == 2; });
  }
  void Notify(bool aOtherIsFree) {
    Replica leaving = mLeaving.Entry("engine");
    leaving.mDraining = true;
    leaving.mSpot = true;
    leaving.mLeavesIn = Millis(2500);
    Replica other = mOther.Entry("engine");
    other.mSlots = aOtherIsFree ? 2 : 0;
    mTest.mNode.mReplicas.Update({leaving, other}, false);
    mTest.mNode.mReplicas.RecordNotices(mTest.mNode.Now());
  }

  void TextsMoveBeforeTheirReplicaLeaves() {
    StartItems();
    const Millis noticed = mTest.mNode.Now();
    Notify(true);
    mTest.RunUntil([&] { return mOther.mRequests.size() == 2; });
    CPPUNIT_ASSERT(mTest.mNode.Now() - noticed < Millis(2500));
    for (const HttpRequest& request : mOther.mRequests) {
      // The text continues after its last event.
      CPPUNIT_ASSERT(request.Find(TestHeaders().mLastEvent) != nullptr);
    }
    mTest.RunFor(Millis(300));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mLeaving.mRequests.size());
  }

  void TextsWithoutAFreeSlotStayUntilTheLastMoment() {
    StartItems();
    Notify(false);
    mTest.RunFor(Millis(1500));
    CPPUNIT_ASSERT_EQUAL(2, mLeaving.mRunning);
    mTest.RunUntil([&] { return mLeaving.mRunning == 0; });
  }

  void DemandCountsUnfinishedTexts() {
    StartItems();
    const std::vector<StepDemand> demand = mService.DemandOn("engine");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, demand.size());
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, demand[0].mTexts);
    CPPUNIT_ASSERT_EQUAL(std::string("/m"), demand[0].mTrainer);
    CPPUNIT_ASSERT(mService.DemandOn("other").empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ItemLeaveTest);

}  // namespace rillwall
