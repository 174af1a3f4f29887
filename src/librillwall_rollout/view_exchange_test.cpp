/// \file
/// Tests of how nodes share what the store says.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/view_exchange.h"
#include "rollout_test_support.h"

namespace rillwall {

namespace {

Replica ReplicaOf(std::string aId) {
  Replica replica;
  replica.mId = std::move(aId);
  replica.mService = "s";
  replica.mAddress = "10.0.0.1:1";
  replica.mZone = "z";
  return replica;
}

}  // namespace

class ViewExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ViewExchangeTest);
  CPPUNIT_TEST(EntryHostGetsTheLeadsView);
  CPPUNIT_TEST(NewsAreToldOnce);
  CPPUNIT_TEST(OldViewIsNotGiven);
  CPPUNIT_TEST(ToldViewIsNotPassedOn);
  CPPUNIT_TEST(ConfigurationIsFetchedOnce);
  CPPUNIT_TEST(NodeThatDoesNotFollowSaysSo);
  CPPUNIT_TEST(CandidateHelpsOutWithoutALead);
  CPPUNIT_TEST(CandidateAsksNoOtherCandidate);
  CPPUNIT_TEST(EntryHostLearnsWhoLeads);
  CPPUNIT_TEST(DeadLeadIsForgotten);
  CPPUNIT_TEST(OnlyYoungViewsAreWaitedFor);
  CPPUNIT_TEST(WitnessesTellWhomTheyReach);
  CPPUNIT_TEST_SUITE_END();

  /// A node with its server for other nodes.
  struct Node {
    Node(TestWorld& aWorld, std::string aName, bool aTakesClients)
        : mTest(aWorld, aName + "-run"),
          mServer(aWorld.mIo, HttpLimits(),
                  [this](const HttpRequest& aRequest, HttpExchange& aExchange) {
                    return Serve(aRequest, aExchange);
                  }) {
      const Endpoint bound = *mServer.Listen({"127.0.0.1", 0});
      mTest.mNode.mIdentity = {aName, "z", bound.Text(), aName + "-run",
                               aTakesClients};
    }
    ~Node() { mServer.Stop(); }

    asio::awaitable<void> Serve(const HttpRequest& aRequest,
                                HttpExchange& aExchange) {
      ++mAsked;
      HttpResponse response;
      if (aRequest.Path() == kViewPath) {
        response = mView.Answer(aRequest);
      } else if (aRequest.Path() == kViewConfigPath) {
        ++mConfigsAsked;
        response = mView.AnswerConfig();
      } else if (aRequest.Path() == kReachPath) {
        response = co_await mView.AnswerReach(aRequest);
      }
      co_await aExchange.Respond(std::move(response));
    }
    std::optional<ViewNews> Ask() { return mTest.Run(mView.Ask()); }
    LeadHolder Holder() const {
      const NodeIdentity& self = mTest.mNode.mIdentity;
      return {self.mName, self.mAddress, self.mRun};
    }
    NodeEntry Entry() const {
      const NodeIdentity& self = mTest.mNode.mIdentity;
      return {self.mAddress, self.mTakesClients};
    }
    Millis Now() const { return mTest.mNode.Now(); }

    TestNode mTest;
    LeadClaim mLead{mTest.mNode, [] {}};
    NodeDirectory mNodes;
    ViewExchange mView{mTest.mNode, mLead, mNodes};
    int mAsked = 0;
    int mConfigsAsked = 0;
    HttpServer mServer;
  };

  TestWorld mWorld;
  Node mGiver{mWorld, "giver", false};
  Node mEntry{mWorld, "entry", true};

 public:
  /// Handlers of the servers refer to the nodes: they go first.
  ~ViewExchangeTest() override { mWorld.mIo.Close(); }

  void setUp() override {
    mGiver.mView.Listed({ReplicaOf("a")}, mGiver.Now());
    mGiver.mView.Follows(true);
    mEntry.mLead.Learn(mGiver.Holder());
  }

 private:
  void EntryHostGetsTheLeadsView() {
    const std::optional<ViewNews> news = mEntry.Ask();
    CPPUNIT_ASSERT(news->mReplicas == std::vector<Replica>{ReplicaOf("a")});
    // Each knows the other from then on.
    CPPUNIT_ASSERT(mGiver.mNodes.Knows(mEntry.Entry().mAddress));
    CPPUNIT_ASSERT(mEntry.mNodes.Knows(mGiver.Entry().mAddress));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, mWorld.mStore.Counts().mReads);
  }

  void NewsAreToldOnce() {
    mEntry.Ask();
    mGiver.mView.Listed({ReplicaOf("a"), ReplicaOf("b")}, mGiver.Now());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEntry.Ask()->mReplicas.size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEntry.Ask()->mReplicas.size());
    mGiver.mView.Listed({ReplicaOf("b")}, mGiver.Now());
    CPPUNIT_ASSERT(mEntry.Ask()->mReplicas ==
                   std::vector<Replica>{ReplicaOf("b")});
  }

  void OldViewIsNotGiven() {
    mGiver.mView.Listed({ReplicaOf("a")}, mGiver.Now() - Millis(5000));
    CPPUNIT_ASSERT(!mEntry.Ask());
  }

  void ToldViewIsNotPassedOn() {
    mEntry.Ask();
    Node last{mWorld, "last", true};
    last.mLead.Learn(mEntry.Holder());
    CPPUNIT_ASSERT(!last.Ask());
  }

  void ConfigurationIsFetchedOnce() {
    mGiver.mView.Configured({"the text", 7});
    std::optional<ViewNews> news = mEntry.Ask();
    CPPUNIT_ASSERT(news->mFollowsConfig);
    CPPUNIT_ASSERT(*news->mConfig == (ConfigText{"the text", 7}));
    mEntry.mView.Configured(*news->mConfig);
    news = mEntry.Ask();
    CPPUNIT_ASSERT(news->mFollowsConfig);
    CPPUNIT_ASSERT(!news->mConfig);
    CPPUNIT_ASSERT_EQUAL(1, mGiver.mConfigsAsked);
  }

  void NodeThatDoesNotFollowSaysSo() {
    mGiver.mView.Configured({"the text", 7});
    mGiver.mView.Follows(false);
    const std::optional<ViewNews> news = mEntry.Ask();
    CPPUNIT_ASSERT(news && !news->mFollowsConfig && !news->mConfig);
  }

  void CandidateHelpsOutWithoutALead() {
    mEntry.mLead.Forget();
    mEntry.mNodes.Heard(mGiver.Entry(), mEntry.Now());
    CPPUNIT_ASSERT(mEntry.Ask());
  }

  void CandidateAsksNoOtherCandidate() {
    Node candidate{mWorld, "candidate", false};
    candidate.mNodes.Heard(mGiver.Entry(), candidate.Now());
    CPPUNIT_ASSERT(!candidate.Ask());
    CPPUNIT_ASSERT_EQUAL(0, mGiver.mAsked);
  }

  void EntryHostLearnsWhoLeads() {
    mEntry.Ask();
    const LeadHolder other{"other", "127.0.0.1:1", "run"};
    mGiver.mLead.Learn(other);
    mEntry.Ask();
    CPPUNIT_ASSERT(*mEntry.mLead.Known() == other);
  }

  void DeadLeadIsForgotten() {
    mEntry.Ask();
    mEntry.mLead.Learn({"other", "127.0.0.1:1", "run"});
    // The candidate answers in its place.
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(!mEntry.mLead.Known());
  }

  void OnlyYoungViewsAreWaitedFor() {
    CPPUNIT_ASSERT(!mEntry.mView.MayAskAgain());
    mEntry.Ask();
    CPPUNIT_ASSERT(mEntry.mView.MayAskAgain());
    mEntry.mTest.mNode.mBounds.mDrain = Millis(0);
    CPPUNIT_ASSERT(!mEntry.mView.MayAskAgain());
  }

  void WitnessesTellWhomTheyReach() {
    mEntry.Ask();
    const std::string entry = mEntry.Entry().mAddress;
    const std::string giver = mGiver.Entry().mAddress;
    Node candidate{mWorld, "candidate", false};
    candidate.mNodes.Adopt(mEntry.mNodes.List(), candidate.Now());
    CPPUNIT_ASSERT(!candidate.mTest.Run(candidate.mView.NobodyReaches(giver)));
    // A node that has gone; the entry host has heard of it.
    mEntry.mNodes.Heard({"127.0.0.1:1", false}, mEntry.Now());
    CPPUNIT_ASSERT(
        candidate.mTest.Run(candidate.mView.NobodyReaches("127.0.0.1:1")));
    // Nobody is there to tell.
    candidate.mNodes.Adopt({}, candidate.Now());
    CPPUNIT_ASSERT(
        !candidate.mTest.Run(candidate.mView.NobodyReaches("127.0.0.1:1")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewExchangeTest);

}  // namespace rillwall
