/// \file
/// Tests of bytes that are no whole response: those without a length whose
/// replicas end, as the kernel closes the connections of a killed process in
/// order, and those whose status is none of HTTP.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/rollout_service.h"
#include "rillwall/upstream_call.h"
#include "rollout_test_support.h"

namespace rillwall {

class UnframedResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnframedResponseTest);
  CPPUNIT_TEST(ResponseOfLiveReplicaIsWhole);
  CPPUNIT_TEST(UnprovenResponseIsTriedAgain);
  CPPUNIT_TEST(UnprovenResponseIsNotDelivered);
  CPPUNIT_TEST(EndedReplicaIsACrash);
  CPPUNIT_TEST(UnprovenStreamIsTruncated);
  CPPUNIT_TEST(StreamThatEndsWithinAnEventIsTruncated);
  CPPUNIT_TEST(LargeBodyIsTruncated);
  CPPUNIT_TEST(TextOfLiveReplicaIsWhole);
  CPPUNIT_TEST(UnprovenTextGoesOn);
  CPPUNIT_TEST(TextThatEndsWithinAnEventGoesOn);
  CPPUNIT_TEST(TextBeforeCommentsWithoutEndGoesOn);
  CPPUNIT_TEST(TextBeforeBlankLinesWithoutEndGoesOn);
  CPPUNIT_TEST(TextBeforeLineWithoutEndGoesOn);
  CPPUNIT_TEST(TextWithWrongBytesGoesOn);
  CPPUNIT_TEST(SignatureWithWrongBytesIsNotTaken);
  CPPUNIT_TEST(UnprovenScorerCallIsRepeated);
  CPPUNIT_TEST(ResponseThatStopsInItsHeadIsTriedAgain);
  CPPUNIT_TEST(ItemGoesOnAfterATruncatedHead);
  CPPUNIT_TEST(ScorerCallIsRepeatedAfterATruncatedHead);
  CPPUNIT_TEST(EmptySignatureIsNotTaken);
  CPPUNIT_TEST(TextThatNoRecordCanHoldBeginsAnew);
  CPPUNIT_TEST(OtherStatusIsTriedAgain);
  CPPUNIT_TEST(OtherStatusIsNotDelivered);
  CPPUNIT_TEST(ItemGoesOnAfterAnotherStatus);
  CPPUNIT_TEST(ScorerCallIsRepeatedAfterAnotherStatus);
  CPPUNIT_TEST(ScorerWithoutAnswersIsCalledLessOften);
  CPPUNIT_TEST(ItemIsScoredBesideAScorerWithoutAnswers);
  CPPUNIT_TEST_SUITE_END();

  static constexpr char kEvents[] = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
  static constexpr char kThirdEvent[] = "id: 3\ndata: e3\n\n";
  static constexpr UnframedEnd kUnproven[] = {
      UnframedEnd::Ends, UnframedEnd::Reborn, UnframedEnd::Mute};
  static constexpr const char* kOtherStatuses[] = {"000", "001", "099",
                                                   "101", "600", "999"};

  TestWorld mWorld;
  UnframedReplica mUnframed{mWorld.mIo, "unframed"};
  ScriptedReplica mOther{mWorld.mIo, "other", TestHeaders()};
  ScriptedReplica mScorer{mWorld.mIo, "scorer1", TestHeaders()};
  TestNode mTest{mWorld};

 public:
  void setUp() override {
    mUnframed.mBody = "a part of the answer";
    mOther.mStreams = false;
    mScorer.mStreams = false;
  }

 private:
  void Use(const std::vector<Replica>& aReplicas) {
    mTest.mNode.mReplicas.Update(aReplicas, false);
  }
  UpstreamCall CallOf(RequestKind aKind) {
    UpstreamCall call;
    call.mId = "id7";
    call.mRequest.mMethod = "POST";
    call.mRequest.mTarget = "/p";
    call.mRequest.mHeaders = {{TestHeaders().mRequestId, "id7"}};
    call.mService = "s";
    call.mKind = aKind;
    call.mAttempts = 2;
    call.mDeadline = mTest.mNode.Now() + Millis(5000);
    call.mTargetLatency = Millis(2000);
    return call;
  }
  Result<UpstreamResponse> Call(RequestKind aKind) {
    return mTest.Run(CallUpstream(mTest.mNode, CallOf(aKind)));
  }
  /// \return whether a stream ended as complete
  bool EndsAsComplete(HttpStream& aStream) {
    while (true) {
      const Result<std::string> part = mTest.Run(aStream.Read(Millis(2000)));
      if (!part || part->empty()) {
        return part.has_value();
      }
    }
  }

  /// Guards against the loss of responses without a length.
  void ResponseOfLiveReplicaIsWhole() {
    Use({mUnframed.Entry("s")});
    for (const RequestKind kind :
         {RequestKind::Idempotent, RequestKind::NonIdempotent}) {
      const auto answer = Call(kind);
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT_EQUAL(mUnframed.mBody, answer->mHead.mBody);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mUnframed.mRequests.size());
    CPPUNIT_ASSERT(!mTest.mNode.mCrashes.HasSuspects());
  }

  /// Guards against truncated responses that look complete: their replica was
  /// killed, and its connections were closed in order.
  void UnprovenResponseIsTriedAgain() {
    for (const UnframedEnd end : kUnproven) {
      UnframedReplica first(mWorld.mIo, "first");
      first.mEnd = end;
      Use({first.Entry("s")});
      Launch(mTest.mIo, "other", AddOther(first));
      const auto answer = Call(RequestKind::Idempotent);
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string("answer of other"), answer->mHead.mBody);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, first.mRequests.size());
    }
  }
  /// Adds the other replica when the first one has received the request.
  asio::awaitable<void> AddOther(const UnframedReplica& aFirst) {
    while (aFirst.mRequests.empty()) {
      co_await Sleep(mTest.mIo, Millis(1));
    }
    Use({aFirst.Entry("s"), mOther.Entry("s")});
  }

  void UnprovenResponseIsNotDelivered() {
    for (const UnframedEnd end : kUnproven) {
      UnframedReplica replica(mWorld.mIo, "first");
      replica.mEnd = end;
      Use({replica.Entry("s")});
      const auto answer = Call(RequestKind::NonIdempotent);
      CPPUNIT_ASSERT(!answer.has_value());
      CPPUNIT_ASSERT(answer.error().Run() != RunState::NotRun);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, replica.mRequests.size());
    }
  }

  /// Guards against a request that crashes replicas without end because others
  /// are at once at their addresses.
  void EndedReplicaIsACrash() {
    for (const UnframedEnd end : {UnframedEnd::Ends, UnframedEnd::Reborn}) {
      UnframedReplica replica(mWorld.mIo, "first");
      replica.mEnd = end;
      Use({replica.Entry("s")});
      const size_t before = mTest.mNode.mCrashes.Size();
      Call(RequestKind::NonIdempotent);
      CPPUNIT_ASSERT(mTest.mNode.mCrashes.HasSuspects());
      CPPUNIT_ASSERT(mTest.mNode.mCrashes.Size() > before);
      mTest.mNode.mCrashes.Clear(DigestOf(CallOf(RequestKind::Idempotent)));
      mTest.mNode.mCrashes.Forget(WallClockMs() * 2);
    }
  }

  void UnprovenStreamIsTruncated() {
    mUnframed.mBody = kEvents;
    Use({mUnframed.Entry("s")});
    CPPUNIT_ASSERT(EndsAsComplete(*Call(RequestKind::Streaming)->mRest));
    for (const UnframedEnd end : kUnproven) {
      UnframedReplica replica(mWorld.mIo, "first");
      replica.mBody = kEvents;
      replica.mEnd = end;
      Use({replica.Entry("s")});
      CPPUNIT_ASSERT(!EndsAsComplete(*Call(RequestKind::Streaming)->mRest));
    }
  }

  void StreamThatEndsWithinAnEventIsTruncated() {
    mUnframed.mBody = std::string(kEvents) + "id: 3\nda";
    Use({mUnframed.Entry("s")});
    CPPUNIT_ASSERT(!EndsAsComplete(*Call(RequestKind::Streaming)->mRest));
  }

  /// A body that is too large to be read before its first byte is forwarded.
  void LargeBodyIsTruncated() {
    const size_t size = 2 * 1024 * 1024;
    for (const UnframedEnd end : {UnframedEnd::Lives, UnframedEnd::Ends}) {
      UnframedReplica replica(mWorld.mIo, "first");
      replica.mBody.assign(size, 'x');
      replica.mEnd = end;
      Use({replica.Entry("s")});
      const auto answer = Call(RequestKind::Idempotent);
      CPPUNIT_ASSERT(answer.has_value() && answer->mRest != nullptr);
      CPPUNIT_ASSERT_EQUAL(end == UnframedEnd::Lives,
                           EndsAsComplete(*answer->mRest));
    }
  }

  // Items.

  static RolloutSpec Spec(const std::string& aId) {
    RolloutSpec spec;
    spec.mId = "step-" + aId;
    spec.mHost = "h";
    spec.mPath = "/r/";
    spec.mModel = "m";
    RolloutItem item;
    item.mId = aId;
    item.mGroup = "g";
    item.mPath = "/r/x";
    item.mBody = aId;
    item.mScorer = ScorerCall{aId + "-score", "h", "/score/", aId};
    spec.mItems.push_back(item);
    return spec;
  }
  /// Accepts a step with one item, and waits for its result.
  RolloutResult RunItem(const std::string& aId, std::function<void()> aThen) {
    mTest.mNode.mRoutes.Publish(
        std::make_shared<const RouteTable>(StepRoutes()));
    RolloutService service(
        mTest.mNode,
        [aId](const std::string&, const StepRecord&, const std::string&,
              MemoryCharge&) -> Result<RolloutSpec> { return Spec(aId); });
    Launch(mTest.mIo, "steps", service.Run());
    const Route route = *mTest.mNode.mRoutes.Read()->Find("h", "/r/");
    CPPUNIT_ASSERT(!mTest.Run(service.Accept(Spec(aId), route, "body")));
    aThen();
    std::vector<RolloutResult> results;
    mTest.RunUntil([&] {
      const Result<RolloutRead> read =
          mTest.Run(service.Read("step-" + aId, 0, Millis(0)));
      results = read ? read->mResults : std::vector<RolloutResult>();
      return !results.empty();
    });
    mTest.mIo.Close();
    return results.front();
  }

  void TextOfLiveReplicaIsWhole() {
    mUnframed.mBody = kEvents;
    Use({mUnframed.Entry("engine"), mScorer.Entry("scorer")});
    const RolloutResult result = RunItem("i1", [] {});
    CPPUNIT_ASSERT(RolloutEnd::Completed == result.mEnd);
    CPPUNIT_ASSERT_EQUAL(std::string("e1\ne2"), result.mOutput);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mUnframed.mRequests.size());
  }

  /// Runs an item at a replica that delivers two events and a rest, and then at
  /// one that delivers the third.
  void CheckTextGoesOn(UnframedEnd aEnd, const std::string& aRest) {
    UnframedReplica first(mWorld.mIo, "first");
    first.mBody = kEvents + aRest;
    first.mBodyAfterEvent = kThirdEvent;
    first.mEnd = aEnd;
    mOther.mStreams = true;
    mOther.mRequests.clear();
    Use({first.Entry("engine"), mScorer.Entry("scorer")});
    const RolloutResult result = RunItem("i1", [&] {
      mTest.RunUntil([&] { return first.mRequests.size() == 1; });
      Use({mOther.Entry("engine"), mScorer.Entry("scorer")});
    });
    CPPUNIT_ASSERT(RolloutEnd::Completed == result.mEnd);
    CPPUNIT_ASSERT_EQUAL(std::string("e1\ne2\ne3"), result.mOutput);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mOther.mRequests.size());
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         *mOther.mRequests[0].Find(TestHeaders().mLastEvent));
  }

  /// Guards against truncated texts that are listed as completed: their replica
  /// was killed, and its connections were closed in order.
  void UnprovenTextGoesOn() { CheckTextGoesOn(UnframedEnd::Ends, ""); }

  void TextThatEndsWithinAnEventGoesOn() {
    CheckTextGoesOn(UnframedEnd::Lives, "id: 3\ndata: e");
  }

  // One event that was not UTF-8 made all results of its step unreadable.
  void TextWithWrongBytesGoesOn() {
    CheckTextGoesOn(UnframedEnd::Lives, "id: 3\ndata: e\xff\xfe\n\n");
  }

  // The same for a signature.
  void SignatureWithWrongBytesIsNotTaken() {
    mOther.mStreams = true;
    mScorer.mScripts = {{}, {}};
    mScorer.mScripts[0].mSignature = "signed-\xc3";
    Use({mOther.Entry("engine"), mScorer.Entry("scorer")});
    const RolloutResult result = RunItem("i1", [] {});
    CPPUNIT_ASSERT(RolloutEnd::Completed == result.mEnd);
    CPPUNIT_ASSERT_EQUAL(std::string("signed-i1-score"), result.mScore);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mScorer.mRequests.size());
  }

  // Guards against an item that stays at a replica for good, and against memory
  // that grows, if bytes that are no events come without end.
  void CheckBytesWithoutEnd(const std::string& aBytes) {
    UnframedReplica first(mWorld.mIo, "first");
    first.mBody = kEvents;
    first.mEndless = aBytes;
    mOther.mStreams = true;
    mOther.mRequests.clear();
    Use({first.Entry("engine"), mScorer.Entry("scorer")});
    const RolloutResult result = RunItem("i1", [&] {
      mTest.RunUntil([&] { return first.mRequests.size() == 1; });
      Use({mOther.Entry("engine"), mScorer.Entry("scorer")});
    });
    CPPUNIT_ASSERT(RolloutEnd::Completed == result.mEnd);
    CPPUNIT_ASSERT_EQUAL(std::string("e1\ne2\ne3"), result.mOutput);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mOther.mRequests.size());
  }

  void TextBeforeCommentsWithoutEndGoesOn() {
    CheckBytesWithoutEnd(": a comment\n");
  }
  void TextBeforeBlankLinesWithoutEndGoesOn() { CheckBytesWithoutEnd("\n"); }
  void TextBeforeLineWithoutEndGoesOn() {
    CheckBytesWithoutEnd(std::string(64 * 1024, 'x'));
  }

  // A replica that stopped in the middle of a head was taken for one that had
  // answered with an empty body.
  void ResponseThatStopsInItsHeadIsTriedAgain() {
    constexpr size_t kHeadBytes = 60;
    constexpr size_t kStride = 7;
    for (size_t size = 0; size < kHeadBytes; size += kStride) {
      for (const bool withLength : {false, true}) {
        UnframedReplica first(mWorld.mIo, "first");
        first.mStopAfter = size;
        first.mWithLength = withLength;
        Use({first.Entry("s")});
        Launch(mTest.mIo, "other", AddOther(first));
        const auto answer = Call(RequestKind::Idempotent);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("answer of other"),
                             answer->mHead.mBody);
      }
    }
  }

  static constexpr size_t kPartOfHead = 40;

  void ItemGoesOnAfterATruncatedHead() {
    UnframedReplica first(mWorld.mIo, "first");
    first.mBody = kEvents;
    first.mStopAfter = kPartOfHead;
    mOther.mStreams = true;
    Use({first.Entry("engine"), mScorer.Entry("scorer")});
    const RolloutResult result = RunItem("i1", [&] {
      mTest.RunUntil([&] { return first.mRequests.size() == 1; });
      Use({mOther.Entry("engine"), mScorer.Entry("scorer")});
    });
    CPPUNIT_ASSERT_EQUAL(std::string("e1\ne2\ne3"), result.mOutput);
    CPPUNIT_ASSERT(mOther.mRequests.at(0).Find(TestHeaders().mLastEvent) ==
                   nullptr);
  }

  void ScorerCallIsRepeatedAfterATruncatedHead() {
    UnframedReplica scorer(mWorld.mIo, "first");
    scorer.mStopAfter = kPartOfHead;
    mOther.mStreams = true;
    Use({mOther.Entry("engine"), scorer.Entry("scorer")});
    const RolloutResult result = RunItem("i1", [&] {
      mTest.RunUntil([&] { return scorer.mRequests.size() == 1; });
      Use({mOther.Entry("engine"), mScorer.Entry("scorer")});
    });
    CPPUNIT_ASSERT_EQUAL(std::string("signed-i1-score"), result.mScore);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mScorer.mRequests.size());
  }

  void EmptySignatureIsNotTaken() {
    mOther.mStreams = true;
    mScorer.mScripts = {{}, {}};
    mScorer.mScripts[0].mSignature = " ";
    Use({mOther.Entry("engine"), mScorer.Entry("scorer")});
    const RolloutResult result = RunItem("i1", [] {});
    CPPUNIT_ASSERT_EQUAL(std::string("signed-i1-score"), result.mScore);
  }

  // A text that is larger than a value of the store was written again and
  // again, and no other result of its step was listed.
  void TextThatNoRecordCanHoldBeginsAnew() {
    constexpr int kEventsOfLongText = 9;
    constexpr size_t kEventBytes = 100 * 1000;
    for (int i = 1; i <= kEventsOfLongText; ++i) {
      mUnframed.mBody += "id: " + std::to_string(i) +
                         "\ndata: " + std::string(kEventBytes, 'x') + "\n\n";
    }
    mUnframed.mBody.erase(0, mUnframed.mBody.find("id: "));
    mOther.mStreams = true;
    Use({mUnframed.Entry("engine"), mScorer.Entry("scorer")});
    const RolloutResult result = RunItem("i1", [&] {
      mTest.RunUntil([&] { return !mUnframed.mRequests.empty(); });
      Use({mOther.Entry("engine"), mScorer.Entry("scorer")});
    });
    CPPUNIT_ASSERT(RolloutEnd::Completed == result.mEnd);
    CPPUNIT_ASSERT_EQUAL(std::string("e1\ne2\ne3"), result.mOutput);
    CPPUNIT_ASSERT(mOther.mRequests.at(0).Find(TestHeaders().mLastEvent) ==
                   nullptr);
  }

  void UnprovenScorerCallIsRepeated() {
    UnframedReplica scorer(mWorld.mIo, "first");
    scorer.mEnd = UnframedEnd::Ends;
    mOther.mStreams = true;
    Use({mOther.Entry("engine"), scorer.Entry("scorer")});
    const RolloutResult result = RunItem("i1", [&] {
      mTest.RunUntil([&] { return scorer.mRequests.size() == 1; });
      Use({mOther.Entry("engine"), mScorer.Entry("scorer")});
    });
    CPPUNIT_ASSERT(RolloutEnd::Completed == result.mEnd);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mScorer.mRequests.size());
  }

  // Statuses that HTTP does not have.

  /// Lets a replica answer with a whole body and a status.
  static void AnswerWith(UnframedReplica& aReplica, const char* aStatus) {
    aReplica.mStatusLine = std::string("HTTP/1.1 ") + aStatus + " Odd";
    aReplica.mBody = "a part of the answer";
    aReplica.mWithLength = true;
  }

  void OtherStatusIsTriedAgain() {
    for (const char* status : kOtherStatuses) {
      for (const size_t size : {size_t{0}, size_t{512 * 1024}}) {
        UnframedReplica first(mWorld.mIo, "first");
        AnswerWith(first, status);
        Use({first.Entry("s")});
        Launch(mTest.mIo, "other", AddOther(first));
        UpstreamCall call = CallOf(RequestKind::Idempotent);
        call.mRequest.mBody = std::string(size, 'x');
        const auto answer = mTest.Run(CallUpstream(mTest.mNode, call));
        CPPUNIT_ASSERT_MESSAGE(status, answer.has_value());
        CPPUNIT_ASSERT_EQUAL(200, answer->mHead.mStatus);
        CPPUNIT_ASSERT_EQUAL(std::string("answer of other"),
                             answer->mHead.mBody);
      }
    }
  }

  void OtherStatusIsNotDelivered() {
    for (const char* status : kOtherStatuses) {
      for (const RequestKind kind :
           {RequestKind::NonIdempotent, RequestKind::Streaming}) {
        UnframedReplica replica(mWorld.mIo, "first");
        AnswerWith(replica, status);
        Use({replica.Entry("s"), mOther.Entry("s")});
        mOther.mRequests.clear();
        const auto answer = Call(kind);
        const bool sent = !replica.mRequests.empty();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(status, !sent, answer.has_value());
        CPPUNIT_ASSERT_EQUAL(
            size_t{1}, replica.mRequests.size() + mOther.mRequests.size());
        CPPUNIT_ASSERT(!sent || answer.error().Run() == RunState::Unknown);
      }
    }
  }

  void ItemGoesOnAfterAnotherStatus() {
    UnframedReplica first(mWorld.mIo, "first");
    AnswerWith(first, "000");
    mOther.mStreams = true;
    Use({first.Entry("engine"), mScorer.Entry("scorer")});
    const RolloutResult result = RunItem("i1", [&] {
      mTest.RunUntil([&] { return first.mRequests.size() >= 3; });
      Use({mOther.Entry("engine"), mScorer.Entry("scorer")});
    });
    CPPUNIT_ASSERT(RolloutEnd::Completed == result.mEnd);
    CPPUNIT_ASSERT_EQUAL(std::string("e1\ne2\ne3"), result.mOutput);
  }

  void ScorerCallIsRepeatedAfterAnotherStatus() {
    UnframedReplica scorer(mWorld.mIo, "first");
    AnswerWith(scorer, "000");
    mOther.mStreams = true;
    Use({mOther.Entry("engine"), scorer.Entry("scorer")});
    const RolloutResult result = RunItem("i1", [&] {
      mTest.RunUntil([&] { return scorer.mRequests.size() >= 3; });
      Use({mOther.Entry("engine"), mScorer.Entry("scorer")});
    });
    CPPUNIT_ASSERT(RolloutEnd::Completed == result.mEnd);
    CPPUNIT_ASSERT_EQUAL(std::string("signed-i1-score"), result.mScore);
  }

  // Each item called such a scorer 20 times a second.
  void ScorerWithoutAnswersIsCalledLessOften() {
    constexpr size_t kMaxCalls = 12;
    UnframedReplica scorer(mWorld.mIo, "first");
    AnswerWith(scorer, "000");
    mOther.mStreams = true;
    Use({mOther.Entry("engine"), scorer.Entry("scorer")});
    const RolloutResult result = RunItem("i1", [&] {
      mTest.RunUntil([&] { return !scorer.mRequests.empty(); });
      mTest.RunFor(Millis(3000));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(scorer.mRequests.size()),
                             scorer.mRequests.size() <= kMaxCalls);
      Use({mOther.Entry("engine"), mScorer.Entry("scorer")});
    });
    CPPUNIT_ASSERT_EQUAL(std::string("signed-i1-score"), result.mScore);
  }

  void ItemIsScoredBesideAScorerWithoutAnswers() {
    constexpr size_t kMaxCalls = 3;
    UnframedReplica scorer(mWorld.mIo, "first");
    AnswerWith(scorer, "000");
    mOther.mStreams = true;
    Use({mOther.Entry("engine"), scorer.Entry("scorer"),
         mScorer.Entry("scorer")});
    const RolloutResult result = RunItem("i1", [] {});
    CPPUNIT_ASSERT(RolloutEnd::Completed == result.mEnd);
    CPPUNIT_ASSERT_EQUAL(std::string("signed-i1-score"), result.mScore);
    CPPUNIT_ASSERT(scorer.mRequests.size() <= kMaxCalls);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnframedResponseTest);

}  // namespace rillwall
