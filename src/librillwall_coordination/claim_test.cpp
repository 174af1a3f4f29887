/// \file
/// Tests of the at-most-once protocol of ClaimCall.

#include "rillwall/claim.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rillwall {

namespace {

const ClaimKey kKey{"house", "ledger", "key-1"};
const ClaimAnswer kAnswer{
    201, {{"content-type", "application/json"}}, std::string("{\0\xff}", 4)};
const Error kFailure(ErrorKind::ConnectionLost, "The upstream is gone.");

ClaimCall CallOf(std::string aNonce = "mine") {
  return ClaimCall(kKey, "digest", std::move(aNonce));
}

std::string RecordOf(std::string aNonce, ClaimState aState,
                     std::string aDigest = "digest") {
  ClaimRecord record{kKey, std::move(aNonce), std::move(aDigest), aState, {}};
  if (aState == ClaimState::Done) {
    record.mAnswer = kAnswer;
  }
  return EncodeClaim(record);
}

void AssertRefused(const ClaimCall& aCall, ErrorKind aKind, RunState aRun) {
  CPPUNIT_ASSERT(aCall.Outcome().has_value());
  CPPUNIT_ASSERT(aCall.Outcome()->mKind == ClaimOutcomeKind::Refuse);
  CPPUNIT_ASSERT(aCall.Outcome()->mError.Kind() == aKind);
  CPPUNIT_ASSERT(aCall.Outcome()->mError.Run() == aRun);
}

void AssertNext(ClaimAction aNext, const ClaimStep& aStep) {
  CPPUNIT_ASSERT_EQUAL(static_cast<int>(aNext), static_cast<int>(aStep.mNext));
}

}  // namespace

class ClaimTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimTest);
  CPPUNIT_TEST(RecordRoundTrip);
  CPPUNIT_TEST(PathsEscapeSeparators);
  CPPUNIT_TEST(RejectsInvalidIdempotencyKeys);
  CPPUNIT_TEST(RunsAndRecords);
  CPPUNIT_TEST(RepeatsAreAnsweredFromTheRecord);
  CPPUNIT_TEST(UncertainCreateIsReadBack);
  CPPUNIT_TEST(UnreadableClaimIsRefusedAndRemoved);
  CPPUNIT_TEST(UnavailableKeyValueServiceIsRefused);
  CPPUNIT_TEST(NotRunRemovesTheClaim);
  CPPUNIT_TEST(LostCallKeepsTheClaim);
  CPPUNIT_TEST(AnswerWaitsForFirstRecordAttemptOnly);
  CPPUNIT_TEST(LargeAnswerIsNotReplayed);
  CPPUNIT_TEST(EventOutOfOrderNeverRuns);
  CPPUNIT_TEST_SUITE_END();

  void RecordRoundTrip() {
    const std::string text = RecordOf("n", ClaimState::Done);
    const ClaimRecord record = DecodeClaim(text).value();
    CPPUNIT_ASSERT(record.mAnswer == kAnswer);
    CPPUNIT_ASSERT_EQUAL(text, EncodeClaim(record));
    CPPUNIT_ASSERT(DecodeClaim("{}").has_error());
    CPPUNIT_ASSERT(DecodeClaim("no json").has_error());
    CPPUNIT_ASSERT(RequestDigest("POST", "/a", "b") !=
                   RequestDigest("POST", "/ab", ""));
  }

  void PathsEscapeSeparators() {
    CPPUNIT_ASSERT_EQUAL(std::string("claim/a%2fb/c/d%25"),
                         ClaimKey({"a/b", "c", "d%"}).Path());
  }

  void RejectsInvalidIdempotencyKeys() {
    CPPUNIT_ASSERT(!CheckIdempotencyKey("order-7/2"));
    CPPUNIT_ASSERT(CheckIdempotencyKey("").has_value());
    CPPUNIT_ASSERT(CheckIdempotencyKey("a b").has_value());
    CPPUNIT_ASSERT(CheckIdempotencyKey(std::string(256, 'a')).has_value());
  }

  void RunsAndRecords() {
    ClaimCall call = CallOf();
    AssertNext(ClaimAction::Create, call.Start());
    AssertNext(ClaimAction::Run, call.Applied(7));
    const ClaimStep record = call.Answered(kAnswer);
    AssertNext(ClaimAction::Record, record);
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, record.mRevision);
    CPPUNIT_ASSERT(DecodeClaim(record.mValue).value().mAnswer == kAnswer);
    CPPUNIT_ASSERT(!call.Outcome());
    AssertNext(ClaimAction::End, call.Applied(8));
    CPPUNIT_ASSERT(call.Outcome()->mKind == ClaimOutcomeKind::Answer);
    CPPUNIT_ASSERT(!call.LeftBehind());
  }

  void RepeatsAreAnsweredFromTheRecord() {
    ClaimCall repeat = CallOf();
    repeat.Start();
    AssertNext(ClaimAction::End,
               repeat.Found(RecordOf("other", ClaimState::Done), 7));
    CPPUNIT_ASSERT(repeat.Outcome()->mKind == ClaimOutcomeKind::Replay);
    CPPUNIT_ASSERT(repeat.Outcome()->mAnswer == kAnswer);
    ClaimCall conflict = CallOf();
    conflict.Start();
    conflict.Found(RecordOf("other", ClaimState::Done, "another"), 7);
    AssertRefused(conflict, ErrorKind::Conflict, RunState::NotRun);
    ClaimCall unknown = CallOf();
    unknown.Start();
    unknown.Found(RecordOf("other", ClaimState::Claimed), 7);
    AssertRefused(unknown, ErrorKind::OutcomeUnknown, RunState::Unknown);
    ClaimCall unreadable = CallOf();
    unreadable.Start();
    unreadable.Found("damaged", 7);
    AssertRefused(unreadable, ErrorKind::OutcomeUnknown, RunState::Unknown);
  }

  void UncertainCreateIsReadBack() {
    ClaimCall landed = CallOf();
    landed.Start();
    AssertNext(ClaimAction::Read, landed.Uncertain());
    AssertNext(ClaimAction::Run,
               landed.Found(RecordOf("mine", ClaimState::Claimed), 7));
    ClaimCall late = CallOf();
    late.Start();
    late.Uncertain();
    AssertNext(ClaimAction::Create, late.Absent());
    // The first write took effect after the read that looked for it.
    AssertNext(ClaimAction::Run,
               late.Found(RecordOf("mine", ClaimState::Claimed), 7));
    ClaimCall lost = CallOf();
    lost.Start();
    lost.Uncertain();
    AssertNext(ClaimAction::End,
               lost.Found(RecordOf("other", ClaimState::Claimed), 7));
    AssertRefused(lost, ErrorKind::OutcomeUnknown, RunState::Unknown);
  }

  void UnreadableClaimIsRefusedAndRemoved() {
    ClaimCall call = CallOf();
    call.Start();
    call.Uncertain();
    ClaimStep step = call.Unavailable();
    for (int read = 2; read <= ClaimLimits().mMaxReadAttempts; ++read) {
      AssertNext(ClaimAction::Read, step);
      CPPUNIT_ASSERT(!call.Outcome());
      step = call.Unavailable();
    }
    AssertRefused(call, ErrorKind::KvUncertain, RunState::NotRun);
    AssertNext(ClaimAction::Read, step);
    step = call.Found(RecordOf("mine", ClaimState::Claimed), 7);
    AssertNext(ClaimAction::Remove, step);
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, step.mRevision);
    AssertNext(ClaimAction::End, call.Applied(8));
    CPPUNIT_ASSERT(!call.LeftBehind());
  }

  void UnavailableKeyValueServiceIsRefused() {
    ClaimCall call = CallOf();
    call.Start();
    AssertNext(ClaimAction::End, call.Unavailable());
    AssertRefused(call, ErrorKind::KvUnavailable, RunState::NotRun);
  }

  void NotRunRemovesTheClaim() {
    ClaimCall call = CallOf();
    call.Start();
    call.Applied(7);
    AssertNext(ClaimAction::Remove, call.NotRun(kFailure));
    CPPUNIT_ASSERT(!call.Outcome());
    AssertNext(ClaimAction::Remove, call.Uncertain());
    AssertRefused(call, ErrorKind::ConnectionLost, RunState::NotRun);
    AssertNext(ClaimAction::End, call.Absent());
    CPPUNIT_ASSERT(!call.LeftBehind());
  }

  void LostCallKeepsTheClaim() {
    ClaimCall call = CallOf();
    call.Start();
    call.Applied(7);
    AssertNext(ClaimAction::End, call.Lost(kFailure));
    AssertRefused(call, ErrorKind::ConnectionLost, RunState::Unknown);
    CPPUNIT_ASSERT(call.LeftBehind());
  }

  void AnswerWaitsForFirstRecordAttemptOnly() {
    ClaimCall call = CallOf();
    call.Start();
    call.Applied(7);
    call.Answered(kAnswer);
    ClaimStep step = call.Uncertain();
    CPPUNIT_ASSERT(call.Outcome()->mAnswer == kAnswer);
    AssertNext(ClaimAction::Record, step);
    CPPUNIT_ASSERT(step.mPause > Millis(0));
    // The first attempt has taken effect although its result was uncertain.
    AssertNext(ClaimAction::End,
               call.Found(RecordOf("mine", ClaimState::Done), 8));
    CPPUNIT_ASSERT(!call.LeftBehind());
  }

  void LargeAnswerIsNotReplayed() {
    ClaimLimits limits;
    limits.mMaxRecordedBody = 3;
    ClaimCall call(kKey, "digest", "mine", limits);
    call.Start();
    call.Applied(7);
    const ClaimStep step = call.Answered(kAnswer);
    call.Applied(8);
    CPPUNIT_ASSERT(call.Outcome()->mAnswer == kAnswer);
    ClaimCall repeat = CallOf("other");
    repeat.Start();
    repeat.Found(step.mValue, 8);
    AssertRefused(repeat, ErrorKind::OutcomeUnknown, RunState::Run);
  }

  void EventOutOfOrderNeverRuns() {
    ClaimCall call = CallOf();
    AssertNext(ClaimAction::End, call.Applied(7));
    AssertRefused(call, ErrorKind::Internal, RunState::Unknown);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimTest);

}  // namespace rillwall
