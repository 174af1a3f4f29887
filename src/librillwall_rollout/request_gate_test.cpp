/// \file
/// Tests of admission on the way of a call, over real connections to scripted
/// replicas that report their load.

#include "rillwall/request_gate.h"

#include <cppunit/extensions/HelperMacros.h>
#include <boost/asio/bind_cancellation_slot.hpp>

#include <algorithm>

#include "rillwall/account_report.h"
#include "rillwall/relay.h"
#include "rollout_test_support.h"

namespace rillwall {

class RequestGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestGateTest);
  CPPUNIT_TEST(NothingIsKeptWithoutTheSwitch);
  CPPUNIT_TEST(FullServiceIsRefusedAtOnce);
  CPPUNIT_TEST(RefusedByOneReplicaIsNotARound);
  CPPUNIT_TEST(RefusedReplicasAreTriedWithoutTheSwitch);
  CPPUNIT_TEST(ScorerCallIsOnlyDelayed);
  CPPUNIT_TEST(WaitingCallEndsWithItsCaller);
  CPPUNIT_TEST_SUITE_END();

  TestWorld mWorld;
  ScriptedReplica mOne{mWorld.mIo, "one", TestHeaders()};
  ScriptedReplica mTwo{mWorld.mIo, "two", TestHeaders()};
  TestNode mTest{mWorld};

  UpstreamCall CallOf() {
    UpstreamCall call;
    call.mId = "id7";
    call.mRequest.mMethod = "POST";
    call.mRequest.mTarget = "/p";
    call.mRequest.mBody = "body";
    call.mRequest.mHeaders = {{TestHeaders().mRequestId, "id7"}};
    call.mService = "s";
    call.mDeadline = mTest.mNode.Now() + Millis(1500);
    call.mTimeout = Millis(1500);
    call.mTargetLatency = Millis(200);
    return call;
  }
  /// Sets the load that both replicas report, with the fourth figure.
  void SetLoad(int64_t aRunning, int64_t aWaiting) {
    const ReplicaLoad load{aRunning, aWaiting, 6, 100};
    for (const char* id : {"one", "two"}) {
      mTest.mNode.mReplicas.ObserveLoad(id, load, mTest.mNode.Now());
    }
  }
  size_t Sent() const { return mOne.mRequests.size() + mTwo.mRequests.size(); }
  Result<UpstreamResponse> Call(UpstreamCall aCall) {
    return mTest.Run(CallUpstream(mTest.mNode, std::move(aCall)));
  }

 public:
  void setUp() override {
    mOne.mStreams = false;
    mTwo.mStreams = false;
    mTest.Add(mOne, "s");
    mTest.Add(mTwo, "s");
  }

  /// Guards against admission on deployments that do not call for it.
  void NothingIsKeptWithoutTheSwitch() {
    CPPUNIT_ASSERT(Call(CallOf()).has_value());
    CPPUNIT_ASSERT(mTest.mNode.mGate == nullptr);
  }

  /// Guards against requests that join a queue in which they will be late.
  void FullServiceIsRefusedAtOnce() {
    SetLoad(6, 60);
    const Millis begun = mTest.mNode.Now();
    const auto answer = Call(CallOf());
    CPPUNIT_ASSERT(answer.error().Run() == RunState::NotRun);
    CPPUNIT_ASSERT_EQUAL(503, ErrorAnswer(answer.error()).mStatus);
    CPPUNIT_ASSERT(answer.error().RetryAfter() > Millis(0));
    CPPUNIT_ASSERT(answer.error().RetryAfter() <= Millis(500));
    CPPUNIT_ASSERT(mTest.mNode.Now() - begun < Millis(500));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Sent());
    SetLoad(0, 0);
    CPPUNIT_ASSERT(Call(CallOf()).has_value());
    const std::string accounts = HandleAccountsRequest(mTest.mNode).mBody;
    CPPUNIT_ASSERT(accounts.find(R"("admitted":1,"waiting":0,"refused":1)") !=
                   std::string::npos);
  }

  /// Guards against a refused request that goes through all replicas again and
  /// again until its deadline.
  void RefusedByOneReplicaIsNotARound() {
    SetLoad(0, 0);
    mOne.mDefaultScript = {503, true};
    mTwo.mDefaultScript = {503, true};
    int refused = 0;
    for (int i = 0; i < 5; ++i) {
      SetLoad(0, 0);
      const auto answer = Call(CallOf());
      CPPUNIT_ASSERT(answer.error().Run() == RunState::NotRun);
      CPPUNIT_ASSERT(answer.error().RetryAfter() > Millis(0));
      ++refused;
    }
    CPPUNIT_ASSERT_EQUAL(5, refused);
    // One retry is granted on credit.
    CPPUNIT_ASSERT(Sent() <= 6);
  }

  /// Guards against a change of the tries where the switch is off.
  void RefusedReplicasAreTriedWithoutTheSwitch() {
    mOne.mDefaultScript = {503, true};
    mTwo.mDefaultScript = {503, true};
    const auto answer = Call(CallOf());
    CPPUNIT_ASSERT(answer.error().RetryAfter() == Millis(200));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, Sent());
  }

  /// Guards against steps that lose the score of an item in a surge.
  void ScorerCallIsOnlyDelayed() {
    SetLoad(6, 60);
    UpstreamCall call = CallOf();
    call.mDelayOnly = true;
    std::optional<Result<UpstreamResponse>> answer;
    asio::co_spawn(
        mTest.mIo, CallUpstream(mTest.mNode, call),
        [&](const std::exception_ptr&, Result<UpstreamResponse> aAnswer) {
          answer.emplace(std::move(aAnswer));
        });
    mTest.RunFor(Millis(100));
    CPPUNIT_ASSERT(!answer);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTest.mNode.mGate->Control().Waiting("s"));
    SetLoad(0, 0);
    mTest.RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(answer->has_value());
  }

  /// Guards against requests that are sent after their client has left.
  void WaitingCallEndsWithItsCaller() {
    SetLoad(6, 60);
    UpstreamCall call = CallOf();
    call.mDelayOnly = true;
    asio::cancellation_signal leaves;
    bool ended = false;
    asio::co_spawn(mTest.mIo, CallUpstream(mTest.mNode, call),
                   asio::bind_cancellation_slot(
                       leaves.slot(),
                       [&](const std::exception_ptr&,
                           const Result<UpstreamResponse>&) { ended = true; }));
    mTest.RunFor(Millis(50));
    leaves.emit(asio::cancellation_type::terminal);
    mTest.RunUntil([&] { return ended; });
    SetLoad(0, 0);
    mTest.RunFor(Millis(50));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Sent());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mTest.mNode.mGate->Control().Waiting("s"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestGateTest);

}  // namespace rillwall
