/// \file
/// Tests of calls to services, with real connections to scripted replicas.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/relay.h"
#include "rillwall/upstream_call.h"
#include "rollout_test_support.h"

namespace rillwall {

class UpstreamCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamCallTest);
  CPPUNIT_TEST(SendsWhatTheReplicaNeeds);
  CPPUNIT_TEST(IdempotentGoesToAnotherReplica);
  CPPUNIT_TEST(NonIdempotentIsNotSentTwice);
  CPPUNIT_TEST(RefusedByAllIsNotRun);
  CPPUNIT_TEST(AnswerOfAnotherRequestIsNotDelivered);
  CPPUNIT_TEST(SilentReplicaCostsOneTry);
  CPPUNIT_TEST(TimeUpIsNoRefusal);
  CPPUNIT_TEST(SuspendedHostTriesNoMore);
  CPPUNIT_TEST(OwnFailureIsDeliveredIfNoneIsBetter);
  CPPUNIT_TEST(UnreachableIsNotRun);
  CPPUNIT_TEST(NoReplicaIsNotRun);
  CPPUNIT_TEST(ReplicaThatEndsIsHeldAgainstTheRequest);
  CPPUNIT_TEST(ClosedConnectionIsHeldAgainstNobody);
  CPPUNIT_TEST(SecondEndIsNotFollowedByAThirdTry);
  CPPUNIT_TEST(HeldRequestIsRefusedAtOnce);
  CPPUNIT_TEST(OtherRequestsAreServed);
  CPPUNIT_TEST(AnswerClearsTheRequest);
  CPPUNIT_TEST(ErrorClearsNothing);
  CPPUNIT_TEST(EndWithinAStreamCounts);
  CPPUNIT_TEST(WholeStreamClears);
  CPPUNIT_TEST(ErrorStatusTellsTheTruth);
  CPPUNIT_TEST(ConnectionHeadersStay);
  CPPUNIT_TEST(ToldLoadMayHaveMoreFigures);
  CPPUNIT_TEST_SUITE_END();

  TestWorld mWorld;
  ScriptedReplica mOne{mWorld.mIo, "one", TestHeaders()};
  ScriptedReplica mTwo{mWorld.mIo, "two", TestHeaders()};
  TestNode mTest{mWorld};

 public:
  void setUp() override {
    mOne.mStreams = false;
    mTwo.mStreams = false;
    mTest.Add(mOne, "s");
    mTest.Add(mTwo, "s");
  }

 private:
  UpstreamCall CallOf(RequestKind aKind, int aAttempts) {
    UpstreamCall call;
    call.mId = "id7";
    call.mRequest.mMethod = "POST";
    call.mRequest.mTarget = "/p";
    call.mRequest.mBody = "body";
    call.mRequest.mHeaders = {{TestHeaders().mRequestId, "id7"}};
    call.mService = "s";
    call.mKind = aKind;
    call.mAttempts = aAttempts;
    call.mDeadline = mTest.mNode.Now() + Millis(1500);
    call.mTargetLatency = Millis(100);
    return call;
  }
  Result<UpstreamResponse> Call(RequestKind aKind, int aAttempts) {
    return mTest.Run(CallUpstream(mTest.mNode, CallOf(aKind, aAttempts)));
  }
  size_t Sent() const { return mOne.mRequests.size() + mTwo.mRequests.size(); }
  void Both(const ReplicaScript& aScript) {
    mOne.mOtherwise = aScript;
    mTwo.mOtherwise = aScript;
  }

  void ToldLoadMayHaveMoreFigures() {
    mTest.mNode.mHeaders.mReplicaLoad = "Load";
    HttpResponse head;
    head.mHeaders = {{"Load", "7,1,8,100"}};
    ObserveLoad(mTest.mNode, "one", head);
    ReplicaRequirements wish;
    wish.mService = "s";
    const Millis now = mTest.mNode.Now();
    CPPUNIT_ASSERT_EQUAL(std::string("two"),
                         *mTest.mNode.mReplicas.Choose(wish, now));
    head.mHeaders = {{"Load", "9,9"}};
    ObserveLoad(mTest.mNode, "two", head);
    CPPUNIT_ASSERT_EQUAL(std::string("two"),
                         *mTest.mNode.mReplicas.Choose(wish, now));
  }

  void SendsWhatTheReplicaNeeds() {
    const auto answer = Call(RequestKind::NonIdempotent, 1);
    CPPUNIT_ASSERT_EQUAL(200, answer->mHead.mStatus);
    const ScriptedReplica& used = mOne.mRequests.empty() ? mTwo : mOne;
    const HttpRequest& sent = used.mRequests.at(0);
    CPPUNIT_ASSERT_EQUAL(answer->mReplica, *sent.Find("Expected"));
    CPPUNIT_ASSERT(std::stoll(*sent.Find("Left")) <= 1500);
    CPPUNIT_ASSERT(std::stoll(*sent.Find("Left")) > 0);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), sent.mBody);
  }

  void IdempotentGoesToAnotherReplica() {
    for (const int status : {500, 503}) {
      const bool notRun = status == 503;
      mOne.mOtherwise = {status, notRun};
      mTwo.mOtherwise = {};
      const auto answer = Call(RequestKind::Idempotent, 2);
      CPPUNIT_ASSERT_EQUAL(std::string("two"), answer->mReplica);
      CPPUNIT_ASSERT_EQUAL(200, answer->mHead.mStatus);
    }
  }

  void NonIdempotentIsNotSentTwice() {
    ReplicaScript lost;
    lost.mOtherId = true;
    Both(lost);
    const auto answer = Call(RequestKind::NonIdempotent, 4);
    CPPUNIT_ASSERT(answer.error().Run() == RunState::Unknown);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Sent());
  }

  void RefusedByAllIsNotRun() {
    Both({503, true});
    const auto answer = Call(RequestKind::NonIdempotent, 1);
    CPPUNIT_ASSERT(answer.error().Run() == RunState::NotRun);
    CPPUNIT_ASSERT(answer.error().RetryAfter() > Millis(0));
    CPPUNIT_ASSERT(Sent() >= 2);
  }

  void AnswerOfAnotherRequestIsNotDelivered() {
    ReplicaScript other;
    other.mOtherId = true;
    Both(other);
    CPPUNIT_ASSERT(!Call(RequestKind::Idempotent, 2));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Sent());
  }

  void SilentReplicaCostsOneTry() {
    mOne.mOtherwise.mSilent = true;
    const auto answer = Call(RequestKind::Idempotent, 2);
    CPPUNIT_ASSERT_EQUAL(std::string("two"), answer->mReplica);
  }

  void TimeUpIsNoRefusal() {
    ReplicaScript silent;
    silent.mSilent = true;
    Both(silent);
    const auto answer = Call(RequestKind::NonIdempotent, 1);
    CPPUNIT_ASSERT(answer.error().Kind() == ErrorKind::Timeout);
    CPPUNIT_ASSERT(answer.error().Run() == RunState::Unknown);
    CPPUNIT_ASSERT_EQUAL(504, ErrorAnswer(answer.error()).mStatus);
  }

  // Its caller's time was over while the host stood still.
  void SuspendedHostTriesNoMore() {
    Both({500, false});
    mOne.mOtherwise.mSilent = true;
    mTwo.mOtherwise.mSilent = true;
    bool suspended = false;
    Launch(mTest.mIo, "suspend",
           [](UpstreamCallTest& aTest, bool& aDone) -> asio::awaitable<void> {
             while (aTest.Sent() == 0) {
               co_await Sleep(aTest.mTest.mIo, Millis(1));
             }
             aTest.mTest.Suspend(Millis(5000));
             aDone = true;
           }(*this, suspended));
    const auto answer = Call(RequestKind::Idempotent, 3);
    CPPUNIT_ASSERT(suspended);
    CPPUNIT_ASSERT(answer.error().Kind() == ErrorKind::Timeout);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Sent());
  }

  void OwnFailureIsDeliveredIfNoneIsBetter() {
    Both({500, false});
    const auto answer = Call(RequestKind::Idempotent, 2);
    CPPUNIT_ASSERT_EQUAL(500, answer->mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("signed-id7"),
                         *answer->mHead.Find("Signed"));
  }

  void UnreachableIsNotRun() {
    Replica gone = mOne.Entry("s");
    gone.mAddress = "127.0.0.1:1";
    mTest.mNode.mReplicas.Update({gone}, false);
    const auto answer = Call(RequestKind::NonIdempotent, 1);
    CPPUNIT_ASSERT(answer.error().Run() == RunState::NotRun);
    CPPUNIT_ASSERT_EQUAL(503, ErrorAnswer(answer.error()).mStatus);
  }

  void NoReplicaIsNotRun() {
    mTest.mNode.mReplicas.Update({}, false);
    const auto answer = Call(RequestKind::Idempotent, 2);
    CPPUNIT_ASSERT(answer.error().Run() == RunState::NotRun);
  }

  RequestDigest Digest() {
    const UpstreamCall call = CallOf(RequestKind::Idempotent, 1);
    return RequestDigest(
        RequestParts{"POST", "", "/p", "", call.mRequest.mBody});
  }
  size_t Crashes() { return mTest.mNode.mCrashes.Crashes(Digest()); }
  /// Records that another host made and told.
  void Tell(int aReplicas) {
    for (int i = 0; i < aReplicas; ++i) {
      mTest.mNode.mCrashes.Merge(
          {{Digest(), "other" + std::to_string(i), WallClockMs(), false, ""}});
    }
  }
  /// Reads a stream to its end. \return whether that was a proper one
  bool ReadToEnd(HttpStream& aStream) {
    while (true) {
      const Result<std::string> part = mTest.Run(aStream.Read(Millis(2000)));
      if (!part || part->empty()) {
        return part.has_value();
      }
    }
  }

  void ReplicaThatEndsIsHeldAgainstTheRequest() {
    mOne.mOtherwise.mEnds = true;
    mTwo.mOtherwise.mEnds = true;
    const auto answer = Call(RequestKind::NonIdempotent, 1);
    CPPUNIT_ASSERT(answer.error().Run() == RunState::Unknown);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Crashes());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTest.mNode.mCrashes.Unsaved(9).size());
  }

  void ClosedConnectionIsHeldAgainstNobody() {
    Both({200, false, false, false, false, 1});
    mOne.mStreams = true;
    mTwo.mStreams = true;
    CPPUNIT_ASSERT(!Call(RequestKind::Idempotent, 2));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Sent());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Crashes());
  }

  void SecondEndIsNotFollowedByAThirdTry() {
    ScriptedReplica three(mWorld.mIo, "three", TestHeaders());
    three.mStreams = false;
    mTest.Add(three, "s");
    Both({200, false, false, false, true});
    three.mOtherwise.mEnds = true;
    const auto answer = Call(RequestKind::Idempotent, 3);
    CPPUNIT_ASSERT(answer.error().Run() == RunState::Unknown);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Sent() + three.mRequests.size());
  }

  void HeldRequestIsRefusedAtOnce() {
    Tell(3);
    for (const RequestKind kind :
         {RequestKind::Idempotent, RequestKind::NonIdempotent,
          RequestKind::Streaming}) {
      const auto answer = Call(kind, 2);
      CPPUNIT_ASSERT(answer.error().Run() == RunState::NotRun);
      CPPUNIT_ASSERT_EQUAL(503, ErrorAnswer(answer.error()).mStatus);
      CPPUNIT_ASSERT(answer.error().RetryAfter() >
                     CrashTable::kRecordLifetime - Millis(60000));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Sent());
  }

  void OtherRequestsAreServed() {
    Tell(3);
    UpstreamCall call = CallOf(RequestKind::Idempotent, 1);
    call.mRequest.mBody = "another";
    CPPUNIT_ASSERT_EQUAL(
        200, mTest.Run(CallUpstream(mTest.mNode, call))->mHead.mStatus);
    call = CallOf(RequestKind::Idempotent, 1);
    call.mAccount = "another";
    CPPUNIT_ASSERT_EQUAL(
        200, mTest.Run(CallUpstream(mTest.mNode, call))->mHead.mStatus);
  }

  void AnswerClearsTheRequest() {
    Tell(2);
    CPPUNIT_ASSERT_EQUAL(200, Call(RequestKind::Idempotent, 1)->mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Crashes());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mTest.mNode.mCrashes.Unsaved(9).size());
  }

  // As when the replica's time for it was up before it would have ended.
  void ErrorClearsNothing() {
    Tell(2);
    for (const int status : {500, 504}) {
      Both({status, false});
      Call(RequestKind::NonIdempotent, 1);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Crashes());
  }

  void EndWithinAStreamCounts() {
    mOne.mStreams = true;
    mTwo.mStreams = true;
    Both({200, false, false, false, false, -1, -1, Millis(200)});
    const auto answer = Call(RequestKind::Streaming, 1);
    ScriptedReplica& used = answer->mReplica == "one" ? mOne : mTwo;
    CPPUNIT_ASSERT(mTest.Run(answer->mRest->Read(Millis(2000))).has_value());
    used.Stop();
    mTest.RunFor(Millis(20));  // it stops listening on its own thread
    CPPUNIT_ASSERT(!ReadToEnd(*answer->mRest));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Crashes());
  }

  void WholeStreamClears() {
    Tell(2);
    mOne.mStreams = true;
    mTwo.mStreams = true;
    const auto answer = Call(RequestKind::Streaming, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Crashes());
    CPPUNIT_ASSERT(ReadToEnd(*answer->mRest));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Crashes());
  }

  void ErrorStatusTellsTheTruth() {
    const Error unknown(ErrorKind::Overloaded, "x", RunState::Unknown);
    CPPUNIT_ASSERT_EQUAL(502, ErrorAnswer(unknown).mStatus);
    const Error refused(ErrorKind::Overloaded, "x", RunState::NotRun);
    const HttpResponse answer =
        ErrorAnswer(refused.WithRetryAfter(Millis(250)));
    CPPUNIT_ASSERT_EQUAL(503, answer.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("0.250"), *answer.Find("Retry-After"));
  }

  void ConnectionHeadersStay() {
    const auto kept = EndToEndHeaders(
        {{"Connection", "close, X-Hop"}, {"x-hop", "1"}, {"X-Own", "2"}});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, kept.size());
    CPPUNIT_ASSERT_EQUAL(std::string("X-Own"), kept[0].mName);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamCallTest);

}  // namespace rillwall
