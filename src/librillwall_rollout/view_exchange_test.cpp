/// \file
/// Tests of how nodes share what the store says.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "rillwall/usage_record.h"
#include "rillwall/view_exchange.h"
#include "rollout_test_support.h"

namespace rillwall {

namespace {

/// Nobody listens there.
const std::string kGone = "127.0.0.1:1";

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
  CPPUNIT_TEST(OldViewIsKnownToBeOld);
  CPPUNIT_TEST(ViewOfBeforeASuspensionIsOld);
  CPPUNIT_TEST(CrashesAreToldOnce);
  CPPUNIT_TEST(NewLeadTellsCrashesToo);
  CPPUNIT_TEST(ToldViewIsNotPassedOn);
  CPPUNIT_TEST(ConfigurationIsFetchedOnce);
  CPPUNIT_TEST(LargeConfigurationTravelsPacked);
  CPPUNIT_TEST(NodeThatDoesNotFollowSaysSo);
  CPPUNIT_TEST(EvacuatedZonesAreTold);
  CPPUNIT_TEST(HostsAreCountedOnceAllCanHaveAsked);
  CPPUNIT_TEST(CandidateHelpsOutWithoutALead);
  CPPUNIT_TEST(CandidateAsksNoOtherCandidate);
  CPPUNIT_TEST(EntryHostLearnsWhoLeads);
  CPPUNIT_TEST(DeadLeadIsForgotten);
  CPPUNIT_TEST(OnlyYoungViewsAreWaitedFor);
  CPPUNIT_TEST(LateLeadIsNotForgottenAtOnce);
  CPPUNIT_TEST(HelperIsAskedToRead);
  CPPUNIT_TEST(LeadIsNoHelper);
  CPPUNIT_TEST(HelperWithoutAStoreSaysSo);
  CPPUNIT_TEST(EntryHostsHearNothingOfVersions);
  CPPUNIT_TEST(NewLeadTellsNothingThatIsKnown);
  CPPUNIT_TEST(MissedChangeIsAskedAnew);
  CPPUNIT_TEST(CalmAnswersDoNotGrow);
  CPPUNIT_TEST(WitnessesTellWhomTheyReach);
  CPPUNIT_TEST(WhoDoesNotKnowANodeIsNoWitness);
  CPPUNIT_TEST(UsageGoesToTheLeadUntilItIsTaken);
  CPPUNIT_TEST(UsageIsKeptIfTheOtherDoesNotLead);
  CPPUNIT_TEST(FirstLookUpIsTheCheapOne);
  CPPUNIT_TEST(OfManyReplicasASubsetIsTold);
  CPPUNIT_TEST(CandidateOfTheZoneTellsTheSubset);
  CPPUNIT_TEST(SilentCandidateIsPassedOver);
  CPPUNIT_TEST(CandidatesReadManyReplicasThemselves);
  CPPUNIT_TEST(IntroductionNamesNodesAndNoReplicas);
  CPPUNIT_TEST(UsageStillGoesToTheLead);
  CPPUNIT_TEST_SUITE_END();

  /// A table of a thousand replicas.
  static void Fill(RegistryTable& aTable) {
    std::vector<RegistryEntry> entries;
    for (int i = 0; i < 1000; ++i) {
      const Replica replica = ReplicaOf("i-" + std::to_string(i));
      entries.push_back({replica.mId, 1, replica});
    }
    aTable.TakeAll(std::move(entries), false);
  }

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
        response = mView.HandleConfigRequest();
      } else if (aRequest.Path() == kReachPath) {
        response = co_await mView.HandleReachRequest(aRequest);
      }
      co_await aExchange.Respond(std::move(response));
    }
    /// Asks whom it would ask if it were time to. Not the store.
    std::optional<ViewUpdate> Ask() {
      // Sees whether another node leads by now.
      mView.NextSource();
      mView.Plan().AskNow(Now());
      const std::optional<ViewSource> source = mView.NextSource();
      const bool node = source && (*source == ViewSource::Lead ||
                                   *source == ViewSource::Helper);
      return node ? mTest.Run(mView.Ask(*source)) : std::nullopt;
    }
    /// \return the body of the answer to a question of another node
    std::string Answered(const ViewQuestion& aQuestion) {
      HttpRequest request;
      request.mTarget = EncodeQuestion(aQuestion);
      return mView.Answer(request).mBody;
    }
    LeadHolder Holder() const {
      const NodeIdentity& self = mTest.mNode.mIdentity;
      return {self.mName, self.mAddress, self.mRun};
    }
    NodeEntry Entry() const {
      const NodeIdentity& self = mTest.mNode.mIdentity;
      return {self.mAddress, self.mTakesClients, self.mZone};
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
  RegistryTable mTable;
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
    const std::optional<ViewUpdate> news = mEntry.Ask();
    CPPUNIT_ASSERT(news->mReplicas == std::vector<Replica>{ReplicaOf("a")});
    // Each knows the other from then on.
    CPPUNIT_ASSERT(mGiver.mNodes.Knows(mEntry.Entry().mAddress));
    CPPUNIT_ASSERT(mEntry.mNodes.Knows(mGiver.Entry().mAddress));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, mWorld.mStore.Counts().mReads);
  }

  void FirstLookUpIsTheCheapOne() {
    mEntry.mLead.Forget();
    const auto lookUp = [&]() -> asio::awaitable<bool> {
      co_await mEntry.mView.LookUp();
      co_return true;
    };
    for (uint64_t reads = 1; reads <= 3; ++reads) {
      mEntry.mTest.Run(lookUp());
      CPPUNIT_ASSERT_EQUAL(reads, mWorld.mStore.Counts().mReads);
      CPPUNIT_ASSERT_EQUAL(uint64_t{1}, mWorld.mStore.mOldReads);
    }
  }

  void OfManyReplicasASubsetIsTold() {
    Fill(mTable);
    mGiver.mView.ReadTable(mTable, mGiver.Now());
    const std::optional<ViewUpdate> news = mEntry.Ask();
    CPPUNIT_ASSERT_EQUAL(RegistryTable::kDefaultSubset,
                         news->mReplicas->size());
    CPPUNIT_ASSERT(!mEntry.Ask()->mReplicas);
    // One that this host does not know goes, then one that it knows.
    const Replica known = news->mReplicas->front();
    int other = 0;
    const auto knows = [&](const std::string& aId) {
      return std::any_of(news->mReplicas->begin(), news->mReplicas->end(),
                         [&](const Replica& aOne) { return aOne.mId == aId; });
    };
    while (knows("i-" + std::to_string(other))) {
      ++other;
    }
    mTable.Remove("i-" + std::to_string(other), 2, false);
    CPPUNIT_ASSERT(!mEntry.Ask()->mReplicas);
    mTable.Remove(known.mId, 3, false);
    const std::optional<ViewUpdate> later = mEntry.Ask();
    CPPUNIT_ASSERT_EQUAL(RegistryTable::kDefaultSubset,
                         later->mReplicas->size());
    CPPUNIT_ASSERT(std::find(later->mReplicas->begin(), later->mReplicas->end(),
                             known) == later->mReplicas->end());
  }

  void CandidateOfTheZoneTellsTheSubset() {
    Fill(mTable);
    Node teller(mWorld, "teller", false);
    teller.mView.ReadTable(mTable, teller.Now());
    teller.mView.Follows(true);
    teller.mLead.Learn(mGiver.Holder());
    mGiver.mView.ReadTable(mTable, mGiver.Now());
    mGiver.mNodes.RecordContact(teller.Entry(), mGiver.Now());
    // Of the lead it hears who else can tell it, and that there are many.
    CPPUNIT_ASSERT(mEntry.Ask()->mReplicas.has_value());
    const int asked = mGiver.mAsked;
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(mEntry.Ask().has_value());
    }
    CPPUNIT_ASSERT_EQUAL(5, teller.mAsked + mGiver.mAsked - asked);
    CPPUNIT_ASSERT(teller.mAsked == 5 || mGiver.mAsked == asked + 5);
    CPPUNIT_ASSERT(mEntry.mLead.Known()->mAddress == mGiver.Holder().mAddress);
  }

  void SilentCandidateIsPassedOver() {
    Fill(mTable);
    mGiver.mView.ReadTable(mTable, mGiver.Now());
    const NodeIdentity& self = mGiver.mTest.mNode.mIdentity;
    mGiver.mNodes.RecordContact({kGone, false, "z"}, mGiver.Now());
    mGiver.mNodes.RecordContact({self.mAddress, false, "other"}, mGiver.Now());
    mEntry.Ask();
    // It is asked once, and then the lead.
    int answered = 0;
    for (int i = 0; i < 4; ++i) {
      answered += mEntry.Ask().has_value() ? 1 : 0;
    }
    CPPUNIT_ASSERT(answered >= 3);
    CPPUNIT_ASSERT(mEntry.mLead.Known().has_value());
  }

  void CandidatesReadManyReplicasThemselves() {
    Fill(mTable);
    Node candidate(mWorld, "candidate", false);
    candidate.mLead.Learn(mGiver.Holder());
    candidate.Ask();
    CPPUNIT_ASSERT(!candidate.mView.ReadsForOthers());
    mGiver.mView.ReadTable(mTable, mGiver.Now());
    candidate.Ask();
    CPPUNIT_ASSERT(candidate.mView.ReadsForOthers());
    mEntry.Ask();
    CPPUNIT_ASSERT(mEntry.mView.Large());
    CPPUNIT_ASSERT(!mEntry.mView.ReadsForOthers());
    // The replicas become few again, and it hears so from the lead.
    mGiver.mView.Listed({ReplicaOf("a")}, mGiver.Now());
    candidate.mView.Listed({ReplicaOf("a")}, candidate.Now());
    CPPUNIT_ASSERT(candidate.mView.ReadsForOthers());
    const auto introduce = [&]() -> asio::awaitable<bool> {
      co_await candidate.mView.Introduce();
      co_return true;
    };
    candidate.mTest.Run(introduce());
    CPPUNIT_ASSERT(!candidate.mView.ReadsForOthers());
  }

  void IntroductionNamesNodesAndNoReplicas() {
    Fill(mTable);
    Node teller(mWorld, "teller", false);
    teller.mView.ReadTable(mTable, teller.Now());
    mGiver.mView.ReadTable(mTable, mGiver.Now());
    mGiver.mNodes.RecordContact({"10.0.0.7:1", false, "y"}, mGiver.Now());
    teller.mLead.Learn(mGiver.Holder());
    teller.mNodes.RecordContact(mEntry.Entry(), teller.Now());
    const auto introduce = [&]() -> asio::awaitable<bool> {
      co_await teller.mView.Introduce();
      co_return true;
    };
    mWorld.mStore.mDown = true;
    teller.mTest.Run(introduce());
    CPPUNIT_ASSERT(mGiver.mNodes.Knows(teller.Entry().mAddress));
    CPPUNIT_ASSERT(teller.mNodes.Knows("10.0.0.7:1"));
    // Whom it hears itself it goes on knowing.
    CPPUNIT_ASSERT(teller.mNodes.Knows(mEntry.Entry().mAddress));
    ViewQuestion question;
    question.mFrom = teller.Entry();
    question.mVersions = false;
    question.mReplicasWanted = false;
    const std::string answer = mGiver.Answered(question);
    CPPUNIT_ASSERT(DecodeView(answer)->mReplicas.mChanged.empty());
    CPPUNIT_ASSERT_MESSAGE(answer, answer.size() < 600);
  }

  void UsageStillGoesToTheLead() {
    Fill(mTable);
    Node teller(mWorld, "teller", false);
    teller.mView.ReadTable(mTable, teller.Now());
    mGiver.mView.ReadTable(mTable, mGiver.Now());
    mGiver.mNodes.RecordContact(teller.Entry(), mGiver.Now());
    mEntry.Ask();
    UsageMeter& usage = mEntry.mTest.mNode.mUsage;
    usage.SetWindow(Millis(1000));
    usage.Count("a", mEntry.mTest.mNode.mTimeOfDay());
    const int asked = mGiver.mAsked;
    mEntry.Ask();
    CPPUNIT_ASSERT_EQUAL(asked + 1, mGiver.mAsked);
  }

  void EvacuatedZonesAreTold() {
    mGiver.mView.Configured({"text", 7});
    mGiver.mView.Evacuated({"z"});
    mEntry.Ask();
    CPPUNIT_ASSERT(mEntry.mTest.mNode.mReplicas.Evacuated("z"));
    // One that does not follow the operator's words knows nothing of it.
    mGiver.mView.Follows(false);
    mGiver.mView.Evacuated({});
    mEntry.Ask();
    CPPUNIT_ASSERT(mEntry.mTest.mNode.mReplicas.Evacuated("z"));
    mGiver.mView.Follows(true);
    mEntry.Ask();
    CPPUNIT_ASSERT(!mEntry.mTest.mNode.mReplicas.Evacuated("z"));
  }

  void HostsAreCountedOnceAllCanHaveAsked() {
    ViewQuestion question;
    question.mFrom = mEntry.Entry();
    const auto told = [&] {
      return DecodeView(mGiver.Answered(question))->mHosts;
    };
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, told());
    const Millis now = mGiver.Now();
    for (int64_t second = 0; second <= 10; ++second) {
      mGiver.mView.Listed({ReplicaOf("a")}, now + Millis(second * 1000));
    }
    CPPUNIT_ASSERT_EQUAL(int64_t{16}, told());
    // After a pause others may have asked elsewhere.
    mGiver.mView.Listed({ReplicaOf("a")}, now + Millis(15000));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, told());
  }

  void NewsAreToldOnce() {
    mEntry.Ask();
    mGiver.mView.Listed({ReplicaOf("a"), ReplicaOf("b")}, mGiver.Now());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEntry.Ask()->mReplicas->size());
    CPPUNIT_ASSERT(!mEntry.Ask()->mReplicas);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEntry.mView.Told().size());
    mGiver.mView.Listed({ReplicaOf("b")}, mGiver.Now());
    CPPUNIT_ASSERT(mEntry.Ask()->mReplicas ==
                   std::vector<Replica>{ReplicaOf("b")});
  }

  // What a source read long ago is told with its age, so that a late source
  // can't pass for a fresh one, however late its answer is.
  void OldViewIsKnownToBeOld() {
    mGiver.mView.Listed({ReplicaOf("a")}, mGiver.Now() - Millis(5000));
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(!mEntry.mView.Plan().Fresh(mEntry.Now()));
    CPPUNIT_ASSERT_EQUAL(1, mEntry.mView.Plan().Misses(ViewSource::Lead));
    mGiver.mView.Listed({ReplicaOf("a")}, mGiver.Now());
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(mEntry.mView.Plan().Fresh(mEntry.Now()));
    CPPUNIT_ASSERT_EQUAL(0, mEntry.mView.Plan().Misses(ViewSource::Lead));
  }

  void ViewOfBeforeASuspensionIsOld() {
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(mEntry.mView.Plan().Fresh(mEntry.Now()));
    mEntry.mTest.Suspend(Millis(5000));
    CPPUNIT_ASSERT(!mEntry.mView.Plan().Fresh(mEntry.Now()));
    // Nor is one that a suspended node gives out.
    mGiver.mTest.Suspend(Millis(5000));
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(!mEntry.mView.Plan().Fresh(mEntry.Now()));
  }

  static CrashRecord CrashOf(const std::string& aReplica) {
    const RequestDigest digest(RequestParts{"POST", "h", "/p", "", ""});
    return {digest, aReplica, WallClockMs(), false, "POST h/p"};
  }

  void CrashesAreToldOnce() {
    CrashTable& told = mEntry.mTest.mNode.mCrashes;
    mEntry.Ask();
    CPPUNIT_ASSERT(!told.HasSuspects());
    mGiver.mTest.mNode.mCrashes.Merge({CrashOf("r1")});
    mEntry.Ask();
    CPPUNIT_ASSERT(mGiver.mTest.mNode.mCrashes.Since(0) == told.Since(0));
    const int64_t number = told.Number();
    mEntry.Ask();
    CPPUNIT_ASSERT_EQUAL(number, told.Number());
    // What is known is not told again to one who says so.
    ViewQuestion question;
    question.mRun = "giver-run";
    question.mCrashes = mGiver.mTest.mNode.mCrashes.Number();
    CPPUNIT_ASSERT(DecodeView(mGiver.Answered(question))->mCrashes.empty());
    question.mCrashes = 0;
    CPPUNIT_ASSERT_EQUAL(
        size_t{1}, DecodeView(mGiver.Answered(question))->mCrashes.size());
  }

  void NewLeadTellsCrashesToo() {
    mGiver.mTest.mNode.mCrashes.Merge({CrashOf("r1")});
    mEntry.Ask();
    Node next{mWorld, "next", false};
    next.mView.Listed({ReplicaOf("a")}, next.Now());
    next.mTest.mNode.mCrashes.Merge({CrashOf("r2")});
    mEntry.mLead.Forget();
    mEntry.mLead.Learn(next.Holder());
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEntry.mTest.mNode.mCrashes.Size());
  }

  void ToldViewIsNotPassedOn() {
    mEntry.Ask();
    Node last{mWorld, "last", true};
    last.mLead.Learn(mEntry.Holder());
    CPPUNIT_ASSERT(!last.Ask());
  }

  /// As when an operator adds a thousand routes: every node fetches them.
  void LargeConfigurationTravelsPacked() {
    std::string text;
    for (int i = 0; i < 1000; ++i) {
      text += R"({"name":"r)" + std::to_string(i) +
              R"(","host":"a.example","type":"idempotent","attempts":4},)";
    }
    mGiver.mView.Configured({text, 7});
    const HttpResponse answer = mGiver.mView.HandleConfigRequest();
    CPPUNIT_ASSERT(answer.mBody.size() * 10 < text.size());
    CPPUNIT_ASSERT(*mEntry.Ask()->mConfig == (ConfigText{text, 7}));
  }

  void ConfigurationIsFetchedOnce() {
    mGiver.mView.Configured({"the text", 7});
    std::optional<ViewUpdate> news = mEntry.Ask();
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
    const std::optional<ViewUpdate> news = mEntry.Ask();
    CPPUNIT_ASSERT(news && !news->mFollowsConfig && !news->mConfig);
  }

  void CandidateHelpsOutWithoutALead() {
    mEntry.mLead.Forget();
    mEntry.mNodes.RecordContact(mGiver.Entry(), mEntry.Now());
    CPPUNIT_ASSERT(mEntry.Ask());
  }

  void CandidateAsksNoOtherCandidate() {
    Node candidate{mWorld, "candidate", false};
    candidate.mNodes.RecordContact(mGiver.Entry(), candidate.Now());
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
    mEntry.mTest.Run(mEntry.mView.Ask(ViewSource::Lead));
    CPPUNIT_ASSERT(!mEntry.mLead.Known());
    // The candidate answers in its place.
    CPPUNIT_ASSERT(mEntry.Ask());
  }

  // A lead that is saturated is no dead one: to look for it in the store, and
  // to come back at once, is what keeps it saturated.
  void LateLeadIsNotForgottenAtOnce() {
    HttpServer silent(mWorld.mIo, HttpLimits(),
                      [this](const HttpRequest&,
                             HttpExchange& aExchange) -> asio::awaitable<void> {
                        co_await Sleep(mWorld.mIo, Millis(5000));
                        aExchange.Abort();
                      });
    const Endpoint bound = *silent.Listen({"127.0.0.1", 0});
    mEntry.mLead.Learn({"late", bound.Text(), "run"});
    mEntry.mNodes.RecordContact(mGiver.Entry(), mEntry.Now());
    CPPUNIT_ASSERT(mEntry.mView.NextSource() == ViewSource::Lead);
    CPPUNIT_ASSERT(!mEntry.mTest.Run(mEntry.mView.Ask(ViewSource::Lead)));
    CPPUNIT_ASSERT(mEntry.mLead.Known());
    // The helper is next, and the lead is left alone for the time being.
    CPPUNIT_ASSERT(mEntry.mView.NextSource() == ViewSource::Helper);
    CPPUNIT_ASSERT(mEntry.mTest.Run(mEntry.mView.Ask(ViewSource::Helper)));
    CPPUNIT_ASSERT(mEntry.mView.NextSource() != ViewSource::Lead);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, mWorld.mStore.Counts().mReads);
    silent.Stop();
  }

  void HelperIsAskedToRead() {
    int told = 0;
    mGiver.mView.mOnHelpRequested = [&told] { ++told; };
    mEntry.mLead.Forget();
    mEntry.mNodes.RecordContact(mGiver.Entry(), mEntry.Now());
    CPPUNIT_ASSERT(!mGiver.mView.Helping());
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(mGiver.mView.Helping());
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT_EQUAL(1, told);
  }

  void LeadIsNoHelper() {
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(!mGiver.mView.Helping());
  }

  // The lead is lost while the store is away: the helpers have never read it,
  // and 250 nodes must not call it one after the other.
  void HelperWithoutAStoreSaysSo() {
    Node helper{mWorld, "helper", false};
    mEntry.mLead.Forget();
    mEntry.mNodes.Adopt({helper.Entry()}, mEntry.Now());
    CPPUNIT_ASSERT(!mEntry.Ask());
    helper.mView.ListingFailed();
    CPPUNIT_ASSERT(!mEntry.Ask());
    const ViewContacts alone{true, true, false};
    const Millis later = mEntry.Now() + Millis(3000);
    mEntry.mView.Plan().RecordMiss(ViewSource::Lead, later);
    mEntry.mView.Plan().RecordMiss(ViewSource::Helper, later);
    CPPUNIT_ASSERT(!mEntry.mView.Plan().Next(alone, later));
  }

  void EntryHostsHearNothingOfVersions() {
    Replica replica = ReplicaOf("a");
    replica.mModels = {{"m", 3}};
    mGiver.mView.Listed({replica}, mGiver.Now());
    CPPUNIT_ASSERT(mEntry.Ask()->mReplicas ==
                   std::vector<Replica>{ReplicaOf("a")});
    replica.mModels = {{"m", 4}};
    mGiver.mView.Listed({replica}, mGiver.Now());
    CPPUNIT_ASSERT(!mEntry.Ask()->mReplicas);
    // One that owns steps has to know them, and is told the whole list.
    CPPUNIT_ASSERT(!mEntry.mView.KnowsVersions());
    mEntry.mView.mOwnsSteps = [] { return true; };
    CPPUNIT_ASSERT(mEntry.Ask()->mReplicas == std::vector<Replica>{replica});
    CPPUNIT_ASSERT(mEntry.mView.KnowsVersions());
  }

  void NewLeadTellsNothingThatIsKnown() {
    mEntry.Ask();
    Node next{mWorld, "next", false};
    next.mView.Listed({ReplicaOf("a")}, next.Now());
    mEntry.mLead.Learn(next.Holder());
    const std::optional<ViewUpdate> news = mEntry.Ask();
    CPPUNIT_ASSERT(news && !news->mReplicas);
    CPPUNIT_ASSERT_EQUAL(1, next.mAsked);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mEntry.mView.Told().size());
  }

  // A giver that counts its changes wrongly, as one with a fault would.
  void MissedChangeIsAskedAnew() {
    mEntry.Ask();
    Node wrong{mWorld, "wrong", false};
    wrong.mTest.mNode.mIdentity.mRun = mGiver.mTest.mNode.mIdentity.mRun;
    wrong.mView.Listed({ReplicaOf("c")}, wrong.Now());
    wrong.mView.Listed({ReplicaOf("b"), ReplicaOf("c")}, wrong.Now());
    mEntry.mLead.Learn(wrong.Holder());
    CPPUNIT_ASSERT(!mEntry.Ask());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEntry.Ask()->mReplicas->size());
  }

  // 165 replicas and 274 nodes: a calm question is answered in some 200 bytes,
  // whatever their numbers; a first one in some 200 bytes a replica.
  void CalmAnswersDoNotGrow() {
    constexpr size_t kReplicas = 165;
    constexpr size_t kNodes = 274;
    std::vector<Replica> replicas;
    for (size_t i = 0; i < kReplicas; ++i) {
      replicas.push_back(ReplicaOf("replica-" + std::to_string(i)));
      replicas.back().mModels = {{"m0", 3}, {"m1", 4}, {"m2", 5}};
    }
    mGiver.mView.Listed(replicas, mGiver.Now());
    ViewQuestion question;
    question.mVersions = false;
    for (size_t i = 0; i < kNodes; ++i) {
      question.mFrom = {"10.0.0.1:" + std::to_string(i), i % 10 != 0};
      mGiver.Answered(question);
    }
    const std::string first = mGiver.Answered(question);
    CPPUNIT_ASSERT(first.size() < 200 * kReplicas + 2000);
    const Result<SharedView> view = DecodeView(first);
    question.mRun = view->mRun;
    question.mReplicas = {view->mReplicas.mNumber, view->mReplicas.mDigest};
    question.mNodes = mGiver.mNodes.Tag();
    CPPUNIT_ASSERT(mGiver.Answered(question).size() < 250);
  }

  void OnlyYoungViewsAreWaitedFor() {
    ViewPlan& plan = mEntry.mView.Plan();
    CPPUNIT_ASSERT(!plan.Fresh(mEntry.Now()));
    mEntry.Ask();
    CPPUNIT_ASSERT(plan.Fresh(mEntry.Now()));
    mEntry.mTest.mNode.mBounds.mDrain = Millis(0);
    CPPUNIT_ASSERT(mEntry.mView.NextSource() != ViewSource::LookUp);
    CPPUNIT_ASSERT(!plan.Fresh(mEntry.Now()));
  }

  /// Asks the entry host, which asks on by a connection of its own.
  bool ConfirmUnreachable(Node& aBy, const std::string& aAddress) {
    std::optional<bool> result;
    asio::co_spawn(aBy.mTest.mIo, aBy.mView.ConfirmUnreachable(aAddress),
                   [&](std::exception_ptr, bool aResult) { result = aResult; });
    aBy.mTest.RunUntil([&] {
      mEntry.mTest.mIo.poll();
      mEntry.mTest.mIo.restart();
      return result.has_value();
    });
    return *result;
  }

  void WitnessesTellWhomTheyReach() {
    mEntry.Ask();
    const std::string entry = mEntry.Entry().mAddress;
    const std::string giver = mGiver.Entry().mAddress;
    Node candidate{mWorld, "candidate", false};
    candidate.mNodes.Adopt(mEntry.mNodes.List(), candidate.Now());
    CPPUNIT_ASSERT(!ConfirmUnreachable(candidate, giver));
    // A node that has gone; the entry host has heard of it.
    mEntry.mNodes.RecordContact({kGone, false}, mEntry.Now());
    CPPUNIT_ASSERT(ConfirmUnreachable(candidate, kGone));
    // Nobody is there to tell.
    candidate.mNodes.Adopt({}, candidate.Now());
    CPPUNIT_ASSERT(!ConfirmUnreachable(candidate, kGone));
  }

  // Nodes are told a dozen of the others, which need not name the lead. Two
  // dozen candidates and 250 entry hosts: on a calm day with a lead that was
  // out of reach for half a second, its claim was ended for this.
  void WhoDoesNotKnowANodeIsNoWitness() {
    Node candidate{mWorld, "candidate", false};
    candidate.mNodes.Adopt({mEntry.Entry()}, candidate.Now());
    CPPUNIT_ASSERT(!ConfirmUnreachable(candidate, kGone));
    // It knows who leads, whether or not it was told of that node otherwise.
    mEntry.mLead.Learn({"gone", kGone, "run"});
    CPPUNIT_ASSERT(ConfirmUnreachable(candidate, kGone));
    const std::string giver = mGiver.Entry().mAddress;
    mEntry.mLead.Learn(mGiver.Holder());
    CPPUNIT_ASSERT(!ConfirmUnreachable(candidate, giver));
  }

  /// Counts one request on the entry host; the giver keeps what it is told.
  void CountOne(std::vector<std::string>& aTold) {
    mEntry.mTest.mNode.mUsage.SetWindow(Millis(5000));
    mEntry.mTest.mNode.mUsage.Count("a", 500000);
    mGiver.mView.mOnUsage = [&](const NodeEntry&, const std::string& aText) {
      if (!aText.empty()) {
        aTold.push_back(aText);
      }
    };
  }

  void UsageGoesToTheLeadUntilItIsTaken() {
    std::vector<std::string> told;
    CountOne(told);
    Launch(mGiver.mTest.mIo, "lead", mGiver.mLead.Run());
    mGiver.mTest.RunUntil([&] { return mGiver.mLead.Held(); });
    CPPUNIT_ASSERT(mEntry.Ask().has_value());
    CPPUNIT_ASSERT(mEntry.Ask().has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, told.size());
    CPPUNIT_ASSERT(mEntry.mTest.mNode.mUsage.AllReported());
    const ToldUsage expected{"entry-run", {{100, {{"a", 1}}}}};
    CPPUNIT_ASSERT(expected == *DecodeToldUsage(told.front()));
  }

  /// As right after the lead has changed hands.
  void UsageIsKeptIfTheOtherDoesNotLead() {
    std::vector<std::string> told;
    CountOne(told);
    CPPUNIT_ASSERT(mEntry.Ask().has_value());
    CPPUNIT_ASSERT(told.empty());
    CPPUNIT_ASSERT(!mEntry.mTest.mNode.mUsage.AllReported());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewExchangeTest);

}  // namespace rillwall
