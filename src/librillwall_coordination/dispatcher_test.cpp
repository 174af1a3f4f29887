#include "rillwall/dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace rillwall {

namespace {

constexpr const char* kModel = "letters";

Upstream Engine(const std::string& aId, const std::string& aZone = "a") {
  return {.mId = aId, .mName = kModel, .mZone = aZone, .mGeneration = 1};
}

CallSpec Call(uint64_t aTicket, CallClass aClass = CallClass::Interactive,
              const std::string& aTenant = "house") {
  return {.mTicket = aTicket,
          .mClass = aClass,
          .mTenant = aTenant,
          .mModel = kModel,
          .mExpectedTokens = 100};
}

LoadReport Slots(int64_t aSlots, Millis aNow, int64_t aRunning = 0) {
  return {.mRunning = aRunning, .mSlots = aSlots, .mAt = aNow};
}

class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(StartsAtTheLeastLoaded);
  CPPUNIT_TEST(KeepsHeadroomForInteractive);
  CPPUNIT_TEST(InteractiveStartsFirst);
  CPPUNIT_TEST(PreemptsTrainingWhenFull);
  CPPUNIT_TEST(LeavingEngineGetsNoNewCalls);
  CPPUNIT_TEST(RefusesAtOnceWhenNothingIsUsable);
  CPPUNIT_TEST(RefusesQueuedCallsWhenAllEnginesLeave);
  CPPUNIT_TEST(RefusesCallsThatWaitedTooLong);
  CPPUNIT_TEST(BreakerOpensAndProbes);
  CPPUNIT_TEST(ShedsTrainingFirst);
  CPPUNIT_TEST(ChargesServedTokens);
  CPPUNIT_TEST(TimeoutsOfBusyEngineDoNotOpenBreaker);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    mNow = Millis(1000);
    mLimits = DispatcherLimits();
    MakeDispatcher();
  }

  void MakeDispatcher() {
    mDispatcher = std::make_unique<Dispatcher>("a", mLimits, 1);
  }

  void Configure(std::vector<Upstream> aEngines, int64_t aSlots) {
    mDispatcher->Configure(aEngines, PolicyRules(), mNow);
    for (const Upstream& engine : aEngines) {
      mDispatcher->Report(engine.mId, Slots(aSlots, mNow));
    }
  }

  /// Submits a number of calls.
  /// \return how many are started at once
  int SubmitCalls(CallClass aClass, int aCalls, uint64_t aFirst) {
    int started = 0;
    for (int call = 0; call < aCalls; ++call) {
      const auto out = mDispatcher->Submit(Call(aFirst + call, aClass), mNow);
      started += !out.empty() && out[0].mAction == CallAction::Start;
    }
    return started;
  }

  /// Starts training calls over many reports, like a trainer with a large
  /// backlog.
  /// \return how many were started; their tickets are consecutive from aFirst
  int SubmitTrainingOverReports(const std::string& aEngine, int64_t aSlots,
                                uint64_t aFirst) {
    constexpr int kReports = 60;
    int started = 0;
    for (int report = 0; report < kReports; ++report) {
      mNow += Millis(1000);
      for (int call = 0; call < started; ++call) {
        mDispatcher->Progress(aFirst + call, 10, mNow);
      }
      mDispatcher->Report(aEngine, Slots(aSlots, mNow, started));
      int64_t freeSlots = mDispatcher->FreeTrainingSlots(kModel);
      for (; freeSlots > 0; --freeSlots) {
        CPPUNIT_ASSERT_EQUAL(
            1, SubmitCalls(CallClass::Training, 1, aFirst + started));
        ++started;
      }
    }
    return started;
  }

  void StartsAtTheLeastLoaded() {
    Configure({Engine("e1"), Engine("e2")}, 8);
    std::map<std::string, int> calls;
    for (uint64_t ticket = 1; ticket <= 8; ++ticket) {
      const auto out = mDispatcher->Submit(Call(ticket), mNow);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, out.size());
      ++calls[out[0].mUpstream];
    }
    CPPUNIT_ASSERT(calls["e1"] >= 3 && calls["e2"] >= 3);
  }

  void KeepsHeadroomForInteractive() {
    Configure({Engine("e1")}, 20);
    CPPUNIT_ASSERT_EQUAL(17, SubmitTrainingOverReports("e1", 20, 1));
    CPPUNIT_ASSERT_EQUAL(3, SubmitCalls(CallClass::Interactive, 5, 100));
  }

  void InteractiveStartsFirst() {
    Configure({Engine("e1")}, 1);
    CPPUNIT_ASSERT_EQUAL(1, SubmitTrainingOverReports("e1", 1, 1));
    SubmitCalls(CallClass::Training, 1, 2);
    SubmitCalls(CallClass::Interactive, 1, 3);
    auto out = mDispatcher->Finish(1, CallOutcome::Done, mNow);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, out.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, out[0].mTicket);
    out = mDispatcher->Finish(3, CallOutcome::Done, mNow);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, out.at(0).mTicket);
  }

  void PreemptsTrainingWhenFull() {
    Configure({Engine("e1")}, 3);
    const int training = SubmitTrainingOverReports("e1", 3, 1);
    CPPUNIT_ASSERT(training >= 2);
    const int interactive = 4 - training;
    CPPUNIT_ASSERT_EQUAL(interactive - 1,
                         SubmitCalls(CallClass::Interactive, interactive, 100));
    mNow += Millis(100);
    auto out = mDispatcher->Tick(mNow);
    // One preemption for the waiting call, only once, of the youngest call.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, out.size());
    CPPUNIT_ASSERT(out[0].mAction == CallAction::Preempt);
    CPPUNIT_ASSERT_EQUAL(static_cast<uint64_t>(training), out[0].mTicket);
    CPPUNIT_ASSERT(mDispatcher->Tick(mNow).empty());
    out = mDispatcher->Finish(out[0].mTicket, CallOutcome::Cancelled, mNow);
    CPPUNIT_ASSERT_EQUAL(uint64_t{99} + static_cast<uint64_t>(interactive),
                         out.at(0).mTicket);
    CPPUNIT_ASSERT(out[0].mAction == CallAction::Start);
  }

  void LeavingEngineGetsNoNewCalls() {
    Configure({Engine("e1"), Engine("e2")}, 64);
    mDispatcher->MarkLeaving("e1", mNow);
    // A host list that lags does not clear the mark; a new process does.
    mDispatcher->Configure({Engine("e1"), Engine("e2")}, PolicyRules(), mNow);
    for (uint64_t ticket = 1; ticket <= 20; ++ticket) {
      const auto out = mDispatcher->Submit(Call(ticket), mNow);
      CPPUNIT_ASSERT_EQUAL(std::string("e2"), out.at(0).mUpstream);
    }
    Upstream restarted = Engine("e1");
    restarted.mGeneration = 2;
    mDispatcher->Configure({restarted}, PolicyRules(), mNow);
    CPPUNIT_ASSERT_EQUAL(1, SubmitCalls(CallClass::Interactive, 1, 100));
  }

  void RefusesAtOnceWhenNothingIsUsable() {
    Configure({Engine("e1")}, 4);
    mDispatcher->MarkLeaving("e1", mNow);
    const auto out = mDispatcher->Submit(Call(1), mNow);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, out.size());
    CPPUNIT_ASSERT(out[0].mAction == CallAction::Refuse);
    CPPUNIT_ASSERT(out[0].mReason == ErrorKind::Unavailable);
    CPPUNIT_ASSERT(out[0].mRetryAfter > Millis(0));
    Configure({Engine("e1"), Engine("e2", "b")}, 4);
    CallSpec elsewhere = Call(2);
    elsewhere.mZones = {"c"};
    CPPUNIT_ASSERT(mDispatcher->Submit(elsewhere, mNow).at(0).mReason ==
                   ErrorKind::Unavailable);
  }

  void RefusesQueuedCallsWhenAllEnginesLeave() {
    Configure({Engine("e1")}, 1);
    SubmitCalls(CallClass::Interactive, 2, 1);
    SubmitCalls(CallClass::Training, 1, 3);
    mDispatcher->MarkLeaving("e1", mNow);
    mNow += Millis(100);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mDispatcher->Tick(mNow).size());
  }

  void RefusesCallsThatWaitedTooLong() {
    Configure({Engine("e1")}, 1);
    SubmitCalls(CallClass::Interactive, 2, 1);
    mNow += mLimits.mMaxInteractiveWait;
    const auto out = mDispatcher->Tick(mNow);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, out.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, out[0].mTicket);
    CPPUNIT_ASSERT(out[0].mReason == ErrorKind::Overloaded);
  }

  void BreakerOpensAndProbes() {
    Configure({Engine("e1")}, 8);
    for (uint64_t ticket = 1; ticket <= 3; ++ticket) {
      SubmitCalls(CallClass::Interactive, 1, ticket);
      mDispatcher->Finish(ticket, CallOutcome::Failed, mNow);
    }
    CPPUNIT_ASSERT_EQUAL(0, SubmitCalls(CallClass::Interactive, 1, 10));
    mNow += mLimits.mBreakerOpenTime;
    mDispatcher->Tick(mNow);
    CPPUNIT_ASSERT_EQUAL(1, SubmitCalls(CallClass::Interactive, 2, 20));
    mDispatcher->Finish(20, CallOutcome::Done, mNow);
    CPPUNIT_ASSERT_EQUAL(1, SubmitCalls(CallClass::Interactive, 1, 30));
  }

  void ShedsTrainingFirst() {
    mLimits.mMaxQueued = 2;
    MakeDispatcher();
    Configure({Engine("e1")}, 1);
    SubmitCalls(CallClass::Interactive, 1, 1);
    SubmitCalls(CallClass::Training, 2, 2);
    const auto out = mDispatcher->Submit(Call(4), mNow);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, out.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, out[0].mTicket);
    CPPUNIT_ASSERT(out[0].mAction == CallAction::Refuse);
  }

  void ChargesServedTokens() {
    Configure({Engine("e1")}, 8);
    SubmitCalls(CallClass::Interactive, 1, 1);
    mDispatcher->Progress(1, 30, mNow);
    mDispatcher->Finish(1, CallOutcome::Done, mNow);
    CPPUNIT_ASSERT(mDispatcher->Dump().find("\"served_tokens\":30") !=
                   std::string::npos);
  }

  void TimeoutsOfBusyEngineDoNotOpenBreaker() {
    Configure({Engine("e1")}, 8);
    LoadReport withWaitingCalls = Slots(8, mNow);
    withWaitingCalls.mWaiting = 2;
    mDispatcher->Report("e1", withWaitingCalls);
    for (uint64_t ticket = 1; ticket <= 3; ++ticket) {
      CPPUNIT_ASSERT_EQUAL(1, SubmitCalls(CallClass::Interactive, 1, ticket));
      mDispatcher->Finish(ticket, CallOutcome::TimedOut, mNow);
    }
    CPPUNIT_ASSERT_EQUAL(1, SubmitCalls(CallClass::Interactive, 1, 10));
  }

 private:
  Millis mNow;
  DispatcherLimits mLimits;
  std::unique_ptr<Dispatcher> mDispatcher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

}  // namespace

}  // namespace rillwall
