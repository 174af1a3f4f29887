/// \file
/// Tests of the orders of replicas: the claim and the record that they are
/// given under, and the platform's answers.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/scale_orders.h"
#include "rollout_test_support.h"

namespace rillwall {

namespace {

using Answer = ScaleAnswer::Kind;
constexpr char kService[] = "engines";

/// A platform that records the orders and answers as told.
class FakePlatform final : public ScalePort {
 public:
  explicit FakePlatform(FakeStore& aStore) : mStore(aStore) {}
  asio::awaitable<ScaleAnswer> Order(ScaleOrder aOrder,
                                     FencingToken aClaim) override {
    const auto item = co_await mStore.Get(ScaleKey(kService));
    const auto record = DecodeScaleRecord(kService, (*item)->mValue);
    const auto& orders = record->mOrders;
    const bool written = std::count(orders.begin(), orders.end(), aOrder) > 0;
    mUnwritten += written ? 0 : 1;
    mOrders.push_back(aOrder);
    mClaims.push_back(aClaim);
    const bool refused = mNone.contains({aOrder.mZone, aOrder.mSpot});
    Answer answer = refused ? Answer::NoneAvailable : Answer::Accepted;
    if (!mAnswers.empty()) {
      answer = mAnswers.front();
      mAnswers.erase(mAnswers.begin());
    }
    co_return ScaleAnswer{answer, ""};
  }

  FakeStore& mStore;
  std::vector<ScaleOrder> mOrders;
  std::vector<FencingToken> mClaims;
  std::vector<Answer> mAnswers;  ///< of the next orders
  std::set<ReplicaGroup> mNone;  ///< groups of which none are available
  int mUnwritten = 0;  ///< orders that the store did not hold when they came
};

/// A host that may lead.
struct Candidate {
  Candidate(TestWorld& aWorld, const std::string& aName)
      : mTest(aWorld, aName + "-run"), mPlatform(aWorld.mStore) {
    NodeContext& node = mTest.mNode;
    node.mIdentity.mName = aName;
    node.mIdentity.mRun = aName + "-run";
    node.mBounds.mLease = Millis(50);
    // With a short boot time, orders that are not carried out are repeated.
    SetScaling(ScalingSpec{1, 10, Millis(60000), 0.2, {{"a", 1}, {"b", 1}}});
    mOrders.mRegistered = [this] { return mReplicas; };
    mOrders.mDemand = [this](const std::string&) { return mSteps; };
    mOrders.SetActive(true);
    for (const char* zone : {"a", "b"}) {
      AddReplica(zone, false);
    }
    Launch(mTest.mIo, "lead", mLead.Run());
    Launch(mTest.mIo, "scale", mOrders.Run());
  }
  void SetScaling(std::optional<ScalingSpec> aSpec, std::string aFault = {}) {
    ServiceSpec spec;
    spec.mName = kService;
    spec.mScaling = std::move(aSpec);
    spec.mScalingFault = std::move(aFault);
    mTest.mNode.mRoutes.Publish(std::make_shared<const RouteTable>(
        1, std::vector<Route>(), std::vector<ServiceSpec>{spec},
        ClientLimits()));
  }
  void AddReplica(const std::string& aZone, bool aSpot) {
    Replica replica;
    replica.mId = "r" + std::to_string(mReplicas.size());
    replica.mService = kService;
    replica.mZone = aZone;
    replica.mSpot = aSpot;
    replica.mSlots = 6;
    mReplicas.push_back(replica);
  }
  void Submit(int64_t aTexts) {
    mSteps = {{"t", aTexts, 0, 0, Millis(7000)}};
    mOrders.OnStep();
  }
  void AwaitOrders(size_t aCount) {
    mTest.RunUntil([&] { return mPlatform.mOrders.size() >= aCount; });
  }

  TestNode mTest;
  std::vector<Replica> mReplicas;
  std::vector<StepDemand> mSteps;
  LeadClaim mLead{mTest.mNode, [] {}};
  FakePlatform mPlatform;
  ScaleOrders mOrders{mTest.mNode, mLead, mPlatform};
};

}  // namespace

class ScaleOrdersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScaleOrdersTest);
  CPPUNIT_TEST(OrdersAreWrittenFirstAndSentUnderTheClaim);
  CPPUNIT_TEST(LostAnswerRepeatsTheSameOrder);
  CPPUNIT_TEST(OrderThatWasPutOffIsSentAgain);
  CPPUNIT_TEST(RefusedKindIsReplacedByTheOther);
  CPPUNIT_TEST(NextHolderContinuesFromTheRecord);
  CPPUNIT_TEST(NothingIsOrderedWithoutTheStore);
  CPPUNIT_TEST(FaultyScalingOrdersNothing);
  CPPUNIT_TEST(NothingIsOrderedWithoutTheDuty);
  CPPUNIT_TEST_SUITE_END();

  TestWorld mWorld;

 public:
  ~ScaleOrdersTest() override { mWorld.mIo.Close(); }

 private:
  void OrdersAreWrittenFirstAndSentUnderTheClaim() {
    Candidate one(mWorld, "one");
    one.mTest.RunUntil([&] { return one.mLead.MayOrder(); });
    one.mTest.RunFor(Millis(500));
    CPPUNIT_ASSERT(one.mPlatform.mOrders.empty());
    one.Submit(40);
    one.AwaitOrders(2);
    one.mTest.RunFor(Millis(500));
    CPPUNIT_ASSERT_EQUAL(0, one.mPlatform.mUnwritten);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, one.mPlatform.mOrders.size());
    const FencingToken claim{"one", one.mLead.Fence()};
    CPPUNIT_ASSERT(claim == one.mPlatform.mClaims.front());
  }

  void LostAnswerRepeatsTheSameOrder() {
    Candidate one(mWorld, "one");
    one.mPlatform.mAnswers = {Answer::Unknown, Answer::Accepted,
                              Answer::Unknown};
    one.Submit(40);
    one.AwaitOrders(2);
    const ScaleOrder lost = one.mPlatform.mOrders.front();
    // A larger need meanwhile does not change the order.
    one.Submit(60);
    one.AwaitOrders(4);
    const auto again = std::find_if(
        one.mPlatform.mOrders.begin() + 1, one.mPlatform.mOrders.end(),
        [&](const ScaleOrder& aOne) {
          return aOne.mZone == lost.mZone && aOne.mSpot == lost.mSpot;
        });
    CPPUNIT_ASSERT(again != one.mPlatform.mOrders.end());
    CPPUNIT_ASSERT(*again == lost);
  }

  void OrderThatWasPutOffIsSentAgain() {
    Candidate one(mWorld, "one");
    one.mPlatform.mAnswers = {Answer::TryLater, Answer::TryLater};
    one.Submit(40);
    one.AwaitOrders(4);
    CPPUNIT_ASSERT(one.mPlatform.mOrders[0] == one.mPlatform.mOrders[2]);
    CPPUNIT_ASSERT_EQUAL(0, one.mPlatform.mUnwritten);
  }

  void RefusedKindIsReplacedByTheOther() {
    Candidate one(mWorld, "one");
    one.mPlatform.mNone = {{"a", true}, {"b", true}};
    one.Submit(40);
    one.mTest.RunUntil([&] {
      return std::any_of(one.mPlatform.mOrders.begin(),
                         one.mPlatform.mOrders.end(),
                         [](const ScaleOrder& aOne) { return !aOne.mSpot; });
    });
    one.mTest.RunFor(Millis(600));
    CPPUNIT_ASSERT(one.mPlatform.mOrders.size() <= 6);
    CPPUNIT_ASSERT_EQUAL(0, one.mPlatform.mUnwritten);
  }

  /// The holder ends before the platform has answered.
  void NextHolderContinuesFromTheRecord() {
    std::vector<ScaleOrder> first;
    {
      Candidate one(mWorld, "one");
      one.mPlatform.mAnswers = std::vector<Answer>(1000, Answer::Unknown);
      one.Submit(40);
      one.AwaitOrders(2);
      first = one.mPlatform.mOrders;
    }
    mWorld.mStore.Lapse(101);
    Candidate two(mWorld, "two");
    // This holder knows of no step.
    two.AwaitOrders(2);
    for (const ScaleOrder& order : two.mPlatform.mOrders) {
      CPPUNIT_ASSERT(std::count(first.begin(), first.end(), order) > 0);
    }
    CPPUNIT_ASSERT(two.mPlatform.mClaims.front().mHolder == "two");
    two.mTest.RunFor(Millis(500));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, two.mPlatform.mOrders.size());
  }

  void NothingIsOrderedWithoutTheStore() {
    Candidate one(mWorld, "one");
    one.mTest.RunUntil([&] { return one.mLead.MayOrder(); });
    one.mTest.RunFor(Millis(500));
    mWorld.mStore.mFaults = {StoreFault::LostDropped, StoreFault::LostDropped};
    one.Submit(40);
    one.AwaitOrders(1);
    CPPUNIT_ASSERT_EQUAL(0, one.mPlatform.mUnwritten);
  }

  void FaultyScalingOrdersNothing() {
    Candidate one(mWorld, "one");
    one.SetScaling(std::nullopt, "Field 'scaling.min' must be ...");
    one.Submit(40);
    one.mTest.RunUntil([&] { return one.mLead.MayOrder(); });
    one.mTest.RunFor(Millis(500));
    CPPUNIT_ASSERT(one.mPlatform.mOrders.empty());
    // A zone that has replicas has no price.
    one.SetScaling(ScalingSpec{1, 10, Millis(100), 0.2, {{"a", 1}}});
    one.mTest.RunFor(Millis(500));
    CPPUNIT_ASSERT(one.mPlatform.mOrders.empty());
  }

  void NothingIsOrderedWithoutTheDuty() {
    Candidate one(mWorld, "one");
    one.mOrders.SetActive(false);
    one.Submit(40);
    one.mTest.RunUntil([&] { return one.mLead.MayOrder(); });
    one.mTest.RunFor(Millis(500));
    CPPUNIT_ASSERT(one.mPlatform.mOrders.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mWorld.mStore.CountOf(ScaleKey(kService)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScaleOrdersTest);

}  // namespace rillwall
