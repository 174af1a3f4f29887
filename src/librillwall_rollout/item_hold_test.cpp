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
  CPPUNIT_TEST(ItemThatGetsFurtherIsNotHeld);
  CPPUNIT_TEST(ItemThatCrashesAtOnePointIsNotHeld);
  CPPUNIT_TEST(ItemOfManyCrashesRunsWithinItsPause);
  CPPUNIT_TEST(ItemThatMeetsEndedReplicasIsNotHeld);
  CPPUNIT_TEST(ItemPausesAfterCrashes);
  CPPUNIT_TEST(OperatorHoldsAnItem);
  CPPUNIT_TEST(ClearedItemRuns);
  CPPUNIT_TEST(CompletedItemIsCleared);
  CPPUNIT_TEST(ScorerCallOfManyCrashesIsSent);
  CPPUNIT_TEST(OperatorHoldsAScorerCall);
  CPPUNIT_TEST_SUITE_END();

  static constexpr char kBody[] = "the submission";

  TestWorld mWorld;
  ScriptedReplica mEngine{mWorld.mIo, "engine1", TestHeaders()};
  ScriptedReplica mOther{mWorld.mIo, "engine2", TestHeaders()};
  ScriptedReplica mScorer{mWorld.mIo, "scorer1", TestHeaders()};
  TestNode mTest{mWorld};
  RolloutService mService{
      mTest.mNode,
      [](const std::string&, const StepRecord&, const std::string&,
         MemoryCharge&) -> Result<RolloutSpec> { return Spec(); }};

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

  /// Runs an item of ten events at one replica after the other. Each of them
  /// ends after some events, except for the last one.
  /// \param aEndsAfter events that each of the first replicas delivers
  /// \return number of requests to the last replica, and of the listed results
  std::pair<size_t, size_t> RunAtReplicasThatEnd(
      const std::vector<int64_t>& aEndsAfter) {
    std::vector<std::unique_ptr<ScriptedReplica>> replicas;
    RolloutSpec spec = Spec();
    spec.mItems.resize(1);
    const RequestDigest digest = ItemDigest(spec.mItems[0].mBody);
    const Route route = *mTest.mNode.mRoutes.Read()->Find("h", "/r/");
    mTest.mNode.mReplicas.Update({mScorer.Entry("scorer")}, false);
    CPPUNIT_ASSERT(!mTest.Run(mService.Accept(spec, route, kBody)));
    const auto add = [&](int64_t aEnd) -> ScriptedReplica& {
      replicas.push_back(std::make_unique<ScriptedReplica>(
          mWorld.mIo, "r" + std::to_string(replicas.size()), TestHeaders()));
      replicas.back()->mEvents = 10;
      replicas.back()->mDefaultScript.mEndsAfter = aEnd;
      mTest.mNode.mReplicas.Update(
          {mScorer.Entry("scorer"), replicas.back()->Entry("engine")}, false);
      return *replicas.back();
    };
    for (const int64_t end : aEndsAfter) {
      const int64_t before = Crashes().Number();
      const ScriptedReplica& replica = add(end);
      mTest.RunUntil([&] {
        return replica.mRequests.size() == 1 && Crashes().Number() > before;
      });
      mTest.RunFor(Millis(50));
    }
    const ScriptedReplica& last = add(-1);
    mTest.RunFor(Millis(500));
    return {last.mRequests.size(), Results().size()};
  }

  /// Guards against a good item that is never run again: three replicas crashed
  /// by chance while they ran it, each after later events than the one before.
  void ItemThatGetsFurtherIsNotHeld() {
    const auto [runs, results] = RunAtReplicasThatEnd({2, 1, 3});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, runs);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, results);
    CPPUNIT_ASSERT(!Crashes().HasSuspects());
  }

  /// Guards against a good item that is never run again: replicas crashed by
  /// chance while they ran it, all before one event.
  void ItemThatCrashesAtOnePointIsNotHeld() {
    const auto [runs, results] = RunAtReplicasThatEnd({2, 0, 0});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, runs);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, results);
    CPPUNIT_ASSERT(!Crashes().HasSuspects());
  }

  /// Guards against a good item that is never run again, whoever made the
  /// records of its crashes: this host, others, the store, or older builds,
  /// which do not tell that it is an item.
  void ItemOfManyCrashesRunsWithinItsPause() {
    AddCrashes(ItemDigest("bad"), 3);
    for (int i = 0; i < 6; ++i) {
      CrashRecord record;
      record.mRequest = ItemDigest("bad");
      record.mReplica = "y" + std::to_string(i);
      record.mAtMs = WallClockMs();
      record.mEvents = CrashRecord::kAllEvents;
      Crashes().Merge({record});
    }
    const Millis begun = mTest.mNode.Now();
    Accept();
    CPPUNIT_ASSERT_EQUAL(std::string("good"), Listed(1)[0].mItem);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mEngine.mRequests.size());
    CPPUNIT_ASSERT_EQUAL(std::string("bad"), Listed(2)[1].mItem);
    const Millis took = mTest.mNode.Now() - begun;
    CPPUNIT_ASSERT(took >= CrashPacer::kLongestPause);
    CPPUNIT_ASSERT(took < CrashPacer::kLongestPause * 2);
  }

  /// Guards against a good item that is never run again: its replica ended
  /// after twelve events together with others, and its next runs met pooled
  /// connections to those.
  void ItemThatMeetsEndedReplicasIsNotHeld() {
    ScriptedReplica first(mWorld.mIo, "r0", TestHeaders());
    first.mEvents = 20;
    first.mDefaultScript.mEndsAfter = 12;
    RolloutSpec spec = Spec();
    spec.mItems.resize(1);
    const Route route = *mTest.mNode.mRoutes.Read()->Find("h", "/r/");
    const auto replicas = [&](std::vector<Replica> aEngines) {
      aEngines.push_back(mScorer.Entry("scorer"));
      mTest.mNode.mReplicas.Update(aEngines, false);
    };
    EndedReplica one(mWorld.mIo, "r1");
    EndedReplica two(mWorld.mIo, "r2");
    EndedReplica three(mWorld.mIo, "r3");
    for (const EndedReplica* replica : {&one, &two, &three}) {
      mTest.Add(*replica, "engine");
    }
    replicas({first.Entry("engine")});
    CPPUNIT_ASSERT(!mTest.Run(mService.Accept(spec, route, kBody)));
    mTest.RunUntil([&] { return mTest.mNode.mReplicas.InFlight("r0") > 0; });
    replicas({first.Entry("engine"), one.Entry("engine"), two.Entry("engine"),
              three.Entry("engine")});
    mTest.RunFor(Millis(1000));
    CPPUNIT_ASSERT_EQUAL(0, one.mRequests + two.mRequests + three.mRequests);
    ScriptedReplica last(mWorld.mIo, "r4", TestHeaders());
    last.mEvents = 20;
    replicas({last.Entry("engine")});
    CPPUNIT_ASSERT_EQUAL(std::string("bad"), Listed(1)[0].mItem);
    CPPUNIT_ASSERT(!Crashes().HasSuspects());
  }

  /// Guards against an item that runs through one replica after the other at
  /// once while all of them crash.
  void ItemPausesAfterCrashes() {
    AddCrashes(ItemDigest("bad"), 4);
    mEngine.mDefaultScript.mEndsAfter = 0;
    RolloutSpec spec = Spec();
    spec.mItems.resize(1);
    const Route route = *mTest.mNode.mRoutes.Read()->Find("h", "/r/");
    CPPUNIT_ASSERT(!mTest.Run(mService.Accept(spec, route, kBody)));
    mTest.RunUntil(
        [&] { return Crashes().CrashesMet(ItemDigest("bad")) == 5; });
    mTest.Add(mOther, "engine");
    mTest.RunFor(Millis(100));
    CPPUNIT_ASSERT(mOther.mRequests.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("bad"), Listed(1)[0].mItem);
  }

  void HoldAsAnOperator(const RequestDigest& aRequest) {
    CrashRecord hold;
    hold.mRequest = aRequest;
    hold.mReplica = std::string(CrashRecord::kOperatorPrefix) + "0@1";
    hold.mAtMs = WallClockMs();
    hold.mEvents = CrashRecord::kAllEvents;
    Crashes().Merge({hold});
  }

  void OperatorHoldsAnItem() {
    HoldAsAnOperator(ItemDigest("bad"));
    Accept();
    CPPUNIT_ASSERT_EQUAL(std::string("good"), Listed(1)[0].mItem);
    mTest.RunFor(CrashPacer::kLongestPause + Millis(300));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mEngine.mRequests.size());
    // The held item is not given up before its time.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Results().size());
  }

  void ClearedItemRuns() {
    HoldAsAnOperator(ItemDigest("bad"));
    Accept();
    Listed(1);
    mTest.RunFor(Millis(300));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mEngine.mRequests.size());
    Crashes().Clear(ItemDigest("bad"));
    CPPUNIT_ASSERT_EQUAL(std::string("bad"), Listed(2)[1].mItem);
  }

  void CompletedItemIsCleared() {
    AddCrashes(ItemDigest("bad"), 2);
    Accept();
    Listed(2);
    CPPUNIT_ASSERT(!Crashes().HasSuspects());
  }

  static RequestDigest ScorerDigest(const std::string& aBody) {
    return RequestDigest(RequestParts{"POST", "h", "/score/", "", aBody});
  }

  /// Guards against a step of which no text is scored any more: replicas
  /// crashed by chance while they ran the scorer call, one after the other.
  void ScorerCallOfManyCrashesIsSent() {
    AddCrashes(ScorerDigest("bad"), 5);
    Accept();
    CPPUNIT_ASSERT_EQUAL(std::string("good"), Listed(1)[0].mItem);
    CPPUNIT_ASSERT_EQUAL(std::string("bad"), Listed(2)[1].mItem);
    CPPUNIT_ASSERT(!Crashes().HasSuspects());
  }

  void OperatorHoldsAScorerCall() {
    HoldAsAnOperator(ScorerDigest("bad"));
    Accept();
    CPPUNIT_ASSERT_EQUAL(std::string("good"), Listed(1)[0].mItem);
    mTest.RunFor(Millis(300));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mScorer.mRequests.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ItemHoldTest);

}  // namespace rillwall
