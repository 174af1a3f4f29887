/// \file
/// Randomised tests of many calls with the same key. The key-value service
/// loses responses, applies writes late and has outages, and the nodes that
/// carry out the calls die at any step.
///
/// Verified: the upstream runs a key at most once, a call reported as not-run
/// has not run, and a replayed response is that of the run.

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <random>

#include "rillwall/claim.h"

namespace rillwall {

namespace {

enum class WriteEffect { Succeeded, AnswerLost, Delayed, Rejected };

/// A key-value store of one entry with compare-and-swap and delayed writes.
class FakeStore {
 public:
  struct Entry {
    std::string mValue;
    int64_t mRevision = 0;
  };
  /// Writes the entry if its revision is the expected one; an empty value
  /// removes it.
  bool Swap(int64_t aExpected, const std::string& aValue) {
    const int64_t current = mEntry ? mEntry->mRevision : 0;
    if (current != aExpected) {
      return false;
    }
    ++mRevision;
    if (aValue.empty()) {
      mEntry.reset();
    } else {
      mEntry = Entry{aValue, mRevision};
    }
    return true;
  }
  void Delay(int64_t aExpected, std::string aValue) {
    mDelayedWrites.push_back({std::move(aValue), aExpected});
  }
  void ApplyDelayed(std::mt19937_64& aRandom) {
    if (!mDelayedWrites.empty()) {
      const size_t at = aRandom() % mDelayedWrites.size();
      Swap(mDelayedWrites[at].mRevision, mDelayedWrites[at].mValue);
      mDelayedWrites.erase(mDelayedWrites.begin() +
                           static_cast<std::ptrdiff_t>(at));
    }
  }
  const std::optional<Entry>& Current() const { return mEntry; }
  int64_t Revision() const { return mRevision; }

 private:
  std::optional<Entry> mEntry;
  std::vector<Entry> mDelayedWrites;
  int64_t mRevision = 0;
};

/// One call on one node, carried out step by step.
struct RunningCall {
  explicit RunningCall(size_t aNumber)
      : mCall({"house", "ledger", "key"}, "digest",
              "nonce-" + std::to_string(aNumber)),
        mStep(mCall.Start()) {}
  ClaimCall mCall;
  ClaimStep mStep;
  bool mRan = false;
};

/// Counts of one simulation.
struct RunResult {
  int mRuns = 0;
  int mFalseNotRun = 0;
  int mFalseReplays = 0;
  int mReplays = 0;
};

class Simulation {
 public:
  /// \param aTrustsLostAnswers simulates a defective owner that takes a lost
  /// response for success
  Simulation(uint64_t aSeed, bool aTrustsLostAnswers)
      : mRandom(aSeed), mTrustsLostAnswers(aTrustsLostAnswers) {}

  RunResult Run() {
    constexpr int kSteps = 120;
    constexpr size_t kMaxCalls = 12;
    for (int step = 0; step < kSteps; ++step) {
      if (mNumber < kMaxCalls && OneIn(4)) {
        mCalls.push_back(std::make_unique<RunningCall>(mNumber++));
      }
      if (OneIn(5)) {
        mStore.ApplyDelayed(mRandom);
      }
      if (!mCalls.empty()) {
        Advance(mRandom() % mCalls.size());
      }
    }
    return mResult;
  }

 private:
  bool OneIn(uint64_t aChance) { return mRandom() % aChance == 0; }

  void Advance(size_t aIndex) {
    constexpr uint64_t kCrashOneIn = 30;
    RunningCall& call = *mCalls[aIndex];
    const bool ended = call.mStep.mNext == ClaimAction::End;
    if (!ended && !OneIn(kCrashOneIn)) {
      call.mStep = Perform(call);
      return;
    }
    Check(call);
    mCalls.erase(mCalls.begin() + static_cast<std::ptrdiff_t>(aIndex));
  }

  ClaimStep Perform(RunningCall& aCall) {
    const ClaimStep& step = aCall.mStep;
    switch (step.mNext) {
      case ClaimAction::Create:
        return Write(aCall, 0, step.mValue);
      case ClaimAction::Record:
        return Write(aCall, step.mRevision, step.mValue);
      case ClaimAction::Remove:
        return Write(aCall, step.mRevision, "");
      case ClaimAction::Read:
        return OneIn(3) ? aCall.mCall.Unavailable() : Current(aCall);
      default:
        return Send(aCall);
    }
  }

  ClaimStep Write(RunningCall& aCall, int64_t aExpected,
                  const std::string& aValue) {
    const bool create = aCall.mStep.mNext == ClaimAction::Create;
    switch (static_cast<WriteEffect>(mRandom() % 4)) {
      case WriteEffect::Succeeded:
        return mStore.Swap(aExpected, aValue)
                   ? aCall.mCall.Applied(mStore.Revision())
                   : Current(aCall);
      case WriteEffect::AnswerLost:
        mStore.Swap(aExpected, aValue);
        break;
      case WriteEffect::Delayed:
        mStore.Delay(aExpected, aValue);
        break;
      case WriteEffect::Rejected:
        return aCall.mCall.Unavailable();
    }
    return create && mTrustsLostAnswers ? aCall.mCall.Applied(mStore.Revision())
                                        : aCall.mCall.Uncertain();
  }

  ClaimStep Current(RunningCall& aCall) {
    const auto& entry = mStore.Current();
    return entry ? aCall.mCall.Found(entry->mValue, entry->mRevision)
                 : aCall.mCall.Absent();
  }

  ClaimStep Send(RunningCall& aCall) {
    const Error gone(ErrorKind::ConnectionLost, "gone");
    if (OneIn(3)) {
      return aCall.mCall.NotRun(gone);
    }
    ++mResult.mRuns;
    aCall.mRan = true;
    mAnswer = {201, {}, "run " + std::to_string(mResult.mRuns)};
    return OneIn(3) ? aCall.mCall.Lost(gone) : aCall.mCall.Answered(mAnswer);
  }

  void Check(const RunningCall& aCall) {
    const std::optional<ClaimOutcome>& outcome = aCall.mCall.Outcome();
    if (!outcome) {
      return;
    }
    const bool refused = outcome->mKind == ClaimOutcomeKind::Refuse;
    const bool notRun = outcome->mError.Run() == RunState::NotRun;
    mResult.mFalseNotRun += refused && notRun && aCall.mRan ? 1 : 0;
    if (outcome->mKind == ClaimOutcomeKind::Replay) {
      ++mResult.mReplays;
      mResult.mFalseReplays += outcome->mAnswer == mAnswer ? 0 : 1;
    }
  }

  std::mt19937_64 mRandom;
  bool mTrustsLostAnswers;
  FakeStore mStore;
  std::vector<std::unique_ptr<RunningCall>> mCalls;
  size_t mNumber = 0;
  ClaimAnswer mAnswer;
  RunResult mResult;
};

}  // namespace

class ClaimRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimRandomTest);
  CPPUNIT_TEST(RunsAtMostOnce);
  CPPUNIT_TEST(DetectsDefectiveOwner);
  CPPUNIT_TEST_SUITE_END();

  static constexpr uint64_t kSeeds = 3000;

  void RunsAtMostOnce() {
    int runs = 0;
    int replays = 0;
    for (uint64_t seed = 0; seed < kSeeds; ++seed) {
      const RunResult result = Simulation(seed, false).Run();
      const std::string where = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(where, result.mRuns <= 1);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(where, 0, result.mFalseNotRun);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(where, 0, result.mFalseReplays);
      runs += result.mRuns;
      replays += result.mReplays;
    }
    // Verifies that calls do run and are repeated; otherwise the checks above
    // would prove nothing.
    CPPUNIT_ASSERT(runs > static_cast<int>(kSeeds / 2));
    CPPUNIT_ASSERT(replays > static_cast<int>(kSeeds));
  }

  /// Without the read-back some calls run twice, which the simulation must
  /// detect.
  void DetectsDefectiveOwner() {
    int twice = 0;
    for (uint64_t seed = 0; seed < kSeeds; ++seed) {
      twice += Simulation(seed, true).Run().mRuns > 1 ? 1 : 0;
    }
    CPPUNIT_ASSERT(twice > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimRandomTest);

}  // namespace rillwall
