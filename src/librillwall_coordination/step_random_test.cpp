/// \file
/// Randomised runs of a whole step: runners that die, owners that are replaced
/// while the old one goes on acting, messages lost and late, new versions.
///
/// Asserted: the trainer takes in each group exactly once, and no answer made
/// for it holds a group over the bound. Each run also ends complete once the
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
constexpr int64_t kRoom = 4;
constexpr Millis kTick{100};
constexpr Millis kFaultsEnd{60000};
constexpr Millis kEnd{400000};
const StalenessBound kBound{1, Millis(25000)};

/// The mechanism that a run goes without, to see the check fail.
enum class Off { Nothing, Extends, Bound };

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

struct Tally {
  std::array<int, kGroups> mTaken{};
  int mStale = 0;
  bool mComplete = false;
};

class World {
 public:
  World(uint64_t aSeed, Off aOff) : mRandom(aSeed), mOff(aOff) {
    StepSpec spec{{"letters", 7}, 8, 100, {}, 1};
    for (size_t group = 0; group < kGroups; ++group) {
      spec.mPrompts.emplace_back(1 + mRandom() % 64, 'p');
    }
    mSpec = spec;
    mRule.mStaleness =
        aOff == Off::Bound ? StalenessBound{-1, Millis(-1)} : kBound;
    mOwners.push_back(NewBook(false));
  }

  Tally Run() {
    for (; mNow < kEnd && !mTally.mComplete; mNow += kTick) {
      if (mNow < kFaultsEnd) {
        Fault();
      } else if (mNow == kFaultsEnd) {
        Mend();
      }
      if (OneIn(150)) {
        ++mVersion;
      }
      Deliver();
      Finish();
      AskRunners();
      for (const auto& owner : mOwners) {
        CarryOut(owner, owner->Tick(Rooms(), mVersion, mNow));
      }
      if (OneIn(4)) {
        Pull();
      }
    }
    return mTally;
  }

 private:
  using Book = std::shared_ptr<StepTracker>;

  bool OneIn(uint64_t aChance) { return mRandom() % aChance == 0; }
  bool Faulty() { return mNow < kFaultsEnd && OneIn(10); }

  Book NewBook(bool aRebuilding) {
    return std::make_shared<StepTracker>(mSpec, mRule, aRebuilding, mNow);
  }

  /// Does something later, or never.
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

  void Fault() {
    if (OneIn(120)) {
      Runner& runner = mRunners[mRandom() % kRunners];
      runner.mSamples.clear();
      runner.mUp = !runner.mUp;
      TellLost(static_cast<size_t>(&runner - mRunners.data()));
    }
    if (OneIn(150)) {
      TakeOver();
    }
    if (mOwners.size() > 1 && OneIn(60)) {
      mOwners.erase(mOwners.begin());
    }
  }

  void Mend() {
    for (Runner& runner : mRunners) {
      runner.mUp = true;
    }
  }

  void TellLost(size_t aRunner) {
    for (const Book& owner : mOwners) {
      owner->RunnerLost(Name(aRunner), mNow);
    }
  }

  /// A new owner asks the runners, of which some do not answer. The old one
  /// goes on for a while.
  void TakeOver() {
    const Book tracker = NewBook(true);
    for (size_t each = 0; each < kRunners; ++each) {
      if (mRunners[each].mUp && !Faulty()) {
        ShowInventory(each, *tracker);
      }
    }
    tracker->Rebuilt(mNow);
    mOwners.push_back(tracker);
  }

  void AskRunners() {
    constexpr int64_t kEvery = 2000;
    if (mNow.Count() % kEvery != 0) {
      return;
    }
    for (const Book& owner : mOwners) {
      for (const std::string& runner : owner->RunnersToAsk()) {
        const size_t index = std::stoul(runner.substr(1));
        if (mRunners[index].mUp && !Faulty()) {
          ShowInventory(index, *owner);
        }
      }
    }
  }

  void ShowInventory(size_t aRunner, StepTracker& aTracker) {
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
  Runner& Of(const std::string& aName) {
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

  std::vector<RunnerCapacity> Rooms() const {
    std::vector<RunnerCapacity> rooms;
    for (size_t each = 0; each < kRunners; ++each) {
      const auto used = static_cast<int64_t>(mRunners[each].mSamples.size());
      if (mRunners[each].mUp) {
        rooms.push_back({Name(each), std::max<int64_t>(kRoom - used, 1)});
      }
    }
    return rooms;
  }

  void CarryOut(const Book& aOwner, const StepActions& aActions) {
    for (const GroupOrder& order : aActions.mRun) {
      Send([this, order] { Begin(order); });
    }
    for (const GroupOrder& order : aActions.mCancel) {
      Send([this, order] {
        Of(order.mRunner).mSamples.erase({order.mGroup, order.mAttempt});
      });
    }
    for (const GroupOrder& order : aActions.mRelease) {
      Send([this, order] {
        std::erase_if(Of(order.mRunner).mSamples, [&](const auto& aEntry) {
          return aEntry.first.first == order.mGroup;
        });
      });
    }
    // The call that orders a group fails when it is lost or its runner is.
    for (const GroupOrder& order : aActions.mRun) {
      mOpen.push_back({aOwner, order, mNow + Millis(20000)});
    }
  }

  void Begin(const GroupOrder& aOrder) {
    Runner& runner = Of(aOrder.mRunner);
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
    std::vector<OpenCall> open = std::move(mOpen);
    mOpen.clear();
    for (OpenCall& call : open) {
      Reply(call);
    }
  }

  struct OpenCall {
    Book mOwner;
    GroupOrder mOrder;
    Millis mTimeout;
  };

  void Reply(const OpenCall& aCall) {
    const GroupOrder& order = aCall.mOrder;
    const auto& samples = Of(order.mRunner).mSamples;
    const auto sample = samples.find({order.mGroup, order.mAttempt});
    if (sample != samples.end() && sample->second.mDone && !Faulty()) {
      const size_t runner = std::stoul(order.mRunner.substr(1));
      CarryOut(aCall.mOwner,
               aCall.mOwner->Finished(
                   Summary(runner, sample->first, sample->second), mNow));
    } else if (mNow >= aCall.mTimeout) {
      aCall.mOwner->Failed(order.mGroup, order.mRunner, order.mAttempt, mNow);
    } else {
      mOpen.push_back(aCall);
    }
  }

  /// The trainer pulls through any node that takes itself for the owner.
  void Pull() {
    const Book owner = mOwners[mRandom() % mOwners.size()];
    const std::string held = mReceipt;
    const int64_t version = mVersion;
    Send([this, owner, held, version] {
      const Answer answer = Make(*owner, owner, held, version);
      Send([this, answer] { TakeIn(answer); });
    });
  }

  Answer Make(StepTracker& aTracker, const Book& aOwner,
              const std::string& aReceipt, int64_t aVersion) {
    Receipt receipt = Receipt::Parse(aReceipt, mSpec.mId, kGroups).value();
    StepActions actions;
    const int64_t newest = std::max(aVersion, mVersion);
    const PullPlan plan =
        aTracker.Plan(receipt, newest, 1 + mRandom() % 8, mNow, actions);
    CarryOut(aOwner, actions);
    Answer answer{aReceipt, "", {}};
    for (const GroupSummary& each : plan.mGroups) {
      const auto& samples = Of(each.mRunner).mSamples;
      const auto sample = samples.find({each.mGroup, each.mAttempt});
      if (sample == samples.end()) {
        aTracker.Failed(each.mGroup, each.mRunner, each.mAttempt, mNow);
        continue;
      }
      const bool fresh =
          WithinStalenessBound(kBound, sample->second.mVersion, newest,
                               mNow - sample->second.mFirstToken);
      mTally.mStale += fresh ? 0 : 1;
      receipt.Add(each.mGroup);
      answer.mGroups.push_back(each.mGroup);
    }
    answer.mReceipt = receipt.Text();
    return answer;
  }

  void TakeIn(const Answer& aAnswer) {
    if (mOff != Off::Extends && aAnswer.mExtends != mReceipt) {
      return;
    }
    mReceipt = aAnswer.mReceipt;
    for (const size_t group : aAnswer.mGroups) {
      ++mTally.mTaken[group];
    }
    mTally.mComplete =
        Receipt::Parse(mReceipt, mSpec.mId, kGroups).value().Complete();
  }

  std::mt19937_64 mRandom;
  Off mOff;
  StepSpec mSpec;
  TrainerRule mRule;
  Millis mNow{1000};
  int64_t mVersion = 5;
  std::array<Runner, kRunners> mRunners;
  std::vector<Book> mOwners;
  std::vector<OpenCall> mOpen;
  std::multimap<Millis, std::function<void()>> mMessages;
  std::string mReceipt;
  Tally mTally;
};

bool ExactlyOnce(const Tally& aTally) {
  return std::all_of(aTally.mTaken.begin(), aTally.mTaken.end(),
                     [](int aTimes) { return aTimes == 1; });
}

}  // namespace

class StepRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepRandomTest);
  CPPUNIT_TEST(EveryGroupOnceAndFresh);
  CPPUNIT_TEST(SeesMissingExtendsCheck);
  CPPUNIT_TEST(SeesMissingBound);
  CPPUNIT_TEST_SUITE_END();

  static constexpr uint64_t kSeeds = 300;

  void EveryGroupOnceAndFresh() {
    for (uint64_t seed = 0; seed < kSeeds; ++seed) {
      const Tally tally = World(seed, Off::Nothing).Run();
      const std::string where = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(where, tally.mComplete);
      CPPUNIT_ASSERT_MESSAGE(where, ExactlyOnce(tally));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(where, 0, tally.mStale);
    }
  }

  static int Count(Off aOff, const std::function<bool(const Tally&)>& aSeen) {
    int seen = 0;
    for (uint64_t seed = 0; seed < kSeeds; ++seed) {
      seen += aSeen(World(seed, aOff).Run()) ? 1 : 0;
    }
    return seen;
  }

  void SeesMissingExtendsCheck() {
    CPPUNIT_ASSERT(Count(Off::Extends, [](const Tally& aTally) {
                     return !ExactlyOnce(aTally);
                   }) > 0);
  }

  void SeesMissingBound() {
    CPPUNIT_ASSERT(Count(Off::Bound, [](const Tally& aTally) {
                     return aTally.mStale > 0;
                   }) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepRandomTest);

}  // namespace rillwall
