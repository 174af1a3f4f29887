/// \file
/// Tests of the hand-over of a step between two live hosts: who keeps a step,
/// which texts move, and what happens when the hand-over fails halfway.

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "rillwall/json.h"
#include "rillwall/rollout_service.h"
#include "rollout_test_support.h"

namespace rillwall {

namespace {

constexpr char kBody[] = "the submission";
constexpr int kTexts = 4;

RolloutSpec Spec() {
  RolloutSpec spec;
  spec.mId = "s1";
  spec.mHost = "h";
  spec.mPath = "/r/";
  spec.mModel = "m";
  for (int i = 0; i < kTexts; ++i) {
    RolloutItem item;
    item.mId = "i" + std::to_string(i);
    item.mGroup = "g" + std::to_string(i / 2);
    item.mPath = "/r/x";
    item.mScorer = ScorerCall{item.mId + "-score", "h", "/score/", "b"};
    spec.mItems.push_back(item);
  }
  return spec;
}

/// StepRoutes(), with a second rollout route.
RouteTable Routes(int aOtherPriority) {
  std::vector<Route> routes = StepRoutes().Routes();
  Route other = *StepRoutes().Find("h", "/r/");
  other.mPrefix = "/other/";
  other.mPriority = aOtherPriority;
  routes.push_back(other);
  return RouteTable(1, routes, StepRoutes().Services(), {});
}

/// One host's path to the store, which can be cut.
class StorePath final : public StorePort {
 public:
  explicit StorePath(FakeStore& aStore) : mStore(aStore) {}
  bool mCut = false;

  asio::awaitable<Result<std::optional<StoreItem>>> Get(
      std::string aKey) override {
    if (mCut) {
      co_return Cut();
    }
    co_return co_await mStore.Get(std::move(aKey));
  }
  asio::awaitable<Result<std::optional<StoreItem>>> GetStale(
      std::string aKey) override {
    return Get(std::move(aKey));
  }
  asio::awaitable<Result<StoreList>> List(std::string aPrefix,
                                          std::string aAfter) override {
    if (mCut) {
      co_return Cut();
    }
    co_return co_await mStore.List(std::move(aPrefix), std::move(aAfter));
  }
  asio::awaitable<Result<StoreCommit>> Commit(StoreChange aChange) override {
    if (mCut) {
      co_return Cut();
    }
    co_return co_await mStore.Commit(std::move(aChange));
  }
  asio::awaitable<Result<StoreEvents>> Watch(std::string, int64_t,
                                             Millis) override {
    co_return Cut();
  }
  asio::awaitable<Result<StoreLease>> Grant(Millis) override {
    co_return Cut();
  }
  asio::awaitable<Result<bool>> Renew(int64_t) override { co_return Cut(); }
  asio::awaitable<std::optional<Error>> Release(int64_t) override {
    co_return Cut();
  }
  StoreCounts Counts() const override { return mStore.Counts(); }

 private:
  static Error Cut() { return {ErrorKind::KvUnavailable, "the path is cut"}; }
  FakeStore& mStore;
};

/// How a host answers other hosts.
enum class HostFault { None, Frozen, Truncates, Garbles, OlderBuild };

/// A host with its rollout service and its server for other hosts.
struct Host {
  Host(TestWorld& aWorld, const std::string& aName)
      : mIo(aWorld.mIo), mPath(aWorld.mStore) {
    const Endpoint bound = *mServer.Listen({"127.0.0.1", 0});
    mNode.mIdentity = {aName, "z", bound.Text(), aName + "-run", false};
    mNode.mHeaders = TestHeaders();
    mNode.mRoutes.Publish(std::make_shared<const RouteTable>(Routes(1)));
    Launch(mIo, "steps", mService.Run());
  }
  ~Host() { mServer.Stop(); }

  asio::awaitable<void> Serve(const HttpRequest& aRequest,
                              HttpExchange& aExchange) {
    ++mAsked;
    while (mFault == HostFault::Frozen) {
      co_await Sleep(mIo, Millis(20));
    }
    HttpResponse response;
    if (aRequest.Path() == kHealthPath) {
      response.mStatus = mPath.mCut ? 503 : 200;
    } else if (mFault == HostFault::OlderBuild) {
      response.mStatus = 404;
    } else {
      response = HandleHandoverRequest(mService, aRequest, !mPath.mCut);
    }
    const bool broken = aRequest.mMethod == "POST";
    if (broken && mFault == HostFault::Truncates) {
      const size_t half = response.mBody.size() / 2;
      co_await aExchange.Begin(HttpResponse());
      co_await aExchange.Write(response.mBody.substr(0, half));
      aExchange.Abort();
      co_return;
    }
    if (broken && mFault == HostFault::Garbles) {
      const RolloutPart later{"i0", 2, 3, "e3", {5}, true, "forged"};
      const RolloutPart unknown{"i9", 0, 3, "e1", {5}, true, "forged"};
      const RolloutPart early{"i1", 0, 1, "e1", {5}, false, "forged"};
      const RolloutPart unversioned{"i2", 0, 3, "e1", {}, true, "forged"};
      response = HttpResponse::Json(
          200, EncodeParts({later, unknown, early, unversioned}));
    }
    co_await aExchange.Respond(std::move(response));
  }

  asio::io_context& mIo;
  StorePath mPath;
  NodeContext mNode{mIo, mPath};
  RolloutService mService{
      mNode,
      [](const std::string&, const StepRecord&, const std::string&,
         MemoryCharge&) -> Result<RolloutSpec> { return Spec(); }};
  HostFault mFault = HostFault::None;
  int mAsked = 0;  ///< number of requests of other hosts
  HttpServer mServer{
      mIo, HttpLimits(),
      [this](const HttpRequest& aRequest, HttpExchange& aExchange) {
        return Serve(aRequest, aExchange);
      }};
};

}  // namespace

class StepHandoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepHandoverTest);
  CPPUNIT_TEST(OwnerThatReachesTheStoreAgainKeepsItsStep);
  CPPUNIT_TEST(CompleteTextsMove);
  CPPUNIT_TEST(UnfinishedTextsMove);
  CPPUNIT_TEST(TextsMoveAfterTheOwnerHasNoticed);
  CPPUNIT_TEST(LeavingOwnerHandsOver);
  CPPUNIT_TEST(OwnerWithoutTheStepLosesIt);
  CPPUNIT_TEST(OneQuestionForAllStepsOfAnOwner);
  CPPUNIT_TEST(FrozenOwnerDelaysLittle);
  CPPUNIT_TEST(OwnerBackLaterListsNothing);
  CPPUNIT_TEST(OwnerBackLaterStartsNothingUnconfirmed);
  CPPUNIT_TEST(OwnerReachableInOneDirectionOnly);
  CPPUNIT_TEST(TruncatedAnswerIsNotUsed);
  CPPUNIT_TEST(GarbledPartsAreNotUsed);
  CPPUNIT_TEST(OlderBuildIsHandledAsBefore);
  CPPUNIT_TEST(RequestForAnotherStepIsRefused);
  CPPUNIT_TEST(BothHostsLoseTheStore);
  CPPUNIT_TEST(EndedStepRunsNothingAtTheOldOwner);
  CPPUNIT_TEST(UnrankedRoutesAreHandledAsBefore);
  CPPUNIT_TEST(RepeatedSubmissionRunsOnceDuringAnOutage);
  CPPUNIT_TEST(RepeatedSubmissionOfAnAcceptedStepRunsOnce);
  CPPUNIT_TEST(NewLeadCollectsTextsOfAnUnwrittenStep);
  CPPUNIT_TEST(TextsOfADiscardedStepAreKept);
  CPPUNIT_TEST(SubmissionRunsIfItsHolderIsFrozen);
  CPPUNIT_TEST(LateHolderKeepsItsSubmission);
  CPPUNIT_TEST_SUITE_END();

  TestWorld mWorld;
  ScriptedReplica mEngine{mWorld.mIo, "engine1", TestHeaders()};
  ScriptedReplica mScorer{mWorld.mIo, "scorer1", TestHeaders()};
  Host mOld{mWorld, "old"};
  Host mNew{mWorld, "new"};

 public:
  void setUp() override {
    mScorer.mStreams = false;
    for (Host* host : {&mOld, &mNew}) {
      host->mNode.mReplicas.Update(
          {mEngine.Entry("engine"), mScorer.Entry("scorer")}, false);
    }
  }
  void tearDown() override { mWorld.mIo.Close(); }

 private:
  template <class Condition>
  void RunUntil(Condition aCondition) {
    const Millis end = mOld.mNode.Now() + Millis(20000);
    while (!aCondition()) {
      CPPUNIT_ASSERT_MESSAGE("waited too long", mOld.mNode.Now() < end);
      mWorld.mIo.run_one_for(std::chrono::milliseconds(1));
      mWorld.mIo.restart();
    }
  }
  void RunFor(int64_t aMs) {
    const Millis end = mOld.mNode.Now() + Millis(aMs);
    RunUntil([&] { return mOld.mNode.Now() >= end; });
  }
  /// Runs a coroutine to its end.
  template <class Value>
  Value Run(asio::awaitable<Value> aWork) {
    std::optional<Value> result;
    asio::co_spawn(mWorld.mIo, std::move(aWork),
                   [&](std::exception_ptr, Value aValue) {
                     result.emplace(std::move(aValue));
                   });
    RunUntil([&] { return result.has_value(); });
    return std::move(*result);
  }
  /// Lets the old host accept a step and lose its path to the store.
  void AcceptAndCut(int64_t aEventMs = 1, RolloutSpec aSpec = Spec()) {
    mEngine.mDefaultScript.mEventTime = Millis(aEventMs);
    const Route route = *mOld.mNode.mRoutes.Read()->Find("h", "/r/");
    CPPUNIT_ASSERT(!Run(mOld.mService.Accept(std::move(aSpec), route, kBody)));
    mOld.mPath.mCut = true;
  }
  /// Runs until the old host holds all texts, complete and scored.
  void CompleteTexts() {
    RunUntil([&] { return mScorer.mRequests.size() >= kTexts; });
    RunFor(50);
  }
  void Adopt() { Launch(mWorld.mIo, "adopt", mNew.mService.AdoptOrphans()); }
  void AdoptAndTake() {
    Adopt();
    RunUntil([&] { return mNew.mService.Owns("s1"); });
  }
  /// Runs until a host has listed all items, and checks them.
  void CheckListed(Host& aHost) {
    std::set<std::string> items;
    size_t listed = 0;
    RunUntil([&] {
      const Result<RolloutRead> read =
          Run(aHost.mService.Read("s1", 0, Millis(0)));
      listed = read ? read->mResults.size() : 0;
      for (size_t i = 0; i < listed; ++i) {
        items.insert(read->mResults[i].mItem);
        CPPUNIT_ASSERT_EQUAL("signed-" + read->mResults[i].mItem + "-score",
                             read->mResults[i].mScore);
      }
      return listed >= kTexts;
    });
    CPPUNIT_ASSERT_EQUAL(size_t{kTexts}, listed);
    CPPUNIT_ASSERT_EQUAL(size_t{kTexts}, items.size());
  }
  /// \return number of texts that the engine was asked for again
  size_t Regenerated() const { return mEngine.mRequests.size() - kTexts; }

  // The store answers the new lead a moment earlier than the old one.
  void OwnerThatReachesTheStoreAgainKeepsItsStep() {
    AcceptAndCut();
    CompleteTexts();
    Adopt();
    RunFor(600);
    mOld.mPath.mCut = false;
    CheckListed(mOld);
    RunFor(300);
    CPPUNIT_ASSERT(mOld.mService.Owns("s1"));
    CPPUNIT_ASSERT(!mNew.mService.Owns("s1"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Regenerated());
  }

  void CompleteTextsMove() {
    AcceptAndCut();
    CompleteTexts();
    AdoptAndTake();
    CPPUNIT_ASSERT(!mOld.mService.Owns("s1"));
    // Readers with an old location are directed on while the store is away.
    const auto place = Run(mOld.mService.Locate("s1", false));
    CPPUNIT_ASSERT(place && place->mAddress == mNew.mNode.mIdentity.mAddress);
    CheckListed(mNew);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Regenerated());
    CPPUNIT_ASSERT_EQUAL(size_t{kTexts}, mScorer.mRequests.size());
  }

  void UnfinishedTextsMove() {
    mEngine.mEvents = 60;
    AcceptAndCut(80);
    RunFor(400);
    AdoptAndTake();
    RunUntil([&] { return mEngine.mRequests.size() == 2 * kTexts; });
    RunFor(200);  // the engine notices closed connections when it writes
    CPPUNIT_ASSERT_EQUAL(kTexts, mEngine.mRunning);
    for (size_t i = kTexts; i < 2 * kTexts; ++i) {
      const std::string* last = mEngine.mRequests[i].Find("Last-Event");
      CPPUNIT_ASSERT(last != nullptr && std::stoi(*last) > 4);
    }
  }

  // The old owner may learn of the takeover before the request arrives.
  void TextsMoveAfterTheOwnerHasNoticed() {
    AcceptAndCut();
    CompleteTexts();
    const StoreItem item = mWorld.mStore.Items().at(StepKey("s1"));
    mWorld.mStore.Write(StepKey("s1"), item.mValue);
    mOld.mPath.mCut = false;
    RunUntil([&] { return !mOld.mService.Owns("s1"); });
    AdoptAndTake();
    CheckListed(mNew);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Regenerated());
  }

  void LeavingOwnerHandsOver() {
    mEngine.mEvents = 60;
    AcceptAndCut(80);
    mOld.mPath.mCut = false;
    mOld.mNode.mStopping = true;
    RunFor(300);
    AdoptAndTake();
    CPPUNIT_ASSERT(!mOld.mService.Owns("s1"));
  }

  // A process that restarted at the owner's address answers as a live owner.
  void OwnerWithoutTheStepLosesIt() {
    AcceptAndCut(1000);
    mOld.mPath.mCut = false;
    StepRecord record =
        *DecodeStepRecord(mWorld.mStore.Items().at(StepKey("s1")).mValue);
    record.mRun = "earlier-run";
    mWorld.mStore.Write(StepKey("s1"), EncodeStepRecord(record));
    AdoptAndTake();
  }

  void OneQuestionForAllStepsOfAnOwner() {
    AcceptAndCut(1000);
    mOld.mPath.mCut = false;
    for (const char* id : {"s2", "s3", "s4"}) {
      RolloutSpec spec = Spec();
      spec.mId = id;
      const Route route = *mOld.mNode.mRoutes.Read()->Find("h", "/r/");
      CPPUNIT_ASSERT(!Run(mOld.mService.Accept(spec, route, kBody)));
    }
    Adopt();
    RunFor(200);
    CPPUNIT_ASSERT_EQUAL(1, mOld.mAsked);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mNew.mService.OpenSteps());
  }

  void FrozenOwnerDelaysLittle() {
    AcceptAndCut();
    CompleteTexts();
    mOld.mFault = HostFault::Frozen;
    AdoptAndTake();
    CheckListed(mNew);
    CPPUNIT_ASSERT_EQUAL(size_t{kTexts}, Regenerated());
  }

  void OwnerBackLaterListsNothing() {
    FrozenOwnerDelaysLittle();
    const size_t pages = mWorld.mStore.CountOf(PagePrefix("s1"));
    mOld.mFault = HostFault::None;
    mOld.mPath.mCut = false;
    RunUntil([&] { return !mOld.mService.Owns("s1"); });
    CPPUNIT_ASSERT_EQUAL(pages, mWorld.mStore.CountOf(PagePrefix("s1")));
    CheckListed(mNew);
  }

  // The step may have moved and ended while its owner was frozen.
  void OwnerBackLaterStartsNothingUnconfirmed() {
    const auto clock = std::make_shared<SuspendedClock>();
    mOld.mNode.mClock = clock;
    mEngine.mSlots = 1;
    setUp();
    AcceptAndCut(300);
    RunFor(2000);
    const size_t requests = mEngine.mRequests.size();
    CPPUNIT_ASSERT(requests > 1);  // items start during the outage
    mWorld.mStore.mDelay = Millis(2500);
    mOld.mPath.mCut = false;
    clock->Suspend(Millis(20000));
    RunFor(2000);
    CPPUNIT_ASSERT_EQUAL(requests, mEngine.mRequests.size());
    RunUntil([&] { return mEngine.mRequests.size() > requests; });
  }

  // The old owner gets no requests, but reaches the store.
  void OwnerReachableInOneDirectionOnly() {
    mEngine.mEvents = 60;
    AcceptAndCut(20);
    mOld.mPath.mCut = false;
    mOld.mFault = HostFault::Frozen;
    AdoptAndTake();
    RunUntil([&] { return !mOld.mService.Owns("s1"); });
    CheckListed(mNew);
  }

  // The old owner ends while it sends.
  void TruncatedAnswerIsNotUsed() {
    AcceptAndCut();
    CompleteTexts();
    mOld.mFault = HostFault::Truncates;
    AdoptAndTake();
    CheckListed(mNew);
    CPPUNIT_ASSERT_EQUAL(size_t{kTexts}, Regenerated());
  }

  void GarbledPartsAreNotUsed() {
    AcceptAndCut();
    CompleteTexts();
    mOld.mFault = HostFault::Garbles;
    AdoptAndTake();
    CheckListed(mNew);
    CPPUNIT_ASSERT_EQUAL(size_t{kTexts}, Regenerated());
  }

  void OlderBuildIsHandledAsBefore() {
    AcceptAndCut();
    CompleteTexts();
    mOld.mFault = HostFault::OlderBuild;
    mOld.mPath.mCut = false;
    Adopt();
    RunFor(200);
    CPPUNIT_ASSERT(!mNew.mService.Owns("s1"));
    mOld.mPath.mCut = true;
    AdoptAndTake();
    CheckListed(mNew);
  }

  void RequestForAnotherStepIsRefused() {
    mEngine.mEvents = 60;
    AcceptAndCut(80);
    const int64_t revision = mWorld.mStore.Items().at(StepKey("s1")).mRevision;
    const auto kindOf = [&](const HandoverRequest& aRequest) {
      const auto parts = mOld.mService.HandOver(aRequest);
      return parts ? std::optional<ErrorKind>() : parts.error().Kind();
    };
    CPPUNIT_ASSERT(kindOf({"s2", "old-run", 99, "a"}) == ErrorKind::NotFound);
    CPPUNIT_ASSERT(kindOf({"s1", "x-run", 99, "a"}) == ErrorKind::Unavailable);
    CPPUNIT_ASSERT(kindOf({"s1", "old-run", revision, "a"}) ==
                   ErrorKind::Unavailable);
    CPPUNIT_ASSERT(mOld.mService.Owns("s1"));
    CPPUNIT_ASSERT(!kindOf({"s1", "old-run", revision + 1, "a"}));
    CPPUNIT_ASSERT(!mOld.mService.Owns("s1"));
  }

  void BothHostsLoseTheStore() {
    AcceptAndCut();
    CompleteTexts();
    mNew.mPath.mCut = true;
    Adopt();
    RunFor(300);
    CPPUNIT_ASSERT(mOld.mService.Owns("s1"));
    CPPUNIT_ASSERT(!mNew.mService.Owns("s1"));
    mOld.mPath.mCut = false;
    CheckListed(mOld);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Regenerated());
  }

  // Without the request, the old owner would run on, as its store is away.
  void EndedStepRunsNothingAtTheOldOwner() {
    mEngine.mEvents = 2000;
    AcceptAndCut(20);
    AdoptAndTake();
    const auto failed = Run(mNew.mService.End("s1"));
    CPPUNIT_ASSERT(!failed);
    RunUntil([&] { return mEngine.mRunning == 0; });
    const size_t requests = mEngine.mRequests.size();
    RunFor(500);
    CPPUNIT_ASSERT_EQUAL(requests, mEngine.mRequests.size());
  }

  void UnrankedRoutesAreHandledAsBefore() {
    for (Host* host : {&mOld, &mNew}) {
      host->mNode.mRoutes.Publish(
          std::make_shared<const RouteTable>(Routes(0)));
    }
    AcceptAndCut();
    CompleteTexts();
    AdoptAndTake();
    CPPUNIT_ASSERT_EQUAL(1, mOld.mAsked);
    CheckListed(mNew);
    CPPUNIT_ASSERT_EQUAL(size_t{kTexts}, Regenerated());
  }

  /// Lets the hosts know each other.
  void Connect() {
    mOld.mService.mPeers = [this] {
      return std::vector{mNew.mNode.mIdentity.mAddress};
    };
    mNew.mService.mPeers = [this] {
      return std::vector{mOld.mNode.mIdentity.mAddress};
    };
  }
  std::optional<Error> Submit(Host& aHost) {
    const Route route = *aHost.mNode.mRoutes.Read()->Find("h", "/r/");
    return Run(aHost.mService.Accept(Spec(), route, kBody));
  }

  /// Guards against a submission that two hosts run while the store is away:
  /// its sender repeats it at the other host, and there is no record of it yet.
  void RepeatedSubmissionRunsOnceDuringAnOutage() {
    Connect();
    mOld.mPath.mCut = true;
    mNew.mPath.mCut = true;
    CPPUNIT_ASSERT(Submit(mOld));
    CPPUNIT_ASSERT_EQUAL(size_t{kTexts}, mEngine.mRequests.size());
    CPPUNIT_ASSERT(Submit(mNew));
    CPPUNIT_ASSERT_EQUAL(size_t{kTexts}, mEngine.mRequests.size());
    // The store answers one host a moment earlier than the other.
    mNew.mPath.mCut = false;
    CheckListed(mNew);
    mOld.mPath.mCut = false;
    RunFor(600);
    CPPUNIT_ASSERT(!mOld.mService.Owns("s1"));
    CPPUNIT_ASSERT(mNew.mService.Owns("s1"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Regenerated());
    CPPUNIT_ASSERT_EQUAL(size_t{kTexts}, mScorer.mRequests.size());
  }

  /// Guards against a step that runs again at a host to which its sender
  /// repeats it during an outage, as the acknowledgement was lost.
  void RepeatedSubmissionOfAnAcceptedStepRunsOnce() {
    Connect();
    AcceptAndCut();
    mNew.mPath.mCut = true;
    CompleteTexts();
    CPPUNIT_ASSERT(Submit(mNew));
    CPPUNIT_ASSERT_EQUAL(size_t{kTexts}, mEngine.mRequests.size());
    mNew.mPath.mCut = false;
    RunFor(600);
    CPPUNIT_ASSERT(!mNew.mService.Owns("s1"));
    mOld.mPath.mCut = false;
    CheckListed(mOld);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Regenerated());
  }

  /// Guards against texts that a new lead generates again: the former lead runs
  /// the step, and the store answers the new lead only.
  void NewLeadCollectsTextsOfAnUnwrittenStep() {
    Connect();
    mOld.mPath.mCut = true;
    CPPUNIT_ASSERT(Submit(mOld));
    Adopt();
    RunFor(50);
    CPPUNIT_ASSERT(!Submit(mNew));
    CheckListed(mNew);
    CPPUNIT_ASSERT(!mOld.mService.Owns("s1"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Regenerated());
  }

  /// A host that learns of another host's record keeps its texts for that host
  /// for a moment.
  void TextsOfADiscardedStepAreKept() {
    mOld.mPath.mCut = true;
    CPPUNIT_ASSERT(Submit(mOld));
    CompleteTexts();
    CPPUNIT_ASSERT(!Submit(mNew));
    mOld.mPath.mCut = false;
    RunUntil([&] { return !mOld.mService.Owns("s1"); });
    CPPUNIT_ASSERT(mOld.mService.State().mHolding.contains("s1"));
    const auto parts = mOld.mService.HandOver({"s1", "old-run", 99, "a"});
    CPPUNIT_ASSERT_EQUAL(size_t{kTexts}, parts->size());
    CPPUNIT_ASSERT(!mOld.mService.State().mHolding.contains("s1"));
  }

  /// Guards against a submission that a second host starts, as the host that
  /// runs it was late for one question.
  void LateHolderKeepsItsSubmission() {
    Connect();
    mOld.mPath.mCut = true;
    mNew.mPath.mCut = true;
    CPPUNIT_ASSERT(Submit(mOld));
    CPPUNIT_ASSERT(Submit(mNew));
    mOld.mFault = HostFault::Frozen;
    RunFor(900);
    mOld.mFault = HostFault::None;
    RunFor(800);
    CPPUNIT_ASSERT_EQUAL(size_t{kTexts}, mEngine.mRequests.size());
  }

  void SubmissionRunsIfItsHolderIsFrozen() {
    Connect();
    mOld.mPath.mCut = true;
    CPPUNIT_ASSERT(Submit(mOld));
    mOld.mFault = HostFault::Frozen;
    Adopt();
    CPPUNIT_ASSERT(!Submit(mNew));
    CheckListed(mNew);
    CPPUNIT_ASSERT_EQUAL(size_t{kTexts}, Regenerated());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepHandoverTest);

}  // namespace rillwall
