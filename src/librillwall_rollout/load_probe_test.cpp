/// \file
/// Tests of probes for the load of replicas, over real connections to scripted
/// replicas.

#include "rillwall/load_probe.h"

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/upstream_call.h"
#include "rollout_test_support.h"

namespace rillwall {

namespace {

HeaderNames HeadersWithLoad() {
  HeaderNames names = TestHeaders();
  names.mReplicaLoad = "Load";
  names.mReplicaId = "Replica";
  return names;
}

}  // namespace

class LoadProbeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadProbeTest);
  CPPUNIT_TEST(RequestGoesToTheReplicaThatIsFreeNow);
  CPPUNIT_TEST(NoConnectionIsOpenedForProbes);
  CPPUNIT_TEST(ScorerCallsAndOtherServicesDoNotProbe);
  CPPUNIT_TEST(LateProbesAreNotWaitedFor);
  CPPUNIT_TEST(AnswerOfAnotherReplicaIsNotUsed);
  CPPUNIT_TEST(SecondTryAnswersForASilentReplica);
  CPPUNIT_TEST(NoSecondTryBeyondTheAttempts);
  CPPUNIT_TEST_SUITE_END();

  TestWorld mWorld;
  ScriptedReplica mOne{mWorld.mIo, "one", HeadersWithLoad()};
  ScriptedReplica mTwo{mWorld.mIo, "two", HeadersWithLoad()};
  TestNode mTest{mWorld};

 public:
  void setUp() override {
    mTest.mNode.mHeaders = HeadersWithLoad();
    for (ScriptedReplica* each : {&mOne, &mTwo}) {
      each->mStreams = false;
      each->mLoad = "0,0,8,100";
      mTest.Add(*each, "s");
    }
    ServiceSpec service;
    service.mName = "s";
    service.mHealthPath = ScriptedReplica::kHealthPath;
    mTest.mNode.mRoutes.Publish(std::make_shared<const RouteTable>(
        1, std::vector<Route>(), std::vector<ServiceSpec>{service},
        ClientLimits()));
  }

 private:
  std::string Call(bool aProbes = true, int aAttempts = 2) {
    UpstreamCall call;
    call.mId = "id7";
    call.mRequest.mTarget = "/p";
    call.mRequest.mHeaders = {{TestHeaders().mRequestId, "id7"}};
    call.mService = "s";
    call.mAttempts = aAttempts;
    call.mDeadline = mTest.mNode.Now() + Millis(1500);
    call.mTargetLatency = Millis(1000);
    call.mProbes = aProbes;
    const auto answer = mTest.Run(CallUpstream(mTest.mNode, std::move(call)));
    CPPUNIT_ASSERT(answer);
    return answer->mReplica;
  }
  /// Opens a connection to each replica and learns of its load, as earlier
  /// requests do.
  void Connect() {
    for (ScriptedReplica* each : {&mOne, &mTwo}) {
      const Replica entry = each->Entry("s");
      HttpRequest request;
      request.mTarget = "/p";
      const auto answer = mTest.Run(mTest.mNode.mClient.Send(
          *Endpoint::Parse(entry.mAddress), std::move(request), Millis(2000)));
      ObserveLoad(mTest.mNode, entry.mId, *answer);
      each->mRequests.clear();
    }
    mTest.RunFor(Millis(20));
  }
  int Probes() const { return mOne.mHealthChecks + mTwo.mHealthChecks; }
  bool HasMetric(const std::string& aName) const {
    return mTest.mNode.mMetrics.Text().find(aName) != std::string::npos;
  }

  /// Guards against a choice by figures that are out of date.
  void RequestGoesToTheReplicaThatIsFreeNow() {
    Connect();
    mOne.mLoad = "8,20,8,500";
    CPPUNIT_ASSERT_EQUAL(std::string("two"), Call());
    CPPUNIT_ASSERT(mOne.mRequests.empty());
    mTest.RunFor(Millis(20));
    std::swap(mOne.mLoad, mTwo.mLoad);
    CPPUNIT_ASSERT_EQUAL(std::string("one"), Call());
    CPPUNIT_ASSERT(HasMetric("load_probes_sent_total"));
    CPPUNIT_ASSERT(HasMetric("load_probes_answered_total"));
  }

  /// Guards against connections that are opened only to probe.
  void NoConnectionIsOpenedForProbes() {
    Call();
    Call();
    mTest.RunFor(Millis(20));
    const uint64_t before = mTest.mNode.mClient.ConnectionsMade();
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, before);
    Call();
    CPPUNIT_ASSERT_EQUAL(1, Probes());
    CPPUNIT_ASSERT_EQUAL(before, mTest.mNode.mClient.ConnectionsMade());
  }

  /// Guards against probes where a health check would wait for a slot, and for
  /// calls whose sender knows enough.
  void ScorerCallsAndOtherServicesDoNotProbe() {
    Connect();
    Call(false);
    CPPUNIT_ASSERT_EQUAL(0, Probes());
    for (ScriptedReplica* each : {&mOne, &mTwo}) {
      each->mLoad = "0,0,8";
    }
    Connect();
    Call();
    CPPUNIT_ASSERT_EQUAL(0, Probes());
    mTest.mNode.mReplicas.SetAdmission(true);
    mTest.RunFor(Millis(20));
    Call();
    CPPUNIT_ASSERT(Probes() > 0);
  }

  /// Guards against holding a request until a replica answers its probe.
  void LateProbesAreNotWaitedFor() {
    Connect();
    ReplicaRequirements requirements;
    requirements.mService = "s";
    FindConnected(mTest.mNode, requirements);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, requirements.mConnected.size());
    bool done = false;
    Launch(mTest.mIo, "refresh",
           [](LoadProbeTest& aTest, const ReplicaRequirements& aWhich,
              bool& aDone) -> asio::awaitable<void> {
             co_await RefreshLoad(aTest.mTest.mNode, aWhich, Millis(8));
             aDone = true;
           }(*this, requirements, done));
    // The replicas' context does not run meanwhile, so that nothing answers.
    while (!done) {
      mTest.mIo.run_one();
      mTest.mIo.restart();
    }
    CPPUNIT_ASSERT(!HasMetric("load_probes_answered_total"));
    mTest.RunUntil([this] { return HasMetric("load_probes_late_total 2"); });
  }

  /// Guards against figures of a replica that took over the address.
  void AnswerOfAnotherReplicaIsNotUsed() {
    Connect();
    Replica renamed = mOne.Entry("s");
    renamed.mId = "new";
    mTest.mNode.mReplicas.Update({renamed, mTwo.Entry("s")}, false);
    mTwo.mLoad = "8,20,8,500";
    mOne.mLoad = "3,0,8,100";
    Call();
    CPPUNIT_ASSERT(mOne.mHealthChecks > 0);
    CPPUNIT_ASSERT(HasMetric("load_probes_failed_total"));
  }

  /// Lets the host know how long the route's requests take, and the first
  /// replica be the better one and silent.
  void MakeFirstSilent() {
    Connect();
    for (int i = 0; i < 20; ++i) {
      mTest.mNode.mHedges.ObserveTry("", Millis(10));
    }
    mOne.mLoad = "0,0,8,55";
    mTwo.mLoad = "1,0,8,100";
    mOne.mDefaultScript.mSilent = true;
  }

  /// Guards against waiting for a replica that takes far longer than usual,
  /// and against leaving it at work.
  void SecondTryAnswersForASilentReplica() {
    MakeFirstSilent();
    CPPUNIT_ASSERT_EQUAL(std::string("two"), Call());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mOne.mRequests.size());
    CPPUNIT_ASSERT(HasMetric("hedged_requests_sent_total 1"));
    CPPUNIT_ASSERT(HasMetric("hedged_requests_won_total 1"));
    mTest.RunUntil([this] { return mOne.mRunning == 0; });
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, mTest.mNode.mReplicas.InFlight("one"));
  }

  /// Guards against running a request at more replicas than its route allows.
  void NoSecondTryBeyondTheAttempts() {
    MakeFirstSilent();
    mOne.mDefaultScript.mSilent = false;
    Call(true, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mOne.mRequests.size());
    CPPUNIT_ASSERT(mTwo.mRequests.empty());
    mOne.mDefaultScript.mSilent = true;
    UpstreamCall call;
    call.mId = "id7";
    call.mRequest.mTarget = "/p";
    call.mService = "s";
    call.mDeadline = mTest.mNode.Now() + Millis(150);
    const auto answer = mTest.Run(CallUpstream(mTest.mNode, std::move(call)));
    CPPUNIT_ASSERT(!answer);
    CPPUNIT_ASSERT(mTwo.mRequests.empty());
    CPPUNIT_ASSERT(!HasMetric("hedged_requests_sent_total"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadProbeTest);

}  // namespace rillwall
