/// \file
/// Tests of calls to services, over real connections to scripted replicas.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/relay.h"
#include "rillwall/upstream_call.h"
#include "rollout_test_support.h"

namespace rillwall {

class UpstreamCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamCallTest);
  CPPUNIT_TEST(SendsRequiredHeaders);
  CPPUNIT_TEST(IdempotentGoesToAnotherReplica);
  CPPUNIT_TEST(NonIdempotentIsNotSentTwice);
  CPPUNIT_TEST(RefusedByAllIsNotRun);
  CPPUNIT_TEST(RefusedRequestUsesAnotherConnection);
  CPPUNIT_TEST(ConnectionOfAnotherAnswerIsClosed);
  CPPUNIT_TEST(AnswerOfAnotherRequestIsNotDelivered);
  CPPUNIT_TEST(ReplicasFailureIsNoPromise);
  CPPUNIT_TEST(SilentReplicaCostsOneTry);
  CPPUNIT_TEST(TimeoutIsNotARefusal);
  CPPUNIT_TEST(NoRetryAfterASuspension);
  CPPUNIT_TEST(ReplicaErrorIsDeliveredIfAllFail);
  CPPUNIT_TEST(UnreachableIsNotRun);
  CPPUNIT_TEST(NoReplicaIsNotRun);
  CPPUNIT_TEST(FullReplicaIsAwaitedBesideEntriesWithoutReplica);
  CPPUNIT_TEST(EndedReplicaIsRecordedAsACrash);
  CPPUNIT_TEST(ClosedConnectionIsNoCrash);
  CPPUNIT_TEST(NoThirdTryAfterTwoCrashes);
  CPPUNIT_TEST(ReplicasThatHadEndedHoldNothing);
  CPPUNIT_TEST(SuspectUsesANewConnection);
  CPPUNIT_TEST(HeldRequestIsRefusedAtOnce);
  CPPUNIT_TEST(OtherRequestsAreServed);
  CPPUNIT_TEST(AnswerClearsTheRequest);
  CPPUNIT_TEST(ErrorClearsNothing);
  CPPUNIT_TEST(EndWithinAStreamIsACrash);
  CPPUNIT_TEST(WholeStreamClearsTheRequest);
  CPPUNIT_TEST(StreamThatGetsFurtherIsNotHeld);
  CPPUNIT_TEST(ErrorStatusMatchesTheRunState);
  CPPUNIT_TEST(ConnectionHeadersAreNotForwarded);
  CPPUNIT_TEST(LoadHeaderMayHaveMoreFields);
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
    mOne.mDefaultScript = aScript;
    mTwo.mDefaultScript = aScript;
  }

  // Entries of the registry that describe no replica used up the tries of
  // requests that the only real one had refused because it was full.
  void FullReplicaIsAwaitedBesideEntriesWithoutReplica() {
    constexpr int kEntries = 15;
    std::vector<Replica> listed = {mOne.Entry("s")};
    for (int i = 0; i < kEntries; ++i) {
      Replica entry = listed[0];
      entry.mId = "none" + std::to_string(i);
      entry.mAddress = "127.0.0.1:1";
      entry.mSlots = 10000;
      listed.push_back(entry);
    }
    mTest.mNode.mReplicas.Update(listed, false);
    // The first requests find out which entries describe no replica.
    for (int i = 0; i < kEntries; ++i) {
      Call(RequestKind::Idempotent, 3);
    }
    for (int i = 0; i < kEntries; ++i) {
      const ReplicaScript full{.mStatus = 503, .mNotRun = true};
      mOne.mScripts = {full, full};
      const auto answer = Call(RequestKind::NonIdempotent, 3);
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT_EQUAL(200, answer->mHead.mStatus);
    }
  }

  void LoadHeaderMayHaveMoreFields() {
    mTest.mNode.mHeaders.mReplicaLoad = "Load";
    HttpResponse head;
    head.mHeaders = {{"Load", "7,1,8,100"}};
    ObserveLoad(mTest.mNode, "one", head);
    ReplicaRequirements requirements;
    requirements.mService = "s";
    const Millis now = mTest.mNode.Now();
    CPPUNIT_ASSERT_EQUAL(std::string("two"),
                         *mTest.mNode.mReplicas.Choose(requirements, now));
    head.mHeaders = {{"Load", "9,9"}};
    ObserveLoad(mTest.mNode, "two", head);
    CPPUNIT_ASSERT_EQUAL(std::string("two"),
                         *mTest.mNode.mReplicas.Choose(requirements, now));
  }

  void SendsRequiredHeaders() {
    const auto answer = Call(RequestKind::NonIdempotent, 1);
    CPPUNIT_ASSERT_EQUAL(200, answer->mHead.mStatus);
    const ScriptedReplica& used = mOne.mRequests.empty() ? mTwo : mOne;
    const HttpRequest& sent = used.mRequests.at(0);
    CPPUNIT_ASSERT_EQUAL(answer->mReplica, *sent.Find("Expected"));
    CPPUNIT_ASSERT(std::stoll(*sent.Find("Left")) <= 1500);
    CPPUNIT_ASSERT(std::stoll(*sent.Find("Left")) > 0);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), sent.mBody.Text());
  }

  void IdempotentGoesToAnotherReplica() {
    for (const int status : {500, 503}) {
      const bool notRun = status == 503;
      mOne.mDefaultScript = {status, notRun};
      mTwo.mDefaultScript = {};
      const auto answer = Call(RequestKind::Idempotent, 2);
      CPPUNIT_ASSERT_EQUAL(std::string("two"), answer->mReplica);
      CPPUNIT_ASSERT_EQUAL(200, answer->mHead.mStatus);
    }
  }

  void NonIdempotentIsNotSentTwice() {
    ReplicaScript lost;
    lost.mWrongId = true;
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
    other.mWrongId = true;
    Both(other);
    CPPUNIT_ASSERT(!Call(RequestKind::Idempotent, 2));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Sent());
  }

  // The connection of a response to another request was reused, while the
  // replica worked on this one. Also if that response is a refusal.
  void ConnectionOfAnotherAnswerIsClosed() {
    mTest.mNode.mReplicas.Update({mOne.Entry("s")}, false);
    const Endpoint endpoint = *Endpoint::Parse(mOne.Entry("s").mAddress);
    for (const RequestKind kind :
         {RequestKind::Idempotent, RequestKind::NonIdempotent,
          RequestKind::Streaming}) {
      for (const bool refusal : {false, true}) {
        CPPUNIT_ASSERT_EQUAL(200, Call(kind, 1)->mHead.mStatus);
        ReplicaScript script{refusal ? 503 : 200, refusal};
        script.mWrongId = true;
        mOne.mScripts = {script};
        const auto answer = Call(kind, 1);
        CPPUNIT_ASSERT(!answer.has_value());
        CPPUNIT_ASSERT(answer.error().Run() == RunState::Unknown);
        CPPUNIT_ASSERT(!mTest.mNode.mClient.HasIdle(endpoint));
      }
    }
  }

  // A 503 of a replica that may have run the request was passed on, and its
  // client would have sent it again.
  void ReplicasFailureIsNoPromise() {
    for (const int status : {429, 503}) {
      Both({status, false});
      for (const RequestKind kind :
           {RequestKind::NonIdempotent, RequestKind::Streaming}) {
        const auto answer = Call(kind, 2);
        CPPUNIT_ASSERT(!answer.has_value());
        CPPUNIT_ASSERT(answer.error().Run() == RunState::Unknown);
        CPPUNIT_ASSERT_EQUAL(502, ErrorAnswer(answer.error()).mStatus);
      }
      const auto answer = Call(RequestKind::Idempotent, 2);
      CPPUNIT_ASSERT_EQUAL(status, answer->mHead.mStatus);
    }
  }

  void SilentReplicaCostsOneTry() {
    mOne.mDefaultScript.mSilent = true;
    const auto answer = Call(RequestKind::Idempotent, 2);
    CPPUNIT_ASSERT_EQUAL(std::string("two"), answer->mReplica);
  }

  void TimeoutIsNotARefusal() {
    ReplicaScript silent;
    silent.mSilent = true;
    Both(silent);
    const auto answer = Call(RequestKind::NonIdempotent, 1);
    CPPUNIT_ASSERT(answer.error().Kind() == ErrorKind::Timeout);
    CPPUNIT_ASSERT(answer.error().Run() == RunState::Unknown);
    CPPUNIT_ASSERT_EQUAL(504, ErrorAnswer(answer.error()).mStatus);
  }

  // The caller's deadline passes while the host is suspended.
  void NoRetryAfterASuspension() {
    Both({500, false});
    mOne.mDefaultScript.mSilent = true;
    mTwo.mDefaultScript.mSilent = true;
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

  void ReplicaErrorIsDeliveredIfAllFail() {
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

  /// Guards against a non-idempotent request that runs twice: a replica repeats
  /// its refusal on the connection on which the request is sent again, and the
  /// repeated refusal is taken for the answer to that.
  // A repeated refusal was taken for the answer to the next try of a request
  // that the replica had begun to run.
  void RefusedRequestUsesAnotherConnection() {
    mTest.mNode.mReplicas.Update({mOne.Entry("s")}, false);
    for (const RequestKind kind :
         {RequestKind::Idempotent, RequestKind::NonIdempotent,
          RequestKind::Streaming}) {
      Call(RequestKind::Idempotent, 1);  // leaves an idle connection
      mOne.mScripts = {{503, true}, {}};
      const uint64_t before = mTest.mNode.mClient.ConnectionsMade();
      CPPUNIT_ASSERT_EQUAL(200, Call(kind, 1)->mHead.mStatus);
      CPPUNIT_ASSERT_EQUAL(uint64_t{1},
                           mTest.mNode.mClient.ConnectionsMade() - before);
    }
  }

  RequestDigest Digest() {
    const UpstreamCall call = CallOf(RequestKind::Idempotent, 1);
    return RequestDigest(
        RequestParts{"POST", "", "/p", "", call.mRequest.mBody});
  }
  size_t Crashes() { return mTest.mNode.mCrashes.Crashes(Digest()); }
  /// Adds crash records of another host.
  void MergeCrashes(int aReplicas) {
    for (int i = 0; i < aReplicas; ++i) {
      mTest.mNode.mCrashes.Merge(
          {{Digest(), "other" + std::to_string(i), WallClockMs(), false, ""}});
    }
  }
  /// Reads a stream to its end.
  /// \return whether it ended properly
  bool ReadToEnd(HttpStream& aStream) {
    while (true) {
      const Result<std::string> part = mTest.Run(aStream.Read(Millis(2000)));
      if (!part || part->empty()) {
        return part.has_value();
      }
    }
  }

  void EndedReplicaIsRecordedAsACrash() {
    mOne.mDefaultScript.mProcessEnds = true;
    mTwo.mDefaultScript.mProcessEnds = true;
    const auto answer = Call(RequestKind::NonIdempotent, 1);
    CPPUNIT_ASSERT(answer.error().Run() == RunState::Unknown);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Crashes());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mTest.mNode.mCrashes.Unsaved(9).size());
  }

  void ClosedConnectionIsNoCrash() {
    Both({200, false, false, false, false, 1});
    mOne.mStreams = true;
    mTwo.mStreams = true;
    CPPUNIT_ASSERT(!Call(RequestKind::Idempotent, 2));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Sent());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Crashes());
  }

  void NoThirdTryAfterTwoCrashes() {
    ScriptedReplica three(mWorld.mIo, "three", TestHeaders());
    three.mStreams = false;
    mTest.Add(three, "s");
    Both({200, false, false, false, true});
    three.mDefaultScript.mProcessEnds = true;
    const auto answer = Call(RequestKind::Idempotent, 3);
    CPPUNIT_ASSERT(answer.error().Run() == RunState::Unknown);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Sent() + three.mRequests.size());
  }

  /// Guards against a request that is refused and then held because it met
  /// pooled connections to replicas that had ended already.
  void ReplicasThatHadEndedHoldNothing() {
    for (int round = 0; round < 3; ++round) {
      EndedReplica first(mWorld.mIo, "first");
      EndedReplica second(mWorld.mIo, "second");
      EndedReplica third(mWorld.mIo, "third");
      TestNode test(mWorld);
      test.mNode.mCrashes.Merge(mTest.mNode.mCrashes.Since(0));
      for (const EndedReplica* replica : {&first, &second, &third}) {
        test.Add(*replica, "s");
      }
      const auto ended = test.Run(
          CallUpstream(test.mNode, CallOf(RequestKind::Idempotent, 3)));
      CPPUNIT_ASSERT(!ended);
      // From the first end on, only new connections are used.
      CPPUNIT_ASSERT_EQUAL(
          round == 0 ? 1 : 0,
          first.mRequests + second.mRequests + third.mRequests);
      mTest.mNode.mCrashes.Merge(test.mNode.mCrashes.Since(0));
    }
    CPPUNIT_ASSERT(!mTest.mNode.mCrashes.Held(Digest()));
    CPPUNIT_ASSERT_EQUAL(200, Call(RequestKind::Idempotent, 1)->mHead.mStatus);
  }

  void SuspectUsesANewConnection() {
    Call(RequestKind::Idempotent, 1);
    Call(RequestKind::Idempotent, 1);
    const uint64_t made = mTest.mNode.mClient.ConnectionsMade();
    CPPUNIT_ASSERT_EQUAL(200, Call(RequestKind::Idempotent, 1)->mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(made, mTest.mNode.mClient.ConnectionsMade());
    MergeCrashes(1);
    CPPUNIT_ASSERT_EQUAL(200, Call(RequestKind::Idempotent, 1)->mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(made + 1, mTest.mNode.mClient.ConnectionsMade());
  }

  void HeldRequestIsRefusedAtOnce() {
    MergeCrashes(3);
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
    MergeCrashes(3);
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
    MergeCrashes(2);
    CPPUNIT_ASSERT_EQUAL(200, Call(RequestKind::Idempotent, 1)->mHead.mStatus);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Crashes());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mTest.mNode.mCrashes.Unsaved(9).size());
  }

  // The replica may have answered because its time for the request ran out
  // before it would have ended.
  void ErrorClearsNothing() {
    MergeCrashes(2);
    for (const int status : {500, 504}) {
      Both({status, false});
      Call(RequestKind::NonIdempotent, 1);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Crashes());
  }

  void EndWithinAStreamIsACrash() {
    mOne.mStreams = true;
    mTwo.mStreams = true;
    Both({200, false, false, false, false, -1, -1, Millis(200)});
    const auto answer = Call(RequestKind::Streaming, 1);
    ScriptedReplica& used = answer->mReplica == "one" ? mOne : mTwo;
    CPPUNIT_ASSERT(mTest.Run(answer->mRest->Read(Millis(2000))).has_value());
    used.Stop();
    mTest.RunFor(Millis(20));  // the replica stops listening on its own thread
    CPPUNIT_ASSERT(!ReadToEnd(*answer->mRest));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Crashes());
  }

  void WholeStreamClearsTheRequest() {
    MergeCrashes(2);
    mOne.mStreams = true;
    mTwo.mStreams = true;
    const auto answer = Call(RequestKind::Streaming, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Crashes());
    CPPUNIT_ASSERT(ReadToEnd(*answer->mRest));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Crashes());
  }

  /// Guards against the hold of a stream whose replicas crash by chance: its
  /// client resumes it, and each replica delivers later events.
  void StreamThatGetsFurtherIsNotHeld() {
    int64_t received = 0;
    for (const char* name : {"a", "b", "c", "d"}) {
      ScriptedReplica replica(mWorld.mIo, name, TestHeaders());
      replica.mDefaultScript.mEndsAfter = 2;
      mTest.mNode.mReplicas.Update({replica.Entry("s")}, false);
      UpstreamCall call = CallOf(RequestKind::Streaming, 1);
      call.mRequest.mHeaders.push_back(
          {TestHeaders().mLastEvent, std::to_string(received)});
      replica.mEvents = 100;
      const auto answer = mTest.Run(CallUpstream(mTest.mNode, std::move(call)));
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT(!ReadToEnd(*answer->mRest));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, Crashes());
      received += 2;
    }
  }

  void ErrorStatusMatchesTheRunState() {
    const Error unknown(ErrorKind::Overloaded, "x", RunState::Unknown);
    CPPUNIT_ASSERT_EQUAL(502, ErrorAnswer(unknown).mStatus);
    const Error refused(ErrorKind::Overloaded, "x", RunState::NotRun);
    const HttpResponse answer =
        ErrorAnswer(refused.WithRetryAfter(Millis(250)));
    CPPUNIT_ASSERT_EQUAL(503, answer.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("0.250"), *answer.Find("Retry-After"));
  }

  void ConnectionHeadersAreNotForwarded() {
    const auto kept = EndToEndHeaders(
        {{"Connection", "close, X-Hop"}, {"x-hop", "1"}, {"X-Own", "2"}});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, kept.size());
    CPPUNIT_ASSERT_EQUAL(std::string("X-Own"), kept[0].mName);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamCallTest);

}  // namespace rillwall
