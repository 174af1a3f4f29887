/// \file
/// Tests of steps whose submission is too large to be kept in memory: its parts
/// are written before the record, and the bodies of items are read back.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/rollout_service.h"
#include "rollout_test_support.h"

namespace rillwall {

namespace {

constexpr size_t kItemBytes = 100'000;
constexpr size_t kItems = 45;

/// \return the text of an item: its id, and a body that only it has
std::string ItemText(size_t aItem) {
  const std::string id = "i" + std::to_string(aItem);
  return id + ":" +
         std::string(kItemBytes - id.size() - 1,
                     static_cast<char>('a' + aItem % 26));
}

Result<RolloutItem> DecodeText(std::string_view aText) {
  const size_t colon = aText.find(':');
  RolloutItem item;
  item.mId = std::string(aText.substr(0, colon));
  item.mBody = std::string(aText.substr(colon + 1));
  item.mScorer =
      ScorerCall{item.mId + "-score", "h", "/score/", "score of " + item.mId};
  return item;
}

std::string Submission() {
  std::string text;
  for (size_t i = 0; i < kItems; ++i) {
    text += ItemText(i);
  }
  return text;
}

RolloutSpec Spec() {
  RolloutSpec spec;
  spec.mId = "s1";
  spec.mHost = "h";
  spec.mPath = "/r/";
  spec.mModel = "m";
  for (size_t i = 0; i < kItems; ++i) {
    RolloutItem item = *DecodeText(ItemText(i));
    item.mGroup = item.mId;
    item.mPath = "/r/x";
    item.mBody.clear();
    item.mScorer->mBody.clear();
    item.mPlace = ItemPlace{i * kItemBytes, kItemBytes};
    spec.mItems.push_back(std::move(item));
  }
  return spec;
}

class LargeStepTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeStepTest);
  CPPUNIT_TEST(BodiesAreReadBack);
  CPPUNIT_TEST(PartsPrecedeTheRecord);
  CPPUNIT_TEST(UploadGoesOnAfterAFailure);
  CPPUNIT_TEST(NextOwnerReadsBodies);
  CPPUNIT_TEST(TakeOverWaitsForMemory);
  CPPUNIT_TEST(UnacceptedUploadIsRemoved);
  CPPUNIT_TEST_SUITE_END();

  /// A node's process with its rollout service.
  struct Process {
    Process(TestWorld& aWorld, std::string aRun)
        : mNode(aWorld, std::move(aRun)) {
      mService.mItemDecoder = DecodeText;
    }
    TestNode mNode;
    RolloutService mService{
        mNode.mNode,
        [](const std::string&, const StepRecord&, const std::string& aBody,
           MemoryCharge&) -> Result<RolloutSpec> {
          CPPUNIT_ASSERT(aBody == Submission());
          return Spec();
        }};
  };

  TestWorld mWorld;
  ScriptedReplica mEngine{mWorld.mIo, "engine1", TestHeaders()};
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
  void Restart(const std::string& aRun) {
    mProcesses.push_back(std::make_unique<Process>(mWorld, aRun));
    Test().mNode.mIdentity.mAddress = "n1-address";
    Test().mNode.mRoutes.Publish(
        std::make_shared<const RouteTable>(StepRoutes()));
    Test().Add(mEngine, "engine");
    Test().Add(mScorer, "scorer");
    Launch(Test().mIo, "steps", Service().Run());
  }
  std::optional<Error> Accept() {
    const Route route = *Test().mNode.mRoutes.Read()->Find("h", "/r/");
    return Test().Run(Service().Accept(Spec(), route, Submission()));
  }
  /// Runs until all items are listed.
  void AwaitAll() {
    Test().RunUntil([&] {
      const Result<RolloutRead> read =
          Test().Run(Service().Read("s1", kItems - 1, Millis(0)));
      return read && !read->mResults.empty();
    });
  }
  /// Checks that each item and each scorer call was sent with its own body.
  void AssertBodies() {
    std::set<std::string> ids;
    for (const HttpRequest& request : mEngine.mRequests) {
      const std::string id = *request.Find(TestHeaders().mRequestId);
      CPPUNIT_ASSERT(id + ":" + request.mBody ==
                     ItemText(std::stoul(id.substr(1))));
      ids.insert(id);
    }
    CPPUNIT_ASSERT_EQUAL(kItems, ids.size());
    for (const HttpRequest& request : mScorer.mRequests) {
      const std::string id = *request.Find(TestHeaders().mRequestId);
      CPPUNIT_ASSERT_EQUAL("score of " + id.substr(0, id.find('-')),
                           request.mBody.Text());
    }
  }

  void BodiesAreReadBack() {
    CPPUNIT_ASSERT(!Accept());
    AwaitAll();
    AssertBodies();
    const auto body = Test().Run(Service().Body("s1", "i7"));
    CPPUNIT_ASSERT("i7:" + body->value() == ItemText(7));
    CPPUNIT_ASSERT(!Test().Run(Service().Body("s1", "i77"))->has_value());
  }

  void PartsPrecedeTheRecord() {
    CPPUNIT_ASSERT(!Accept());
    std::string stored;
    int64_t record = 0;
    int64_t last = 0;
    for (const auto& [key, item] : mWorld.mStore.Items()) {
      if (key.starts_with(BodyPrefix("s1"))) {
        stored += item.mValue;
        last = std::max(last, item.mRevision);
      }
      record = key == StepKey("s1") ? item.mCreateRevision : record;
    }
    CPPUNIT_ASSERT(stored == Submission());
    CPPUNIT_ASSERT(last < record);
  }

  void UploadGoesOnAfterAFailure() {
    mWorld.mStore.mFaults = {StoreFault::None, StoreFault::LostApplied,
                             StoreFault::Refused, StoreFault::LostDropped};
    CPPUNIT_ASSERT(!Accept());
    AwaitAll();
    AssertBodies();
  }

  void NextOwnerReadsBodies() {
    mEngine.mDefaultScript.mSilent = true;
    CPPUNIT_ASSERT(!Accept());
    mEngine.mDefaultScript.mSilent = false;
    mEngine.mRequests.clear();
    Restart("n1-later");
    CPPUNIT_ASSERT(Test().Run(Service().Locate("s1", false))->mKind ==
                   RolloutLocation::Kind::Local);
    AwaitAll();
    AssertBodies();
  }

  void TakeOverWaitsForMemory() {
    CPPUNIT_ASSERT(!Accept());
    Restart("n1-later");
    Test().mNode.mMemory->SetCapacity(4'500'000);
    const auto refused = Test().Run(Service().Locate("s1", false));
    CPPUNIT_ASSERT(refused.error().Kind() == ErrorKind::Unavailable);
    Test().mNode.mMemory->SetCapacity(20'000'000);
    CPPUNIT_ASSERT(Test().Run(Service().Locate("s1", false))->mKind ==
                   RolloutLocation::Kind::Local);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Test().mNode.mMemory->Counts().mCharged);
  }

  void UnacceptedUploadIsRemoved() {
    mWorld.mStore.mFaults = {StoreFault::None};
    for (int i = 0; i < 6; ++i) {
      mWorld.mStore.mFaults.push_back(StoreFault::Refused);
    }
    Test().RunUntil([&, begun = false]() mutable {
      if (!begun) {
        begun = true;
        const Route route = *Test().mNode.mRoutes.Read()->Find("h", "/r/");
        Launch(Test().mIo, "accept",
               [](RolloutService& aService,
                  Route aRoute) -> asio::awaitable<void> {
                 co_await aService.Accept(Spec(), std::move(aRoute),
                                          Submission());
               }(Service(), route));
      }
      return mWorld.mStore.CountOf(BodyPrefix("s1")) > 0;
    });
    Test().mNode.mStopping = true;
    Test().RunUntil(
        [&] { return mWorld.mStore.CountOf(BodyPrefix("s1")) == 0; });
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mWorld.mStore.CountOf(StepKey("s1")));
  }
};

}  // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(LargeStepTest);

}  // namespace rillwall
