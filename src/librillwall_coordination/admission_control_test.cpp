/// \file
/// Tests of single decisions of admission control; admission_surge_test.cpp has
/// the load patterns.

#include "rillwall/admission_control.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rillwall {

class AdmissionControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionControlTest);
  CPPUNIT_TEST(QueueIsOrderedByPriorityThenWaitThenFairness);
  CPPUNIT_TEST(OneCallIsSentWithoutFigures);
  CPPUNIT_TEST(OldFiguresAreNotTrusted);
  CPPUNIT_TEST(SlowServiceIsStillUsed);
  CPPUNIT_TEST(RetryTimesIncreaseUpToAThird);
  CPPUNIT_TEST(RefusalsByReplicasLowerTheBounds);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Millis kNow{10000};
  static constexpr Millis kTarget{400};
  AdmissionControl mControl;

  static AnswerEstimate Wait(int64_t aWaitMs, int64_t aWorkMs = 80) {
    return {Millis(aWaitMs + aWorkMs), Millis(aWaitMs), Millis(3),
            aWaitMs > 0 ? 0 : 20};
  }
  /// A call whose caller sent its first attempt some time ago.
  static AdmissionCall CallOf(uint64_t aTicket, int aPriority, Millis aAge,
                              const char* aAccount) {
    return {.mTicket = aTicket,
            .mService = "s",
            .mAccount = aAccount,
            .mPriority = aPriority,
            .mTargetLatency = kTarget,
            .mTimeout = Millis(6000),
            .mArrived = kNow,
            .mDeadline = kNow + Millis(6000) - aAge};
  }
  AdmissionAction Arrive(AdmissionCall aCall, int64_t aWaitMs) {
    return mControl.Arrive(aCall, Wait(aWaitMs), kNow).mAction;
  }

 public:
  /// Guards against a queue in order of arrival, or one that a single account
  /// fills.
  void QueueIsOrderedByPriorityThenWaitThenFairness() {
    const std::vector<AdmissionCall> calls = {
        CallOf(1, 2, Millis(0), "a"), CallOf(2, 2, Millis(0), "a"),
        CallOf(3, 2, Millis(0), "b"), CallOf(4, 2, Millis(1000), "a"),
        CallOf(5, 0, Millis(0), "a")};
    for (AdmissionCall call : calls) {
      call.mDelayOnly = true;
      CPPUNIT_ASSERT(Arrive(call, 900) == AdmissionAction::Wait);
    }
    std::vector<uint64_t> order;
    while (const auto ticket = mControl.StartNext("s", Wait(0), kNow)) {
      order.push_back(*ticket);
      mControl.Sent(calls[*ticket - 1]);
    }
    const std::vector<uint64_t> expected = {5, 4, 3, 1, 2};
    CPPUNIT_ASSERT(expected == order);
  }

  /// Guards against a burst of calls that are only delayed, at a service whose
  /// load is not known.
  void OneCallIsSentWithoutFigures() {
    for (uint64_t ticket = 1; ticket <= 5; ++ticket) {
      AdmissionCall call = CallOf(ticket, 2, Millis(0), "a");
      call.mDelayOnly = true;
      const AdmissionAction action =
          mControl.Arrive(call, std::nullopt, kNow).mAction;
      CPPUNIT_ASSERT((ticket == 1) == (action == AdmissionAction::Send));
    }
    CPPUNIT_ASSERT(!mControl.StartNext("s", std::nullopt, kNow));
    CPPUNIT_ASSERT(mControl.StartNext("s", Wait(0), kNow).has_value());
  }

  /// Guards against a burst of calls by old figures of idle replicas, and
  /// against refusing all calls by old figures of full ones.
  void OldFiguresAreNotTrusted() {
    int sent = 0;
    for (uint64_t ticket = 1; ticket <= 20; ++ticket) {
      AnswerEstimate idle = Wait(0);
      idle.mAge = Millis(500);
      const AdmissionCall call = CallOf(ticket, 2, Millis(0), "a");
      const AdmissionDecision decision = mControl.Arrive(call, idle, kNow);
      sent += decision.mAction == AdmissionAction::Send ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(4, sent);
    AdmissionControl other;
    sent = 0;
    for (uint64_t ticket = 1; ticket <= 20; ++ticket) {
      AnswerEstimate full = Wait(900);
      full.mAge = Millis(500);
      const AdmissionCall call = CallOf(ticket, 2, Millis(0), "a");
      const AdmissionDecision decision = other.Arrive(call, full, kNow);
      sent += decision.mAction == AdmissionAction::Send ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, sent);
  }

  /// Guards against refusing everything at a service that cannot meet the
  /// target latency even when it is idle.
  void SlowServiceIsStillUsed() {
    const AdmissionCall call = CallOf(1, 2, Millis(0), "a");
    const AdmissionDecision decision =
        mControl.Arrive(call, Wait(0, 900), kNow);
    CPPUNIT_ASSERT(decision.mAction == AdmissionAction::Send);
  }

  /// Guards against refused callers that all return at the same time.
  void RetryTimesIncreaseUpToAThird() {
    Millis last;
    int increased = 0;
    for (uint64_t ticket = 1; ticket <= 20; ++ticket) {
      const AdmissionDecision decision =
          mControl.Arrive(CallOf(ticket, 2, Millis(0), "a"), Wait(900), kNow);
      CPPUNIT_ASSERT(decision.mAction == AdmissionAction::Refuse);
      CPPUNIT_ASSERT(decision.mRetryAfter <= Millis(2000));
      increased += decision.mRetryAfter > last ? 1 : 0;
      last = decision.mRetryAfter;
    }
    CPPUNIT_ASSERT_EQUAL(20, increased);
  }

  /// Guards against trusting figures that the replicas' refusals contradict.
  void RefusalsByReplicasLowerTheBounds() {
    const AdmissionCall call = CallOf(1, 2, Millis(0), "a");
    CPPUNIT_ASSERT(Arrive(call, 100) == AdmissionAction::Send);
    mControl.Sent(call);
    for (int i = 0; i < 3; ++i) {
      mControl.RefusedByReplica(call, kNow);
    }
    const AdmissionCall second = CallOf(2, 2, Millis(0), "a");
    CPPUNIT_ASSERT(Arrive(second, 100) != AdmissionAction::Send);
    mControl.Abandon(second);
    // The bounds recover.
    AdmissionCall third = CallOf(3, 2, Millis(0), "a");
    third.mArrived = kNow + Millis(2000);
    third.mDeadline = third.mArrived + third.mTimeout;
    const AdmissionDecision later =
        mControl.Arrive(third, Wait(100), third.mArrived);
    CPPUNIT_ASSERT(later.mAction == AdmissionAction::Send);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionControlTest);

}  // namespace rillwall
