/// \file
/// Tests of sharing the contents of the store among nodes.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "rillwall/usage_record.h"
#include "rillwall/view_exchange.h"
#include "rollout_test_support.h"

namespace rillwall {

namespace {

/// An address where nothing listens.
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
  CPPUNIT_TEST(ChangesAreSentOnce);
  CPPUNIT_TEST(OldViewIsStale);
  CPPUNIT_TEST(ListOfAnEarlierReadingIsNotApplied);
  CPPUNIT_TEST(OwnReadingReplacesEveryList);
  CPPUNIT_TEST(OldAnswerIsNoSuccess);
  CPPUNIT_TEST(HelperThatBeginsToReadIsAskedAgain);
  CPPUNIT_TEST(EarlierLeadIsNotLearned);
  CPPUNIT_TEST(HostsAskAgainWhenLapsedReplicasAreRemoved);
  CPPUNIT_TEST(EarlierEvacuationIsNotApplied);
  CPPUNIT_TEST(NodeWithAnEarlierConfigurationDoesNotFollow);
  CPPUNIT_TEST(ViewFromBeforeASuspensionIsStale);
  CPPUNIT_TEST(CrashRecordsAreSentOnce);
  CPPUNIT_TEST(NewLeadSendsItsCrashRecords);
  CPPUNIT_TEST(ReceivedViewIsNotForwarded);
  CPPUNIT_TEST(ConfigurationIsFetchedOnce);
  CPPUNIT_TEST(LargeConfigurationIsCompressed);
  CPPUNIT_TEST(NodeThatDoesNotFollowTheConfigurationSaysSo);
  CPPUNIT_TEST(EvacuatedZonesAreSent);
  CPPUNIT_TEST(HostsAreCountedOnceAllCanHaveAsked);
  CPPUNIT_TEST(CandidateAnswersWithoutALead);
  CPPUNIT_TEST(CandidateDoesNotAskOtherCandidates);
  CPPUNIT_TEST(EntryHostLearnsWhoLeads);
  CPPUNIT_TEST(UnreachableLeadIsForgotten);
  CPPUNIT_TEST(OnlyFreshViewsAreWaitedFor);
  CPPUNIT_TEST(LateLeadIsNotForgottenAtOnce);
  CPPUNIT_TEST(HelperIsAskedToRead);
  CPPUNIT_TEST(LeadIsNotAHelper);
  CPPUNIT_TEST(HelperReportsAnUnavailableStore);
  CPPUNIT_TEST(EntryHostsGetNoVersions);
  CPPUNIT_TEST(NewLeadSendsNothingKnown);
  CPPUNIT_TEST(MissedChangeIsRequestedAgain);
  CPPUNIT_TEST(UnchangedAnswersDoNotGrow);
  CPPUNIT_TEST(PeersReportWhomTheyReach);
  CPPUNIT_TEST(PeersDoNotReportOnUnknownNodes);
  CPPUNIT_TEST(UsageIsSentUntilTheLeadAcceptsIt);
  CPPUNIT_TEST(UsageIsKeptIfTheOtherDoesNotLead);
  CPPUNIT_TEST(FirstLookUpAllowsStaleReads);
  CPPUNIT_TEST(SubsetOfManyReplicasIsSent);
  CPPUNIT_TEST(CandidateOfTheZoneSendsTheSubset);
  CPPUNIT_TEST(SilentCandidateIsSkipped);
  CPPUNIT_TEST(CandidatesReadManyReplicasThemselves);
  CPPUNIT_TEST(IntroductionNamesNodesAndNoReplicas);
  CPPUNIT_TEST(UsageStillGoesToTheLead);
  CPPUNIT_TEST_SUITE_END();

  /// Fills a table with a thousand replicas.
  static void Fill(RegistryTable& aTable) {
    std::vector<RegistryEntry> entries;
    for (int i = 0; i < 1000; ++i) {
      const Replica replica = ReplicaOf("i-" + std::to_string(i));
      entries.push_back({replica.mId, 1, replica});
    }
    aTable.ReplaceAll(std::move(entries), MissingEntries::Remove);
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
    /// Asks the source that is due as if it were time to ask, except for the
    /// store.
    std::optional<ViewUpdate> Ask() {
      // Notices whether another node leads by now.
      mView.NextSource();
      mView.Plan().AskNow(Now());
      const std::optional<ViewSource> source = mView.NextSource();
      const bool node = source && (*source == ViewSource::Lead ||
                                   *source == ViewSource::Helper);
      return node ? mTest.Run(mView.Ask(*source)) : std::nullopt;
    }
    /// \return the body of the answer to another node's view request
    std::string AnswerTo(const ViewRequest& aViewRequest) {
      HttpRequest request;
      request.mTarget = EncodeViewRequest(aViewRequest);
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
  Node mSource{mWorld, "giver", false};
  Node mEntry{mWorld, "entry", true};

 public:
  /// Handlers of the servers refer to the nodes, so they are destroyed first.
  ~ViewExchangeTest() override { mWorld.mIo.Close(); }

  void setUp() override {
    mSource.mView.Listed({ReplicaOf("a")}, {1, mSource.Now()});
    mSource.mView.Follows(true);
    mEntry.mLead.Learn(mSource.Holder());
  }

 private:
  void EntryHostGetsTheLeadsView() {
    const std::optional<ViewUpdate> update = mEntry.Ask();
    CPPUNIT_ASSERT(update->mReplicas == std::vector<Replica>{ReplicaOf("a")});
    // From then on each node knows the other.
    CPPUNIT_ASSERT(mSource.mNodes.Knows(mEntry.Entry().mAddress));
    CPPUNIT_ASSERT(mEntry.mNodes.Knows(mSource.Entry().mAddress));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, mWorld.mStore.Counts().mReads);
  }

  void FirstLookUpAllowsStaleReads() {
    mEntry.mLead.Forget();
    const auto lookUp = [&]() -> asio::awaitable<bool> {
      co_await mEntry.mView.LookUp();
      co_return true;
    };
    for (uint64_t reads = 1; reads <= 3; ++reads) {
      mEntry.mTest.Run(lookUp());
      CPPUNIT_ASSERT_EQUAL(reads, mWorld.mStore.Counts().mReads);
      CPPUNIT_ASSERT_EQUAL(uint64_t{1}, mWorld.mStore.mStaleReads);
    }
  }

  void SubsetOfManyReplicasIsSent() {
    Fill(mTable);
    mSource.mView.ReadTable(mTable, {1, mSource.Now()});
    const std::optional<ViewUpdate> update = mEntry.Ask();
    CPPUNIT_ASSERT_EQUAL(RegistryTable::kDefaultSubset,
                         update->mReplicas->size());
    CPPUNIT_ASSERT(!mEntry.Ask()->mReplicas);
    // First remove a replica that is not in the subset, then one that is.
    const Replica known = update->mReplicas->front();
    int other = 0;
    const auto knows = [&](const std::string& aId) {
      return std::any_of(update->mReplicas->begin(), update->mReplicas->end(),
                         [&](const Replica& aOne) { return aOne.mId == aId; });
    };
    while (knows("i-" + std::to_string(other))) {
      ++other;
    }
    mTable.Remove("i-" + std::to_string(other), 2, MissingEntries::Remove);
    CPPUNIT_ASSERT(!mEntry.Ask()->mReplicas);
    mTable.Remove(known.mId, 3, MissingEntries::Remove);
    const std::optional<ViewUpdate> later = mEntry.Ask();
    CPPUNIT_ASSERT_EQUAL(RegistryTable::kDefaultSubset,
                         later->mReplicas->size());
    CPPUNIT_ASSERT(std::find(later->mReplicas->begin(), later->mReplicas->end(),
                             known) == later->mReplicas->end());
  }

  void CandidateOfTheZoneSendsTheSubset() {
    Fill(mTable);
    Node subsetSource(mWorld, "teller", false);
    subsetSource.mView.ReadTable(mTable, {1, subsetSource.Now()});
    subsetSource.mView.Follows(true);
    subsetSource.mLead.Learn(mSource.Holder());
    mSource.mView.ReadTable(mTable, {1, mSource.Now()});
    mSource.mNodes.RecordContact(subsetSource.Entry(), mSource.Now());
    // The lead's answer names the candidate, and says that there are many
    // replicas.
    CPPUNIT_ASSERT(mEntry.Ask()->mReplicas.has_value());
    const int asked = mSource.mAsked;
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(mEntry.Ask().has_value());
    }
    CPPUNIT_ASSERT_EQUAL(5, subsetSource.mAsked + mSource.mAsked - asked);
    CPPUNIT_ASSERT(subsetSource.mAsked == 5 || mSource.mAsked == asked + 5);
    CPPUNIT_ASSERT(mEntry.mLead.Known()->mAddress == mSource.Holder().mAddress);
  }

  void SilentCandidateIsSkipped() {
    Fill(mTable);
    mSource.mView.ReadTable(mTable, {1, mSource.Now()});
    const NodeIdentity& self = mSource.mTest.mNode.mIdentity;
    mSource.mNodes.RecordContact({kGone, false, "z"}, mSource.Now());
    mSource.mNodes.RecordContact({self.mAddress, false, "other"},
                                 mSource.Now());
    mEntry.Ask();
    // The candidate is asked once, and then the lead.
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
    candidate.mLead.Learn(mSource.Holder());
    candidate.Ask();
    CPPUNIT_ASSERT(!candidate.mView.ReadsForOthers());
    mSource.mView.ReadTable(mTable, {1, mSource.Now()});
    candidate.Ask();
    CPPUNIT_ASSERT(candidate.mView.ReadsForOthers());
    mEntry.Ask();
    CPPUNIT_ASSERT(mEntry.mView.Large());
    CPPUNIT_ASSERT(!mEntry.mView.ReadsForOthers());
    // The replicas become few again, and the lead informs the candidate.
    mSource.mView.Listed({ReplicaOf("a")}, {1, mSource.Now()});
    candidate.mView.Listed({ReplicaOf("a")}, {1, candidate.Now()});
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
    Node subsetSource(mWorld, "teller", false);
    subsetSource.mView.ReadTable(mTable, {1, subsetSource.Now()});
    mSource.mView.ReadTable(mTable, {1, mSource.Now()});
    mSource.mNodes.RecordContact({"10.0.0.7:1", false, "y"}, mSource.Now());
    subsetSource.mLead.Learn(mSource.Holder());
    subsetSource.mNodes.RecordContact(mEntry.Entry(), subsetSource.Now());
    const auto introduce = [&]() -> asio::awaitable<bool> {
      co_await subsetSource.mView.Introduce();
      co_return true;
    };
    mWorld.mStore.mDown = true;
    subsetSource.mTest.Run(introduce());
    CPPUNIT_ASSERT(mSource.mNodes.Knows(subsetSource.Entry().mAddress));
    CPPUNIT_ASSERT(subsetSource.mNodes.Knows("10.0.0.7:1"));
    // A node keeps those that asked it.
    CPPUNIT_ASSERT(subsetSource.mNodes.Knows(mEntry.Entry().mAddress));
    ViewRequest viewRequest;
    viewRequest.mFrom = subsetSource.Entry();
    viewRequest.mVersions = false;
    viewRequest.mWantsReplicas = false;
    const std::string answer = mSource.AnswerTo(viewRequest);
    CPPUNIT_ASSERT(DecodeView(answer)->mReplicas.mChanged.empty());
    CPPUNIT_ASSERT_MESSAGE(answer, answer.size() < 600);
  }

  void UsageStillGoesToTheLead() {
    Fill(mTable);
    Node subsetSource(mWorld, "teller", false);
    subsetSource.mView.ReadTable(mTable, {1, subsetSource.Now()});
    mSource.mView.ReadTable(mTable, {1, mSource.Now()});
    mSource.mNodes.RecordContact(subsetSource.Entry(), mSource.Now());
    mEntry.Ask();
    UsageMeter& usage = mEntry.mTest.mNode.mUsage;
    usage.SetWindow(Millis(1000));
    usage.Count("a", mEntry.mTest.mNode.mTimeOfDay());
    const int asked = mSource.mAsked;
    mEntry.Ask();
    CPPUNIT_ASSERT_EQUAL(asked + 1, mSource.mAsked);
  }

  void EvacuatedZonesAreSent() {
    mSource.mView.Configured({"text", 7});
    mSource.mView.Evacuated({"z"}, 7);
    mEntry.Ask();
    CPPUNIT_ASSERT(mEntry.mTest.mNode.mReplicas.Evacuated("z"));
    // A node that does not follow the configuration does not know its zones.
    mSource.mView.Follows(false);
    mSource.mView.Evacuated({}, 8);
    mEntry.Ask();
    CPPUNIT_ASSERT(mEntry.mTest.mNode.mReplicas.Evacuated("z"));
    mSource.mView.Follows(true);
    mEntry.Ask();
    CPPUNIT_ASSERT(!mEntry.mTest.mNode.mReplicas.Evacuated("z"));
  }

  void HostsAreCountedOnceAllCanHaveAsked() {
    ViewRequest viewRequest;
    viewRequest.mFrom = mEntry.Entry();
    const auto reportedHosts = [&] {
      return DecodeView(mSource.AnswerTo(viewRequest))->mHosts;
    };
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, reportedHosts());
    const Millis now = mSource.Now();
    for (int64_t second = 0; second <= 10; ++second) {
      mSource.mView.Listed({ReplicaOf("a")}, {1, now + Millis(second * 1000)});
    }
    CPPUNIT_ASSERT_EQUAL(int64_t{16}, reportedHosts());
    // After a gap, other hosts may have asked another node.
    mSource.mView.Listed({ReplicaOf("a")}, {1, now + Millis(15000)});
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, reportedHosts());
  }

  void ChangesAreSentOnce() {
    mEntry.Ask();
    mSource.mView.Listed({ReplicaOf("a"), ReplicaOf("b")}, {1, mSource.Now()});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEntry.Ask()->mReplicas->size());
    CPPUNIT_ASSERT(!mEntry.Ask()->mReplicas);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEntry.mView.ReportedReplicas().size());
    mSource.mView.Listed({ReplicaOf("b")}, {1, mSource.Now()});
    CPPUNIT_ASSERT(mEntry.Ask()->mReplicas ==
                   std::vector<Replica>{ReplicaOf("b")});
  }

  // An answer names the age of what the source read, so that a late source
  // cannot pass for a fresh one, however late the answer is.
  void OldViewIsStale() {
    mSource.mView.Listed({ReplicaOf("a")}, {1, mSource.Now() - Millis(5000)});
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(!mEntry.mView.Plan().Fresh(mEntry.Now()));
    CPPUNIT_ASSERT_EQUAL(1, mEntry.mView.Plan().Misses(ViewSource::Lead));
    mSource.mView.Listed({ReplicaOf("a")}, {1, mSource.Now()});
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(mEntry.mView.Plan().Fresh(mEntry.Now()));
    CPPUNIT_ASSERT_EQUAL(0, mEntry.mView.Plan().Misses(ViewSource::Lead));
  }

  // Guards against requests to replicas that have left: a candidate that once
  // read the store answered with what it read then, and the asking host
  // replaced what it knew by it.
  void ListOfAnEarlierReadingIsNotApplied() {
    Node former{mWorld, "former", false};
    former.mView.Listed({ReplicaOf("a"), ReplicaOf("left")},
                        {5, former.Now() - Millis(20000)});
    mSource.mView.Listed({ReplicaOf("a")}, {9, mSource.Now()});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mEntry.Ask()->mReplicas->size());
    // The lead does not answer once; its list is still recent enough.
    mEntry.mLead.Forget();
    mEntry.mNodes.Adopt({former.Entry()}, mEntry.Now());
    const std::optional<ViewUpdate> update = mEntry.Ask();
    CPPUNIT_ASSERT_EQUAL(1, former.mAsked);
    CPPUNIT_ASSERT(!update || !update->mReplicas);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mEntry.mView.ReportedReplicas().size());
    CPPUNIT_ASSERT(!former.mLead.Known());
    // It is asked again soon, as it reads the store by then.
    CPPUNIT_ASSERT_EQUAL(1, mEntry.mView.Plan().Misses(ViewSource::Helper));
    former.mView.Listed({ReplicaOf("a"), ReplicaOf("b")}, {12, former.Now()});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEntry.Ask()->mReplicas->size());
    CPPUNIT_ASSERT_EQUAL(2, former.mAsked);
  }

  // The store decides, also after it was replaced by an empty one.
  void OwnReadingReplacesEveryList() {
    mSource.mView.Listed({ReplicaOf("a")}, {9, mSource.Now()});
    CPPUNIT_ASSERT(mEntry.Ask());
    mEntry.mView.Listed({ReplicaOf("b")}, {2, mEntry.Now()});
    mSource.mView.Listed({ReplicaOf("b")}, {3, mSource.Now()});
    CPPUNIT_ASSERT(mEntry.Ask());
  }

  // Guards against a host that waits a whole period after an old answer, as
  // the list that it has is still recent enough.
  void OldAnswerIsNoSuccess() {
    CPPUNIT_ASSERT(mEntry.Ask());
    mSource.mView.Listed({ReplicaOf("a")}, {2, mSource.Now() - Millis(5000)});
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(mEntry.mView.Plan().Fresh(mEntry.Now()));
    CPPUNIT_ASSERT_EQUAL(1, mEntry.mView.Plan().Misses(ViewSource::Lead));
  }

  // Guards against hosts that ask one candidate after the other, each of which
  // begins to read the store for them.
  void HelperThatBeginsToReadIsAskedAgain() {
    Node one{mWorld, "one", false};
    Node other{mWorld, "other", false};
    mEntry.mLead.Forget();
    mEntry.mNodes.Adopt({one.Entry(), other.Entry()}, mEntry.Now());
    CPPUNIT_ASSERT(!mEntry.Ask());
    Node& asked = one.mAsked > 0 ? one : other;
    CPPUNIT_ASSERT(asked.mView.Helping());
    asked.mView.Listed({ReplicaOf("a")}, {2, asked.Now()});
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT_EQUAL(2, asked.mAsked);
    CPPUNIT_ASSERT_EQUAL(2, one.mAsked + other.mAsked);
  }

  void HostsAskAgainWhenLapsedReplicasAreRemoved() {
    const ViewContacts contacts{true, false, false};
    const Millis soon(480);
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(!mEntry.mView.Plan().Next(contacts, mEntry.Now() + soon));
    mSource.mView.KeepsLapsed(LapsedNote{Millis(0), Millis(100)});
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(mEntry.mView.Plan().Next(contacts, mEntry.Now() + soon) ==
                   ViewSource::Lead);
    CPPUNIT_ASSERT(
        !mEntry.mView.Plan().Next(contacts, mEntry.Now() + Millis(50)));
  }

  void EarlierLeadIsNotLearned() {
    const LeadHolder first{"first", "127.0.0.1:1", "r1", "z", 5};
    const LeadHolder second{"second", "127.0.0.1:2", "r2", "z", 9};
    mEntry.mLead.Learn(second);
    mEntry.mLead.Learn(first);
    CPPUNIT_ASSERT(*mEntry.mLead.Known() == second);
    // Nor after the known one did not answer.
    mEntry.mLead.Forget();
    mEntry.mLead.Learn(first);
    CPPUNIT_ASSERT(!mEntry.mLead.Known());
    mEntry.mLead.Learn(second);
    CPPUNIT_ASSERT(*mEntry.mLead.Known() == second);
  }

  void EarlierEvacuationIsNotApplied() {
    mSource.mView.Configured({"text", 3});
    mSource.mView.Evacuated({"z"}, 7);
    CPPUNIT_ASSERT(mEntry.Ask());
    Node former{mWorld, "former", false};
    former.mView.Listed({ReplicaOf("a")}, {1, former.Now()});
    former.mView.Configured({"text", 3});
    former.mView.Follows(true);
    former.mView.Evacuated({}, 5);
    mEntry.mLead.Learn(former.Holder());
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(former.mAsked > 0);
    CPPUNIT_ASSERT(mEntry.mTest.mNode.mReplicas.Evacuated("z"));
    former.mView.Evacuated({}, 8);
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(!mEntry.mTest.mNode.mReplicas.Evacuated("z"));
  }

  // Guards against an old configuration that counts as confirmed.
  void NodeWithAnEarlierConfigurationDoesNotFollow() {
    mSource.mView.Configured({"the text", 7});
    mEntry.mView.Configured({"a later text", 8});
    const std::optional<ViewUpdate> update = mEntry.Ask();
    CPPUNIT_ASSERT(update && !update->mFollowsConfig && !update->mConfig);
  }

  void ViewFromBeforeASuspensionIsStale() {
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(mEntry.mView.Plan().Fresh(mEntry.Now()));
    mEntry.mTest.Suspend(Millis(5000));
    CPPUNIT_ASSERT(!mEntry.mView.Plan().Fresh(mEntry.Now()));
    // A view from a suspended node is stale too.
    mSource.mTest.Suspend(Millis(5000));
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(!mEntry.mView.Plan().Fresh(mEntry.Now()));
  }

  static CrashRecord CrashOf(const std::string& aReplica) {
    const RequestDigest digest(RequestParts{"POST", "h", "/p", "", ""});
    return {digest, aReplica, WallClockMs(), false, "POST h/p"};
  }

  void CrashRecordsAreSentOnce() {
    CrashTable& received = mEntry.mTest.mNode.mCrashes;
    mEntry.Ask();
    CPPUNIT_ASSERT(!received.HasSuspects());
    mSource.mTest.mNode.mCrashes.Merge({CrashOf("r1")});
    mEntry.Ask();
    CPPUNIT_ASSERT(mSource.mTest.mNode.mCrashes.Since(0) == received.Since(0));
    const int64_t number = received.Number();
    mEntry.Ask();
    CPPUNIT_ASSERT_EQUAL(number, received.Number());
    // Records that the request names as known are not sent again.
    ViewRequest viewRequest;
    viewRequest.mRun = "giver-run";
    viewRequest.mCrashes = mSource.mTest.mNode.mCrashes.Number();
    CPPUNIT_ASSERT(DecodeView(mSource.AnswerTo(viewRequest))->mCrashes.empty());
    viewRequest.mCrashes = 0;
    CPPUNIT_ASSERT_EQUAL(
        size_t{1}, DecodeView(mSource.AnswerTo(viewRequest))->mCrashes.size());
  }

  void NewLeadSendsItsCrashRecords() {
    mSource.mTest.mNode.mCrashes.Merge({CrashOf("r1")});
    mEntry.Ask();
    Node next{mWorld, "next", false};
    next.mView.Listed({ReplicaOf("a")}, {1, next.Now()});
    next.mTest.mNode.mCrashes.Merge({CrashOf("r2")});
    mEntry.mLead.Forget();
    mEntry.mLead.Learn(next.Holder());
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEntry.mTest.mNode.mCrashes.Size());
  }

  void ReceivedViewIsNotForwarded() {
    mEntry.Ask();
    Node last{mWorld, "last", true};
    last.mLead.Learn(mEntry.Holder());
    CPPUNIT_ASSERT(!last.Ask());
  }

  /// An operator adds a thousand routes, and every node fetches them.
  void LargeConfigurationIsCompressed() {
    std::string text;
    for (int i = 0; i < 1000; ++i) {
      text += R"({"name":"r)" + std::to_string(i) +
              R"(","host":"a.example","type":"idempotent","attempts":4},)";
    }
    mSource.mView.Configured({text, 7});
    const HttpResponse answer = mSource.mView.HandleConfigRequest();
    CPPUNIT_ASSERT(answer.mBody.size() * 10 < text.size());
    CPPUNIT_ASSERT(*mEntry.Ask()->mConfig == (ConfigText{text, 7}));
  }

  void ConfigurationIsFetchedOnce() {
    mSource.mView.Configured({"the text", 7});
    std::optional<ViewUpdate> update = mEntry.Ask();
    CPPUNIT_ASSERT(update->mFollowsConfig);
    CPPUNIT_ASSERT(*update->mConfig == (ConfigText{"the text", 7}));
    mEntry.mView.Configured(*update->mConfig);
    update = mEntry.Ask();
    CPPUNIT_ASSERT(update->mFollowsConfig);
    CPPUNIT_ASSERT(!update->mConfig);
    CPPUNIT_ASSERT_EQUAL(1, mSource.mConfigsAsked);
  }

  void NodeThatDoesNotFollowTheConfigurationSaysSo() {
    mSource.mView.Configured({"the text", 7});
    mSource.mView.Follows(false);
    const std::optional<ViewUpdate> update = mEntry.Ask();
    CPPUNIT_ASSERT(update && !update->mFollowsConfig && !update->mConfig);
  }

  void CandidateAnswersWithoutALead() {
    mEntry.mLead.Forget();
    mEntry.mNodes.RecordContact(mSource.Entry(), mEntry.Now());
    CPPUNIT_ASSERT(mEntry.Ask());
  }

  void CandidateDoesNotAskOtherCandidates() {
    Node candidate{mWorld, "candidate", false};
    candidate.mNodes.RecordContact(mSource.Entry(), candidate.Now());
    CPPUNIT_ASSERT(!candidate.Ask());
    CPPUNIT_ASSERT_EQUAL(0, mSource.mAsked);
  }

  void EntryHostLearnsWhoLeads() {
    mEntry.Ask();
    const LeadHolder other{"other", "127.0.0.1:1", "run"};
    mSource.mLead.Learn(other);
    mEntry.Ask();
    CPPUNIT_ASSERT(*mEntry.mLead.Known() == other);
  }

  void UnreachableLeadIsForgotten() {
    mEntry.Ask();
    mEntry.mLead.Learn({"other", "127.0.0.1:1", "run"});
    mEntry.mTest.Run(mEntry.mView.Ask(ViewSource::Lead));
    CPPUNIT_ASSERT(!mEntry.mLead.Known());
    // The candidate answers in place of the lead.
    CPPUNIT_ASSERT(mEntry.Ask());
  }

  // A saturated lead is still alive. Looking it up in the store and asking it
  // again at once would keep it saturated.
  void LateLeadIsNotForgottenAtOnce() {
    HttpServer silent(mWorld.mIo, HttpLimits(),
                      [this](const HttpRequest&,
                             HttpExchange& aExchange) -> asio::awaitable<void> {
                        co_await Sleep(mWorld.mIo, Millis(5000));
                        aExchange.Abort();
                      });
    const Endpoint bound = *silent.Listen({"127.0.0.1", 0});
    mEntry.mLead.Learn({"late", bound.Text(), "run"});
    mEntry.mNodes.RecordContact(mSource.Entry(), mEntry.Now());
    CPPUNIT_ASSERT(mEntry.mView.NextSource() == ViewSource::Lead);
    CPPUNIT_ASSERT(!mEntry.mTest.Run(mEntry.mView.Ask(ViewSource::Lead)));
    CPPUNIT_ASSERT(mEntry.mLead.Known());
    // The helper is next, and the lead is not asked for a while.
    CPPUNIT_ASSERT(mEntry.mView.NextSource() == ViewSource::Helper);
    CPPUNIT_ASSERT(mEntry.mTest.Run(mEntry.mView.Ask(ViewSource::Helper)));
    CPPUNIT_ASSERT(mEntry.mView.NextSource() != ViewSource::Lead);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, mWorld.mStore.Counts().mReads);
    silent.Stop();
  }

  void HelperIsAskedToRead() {
    int notifications = 0;
    mSource.mView.mOnHelpRequested = [&notifications] { ++notifications; };
    mEntry.mLead.Forget();
    mEntry.mNodes.RecordContact(mSource.Entry(), mEntry.Now());
    CPPUNIT_ASSERT(!mSource.mView.Helping());
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(mSource.mView.Helping());
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT_EQUAL(1, notifications);
  }

  void LeadIsNotAHelper() {
    CPPUNIT_ASSERT(mEntry.Ask());
    CPPUNIT_ASSERT(!mSource.mView.Helping());
  }

  // The lead is lost while the store does not answer. The helpers have never
  // read the store, and 250 nodes must not call it one after the other.
  void HelperReportsAnUnavailableStore() {
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

  void EntryHostsGetNoVersions() {
    Replica replica = ReplicaOf("a");
    replica.mModels = {{"m", 3}};
    mSource.mView.Listed({replica}, {1, mSource.Now()});
    CPPUNIT_ASSERT(mEntry.Ask()->mReplicas ==
                   std::vector<Replica>{ReplicaOf("a")});
    replica.mModels = {{"m", 4}};
    mSource.mView.Listed({replica}, {1, mSource.Now()});
    CPPUNIT_ASSERT(!mEntry.Ask()->mReplicas);
    // A node that owns steps needs the versions and is sent the whole list.
    CPPUNIT_ASSERT(!mEntry.mView.KnowsVersions());
    mEntry.mView.mOwnsSteps = [] { return true; };
    CPPUNIT_ASSERT(mEntry.Ask()->mReplicas == std::vector<Replica>{replica});
    CPPUNIT_ASSERT(mEntry.mView.KnowsVersions());
  }

  void NewLeadSendsNothingKnown() {
    mEntry.Ask();
    Node next{mWorld, "next", false};
    next.mView.Listed({ReplicaOf("a")}, {1, next.Now()});
    mEntry.mLead.Learn(next.Holder());
    const std::optional<ViewUpdate> update = mEntry.Ask();
    CPPUNIT_ASSERT(update && !update->mReplicas);
    CPPUNIT_ASSERT_EQUAL(1, next.mAsked);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mEntry.mView.ReportedReplicas().size());
  }

  // The source counts its changes wrongly, as a faulty one would.
  void MissedChangeIsRequestedAgain() {
    mEntry.Ask();
    Node wrong{mWorld, "wrong", false};
    wrong.mTest.mNode.mIdentity.mRun = mSource.mTest.mNode.mIdentity.mRun;
    wrong.mView.Listed({ReplicaOf("c")}, {1, wrong.Now()});
    wrong.mView.Listed({ReplicaOf("b"), ReplicaOf("c")}, {1, wrong.Now()});
    mEntry.mLead.Learn(wrong.Holder());
    CPPUNIT_ASSERT(!mEntry.Ask());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mEntry.Ask()->mReplicas->size());
  }

  // With 165 replicas and 274 nodes, a view request without changes is answered
  // in some 200 bytes, whatever their numbers; a first request in some 200
  // bytes for each replica.
  void UnchangedAnswersDoNotGrow() {
    constexpr size_t kReplicas = 165;
    constexpr size_t kNodes = 274;
    std::vector<Replica> replicas;
    for (size_t i = 0; i < kReplicas; ++i) {
      replicas.push_back(ReplicaOf("replica-" + std::to_string(i)));
      replicas.back().mModels = {{"m0", 3}, {"m1", 4}, {"m2", 5}};
    }
    mSource.mView.Listed(replicas, {1, mSource.Now()});
    ViewRequest viewRequest;
    viewRequest.mVersions = false;
    for (size_t i = 0; i < kNodes; ++i) {
      viewRequest.mFrom = {"10.0.0.1:" + std::to_string(i), i % 10 != 0};
      mSource.AnswerTo(viewRequest);
    }
    const std::string first = mSource.AnswerTo(viewRequest);
    CPPUNIT_ASSERT(first.size() < 200 * kReplicas + 2000);
    const Result<SharedView> view = DecodeView(first);
    viewRequest.mRun = view->mRun;
    viewRequest.mReplicas = {view->mReplicas.mNumber, view->mReplicas.mDigest};
    viewRequest.mNodes = mSource.mNodes.Tag();
    CPPUNIT_ASSERT(mSource.AnswerTo(viewRequest).size() < 250);
  }

  void OnlyFreshViewsAreWaitedFor() {
    ViewPlan& plan = mEntry.mView.Plan();
    CPPUNIT_ASSERT(!plan.Fresh(mEntry.Now()));
    mEntry.Ask();
    CPPUNIT_ASSERT(plan.Fresh(mEntry.Now()));
    mEntry.mTest.mNode.mBounds.mDrain = Millis(0);
    CPPUNIT_ASSERT(mEntry.mView.NextSource() != ViewSource::LookUp);
    CPPUNIT_ASSERT(!plan.Fresh(mEntry.Now()));
  }

  /// Asks the entry host, which probes the address over its own connection.
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

  void PeersReportWhomTheyReach() {
    mEntry.Ask();
    const std::string entry = mEntry.Entry().mAddress;
    const std::string giver = mSource.Entry().mAddress;
    Node candidate{mWorld, "candidate", false};
    candidate.mNodes.Adopt(mEntry.mNodes.List(), candidate.Now());
    CPPUNIT_ASSERT(!ConfirmUnreachable(candidate, giver));
    // A node that has gone; the entry host knows of it.
    mEntry.mNodes.RecordContact({kGone, false}, mEntry.Now());
    CPPUNIT_ASSERT(ConfirmUnreachable(candidate, kGone));
    // There is no peer left to ask.
    candidate.mNodes.Adopt({}, candidate.Now());
    CPPUNIT_ASSERT(!ConfirmUnreachable(candidate, kGone));
  }

  // A node learns of a dozen of the others, and the lead need not be among
  // them. With two dozen candidates and 250 entry hosts, a lead that was
  // unreachable for half a second lost its claim because peers that did not
  // know it were counted as not reaching it.
  void PeersDoNotReportOnUnknownNodes() {
    Node candidate{mWorld, "candidate", false};
    candidate.mNodes.Adopt({mEntry.Entry()}, candidate.Now());
    CPPUNIT_ASSERT(!ConfirmUnreachable(candidate, kGone));
    // The entry host knows who leads, whether or not its list of nodes names
    // that node.
    mEntry.mLead.Learn({"gone", kGone, "run"});
    CPPUNIT_ASSERT(ConfirmUnreachable(candidate, kGone));
    const std::string giver = mSource.Entry().mAddress;
    mEntry.mLead.Learn(mSource.Holder());
    CPPUNIT_ASSERT(!ConfirmUnreachable(candidate, giver));
  }

  /// Counts one request on the entry host; the source collects the reports that
  /// it receives.
  void CountOne(std::vector<std::string>& aReports) {
    mEntry.mTest.mNode.mUsage.SetWindow(Millis(5000));
    mEntry.mTest.mNode.mUsage.Count("a", 500000);
    mSource.mView.mOnUsage = [&](const NodeEntry&, const std::string& aText) {
      if (!aText.empty()) {
        aReports.push_back(aText);
      }
    };
  }

  void UsageIsSentUntilTheLeadAcceptsIt() {
    std::vector<std::string> reports;
    CountOne(reports);
    Launch(mSource.mTest.mIo, "lead", mSource.mLead.Run());
    mSource.mTest.RunUntil([&] { return mSource.mLead.Held(); });
    CPPUNIT_ASSERT(mEntry.Ask().has_value());
    CPPUNIT_ASSERT(mEntry.Ask().has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, reports.size());
    CPPUNIT_ASSERT(mEntry.mTest.mNode.mUsage.AllReported());
    const HostUsage expected{"entry-run", {{100, {{"a", 1}}}}};
    CPPUNIT_ASSERT(expected == *DecodeHostUsage(reports.front()));
  }

  /// This happens right after the lead has changed.
  void UsageIsKeptIfTheOtherDoesNotLead() {
    std::vector<std::string> reports;
    CountOne(reports);
    CPPUNIT_ASSERT(mEntry.Ask().has_value());
    CPPUNIT_ASSERT(reports.empty());
    CPPUNIT_ASSERT(!mEntry.mTest.mNode.mUsage.AllReported());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewExchangeTest);

}  // namespace rillwall
