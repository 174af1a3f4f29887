/// \file
/// Randomised tests of a complete step. Runners die, owners are replaced while
/// the old owner continues to act, messages are lost or delayed, and new weight
/// versions appear.
///
/// Verified: the trainer accepts each group exactly once, no response contains
/// a group that exceeds the staleness bound, and the step completes after the
/// faults have stopped.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <functional>
#include <random>

#include "rillwall/step.h"

namespace rillwall {

namespace {

constexpr size_t kGroups = 24;
constexpr size_t kRunners = 6;
constexpr int64_t kRunnerCapacity = 4;
constexpr Millis kTick{100};
constexpr Millis kFaultsEnd{60000};
constexpr Millis kEnd{400000};
const StalenessBound kBound{1, Millis(25000)};

/// A mechanism that is disabled, to show that the test detects its absence.
enum class Disabled { Nothing, Extends, Bound };

struct Sample {
  int64_t mVersion = 0;
  Millis mFirstToken;
  Millis mFinish;
  bool mDone = false;
};

using AttemptKey = std::pair<size_t, uint64_t>;

struct Runner {
  std::map<AttemptKey, Sample> mSamples;
  bool mUp = true;
};

struct Answer {
  std::string mExtends;
  std::string mReceipt;
  std::vector<size_t> mGroups;
};

struct RunResult {
  std::array<int, kGroups> mDeliveries{};
  int mStale = 0;
  bool mComplete = false;
};

class Simulation {
 public:
  Simulation(uint64_t aSeed, Disabled aDisabled)
      : mRandom(aSeed), mDisabled(aDisabled) {
    StepSpec spec{{"letters", 7}, 8, 100, {}, 1};
    for (size_t group = 0; group < kGroups; ++group) {
      spec.mPrompts.emplace_back(1 + mRandom() % 64, 'p');
    }
    mSpec = spec;
    mRule.mStaleness =
        aDisabled == Disabled::Bound ? StalenessBound{-1, Millis(-1)} : kBound;
    mOwners.push_back(NewTracker(false));
  }

  RunResult Run() {
    for (; mNow < kEnd && !mResult.mComplete; mNow += kTick) {
      if (mNow < kFaultsEnd) {
        InjectFault();
      } else if (mNow == kFaultsEnd) {
        RestoreRunners();
      }
      if (OneIn(150)) {
        ++mVersion;
      }
      Deliver();
      Finish();
      QueryRunners();
      for (const auto& owner : mOwners) {
        CarryOut(owner, owner->Tick(Capacities(), mVersion, mNow));
      }
      if (OneIn(4)) {
        Pull();
      }
    }
    return mResult;
  }

 private:
  using TrackerPtr = std::shared_ptr<StepTracker>;

  bool OneIn(uint64_t aChance) { return mRandom() % aChance == 0; }
  bool Faulty() { return mNow < kFaultsEnd && OneIn(10); }

  TrackerPtr NewTracker(bool aRebuilding) {
    return std::make_shared<StepTracker>(mSpec, mRule, aRebuilding, mNow);
  }

  /// Delivers a message after a random delay, or loses it.
  void Send(std::function<void()> aEffect) {
    const auto delay =
        static_cast<int64_t>(mRandom() % (Faulty() ? 8000 : 300));
    if (!Faulty()) {
      mMessages.emplace(mNow + Millis(delay), std::move(aEffect));
    }
  }

  void Deliver() {
    while (!mMessages.empty() && mMessages.begin()->first <= mNow) {
      const auto message = mMessages.extract(mMessages.begin());
      message.mapped()();
    }
  }

  void InjectFault() {
    if (OneIn(120)) {
      Runner& runner = mRunners[mRandom() % kRunners];
      runner.mSamples.clear();
      runner.mUp = !runner.mUp;
      ReportLost(static_cast<size_t>(&runner - mRunners.data()));
    }
    if (OneIn(150)) {
      TakeOver();
    }
    if (mOwners.size() > 1 && OneIn(60)) {
      mOwners.erase(mOwners.begin());
    }
  }

  void RestoreRunners() {
    for (Runner& runner : mRunners) {
      runner.mUp = true;
    }
  }

  void ReportLost(size_t aRunner) {
    for (const TrackerPtr& owner : mOwners) {
      owner->RunnerLost(Name(aRunner), mNow);
    }
  }

  /// A new owner requests the inventories of the runners, some of which do not
  /// respond. The old owner continues for a while.
  void TakeOver() {
    const TrackerPtr tracker = NewTracker(true);
    for (size_t each = 0; each < kRunners; ++each) {
      if (mRunners[each].mUp && !Faulty()) {
        ReportInventory(each, *tracker);
      }
    }
    tracker->Rebuilt(mNow);
    mOwners.push_back(tracker);
  }

  void QueryRunners() {
    constexpr int64_t kEvery = 2000;
    if (mNow.Count() % kEvery != 0) {
      return;
    }
    for (const TrackerPtr& owner : mOwners) {
      for (const std::string& runner : owner->RunnersToAsk()) {
        const size_t index = std::stoul(runner.substr(1));
        if (mRunners[index].mUp && !Faulty()) {
          ReportInventory(index, *owner);
        }
      }
    }
  }

  void ReportInventory(size_t aRunner, StepTracker& aTracker) {
    std::vector<GroupSummary> held;
    std::vector<GroupOrder> running;
    for (const auto& [key, sample] : mRunners[aRunner].mSamples) {
      if (sample.mDone) {
        held.push_back(Summary(aRunner, key, sample));
      } else {
        running.push_back({key.first, Name(aRunner), key.second});
      }
    }
    aTracker.Inventory(Name(aRunner), held, running, mNow);
  }

  static std::string Name(size_t aRunner) {
    return "n" + std::to_string(aRunner);
  }
  Runner& RunnerNamed(const std::string& aName) {
    return mRunners[std::stoul(aName.substr(1))];
  }

  GroupSummary Summary(size_t aRunner, const AttemptKey& aKey,
                       const Sample& aSample) const {
    return {aKey.first,
            Name(aRunner),
            aKey.second,
            aSample.mVersion,
            mNow - aSample.mFirstToken,
            100};
  }

  std::vector<RunnerCapacity> Capacities() const {
    std::vector<RunnerCapacity> capacities;
    for (size_t each = 0; each < kRunners; ++each) {
      const auto used = static_cast<int64_t>(mRunners[each].mSamples.size());
      if (mRunners[each].mUp) {
        capacities.push_back(
            {Name(each), std::max<int64_t>(kRunnerCapacity - used, 1)});
      }
    }
    return capacities;
  }

  void CarryOut(const TrackerPtr& aOwner, const StepActions& aActions) {
    for (const GroupOrder& order : aActions.mRun) {
      Send([this, order] { Begin(order); });
    }
    for (const GroupOrder& order : aActions.mCancel) {
      Send([this, order] {
        RunnerNamed(order.mRunner)
            .mSamples.erase({order.mGroup, order.mAttempt});
      });
    }
    for (const GroupOrder& order : aActions.mRelease) {
      Send([this, order] {
        std::erase_if(RunnerNamed(order.mRunner).mSamples,
                      [&](const auto& aEntry) {
                        return aEntry.first.first == order.mGroup;
                      });
      });
    }
    // The call that orders a group times out if the call or its runner is lost.
    for (const GroupOrder& order : aActions.mRun) {
      mOpenCalls.push_back({aOwner, order, mNow + Millis(20000)});
    }
  }

  void Begin(const GroupOrder& aOrder) {
    Runner& runner = RunnerNamed(aOrder.mRunner);
    if (!runner.mUp) {
      return;
    }
    const auto duration =
        static_cast<int64_t>(500 + mRandom() % (OneIn(8) ? 30000 : 4000));
    runner.mSamples.try_emplace(
        {aOrder.mGroup, aOrder.mAttempt},
        Sample{mVersion, mNow, mNow + Millis(duration), false});
  }

  void Finish() {
    for (Runner& runner : mRunners) {
      for (auto& [key, sample] : runner.mSamples) {
        sample.mDone = sample.mDone || mNow >= sample.mFinish;
      }
    }
    std::vector<OpenCall> open = std::move(mOpenCalls);
    mOpenCalls.clear();
    for (OpenCall& call : open) {
      Reply(call);
    }
  }

  struct OpenCall {
    TrackerPtr mOwner;
    GroupOrder mOrder;
    Millis mTimeout;
  };

  void Reply(const OpenCall& aCall) {
    const GroupOrder& order = aCall.mOrder;
    const auto& samples = RunnerNamed(order.mRunner).mSamples;
    const auto sample = samples.find({order.mGroup, order.mAttempt});
    if (sample != samples.end() && sample->second.mDone && !Faulty()) {
      const size_t runner = std::stoul(order.mRunner.substr(1));
      CarryOut(aCall.mOwner,
               aCall.mOwner->Finished(
                   Summary(runner, sample->first, sample->second), mNow));
    } else if (mNow >= aCall.mTimeout) {
      aCall.mOwner->Failed(order.mGroup, order.mRunner, order.mAttempt, mNow);
    } else {
      mOpenCalls.push_back(aCall);
    }
  }

  /// The trainer pulls from any node that believes that it is the owner.
  void Pull() {
    const TrackerPtr owner = mOwners[mRandom() % mOwners.size()];
    const std::string held = mReceipt;
    const int64_t version = mVersion;
    Send([this, owner, held, version] {
      const Answer answer = MakeAnswer(*owner, owner, held, version);
      Send([this, answer] { AcceptAnswer(answer); });
    });
  }

  Answer MakeAnswer(StepTracker& aTracker, const TrackerPtr& aOwner,
                    const std::string& aReceipt, int64_t aVersion) {
    Receipt receipt = Receipt::Parse(aReceipt, mSpec.mId, kGroups).value();
    StepActions actions;
    const int64_t newest = std::max(aVersion, mVersion);
    const PullPlan plan =
        aTracker.Plan(receipt, newest, 1 + mRandom() % 8, mNow, actions);
    CarryOut(aOwner, actions);
    Answer answer{aReceipt, "", {}};
    for (const GroupSummary& each : plan.mGroups) {
      const auto& samples = RunnerNamed(each.mRunner).mSamples;
      const auto sample = samples.find({each.mGroup, each.mAttempt});
      if (sample == samples.end()) {
        aTracker.Failed(each.mGroup, each.mRunner, each.mAttempt, mNow);
        continue;
      }
      const bool fresh =
          WithinStalenessBound(kBound, sample->second.mVersion, newest,
                               mNow - sample->second.mFirstToken);
      mResult.mStale += fresh ? 0 : 1;
      receipt.Add(each.mGroup);
      answer.mGroups.push_back(each.mGroup);
    }
    answer.mReceipt = receipt.Text();
    return answer;
  }

  void AcceptAnswer(const Answer& aAnswer) {
    if (mDisabled != Disabled::Extends && aAnswer.mExtends != mReceipt) {
      return;
    }
    mReceipt = aAnswer.mReceipt;
    for (const size_t group : aAnswer.mGroups) {
      ++mResult.mDeliveries[group];
    }
    mResult.mComplete =
        Receipt::Parse(mReceipt, mSpec.mId, kGroups).value().Complete();
  }

  std::mt19937_64 mRandom;
  Disabled mDisabled;
  StepSpec mSpec;
  TrainerRule mRule;
  Millis mNow{1000};
  int64_t mVersion = 5;
  std::array<Runner, kRunners> mRunners;
  std::vector<TrackerPtr> mOwners;
  std::vector<OpenCall> mOpenCalls;
  std::multimap<Millis, std::function<void()>> mMessages;
  std::string mReceipt;
  RunResult mResult;
};

bool ExactlyOnce(const RunResult& aResult) {
  return std::all_of(aResult.mDeliveries.begin(), aResult.mDeliveries.end(),
                     [](int aDeliveries) { return aDeliveries == 1; });
}

}  // namespace

class StepRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepRandomTest);
  CPPUNIT_TEST(EveryGroupOnceAndFresh);
  CPPUNIT_TEST(DetectsMissingExtendsCheck);
  CPPUNIT_TEST(DetectsMissingBound);
  CPPUNIT_TEST_SUITE_END();

  static constexpr uint64_t kSeeds = 300;

  void EveryGroupOnceAndFresh() {
    for (uint64_t seed = 0; seed < kSeeds; ++seed) {
      const RunResult result = Simulation(seed, Disabled::Nothing).Run();
      const std::string where = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(where, result.mComplete);
      CPPUNIT_ASSERT_MESSAGE(where, ExactlyOnce(result));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(where, 0, result.mStale);
    }
  }

  static int Count(Disabled aDisabled,
                   const std::function<bool(const RunResult&)>& aSeen) {
    int seen = 0;
    for (uint64_t seed = 0; seed < kSeeds; ++seed) {
      seen += aSeen(Simulation(seed, aDisabled).Run()) ? 1 : 0;
    }
    return seen;
  }

  void DetectsMissingExtendsCheck() {
    CPPUNIT_ASSERT(Count(Disabled::Extends, [](const RunResult& aResult) {
                     return !ExactlyOnce(aResult);
                   }) > 0);
  }

  void DetectsMissingBound() {
    CPPUNIT_ASSERT(Count(Disabled::Bound, [](const RunResult& aResult) {
                     return aResult.mStale > 0;
                   }) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepRandomTest);

}  // namespace rillwall
