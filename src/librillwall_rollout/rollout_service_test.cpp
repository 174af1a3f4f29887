/// \file
/// Tests of a step's owner: acceptance, running, listing, ending and takeover,
/// with an in-memory store and scripted replicas.

#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <set>

#include "rillwall/json.h"
#include "rillwall/rollout_service.h"
#include "rollout_test_support.h"

namespace rillwall {

namespace {

constexpr char kBody[] = "the submission";

RolloutSpec Spec() {
  RolloutSpec spec;
  spec.mId = "s1";
  spec.mHost = "h";
  spec.mPath = "/r/";
  spec.mModel = "m";
  spec.mMinVersion = 4;
  for (const char* id : {"i1", "i2"}) {
    RolloutItem item;
    item.mId = id;
    item.mGroup = "g";
    item.mPath = "/r/x";
    item.mScorer = ScorerCall{std::string(id) + "-score", "h", "/score/", "b"};
    spec.mItems.push_back(item);
  }
  return spec;
}

}  // namespace

class RolloutServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutServiceTest);
  CPPUNIT_TEST(ListsWholeScoredTexts);
  CPPUNIT_TEST(AcceptedOnlyOnce);
  CPPUNIT_TEST(LostAcceptAnswerIsResolved);
  CPPUNIT_TEST(StepRunsWhileTheStoreIsAway);
  CPPUNIT_TEST(LostAnswersLeaveTheOutcomeOpen);
  CPPUNIT_TEST(StepThatNobodySubmitsAgainIsDropped);
  CPPUNIT_TEST(ListedResultsAreReadWhileTheStoreIsAway);
  CPPUNIT_TEST(BrokenStreamResumesAtItsEvent);
  CPPUNIT_TEST(StreamWithAMissingEventIsRejected);
  CPPUNIT_TEST(StreamOfAnotherRequestIsRejected);
  CPPUNIT_TEST(FailingItemIsGivenUpAfterAttempts);
  CPPUNIT_TEST(ImpossibleItemIsGivenUpAtOnce);
  CPPUNIT_TEST(RefusedItemRunsElsewhere);
  CPPUNIT_TEST(VersionsComeFromTheEvents);
  CPPUNIT_TEST(SingleVersionTextIsRegenerated);
  CPPUNIT_TEST(TextOfOldWeightsIsRejected);
  CPPUNIT_TEST(FailingScorerTerminates);
  CPPUNIT_TEST(LostPageAnswerListsOnce);
  CPPUNIT_TEST(PagesWaitForTheStore);
  CPPUNIT_TEST(ReplacedOwnerAppendsNothing);
  CPPUNIT_TEST(UnconfirmedOwnerDoesNotAnswer);
  CPPUNIT_TEST(OwnerDetectsATakeover);
  CPPUNIT_TEST(OneCallVerifiesAllSteps);
  CPPUNIT_TEST(SlowStoreStillVerifies);
  CPPUNIT_TEST(TakeoverMarksThePreviousOwner);
  CPPUNIT_TEST(EndStopsRuns);
  CPPUNIT_TEST(EndedStepStaysReadable);
  CPPUNIT_TEST(EndDuringAnOutageTakesEffect);
  CPPUNIT_TEST(EndDuringAnOutageStopsTheNextOwner);
  CPPUNIT_TEST(StepThatAnotherOwnerEndedIsReadFromTheStore);
  CPPUNIT_TEST(RestartedNodeTakesItsStepOver);
  CPPUNIT_TEST(NextOwnerResumesUnfinishedTexts);
  CPPUNIT_TEST(UnreadablePartStopsNothing);
  CPPUNIT_TEST(PageWithWrongBytesStaysReadable);
  CPPUNIT_TEST(UnreadablePageOfOpenStepIsListedAnew);
  CPPUNIT_TEST(UnreadablePageOfEndedStepHidesNoOther);
  CPPUNIT_TEST(EndedStepLeavesNoUnfinishedTexts);
  CPPUNIT_TEST(ReplacedOwnerKeepsNoTexts);
  CPPUNIT_TEST(TextsOutliveAnOutageAndARestart);
  CPPUNIT_TEST(TakeoverWithoutARouteChangesNothing);
  CPPUNIT_TEST(StepOfARemovedRouteStaysReadable);
  CPPUNIT_TEST(StepDoesNotRunOnARouteOfAnotherKind);
  CPPUNIT_TEST(StepRunsOnWhenItsRouteReturns);
  CPPUNIT_TEST(StepOfARemovedRouteIsGivenUp);
  CPPUNIT_TEST(SubmissionAfterAnInterruptedTakeover);
  CPPUNIT_TEST(StoredResultsAreNotOverwritten);
  CPPUNIT_TEST(StoppingOwnerStillLists);
  CPPUNIT_TEST(ConcurrentTakeoversRunOnce);
  CPPUNIT_TEST(RepeatedSubmissionDuringTakeover);
  CPPUNIT_TEST(ReaderDuringAcceptance);
  CPPUNIT_TEST(LeadAdoptsOrphans);
  CPPUNIT_TEST(UnreachableOwnerIsNotProbedAgain);
  CPPUNIT_TEST(UnknownStepIsUnknown);
  CPPUNIT_TEST(TextsAreCarriedOver);
  CPPUNIT_TEST(OldEndedStepsAreRemoved);
  CPPUNIT_TEST(YoungEndedStepsAreKept);
  CPPUNIT_TEST(OlderStepRunsFirst);
  CPPUNIT_TEST(OverdueItemsAreGivenUp);
  CPPUNIT_TEST(LateOwnerStartsNoItems);
  CPPUNIT_TEST(ConcurrentReadersShareOneLoad);
  CPPUNIT_TEST_SUITE_END();

  /// A node's process with its rollout service.
  struct Process {
    Process(TestWorld& aWorld, std::string aRun)
        : mNode(aWorld, std::move(aRun)) {}
    TestNode mNode;
    RolloutService mService{
        mNode.mNode,
        [](const std::string&, const StepRecord&, const std::string& aBody,
           MemoryCharge&) -> Result<RolloutSpec> {
          CPPUNIT_ASSERT_EQUAL(std::string(kBody), aBody);
          return Spec();
        }};
  };

  TestWorld mWorld;
  ScriptedReplica mEngine{mWorld.mIo, "engine1", TestHeaders()};
  ScriptedReplica mOther{mWorld.mIo, "engine2", TestHeaders()};
  ScriptedReplica mScorer{mWorld.mIo, "scorer1", TestHeaders()};
  std::vector<std::unique_ptr<Process>> mProcesses;  ///< only the last one runs

 public:
  void setUp() override {
    mScorer.mStreams = false;
    Restart("n1-run");
  }

 private:
  TestNode& Test() { return mProcesses.back()->mNode; }
  RolloutService& Service() { return mProcesses.back()->mService; }

  /// Restarts the node's process, which loses its memory.
  void Restart(const std::string& aRun,
               const std::string& aAddress = "n1-address") {
    mProcesses.push_back(std::make_unique<Process>(mWorld, aRun));
    Test().mNode.mIdentity.mAddress = aAddress;
    Test().mNode.mRoutes.Publish(
        std::make_shared<const RouteTable>(StepRoutes()));
    Test().Add(mEngine, "engine");
    Test().Add(mScorer, "scorer");
    Launch(Test().mIo, "steps", Service().Run());
  }
  std::optional<Error> Accept(RolloutSpec aSpec = Spec()) {
    const Route route = *Test().mNode.mRoutes.Read()->Find("h", "/r/");
    return Test().Run(Service().Accept(std::move(aSpec), route, kBody));
  }
  Result<RolloutRead> Read(int64_t aAfter = 0, int64_t aWaitMs = 0) {
    return Test().Run(Service().Read("s1", aAfter, Millis(aWaitMs)));
  }
  /// Runs until this many results are listed.
  /// \return all listed results
  std::vector<RolloutResult> Listed(size_t aCount) {
    std::vector<RolloutResult> results;
    Test().RunUntil([&] {
      const Result<RolloutRead> read = Read();
      results = read ? read->mResults : std::vector<RolloutResult>();
      return results.size() >= aCount;
    });
    return results;
  }
  RolloutLocation::Kind LocationKind(bool aAdopt = false) {
    return Test().Run(Service().Locate("s1", aAdopt))->mKind;
  }

  void ListsWholeScoredTexts() {
    CPPUNIT_ASSERT(!Accept());
    for (const RolloutResult& result : Listed(2)) {
      CPPUNIT_ASSERT(result.mEnd == RolloutEnd::Completed);
      CPPUNIT_ASSERT_EQUAL(std::string("e1\ne2\ne3"), result.mOutput);
      CPPUNIT_ASSERT_EQUAL("signed-" + result.mItem + "-score", result.mScore);
      CPPUNIT_ASSERT(result.mVersions == std::vector<int64_t>{5});
    }
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, Read()->mTotal);
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, Read()->mNext);
    CPPUNIT_ASSERT(mWorld.mStore.CountOf(PagePrefix("s1")) > 0);
  }

  void AcceptedOnlyOnce() {
    CPPUNIT_ASSERT(!Accept());
    CPPUNIT_ASSERT(!Accept());
    Listed(2);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEngine.mRequests.size());
    Restart("n1-again");
    CPPUNIT_ASSERT(!Accept());
    Test().RunFor(Millis(50));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEngine.mRequests.size());
  }

  void LostAcceptAnswerIsResolved() {
    mWorld.mStore.mFaults = {StoreFault::LostApplied};
    CPPUNIT_ASSERT(!Accept());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Listed(2).size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mWorld.mStore.CountOf("rillwall/step/"));
  }

  void StepRunsWhileTheStoreIsAway() {
    mWorld.mStore.mDown = true;
    const std::optional<Error> open = Accept();
    // The step may still be accepted, and parts of it run, so "not run" would
    // be wrong.
    CPPUNIT_ASSERT(open && open->Run() == RunState::Unknown);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEngine.mRequests.size());
    CPPUNIT_ASSERT(!Test().Run(Service().Locate("s1", false)).has_value());
    mWorld.mStore.mDown = false;
    CPPUNIT_ASSERT(!Accept());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Listed(2).size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEngine.mRequests.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mWorld.mStore.CountOf("rillwall/step/"));
  }

  void LostAnswersLeaveTheOutcomeOpen() {
    for (int i = 0; i < 100; ++i) {
      mWorld.mStore.mFaults.push_back(StoreFault::LostDropped);
    }
    const std::optional<Error> unsure = Accept();
    CPPUNIT_ASSERT(unsure && unsure->Run() == RunState::Unknown);
    mWorld.mStore.mFaults.clear();
    CPPUNIT_ASSERT(!Accept());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Listed(2).size());
  }

  void StepThatNobodySubmitsAgainIsDropped() {
    mEngine.mEvents = 1000;
    mEngine.mDefaultScript.mEventTime = Millis(500);
    mWorld.mStore.mDown = true;
    CPPUNIT_ASSERT(Accept());
    CPPUNIT_ASSERT_EQUAL(2, mEngine.mRunning);
    Test().RunUntil([&] { return mEngine.mRunning == 0; });
    CPPUNIT_ASSERT(!Service().Owns("s1"));
    mWorld.mStore.mDown = false;
    Test().RunFor(Millis(500));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mWorld.mStore.CountOf("rillwall/step/"));
  }

  void ListedResultsAreReadWhileTheStoreIsAway() {
    CPPUNIT_ASSERT(!Accept());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Listed(2).size());
    mWorld.mStore.mDown = true;
    Test().RunFor(Millis(800));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Read()->mResults.size());
    // Only the store can confirm that there are no more results.
    CPPUNIT_ASSERT(!Read(2).has_value());
  }

  void BrokenStreamResumesAtItsEvent() {
    mEngine.mScripts = {{}, {}};
    mEngine.mScripts[0].mBreakAfter = 2;
    Accept();
    for (const RolloutResult& result : Listed(2)) {
      CPPUNIT_ASSERT_EQUAL(std::string("e1\ne2\ne3"), result.mOutput);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, mEngine.mRequests.size());
    const std::string* last = mEngine.mRequests[2].Find("Last-Event");
    CPPUNIT_ASSERT(last != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), *last);
  }

  void StreamWithAMissingEventIsRejected() {
    mEngine.mScripts = {{}};
    mEngine.mScripts[0].mSkipEvent = 2;
    Accept();
    for (const RolloutResult& result : Listed(2)) {
      CPPUNIT_ASSERT_EQUAL(std::string("e1\ne2\ne3"), result.mOutput);
    }
  }

  void StreamOfAnotherRequestIsRejected() {
    mEngine.mScripts = {{}};
    mEngine.mScripts[0].mWrongId = true;
    Accept();
    Listed(2);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, mEngine.mRequests.size());
  }

  void FailingItemIsGivenUpAfterAttempts() {
    mEngine.mDefaultScript.mStatus = 500;
    Accept();
    for (const RolloutResult& result : Listed(2)) {
      CPPUNIT_ASSERT(result.mEnd == RolloutEnd::Terminated);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{6}, mEngine.mRequests.size());
  }

  void ImpossibleItemIsGivenUpAtOnce() {
    mEngine.mDefaultScript.mStatus = 422;
    Accept();
    CPPUNIT_ASSERT(Listed(2)[0].mEnd == RolloutEnd::Terminated);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEngine.mRequests.size());
  }

  void RefusedItemRunsElsewhere() {
    mEngine.mDefaultScript = {503, true};
    Test().Add(mOther, "engine");
    Accept();
    for (const RolloutResult& result : Listed(2)) {
      CPPUNIT_ASSERT(result.mEnd == RolloutEnd::Completed);
    }
  }

  void VersionsComeFromTheEvents() {
    mEngine.mDefaultScript.mVersionAt = 3;
    // The version's field in an event has the name of the header.
    Accept();
    const std::vector<int64_t> expected = {5, 6};
    CPPUNIT_ASSERT(expected == Listed(2)[0].mVersions);
  }

  void SingleVersionTextIsRegenerated() {
    Route route = *Test().mNode.mRoutes.Read()->Find("h", "/r/");
    route.mSingleVersion = true;
    mEngine.mScripts = {{}, {}};
    mEngine.mScripts[0].mVersionAt = 3;
    CPPUNIT_ASSERT(!Test().Run(Service().Accept(Spec(), route, kBody)));
    for (const RolloutResult& result : Listed(2)) {
      CPPUNIT_ASSERT(result.mVersions == std::vector<int64_t>{5});
      CPPUNIT_ASSERT_EQUAL(std::string("e1\ne2\ne3"), result.mOutput);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, mEngine.mRequests.size());
  }

  void TextOfOldWeightsIsRejected() {
    mEngine.mVersion = 3;  // listed with 5
    Accept();
    Test().RunFor(Millis(60));
    CPPUNIT_ASSERT(Read()->mResults.empty());
    mEngine.mVersion = 5;
    for (const RolloutResult& result : Listed(2)) {
      CPPUNIT_ASSERT(result.mVersions == std::vector<int64_t>{5});
    }
  }

  void FailingScorerTerminates() {
    mScorer.mDefaultScript.mStatus = 500;
    Accept();
    for (const RolloutResult& result : Listed(2)) {
      CPPUNIT_ASSERT(result.mEnd == RolloutEnd::Terminated);
      CPPUNIT_ASSERT(result.mScore.empty());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{6}, mScorer.mRequests.size());
  }

  void LostPageAnswerListsOnce() {
    for (const StoreFault fault :
         {StoreFault::LostApplied, StoreFault::LostDropped}) {
      mWorld.mStore.mFaults = {StoreFault::None, fault, fault};
      Accept();
      Listed(2);
      Test().RunFor(Millis(100));
      std::set<std::string> items;
      const Result<RolloutRead> read = Read();
      for (const RolloutResult& result : read->mResults) {
        CPPUNIT_ASSERT(items.insert(result.mItem).second);
      }
      CPPUNIT_ASSERT_EQUAL(size_t{2}, items.size());
    }
  }

  void PagesWaitForTheStore() {
    Accept();
    mWorld.mStore.mDown = true;
    Test().RunFor(Millis(150));
    mWorld.mStore.mDown = false;
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Listed(2).size());
  }

  void ReassignStep() {
    StepRecord record =
        *DecodeStepRecord(mWorld.mStore.Items().at(StepKey("s1")).mValue);
    record.mOwner = "thief";
    record.mAddress = "127.0.0.1:1";
    mWorld.mStore.Write(StepKey("s1"), EncodeStepRecord(record));
  }

  void ReplacedOwnerAppendsNothing() {
    mEngine.mDefaultScript.mEventTime = Millis(30);
    Accept();
    ReassignStep();
    Test().RunUntil([&] { return !Service().Owns("s1"); });
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mWorld.mStore.CountOf(PagePrefix("s1")));
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Remote);
  }

  void OwnerDetectsATakeover() {
    // No write of the step, whose guard would detect the takeover too.
    mEngine.mEvents = 100000;
    mEngine.mDefaultScript.mEventTime = Millis(20000);
    Accept();
    ReassignStep();
    mWorld.mStore.Write(TakeoverKey("n1-run"), "0");
    Test().RunUntil([&] { return !Service().Owns("s1"); });
  }

  void OneCallVerifiesAllSteps() {
    mEngine.mDefaultScript.mEventTime = Millis(20000);
    Accept();
    RolloutSpec second = Spec();
    second.mId = "s2";
    Accept(second);
    Test().RunFor(Millis(800));
    const uint64_t before = mWorld.mStore.Counts().mReads;
    CPPUNIT_ASSERT(Read().has_value());
    CPPUNIT_ASSERT(Test().Run(Service().Read("s2", 0, Millis(0))).has_value());
    CPPUNIT_ASSERT_EQUAL(before + 1, mWorld.mStore.Counts().mReads);
  }

  void SlowStoreStillVerifies() {
    mEngine.mDefaultScript.mEventTime = Millis(20000);
    Accept();
    Test().RunFor(Millis(800));
    mWorld.mStore.mDelay = Millis(900);
    CPPUNIT_ASSERT(Read().has_value());
    mWorld.mStore.mDelay = Millis(0);
  }

  void TakeoverMarksThePreviousOwner() {
    mEngine.mDefaultScript.mEventTime = Millis(20000);
    Accept();
    Restart("n1-again");
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         mWorld.mStore.CountOf(TakeoverKey("n1-run")));
  }

  void UnconfirmedOwnerDoesNotAnswer() {
    mEngine.mDefaultScript.mEventTime = Millis(2000);
    Accept();
    CPPUNIT_ASSERT(Read().has_value());
    mWorld.mStore.mDown = true;
    Test().RunFor(Millis(800));
    CPPUNIT_ASSERT(!Read().has_value());
  }

  void EndStopsRuns() {
    mEngine.mDefaultScript.mEventTime = Millis(1000);
    Accept();
    Test().RunUntil([&] { return mEngine.mRunning == 2; });
    CPPUNIT_ASSERT(!Test().Run(Service().End("s1")));
    CPPUNIT_ASSERT(!Test().Run(Service().End("s1")));
    Test().RunUntil([&] { return mEngine.mRunning == 0; });
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEngine.mRequests.size());
    const StepRecord record =
        *DecodeStepRecord(mWorld.mStore.Items().at(StepKey("s1")).mValue);
    CPPUNIT_ASSERT(record.mEnded);
  }

  void EndedStepStaysReadable() {
    Accept();
    const std::vector<RolloutResult> listed = Listed(2);
    Test().Run(Service().End("s1"));
    CPPUNIT_ASSERT(listed == Read()->mResults);
    Restart("n1-again");
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    CPPUNIT_ASSERT(listed == Read()->mResults);
    CPPUNIT_ASSERT(Read(1)->mResults.at(0) == listed[1]);
  }

  bool StoredAsEnded() {
    const StoreItem item = mWorld.mStore.Items().at(StepKey("s1"));
    return DecodeStepRecord(item.mValue)->mEnded;
  }
  /// Accepts a step, lists its first result, and ends it while the store is
  /// away.
  void EndDuringAnOutage() {
    mEngine.mScripts = {{}, {}};
    mEngine.mScripts[1].mEventTime = Millis(20000);
    Accept();
    Listed(1);
    mWorld.mStore.mDown = true;
    const std::optional<Error> failed = Test().Run(Service().End("s1"));
    CPPUNIT_ASSERT(failed && failed->Run() == RunState::Unknown);
    Test().RunFor(Millis(300));
  }

  /// Guards against a step that can neither be read nor ended: its sender had
  /// given up, and the owner forgot the end request.
  void EndDuringAnOutageTakesEffect() {
    EndDuringAnOutage();
    mWorld.mStore.mDown = false;
    Test().RunUntil([&] { return StoredAsEnded(); });
    Test().RunUntil([&] { return !Service().Owns("s1"); });
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Read()->mResults.size());
    CPPUNIT_ASSERT(Read(1)->mResults.empty());
    CPPUNIT_ASSERT(!Test().Run(Service().End("s1")));
  }

  /// Guards against items of an ended step that the next owner runs on.
  void EndDuringAnOutageStopsTheNextOwner() {
    EndDuringAnOutage();
    StepRecord record =
        *DecodeStepRecord(mWorld.mStore.Items().at(StepKey("s1")).mValue);
    record.mRun = "next-run";
    mWorld.mStore.Write(StepKey("s1"), EncodeStepRecord(record));
    mWorld.mStore.mDown = false;
    Test().RunUntil([&] { return StoredAsEnded(); });
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         mWorld.mStore.CountOf(TakeoverKey("next-run")));
    Test().RunUntil([&] { return !Service().Owns("s1"); });
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Read()->mResults.size());
  }

  // An owner that had been suspended kept its shorter list of results for a
  // step that another one had completed and ended.
  void StepThatAnotherOwnerEndedIsReadFromTheStore() {
    mEngine.mScripts = {{}, {}};
    mEngine.mScripts[1].mEventTime = Millis(3000);
    Accept();
    const std::vector<RolloutResult> before = Listed(1);
    StepRecord record =
        *DecodeStepRecord(mWorld.mStore.Items().at(StepKey("s1")).mValue);
    record.mRun = "next-run";
    record.mEnded = true;
    const std::string other = before[0].mItem == "i1" ? "i2" : "i1";
    const ResultPage page{
        1, {{other, RolloutEnd::Completed, "e1\ne2\ne3", {5}, "s"}}, 2};
    mWorld.mStore.Write(PageKey("s1", 1), EncodeResultPage(page));
    mWorld.mStore.Write(StepKey("s1"), EncodeStepRecord(record));
    CPPUNIT_ASSERT(!Test().Run(Service().End("s1")));
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    const std::vector<RolloutResult> read = Read()->mResults;
    CPPUNIT_ASSERT_EQUAL(size_t{2}, read.size());
    CPPUNIT_ASSERT(before[0] == read[0]);
    CPPUNIT_ASSERT(page.mResults[0] == read[1]);
  }

  void RestartedNodeTakesItsStepOver() {
    mEngine.mScripts = {{}, {}};
    mEngine.mScripts[1].mEventTime = Millis(3000);
    Accept();
    const std::vector<RolloutResult> before = Listed(1);
    Restart("n1-again");
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    const std::vector<RolloutResult> after = Listed(2);
    CPPUNIT_ASSERT(before[0] == after[0]);
    CPPUNIT_ASSERT(after[0].mItem != after[1].mItem);
  }

  /// Runs both items slowly, until the store has some of their texts.
  void AcceptLongTexts() {
    mEngine.mEvents = 60;
    mEngine.mDefaultScript.mEventTime = Millis(20);
    Accept();
    Test().RunUntil(
        [&] { return mWorld.mStore.CountOf(PartPrefix("s1")) > 0; });
  }

  void NextOwnerResumesUnfinishedTexts() {
    AcceptLongTexts();
    Restart("n1-again");
    const size_t before = mEngine.mRequests.size();
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    Test().RunUntil([&] { return mEngine.mRequests.size() == before + 2; });
    for (size_t i = before; i < before + 2; ++i) {
      const std::string* last = mEngine.mRequests[i].Find("Last-Event");
      CPPUNIT_ASSERT(last != nullptr && std::stoi(*last) >= 20);
    }
    for (const RolloutResult& result : Listed(2)) {
      std::string whole = "e1";
      for (int i = 2; i <= 60; ++i) {
        whole += "\ne" + std::to_string(i);
      }
      CPPUNIT_ASSERT_EQUAL(whole, result.mOutput);
    }
  }

  // The number of an unreadable part was used again, and the store refused it.
  void UnreadablePartStopsNothing() {
    AcceptLongTexts();
    mWorld.mStore.Write(PartKey("s1", 0), "{");
    Restart("n1-again");
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    Test().RunUntil(
        [&] { return mWorld.mStore.CountOf(PartPrefix("s1")) > 1; });
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Listed(2).size());
  }

  // An earlier release wrote pages with bytes that are not UTF-8.
  void PageWithWrongBytesStaysReadable() {
    Accept();
    const std::vector<RolloutResult> listed = Listed(2);
    std::string page = mWorld.mStore.Items().at(PageKey("s1", 0)).mValue;
    page.replace(page.find("e2"), 2, "\xFF!");
    mWorld.mStore.Write(PageKey("s1", 0), page);
    for (const char* run : {"n1-again", "n1-after"}) {
      Restart(run);
      CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
      const Result<RolloutRead> answer = Read();
      CPPUNIT_ASSERT(answer.has_value());
      std::vector<RolloutResult> read = answer->mResults;
      CPPUNIT_ASSERT_EQUAL(std::string("e1\n\xEF\xBF\xBD!\ne3"),
                           read.at(0).mOutput);
      read[0].mOutput = listed[0].mOutput;
      CPPUNIT_ASSERT(read == listed);
      Test().Run(Service().End("s1"));
    }
  }

  /// Writes two pages of one result each, the first of which is no JSON.
  void DamageFirstPage() {
    const std::string text = mWorld.mStore.Items().at(PageKey("s1", 0)).mValue;
    ResultPage second = *DecodeResultPage(text);
    second.mFirst = 1;
    second.mResults.erase(second.mResults.begin());
    mWorld.mStore.Write(PageKey("s1", 0), "{\"first\":0,");
    mWorld.mStore.Write(PageKey("s1", 1), EncodeResultPage(second));
  }

  // A page that is no JSON made its step unreadable for good, at all hosts.
  void UnreadablePageOfOpenStepIsListedAnew() {
    Accept();
    const std::vector<RolloutResult> listed = Listed(2);
    DamageFirstPage();
    Restart("n1-again");
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    CPPUNIT_ASSERT(Read(1)->mResults.at(0) == listed[1]);
    CPPUNIT_ASSERT(Listed(2) == listed);
    // The page in the store is whole again, too.
    Restart("n1-after");
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    CPPUNIT_ASSERT(Listed(2) == listed);
  }

  void UnreadablePageOfEndedStepHidesNoOther() {
    Accept();
    const std::vector<RolloutResult> listed = Listed(2);
    CPPUNIT_ASSERT(!Test().Run(Service().End("s1")));
    DamageFirstPage();
    Restart("n1-again");
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    CPPUNIT_ASSERT(Read(1)->mResults == std::vector{listed[1]});
    const Result<RolloutRead> unread = Read(0);
    CPPUNIT_ASSERT(!unread && unread.error().Kind() == ErrorKind::Unavailable);
  }

  void EndedStepLeavesNoUnfinishedTexts() {
    AcceptLongTexts();
    CPPUNIT_ASSERT(!Test().Run(Service().End("s1")));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mWorld.mStore.CountOf(PartPrefix("s1")));
  }

  void ReplacedOwnerKeepsNoTexts() {
    AcceptLongTexts();
    const size_t kept = mWorld.mStore.CountOf(PartPrefix("s1"));
    mWorld.mStore.Write(StepKey("s1"),
                        mWorld.mStore.Items().at(StepKey("s1")).mValue);
    Test().RunFor(Millis(900));
    CPPUNIT_ASSERT_EQUAL(kept, mWorld.mStore.CountOf(PartPrefix("s1")));
  }

  void TextsOutliveAnOutageAndARestart() {
    const std::filesystem::path folder =
        std::filesystem::temp_directory_path() /
        ("rillwall-spool-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    constexpr size_t kAnySize = 1000000;
    Service().mSpool.Open(folder, kAnySize);
    Accept();
    mWorld.mStore.mDown = true;
    // Both texts are generated, scored and on the disk, but not listed.
    Test().RunUntil([&] {
      std::string text;
      for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        std::ifstream file(entry.path());
        text.append(std::istreambuf_iterator<char>(file), {});
      }
      return text.find("signed-i1-score") != std::string::npos &&
             text.find("signed-i2-score") != std::string::npos;
    });
    const size_t before = mEngine.mRequests.size();
    Restart("n1-again");
    Service().mSpool.Open(folder, kAnySize);
    mWorld.mStore.mDown = false;
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Listed(2).size());
    CPPUNIT_ASSERT_EQUAL(before, mEngine.mRequests.size());
    CPPUNIT_ASSERT(!Test().Run(Service().End("s1")));
    Test().RunUntil([&] { return std::filesystem::is_empty(folder); });
    std::filesystem::remove_all(folder);
  }

  int64_t RecordRevision() const {
    return mWorld.mStore.Items().at(StepKey("s1")).mRevision;
  }

  void TakeoverWithoutARouteChangesNothing() {
    mEngine.mDefaultScript.mEventTime = Millis(20000);
    Accept();
    const int64_t revision = RecordRevision();
    Restart("n1-again");
    Test().mNode.mRoutes.Publish(std::make_shared<const RouteTable>());
    const auto place = Test().Run(Service().Locate("s1", false));
    CPPUNIT_ASSERT(!place.has_value());
    CPPUNIT_ASSERT_EQUAL(revision, RecordRevision());
  }

  /// Publishes a configuration without rollout routes.
  void RemoveRolloutRoute(std::vector<Route> aRoutes = {}) {
    Test().mNode.mRoutes.Publish(std::make_shared<const RouteTable>(
        2, std::move(aRoutes), StepRoutes().Services(), ClientLimits()));
  }
  /// Accepts a step, lists its first result, and restarts the node with a
  /// configuration that has no route for the step.
  std::vector<RolloutResult> RestartWithoutRoute() {
    mEngine.mScripts = {{}, {}};
    mEngine.mScripts[1].mEventTime = Millis(20000);
    Accept();
    const std::vector<RolloutResult> before = Listed(1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, before.size());
    Restart("n1-again");
    RemoveRolloutRoute();
    return before;
  }

  /// Guards against results that had been read and can't be read any more: no
  /// host took over a step whose route had been removed.
  void StepOfARemovedRouteStaysReadable() {
    const std::vector<RolloutResult> before = RestartWithoutRoute();
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    CPPUNIT_ASSERT(before == Read()->mResults);
    CPPUNIT_ASSERT(Test().Run(Service().Body("s1", "i2"))->has_value());
    Test().RunFor(Millis(300));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEngine.mRequests.size());
    CPPUNIT_ASSERT(!Test().Run(Service().End("s1")));
    CPPUNIT_ASSERT(before == Read()->mResults);
    Restart("n1-later");
    RemoveRolloutRoute();
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    CPPUNIT_ASSERT(before == Read()->mResults);
  }

  /// Guards against items that run by a route of another kind, which matches
  /// the step's path once the step's own route has been removed.
  void StepDoesNotRunOnARouteOfAnotherKind() {
    RestartWithoutRoute();
    Route plain;
    plain.mHost = "h";
    plain.mPrefix = "/";
    plain.mTargets = {{"engine", 1}};
    RemoveRolloutRoute({plain});
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    Test().RunFor(Millis(300));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEngine.mRequests.size());
  }

  /// Guards against items that wait for ever once their route is back.
  void StepRunsOnWhenItsRouteReturns() {
    const std::vector<RolloutResult> before = RestartWithoutRoute();
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    Test().RunFor(Millis(150));
    Test().mNode.mRoutes.Publish(
        std::make_shared<const RouteTable>(StepRoutes()));
    const std::vector<RolloutResult> all = Listed(2);
    CPPUNIT_ASSERT(before[0] == all[0]);
    CPPUNIT_ASSERT(all[1].mEnd == RolloutEnd::Completed);
    CPPUNIT_ASSERT_EQUAL(std::string("e1\ne2\ne3"), all[1].mOutput);
  }

  /// Guards against a step that stays open for ever without its route.
  void StepOfARemovedRouteIsGivenUp() {
    RestartWithoutRoute();
    StepRecord record =
        *DecodeStepRecord(mWorld.mStore.Items().at(StepKey("s1")).mValue);
    record.mAcceptedMs -= 3600 * 1000;
    mWorld.mStore.Write(StepKey("s1"), EncodeStepRecord(record));
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    const Millis begun = Test().mNode.Now();
    Test().RunFor(Millis(500));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Read()->mResults.size());
    CPPUNIT_ASSERT(Listed(2)[1].mEnd == RolloutEnd::Terminated);
    CPPUNIT_ASSERT(Test().mNode.Now() - begun > Millis(5000));
  }

  void SubmissionAfterAnInterruptedTakeover() {
    Accept();
    const std::vector<RolloutResult> before = Listed(2);
    Restart("n1-again");
    // The takeover is in the store, but the process does not know the step.
    StepRecord record =
        *DecodeStepRecord(mWorld.mStore.Items().at(StepKey("s1")).mValue);
    record.mRun = Test().mNode.mIdentity.mRun;
    mWorld.mStore.Write(StepKey("s1"), EncodeStepRecord(record));
    const size_t requests = mEngine.mRequests.size();
    CPPUNIT_ASSERT(!Accept());
    Test().RunFor(Millis(100));
    CPPUNIT_ASSERT_EQUAL(requests, mEngine.mRequests.size());
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    CPPUNIT_ASSERT(before == Listed(2));
  }

  void StoredResultsAreNotOverwritten() {
    Accept();
    const ResultPage other{0, {{"i1", RolloutEnd::Terminated, "", {}, ""}}, 2};
    mWorld.mStore.Write(PageKey("s1", 0), EncodeResultPage(other));
    Test().RunUntil([&] { return !Service().Owns("s1"); });
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Local);
    CPPUNIT_ASSERT(Listed(2)[0] == other.mResults[0]);
  }

  void StoppingOwnerStillLists() {
    Test().mNode.mStopping = true;
    mEngine.mScripts = {{}, {}};
    mEngine.mScripts[0].mStatus = 422;
    mEngine.mScripts[1].mEventTime = Millis(100);
    mEngine.mEvents = 100000;
    RolloutSpec spec = Spec();
    spec.mItems[1].mGroup = "another";
    spec.mTargetGroups = 2;
    Accept(spec);
    // No other result follows soon, so this one is written after its wait.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Listed(1).size());
  }

  void ConcurrentTakeoversRunOnce() {
    mEngine.mDefaultScript.mEventTime = Millis(500);
    Accept();
    Restart("n1-again");
    int found = 0;
    const auto locate = [&]() -> asio::awaitable<void> {
      co_await Service().Locate("s1", false);
      ++found;
    };
    Launch(Test().mIo, "one", locate());
    Launch(Test().mIo, "two", locate());
    Test().RunUntil([&] { return found == 2; });
    Test().RunUntil([&] { return mEngine.mRequests.size() >= 4; });
    Test().RunFor(Millis(100));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, mEngine.mRequests.size());
  }

  /// Starts a coroutine that runs besides others.
  /// \return set to true once it has ended
  std::shared_ptr<bool> RunConcurrently(asio::awaitable<void> aWork) {
    auto ended = std::make_shared<bool>(false);
    const auto run = [](asio::awaitable<void> aInner,
                        std::shared_ptr<bool> aEnded) -> asio::awaitable<void> {
      co_await std::move(aInner);
      *aEnded = true;
    };
    Launch(Test().mIo, "beside", run(std::move(aWork), ended));
    return ended;
  }
  asio::awaitable<void> LocateOnce() { co_await Service().Locate("s1", false); }
  asio::awaitable<void> AcceptOnce() {
    const Route route = *Test().mNode.mRoutes.Read()->Find("h", "/r/");
    const std::optional<Error> failed =
        co_await Service().Accept(Spec(), route, kBody);
    CPPUNIT_ASSERT(!failed);
  }
  /// \return the results in the store, in the order of their pages' keys
  std::vector<std::string> Stored() const {
    std::vector<std::string> items;
    for (const auto& [key, item] : mWorld.mStore.Items()) {
      if (key.starts_with(PagePrefix("s1"))) {
        const Result<ResultPage> page = DecodeResultPage(item.mValue);
        CPPUNIT_ASSERT_EQUAL(static_cast<int64_t>(items.size()), page->mFirst);
        for (const RolloutResult& result : page->mResults) {
          items.push_back(result.mItem);
        }
      }
    }
    return items;
  }

  void RepeatedSubmissionDuringTakeover() {
    mEngine.mScripts = {{}, {}};
    mEngine.mScripts[1].mEventTime = Millis(3000);
    Accept();
    Listed(1);
    Restart("n1-again");
    mWorld.mStore.mDelay = Millis(20);
    const auto located = RunConcurrently(LocateOnce());
    Test().RunFor(Millis(30));
    const auto accepted = RunConcurrently(AcceptOnce());
    Test().RunUntil([&] { return *located && *accepted; });
    mWorld.mStore.mDelay = Millis(0);
    Listed(2);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Stored().size());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, mEngine.mRequests.size());
  }

  void ReaderDuringAcceptance() {
    mWorld.mStore.mDelay = Millis(20);
    const auto accepted = RunConcurrently(AcceptOnce());
    Test().RunFor(Millis(10));
    const auto again = RunConcurrently(AcceptOnce());
    for (int i = 0; i < 5; ++i) {
      RunConcurrently(LocateOnce());
      Test().RunFor(Millis(7));
    }
    Test().RunUntil([&] { return *accepted && *again; });
    mWorld.mStore.mDelay = Millis(0);
    Listed(2);
    Test().RunFor(Millis(100));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Stored().size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEngine.mRequests.size());
  }

  void LeadAdoptsOrphans() {
    mEngine.mDefaultScript.mEventTime = Millis(300);
    Accept();
    Restart("n2-run", "127.0.0.1:2");
    ReassignStep();  // the new owner's address refuses connections
    const auto adopt = [&]() -> asio::awaitable<bool> {
      co_await Service().AdoptOrphans();
      co_return true;
    };
    Test().Run(adopt());
    Test().RunUntil([&] { return Service().Owns("s1"); });
  }

  void UnreachableOwnerIsNotProbedAgain() {
    mEngine.mDefaultScript.mEventTime = Millis(300);
    // The scorer answers every request with 200, including health checks.
    const std::string address = mScorer.Entry("scorer").mAddress;
    Restart("n1-later", address);
    Accept();
    Restart("n2-run", "127.0.0.1:2");
    const auto adopt = [&](std::string aGone) -> asio::awaitable<bool> {
      co_await Service().AdoptOrphans(std::move(aGone));
      co_return true;
    };
    Test().Run(adopt(""));
    Test().RunFor(Millis(100));
    CPPUNIT_ASSERT(!Service().Owns("s1"));
    Test().Run(adopt(address));
    Test().RunUntil([&] { return Service().Owns("s1"); });
  }

  void UnknownStepIsUnknown() {
    CPPUNIT_ASSERT(LocationKind() == RolloutLocation::Kind::Unknown);
    mWorld.mStore.mDown = true;
    CPPUNIT_ASSERT(!Test().Run(Service().Locate("s1", false)).has_value());
  }

  void TextsAreCarriedOver() {
    mEngine.mScripts = {{}, {}};
    mEngine.mScripts[0].mBreakAfter = 2;
    mEngine.mScripts[1].mEventTime = Millis(2000);
    mEngine.mDefaultScript.mEventTime = Millis(2000);
    Accept();
    Test().RunUntil([&] { return mEngine.mRequests.size() == 3; });
    Test().Run(Service().End("s1"));
    mEngine.mDefaultScript.mEventTime = Millis(1);
    RolloutSpec next = Spec();
    next.mId = "s2";
    Accept(next);
    Test().RunUntil([&] { return mEngine.mRequests.size() == 5; });
    bool resumed = false;
    for (size_t i = 3; i < 5; ++i) {
      const std::string* last = mEngine.mRequests[i].Find("Last-Event");
      resumed = resumed || (last != nullptr && *last == "2");
    }
    CPPUNIT_ASSERT(resumed);
  }

  void OldEndedStepsAreRemoved() {
    Accept();
    Listed(2);
    const auto sweep = [&]() -> asio::awaitable<bool> {
      co_await Service().Sweep();
      co_return true;
    };
    const auto age = [&](bool aEnded) {
      StepRecord record =
          *DecodeStepRecord(mWorld.mStore.Items().at(StepKey("s1")).mValue);
      record.mAcceptedMs -= 3600 * 1000;
      record.mEnded = aEnded;
      mWorld.mStore.Write(StepKey("s1"), EncodeStepRecord(record));
    };
    age(false);
    Test().Run(sweep());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mWorld.mStore.CountOf(StepKey("s1")));
    age(true);
    Test().Run(sweep());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mWorld.mStore.CountOf("rillwall/"));
  }

  void YoungEndedStepsAreKept() {
    Accept();
    Listed(2);
    Test().Run(Service().End("s1"));
    const auto sweep = [&]() -> asio::awaitable<bool> {
      co_await Service().Sweep();
      co_return true;
    };
    Test().Run(sweep());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mWorld.mStore.CountOf(StepKey("s1")));
  }

  void OlderStepRunsFirst() {
    mEngine.mSlots = 1;
    Restart("n1-again");
    Accept();
    RolloutSpec later = Spec();
    later.mId = "a0";  // sorts before the other id
    later.mItems[0].mId = "j1";
    later.mItems[1].mId = "j2";
    Accept(later);
    Test().RunUntil([&] { return mEngine.mRequests.size() == 4; });
    std::string order;
    for (const HttpRequest& request : mEngine.mRequests) {
      order += *request.Find("Id") + " ";
    }
    CPPUNIT_ASSERT_EQUAL(std::string("i1 i2 j1 j2 "), order);
  }

  void OverdueItemsAreGivenUp() {
    Route route = *Test().mNode.mRoutes.Read()->Find("h", "/r/");
    route.mMaxWait = Millis(150);
    mEngine.mDefaultScript.mEventTime = Millis(2000);
    CPPUNIT_ASSERT(!Test().Run(Service().Accept(Spec(), route, kBody)));
    for (const RolloutResult& result : Listed(2)) {
      CPPUNIT_ASSERT(result.mEnd == RolloutEnd::Terminated);
    }
  }

  // A saturated owner learns late that a step was ended or taken over. In this
  // test the store is late, and answers in the end.
  void LateOwnerStartsNoItems() {
    mEngine.mSlots = 1;
    Restart("n1-again");
    Test().mNode.mBounds.mCancel = Millis(2000);
    mEngine.mDefaultScript.mEventTime = Millis(800);
    Accept();
    mWorld.mStore.mDelay = Millis(2000);
    // The second item would start after 2.4 s, and the store answers at 3.5 s.
    Test().RunFor(Millis(3000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mEngine.mRequests.size());
    mWorld.mStore.mDelay = Millis(0);
    Test().RunUntil([&] { return mEngine.mRequests.size() == 2; });
  }

  asio::awaitable<void> LoadArchiveOnce(std::optional<Error> aWanted) {
    const std::optional<Error> failed = co_await Service().LoadArchive("s1");
    CPPUNIT_ASSERT(failed.has_value() == aWanted.has_value());
    ++mLoads;
  }
  int mLoads = 0;

  void ConcurrentReadersShareOneLoad() {
    Accept();
    Listed(2);
    CPPUNIT_ASSERT(!Test().Run(Service().End("s1")));
    Restart("n2-run", "n2-address");
    mWorld.mStore.mDelay = Millis(20);
    const uint64_t before = mWorld.mStore.Counts().mReads;
    for (int i = 0; i < 4; ++i) {
      Launch(Test().mIo, "look", LoadArchiveOnce(std::nullopt));
    }
    Test().RunUntil([&] { return mLoads == 4; });
    // One read of the record and one list of pages.
    CPPUNIT_ASSERT_EQUAL(before + 2, mWorld.mStore.Counts().mReads);
    mWorld.mStore.mDelay = Millis(0);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Read()->mResults.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutServiceTest);

}  // namespace rillwall
