/// \file
/// Long random runs of the dispatcher that check its invariants at each step:
/// every call is started or refused exactly once and only at an engine that it
/// may use; only training calls in flight are preempted, at most once; no call
/// is lost.

#include <cppunit/extensions/HelperMacros.h>
#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

#include "rillwall/dispatcher.h"

namespace rillwall {

namespace {

class DispatcherRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherRandomTest);
  CPPUNIT_TEST(KeepsItsInvariants);
  CPPUNIT_TEST(IsDeterministic);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsItsInvariants() {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      Run(seed, 3000);
      Drain();
    }
  }

  void IsDeterministic() { CPPUNIT_ASSERT_EQUAL(Run(99, 1000), Run(99, 1000)); }

 private:
  struct Waiting {
    CallSpec mSpec;
    Millis mSubmitted;
  };
  struct Running {
    CallSpec mSpec;
    bool mPreempted = false;
  };

  uint64_t Pick(uint64_t aBelow) { return mRandom() % aBelow; }

  template <class Map>
  typename Map::key_type AnyKey(const Map& aMap) {
    auto entry = aMap.begin();
    std::advance(entry, static_cast<int64_t>(Pick(aMap.size())));
    return entry->first;
  }

  /// \return all decisions as text, for comparing runs
  std::string Run(uint64_t aSeed, int aSteps) {
    mRandom.seed(aSeed);
    mNow = Millis(1000);
    mLimits.mMaxQueued = 40;
    mDispatcher = std::make_unique<Dispatcher>("z0", mLimits, aSeed);
    mEngines.clear();
    mLeaving.clear();
    mWaiting.clear();
    mRunning.clear();
    mTrace.clear();
    mTicket = 0;
    for (int step = 0; step < aSteps; ++step) {
      mNow += Millis(static_cast<int64_t>(Pick(30)));
      Step();
    }
    return mTrace;
  }

  void Step() {
    switch (Pick(20)) {
      case 0:
        return Configure();
      case 1:
        return Leave();
      case 2:
      case 3:
        return Report();
      case 4:
      case 5:
        return Apply(mDispatcher->Tick(mNow));
      case 6:
        return Withdraw();
      case 7:
      case 8:
      case 9:
        return Progress();
      case 10:
      case 11:
      case 12:
      case 13:
        return Finish();
      default:
        return Submit();
    }
  }

  void Configure() {
    const std::string id = "e" + std::to_string(Pick(8));
    if (Pick(3) == 0) {
      mEngines.erase(id);
    } else {
      Upstream& engine = mEngines[id];
      engine = {.mId = id,
                .mName = Pick(2) == 0 ? "m0" : "m1",
                .mZone = "z" + std::to_string(Pick(3)),
                .mGeneration = engine.mGeneration + 1};
      mLeaving.erase(id);
    }
    std::vector<Upstream> engines;
    for (const auto& [name, engine] : mEngines) {
      engines.push_back(engine);
    }
    mDispatcher->Configure(engines, PolicyRules(), mNow);
  }

  void Leave() {
    if (mEngines.size() > 3) {
      const std::string id = AnyKey(mEngines);
      mLeaving.insert(id);
      mDispatcher->MarkLeaving(id, mNow);
    }
  }

  void Report() {
    const auto slots = static_cast<int64_t>(1 + Pick(12));
    mDispatcher->Report("e" + std::to_string(Pick(8)),
                        {.mRunning = static_cast<int64_t>(Pick(slots + 1)),
                         .mWaiting = static_cast<int64_t>(Pick(3)),
                         .mSlots = slots,
                         .mVersion = static_cast<int64_t>(Pick(4)),
                         .mAt = mNow});
  }

  void Submit() {
    CallSpec spec;
    spec.mTicket = ++mTicket;
    spec.mClass = Pick(2) == 0 ? CallClass::Interactive : CallClass::Training;
    spec.mTenant = "t" + std::to_string(Pick(4));
    spec.mModel = Pick(20) == 0 ? "none" : Pick(2) == 0 ? "m0" : "m1";
    spec.mPrefixHash = Pick(5);
    spec.mExpectedTokens = static_cast<int64_t>(Pick(500));
    spec.mMinVersion = static_cast<int64_t>(Pick(4));
    if (Pick(3) == 0) {
      spec.mZones = {"z0", "z1"};
    }
    if (Pick(4) == 0) {
      spec.mAvoid = {"e" + std::to_string(Pick(8))};
      spec.mRetry = true;
    }
    spec.mDeadline = mNow + Millis(static_cast<int64_t>(Pick(5000)));
    mWaiting[spec.mTicket] = {spec, mNow};
    Apply(mDispatcher->Submit(spec, mNow));
  }

  void Progress() {
    if (!mRunning.empty()) {
      mDispatcher->Progress(AnyKey(mRunning), static_cast<int64_t>(Pick(50)),
                            mNow);
    }
  }

  void Finish() {
    if (mRunning.empty()) {
      return;
    }
    const uint64_t ticket = AnyKey(mRunning);
    mRunning.erase(ticket);
    const auto outcome = static_cast<CallOutcome>(Pick(8) < 5 ? 0 : Pick(5));
    Apply(mDispatcher->Finish(ticket, outcome, mNow));
  }

  void Withdraw() {
    if (!mWaiting.empty()) {
      const uint64_t ticket = AnyKey(mWaiting);
      mWaiting.erase(ticket);
      Apply(mDispatcher->Withdraw(ticket, mNow));
    }
  }

  void Apply(const std::vector<CallDecision>& aDecisions) {
    for (const CallDecision& decision : aDecisions) {
      mTrace += std::to_string(decision.mTicket) + decision.mUpstream + " ";
      if (decision.mAction == CallAction::Preempt) {
        Running& call = mRunning.at(decision.mTicket);
        CPPUNIT_ASSERT(call.mSpec.mClass == CallClass::Training);
        CPPUNIT_ASSERT(!call.mPreempted);
        call.mPreempted = true;
        continue;
      }
      // Throws if the call was decided already, withdrawn or never submitted.
      const Waiting call = mWaiting.at(decision.mTicket);
      mWaiting.erase(decision.mTicket);
      if (decision.mAction == CallAction::Refuse) {
        CPPUNIT_ASSERT(decision.mRetryAfter > Millis(0));
        continue;
      }
      CheckStart(decision, call);
      mRunning[decision.mTicket] = {call.mSpec};
    }
  }

  void CheckStart(const CallDecision& aDecision, const Waiting& aCall) {
    const Upstream& engine = mEngines.at(aDecision.mUpstream);
    const CallSpec& spec = aCall.mSpec;
    const auto has = [](const std::vector<std::string>& aList,
                        const std::string& aItem) {
      return std::find(aList.begin(), aList.end(), aItem) != aList.end();
    };
    CPPUNIT_ASSERT_EQUAL(spec.mModel, engine.mName);
    CPPUNIT_ASSERT(!mLeaving.contains(engine.mId));
    CPPUNIT_ASSERT(!has(spec.mAvoid, engine.mId));
    CPPUNIT_ASSERT(spec.mZones.empty() || has(spec.mZones, engine.mZone));
    if (spec.mClass == CallClass::Interactive) {
      // A call may wait longer by the time between two ticks.
      CPPUNIT_ASSERT(mNow - aCall.mSubmitted <
                     mLimits.mMaxInteractiveWait + Millis(1000));
    }
  }

  /// Ends all calls and checks that none is left.
  void Drain() {
    for (int round = 0; round < 2000 && !mRunning.empty(); ++round) {
      Finish();
    }
    mNow += Millis(10000);
    Apply(mDispatcher->Tick(mNow));
    while (!mRunning.empty()) {
      Finish();
    }
    CPPUNIT_ASSERT(mWaiting.empty());
    const auto dump = boost::json::parse(mDispatcher->Dump()).as_object();
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, dump.at("calls").to_number<int64_t>());
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, dump.at("queued").to_number<int64_t>());
    for (const auto& model : dump.at("models").as_array()) {
      const auto& object = model.as_object();
      CPPUNIT_ASSERT_EQUAL(int64_t{0},
                           object.at("preempting").to_number<int64_t>());
      for (const auto& engine : object.at("engines").as_array()) {
        const auto& state = engine.as_object();
        CPPUNIT_ASSERT_EQUAL(int64_t{0},
                             state.at("interactive").to_number<int64_t>() +
                                 state.at("training").to_number<int64_t>());
      }
    }
  }

  std::mt19937_64 mRandom;
  Millis mNow;
  DispatcherLimits mLimits;
  std::unique_ptr<Dispatcher> mDispatcher;
  std::map<std::string, Upstream> mEngines;
  std::set<std::string> mLeaving;
  std::map<uint64_t, Waiting> mWaiting;
  std::map<uint64_t, Running> mRunning;
  uint64_t mTicket = 0;
  std::string mTrace;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherRandomTest);

}  // namespace

}  // namespace rillwall
