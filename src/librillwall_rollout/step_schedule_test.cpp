/// \file
/// Tests of the order in which an owner starts the items of several steps, and
/// of the priority of their requests.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>

#include "rillwall/rollout_service.h"
#include "rollout_test_support.h"

namespace rillwall {

namespace {

constexpr char kBody[] = "the submission";

/// A step of two items.
RolloutSpec Spec(const std::string& aId, int64_t aHint) {
  RolloutSpec spec;
  spec.mId = aId;
  spec.mHost = "h";
  spec.mPath = "/r/";
  spec.mModel = "m";
  spec.mMinVersion = 4;
  for (const char* suffix : {"1", "2"}) {
    RolloutItem item;
    item.mId = aId + suffix;
    item.mGroup = aId + "-group";
    item.mPath = "/r/x";
    item.mHeaders = {{"priority", "0"}, {"Other", "kept"}};
    item.mLengthHint = aHint;
    spec.mItems.push_back(item);
  }
  return spec;
}

}  // namespace

class StepScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepScheduleTest);
  CPPUNIT_TEST(EqualPrioritiesChangeNothing);
  CPPUNIT_TEST(LongTextOfALaterStepStartsFirst);
  CPPUNIT_TEST(RefusedItemsStartAgain);
  CPPUNIT_TEST(RequestPriorityComesFromTheOrder);
  CPPUNIT_TEST_SUITE_END();

  TestWorld mWorld;
  ScriptedReplica mEngine{mWorld.mIo, "engine1", TestHeaders()};
  std::unique_ptr<TestNode> mNode;
  std::unique_ptr<RolloutService> mService;

 public:
  void setUp() override {
    mNode = std::make_unique<TestNode>(mWorld);
    mService = std::make_unique<RolloutService>(
        mNode->mNode,
        [](const std::string& aId, const StepRecord&, const std::string&,
           MemoryCharge&) -> Result<RolloutSpec> { return Spec(aId, 0); });
    mEngine.mSlots = 1;
    mNode->Add(mEngine, "engine");
    Launch(mNode->mIo, "steps", mService->Run());
  }
  void tearDown() override {
    mService.reset();
    mNode.reset();
  }

 private:
  /// Configures two rollout routes to the service "engine".
  void Configure(int aOtherPriority) {
    const RouteTable single = StepRoutes();
    std::vector<Route> routes = single.Routes();
    routes.push_back(*single.Find("h", "/r/"));
    routes.back().mPrefix = "/other/";
    routes.back().mPriority = aOtherPriority;
    for (Route& route : routes) {
      route.mDueIn = Millis(7500);
      route.mMaxWait = Millis(12000);
    }
    mNode->mNode.mRoutes.Publish(std::make_shared<const RouteTable>(
        1, routes, single.Services(), single.Limits()));
  }
  void Accept(RolloutSpec aSpec) {
    const Route route = *mNode->mNode.mRoutes.Read()->Find("h", "/r/");
    CPPUNIT_ASSERT(
        !mNode->Run(mService->Accept(std::move(aSpec), route, kBody)));
  }
  /// \return ids of the first requests, in the order of their arrival
  std::string Arrived(size_t aCount) {
    mNode->RunUntil([&] { return mEngine.mRequests.size() >= aCount; });
    std::string order;
    for (const HttpRequest& request : mEngine.mRequests) {
      order += *request.Find("Id") + " ";
    }
    return order;
  }
  /// Runs a step from which the owner learns that hints are in events, then one
  /// with short and one with long texts, whose first text finds the only slot.
  std::string RunShortAndLongStep() {
    mEngine.mEvents = 3;
    Accept(Spec("a", 3));
    Arrived(2);
    mNode->RunUntil([&] { return mEngine.mRunning == 0; });
    mNode->RunFor(Millis(150));
    mEngine.mDefaultScript.mEventTime = Millis(20);
    Accept(Spec("s", 3));
    Accept(Spec("l", 50));
    return Arrived(6);
  }

  /// Where all rollout routes have the same priority, steps run in the order of
  /// their acceptance, and the headers of items are passed on.
  void EqualPrioritiesChangeNothing() {
    Configure(0);
    CPPUNIT_ASSERT_EQUAL(std::string("a1 a2 s1 s2 l1 l2 "),
                         RunShortAndLongStep());
    for (const HttpRequest& request : mEngine.mRequests) {
      CPPUNIT_ASSERT_EQUAL(std::string("0"), *request.Find("Priority"));
    }
    CPPUNIT_ASSERT(mService->VersionNeeds().empty());
    CPPUNIT_ASSERT(mNode->mNode.mMetrics.Text().find("step_slack_ms") ==
                   std::string::npos);
  }

  /// The long texts have less slack than the short one that still waits.
  void LongTextOfALaterStepStartsFirst() {
    Configure(1);
    CPPUNIT_ASSERT_EQUAL(std::string("a1 a2 s1 l1 l2 s2 "),
                         RunShortAndLongStep());
    const std::vector<VersionNeed> needs = mService->VersionNeeds();
    CPPUNIT_ASSERT(!needs.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("m"), needs[0].mModel);
    CPPUNIT_ASSERT_EQUAL(int64_t{4}, needs[0].mMinVersion);
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, needs[0].mReplicas);
    CPPUNIT_ASSERT(mNode->mNode.mMetrics.Text().find("step_slack_ms") !=
                   std::string::npos);
  }

  /// An item that is queued again is part of the order again.
  void RefusedItemsStartAgain() {
    Configure(1);
    mEngine.mScripts = {{.mNotRun = true}, {.mNotRun = true}};
    Accept(Spec("a", 3));
    Arrived(4);
    mNode->RunUntil([&] { return mEngine.mRunning == 0; });
    CPPUNIT_ASSERT_EQUAL(size_t{4}, mEngine.mRequests.size());
  }

  /// The trainer's own priority is replaced, whatever the case of its name.
  void RequestPriorityComesFromTheOrder() {
    Configure(1);
    mEngine.mSlots = 2;
    Accept(Spec("a", 3));
    Arrived(2);
    for (const HttpRequest& request : mEngine.mRequests) {
      const auto count =
          std::count_if(request.mHeaders.begin(), request.mHeaders.end(),
                        [](const HttpHeader& aHeader) {
                          return aHeader.mName == "Priority";
                        });
      CPPUNIT_ASSERT_EQUAL(int64_t{1}, static_cast<int64_t>(count));
      CPPUNIT_ASSERT_EQUAL(std::string("4"), *request.Find("Priority"));
      CPPUNIT_ASSERT(request.Find("priority") == request.Find("Priority"));
      CPPUNIT_ASSERT(request.Find("Other") != nullptr);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepScheduleTest);

}  // namespace rillwall
