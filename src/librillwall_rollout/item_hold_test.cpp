/// \file
/// Tests of items and scorer calls that end the replicas that run them.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/rollout_service.h"
#include "rollout_test_support.h"

namespace rillwall {

class ItemHoldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ItemHoldTest);
  CPPUNIT_TEST(CrashIsRecordedForTheItem);
  CPPUNIT_TEST(CrashDuringALongRunIsNotRecorded);
  CPPUNIT_TEST(HeldItemIsDeferred);
  CPPUNIT_TEST(ClearedItemRuns);
  CPPUNIT_TEST(CompletedItemIsCleared);
  CPPUNIT_TEST(HeldScorerIsNotCalled);
  CPPUNIT_TEST_SUITE_END();

  static constexpr char kBody[] = "the submission";

  TestWorld mWorld;
  ScriptedReplica mEngine{mWorld.mIo, "engine1", TestHeaders()};
  ScriptedReplica mOther{mWorld.mIo, "engine2", TestHeaders()};
  ScriptedReplica mScorer{mWorld.mIo, "scorer1", TestHeaders()};
  TestNode mTest{mWorld};
  RolloutService mService{
      mTest.mNode,
      [](const std::string&, const StepRecord&,
         const std::string&) -> Result<RolloutSpec> { return Spec(); }};

 public:
  void setUp() override {
    mScorer.mStreams = false;
    mTest.mNode.mRoutes.Publish(
        std::make_shared<const RouteTable>(StepRoutes()));
    mTest.Add(mEngine, "engine");
    mTest.Add(mScorer, "scorer");
    Launch(mTest.mIo, "steps", mService.Run());
  }

 private:
  /// \return a step with two items, "bad" and "good"
  static RolloutSpec Spec() {
    RolloutSpec spec;
    spec.mId = "s1";
    spec.mHost = "h";
    spec.mPath = "/r/";
    spec.mModel = "m";
    for (const char* id : {"bad", "good"}) {
      RolloutItem item;
      item.mId = id;
      item.mGroup = id;
      item.mPath = "/r/x";
      item.mBody = id;
      item.mScorer = ScorerCall{std::string(id) + "-score", "h", "/score/", id};
      spec.mItems.push_back(item);
    }
    return spec;
  }
  static RequestDigest ItemDigest(const std::string& aBody) {
    return RequestDigest(RequestParts{"POST", "h", "/r/x", "", aBody});
  }
  CrashTable& Crashes() { return mTest.mNode.mCrashes; }
  void AddCrashes(const RequestDigest& aRequest, int aReplicas) {
    for (int i = 0; i < aReplicas; ++i) {
      Crashes().Merge(
          {{aRequest, "r" + std::to_string(i), WallClockMs(), false, ""}});
    }
  }
  void Accept() {
    const Route route = *mTest.mNode.mRoutes.Read()->Find("h", "/r/");
    CPPUNIT_ASSERT(!mTest.Run(mService.Accept(Spec(), route, kBody)));
  }
  std::vector<RolloutResult> Results() {
    const Result<RolloutRead> read =
        mTest.Run(mService.Read("s1", 0, Millis(0)));
    return read ? read->mResults : std::vector<RolloutResult>();
  }
  std::vector<RolloutResult> Listed(size_t aCount) {
    std::vector<RolloutResult> results;
    mTest.RunUntil([&] {
      results = Results();
      return results.size() >= aCount;
    });
    return results;
  }

  void CrashIsRecordedForTheItem() {
    mEngine.mDefaultScript.mProcessEnds = true;
    Accept();
    mTest.RunUntil([&] { return Crashes().HasSuspects(); });
    CPPUNIT_ASSERT(Crashes().Crashes(ItemDigest("bad")) +
                       Crashes().Crashes(ItemDigest("good")) >
                   0);
  }

  void CrashDuringALongRunIsNotRecorded() {
    mEngine.mEvents = 100000;
    Accept();
    mTest.RunFor(Millis(200));
    mEngine.Stop();
    mTest.RunFor(Millis(200));
    CPPUNIT_ASSERT(!Crashes().HasSuspects());
  }

  void HeldItemIsDeferred() {
    AddCrashes(ItemDigest("bad"), 3);
    Accept();
    CPPUNIT_ASSERT_EQUAL(std::string("good"), Listed(1)[0].mItem);
    mTest.RunFor(Millis(300));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mEngine.mRequests.size());
    // The held item is not given up before its time.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Results().size());
  }

  void ClearedItemRuns() {
    AddCrashes(ItemDigest("bad"), 3);
    Accept();
    Listed(1);
    Crashes().Clear(ItemDigest("bad"));
    CPPUNIT_ASSERT_EQUAL(std::string("bad"), Listed(2)[1].mItem);
  }

  void CompletedItemIsCleared() {
    AddCrashes(ItemDigest("bad"), 2);
    Accept();
    Listed(2);
    CPPUNIT_ASSERT(!Crashes().HasSuspects());
  }

  void HeldScorerIsNotCalled() {
    AddCrashes(RequestDigest(RequestParts{"POST", "h", "/score/", "", "bad"}),
               3);
    Accept();
    CPPUNIT_ASSERT_EQUAL(std::string("good"), Listed(1)[0].mItem);
    mTest.RunFor(Millis(300));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mScorer.mRequests.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ItemHoldTest);

}  // namespace rillwall
