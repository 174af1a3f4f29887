/// \file
/// Randomised runs of many calls with the same key against a key-value service
/// that loses answers, applies writes late and has outages, through nodes that
/// die at any step.
///
/// Asserted: the upstream runs a key at most once, a call that is told not-run
/// has not run, and a replay is the answer that the run gave.

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <random>

#include "rillwall/claim.h"

namespace rillwall {

namespace {

enum class Effect { Whole, AnswerLost, Late, Refused };

/// One entry with compare-and-swap; writes may take effect late.
class FakeStore {
 public:
  struct Entry {
    std::string mValue;
    int64_t mRevision = 0;
  };
  /// Writes or, with an empty value, removes the entry if unchanged.
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
    mLate.push_back({std::move(aValue), aExpected});
  }
  void ApplyLate(std::mt19937_64& aRandom) {
    if (!mLate.empty()) {
      const size_t at = aRandom() % mLate.size();
      Swap(mLate[at].mRevision, mLate[at].mValue);
      mLate.erase(mLate.begin() + static_cast<std::ptrdiff_t>(at));
    }
  }
  const std::optional<Entry>& Current() const { return mEntry; }
  int64_t Revision() const { return mRevision; }

 private:
  std::optional<Entry> mEntry;
  std::vector<Entry> mLate;
  int64_t mRevision = 0;
};

/// One call through one node, one step at a time.
struct RunningCall {
  explicit RunningCall(size_t aNumber)
      : mCall({"house", "ledger", "key"}, "digest",
              "nonce-" + std::to_string(aNumber)),
        mStep(mCall.Start()) {}
  ClaimCall mCall;
  ClaimStep mStep;
  bool mRan = false;
};

/// What a whole run showed.
struct Tally {
  int mRuns = 0;
  int mFalseNotRun = 0;
  int mFalseReplays = 0;
  int mReplays = 0;
};

class World {
 public:
  /// \param aTrusting a defective owner that takes a lost answer for success
  World(uint64_t aSeed, bool aTrusting)
      : mRandom(aSeed), mTrusting(aTrusting) {}

  Tally Run() {
    constexpr int kSteps = 120;
    constexpr size_t kMostCalls = 12;
    for (int step = 0; step < kSteps; ++step) {
      if (mNumber < kMostCalls && OneIn(4)) {
        mCalls.push_back(std::make_unique<RunningCall>(mNumber++));
      }
      if (OneIn(5)) {
        mStore.ApplyLate(mRandom);
      }
      if (!mCalls.empty()) {
        Advance(mRandom() % mCalls.size());
      }
    }
    return mTally;
  }

 private:
  bool OneIn(uint64_t aChance) { return mRandom() % aChance == 0; }

  void Advance(size_t aIndex) {
    constexpr uint64_t kCrash = 30;
    RunningCall& call = *mCalls[aIndex];
    const bool ended = call.mStep.mNext == ClaimAction::End;
    if (!ended && !OneIn(kCrash)) {
      call.mStep = Carry(call);
      return;
    }
    Check(call);
    mCalls.erase(mCalls.begin() + static_cast<std::ptrdiff_t>(aIndex));
  }

  ClaimStep Carry(RunningCall& aCall) {
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
    switch (static_cast<Effect>(mRandom() % 4)) {
      case Effect::Whole:
        return mStore.Swap(aExpected, aValue)
                   ? aCall.mCall.Applied(mStore.Revision())
                   : Current(aCall);
      case Effect::AnswerLost:
        mStore.Swap(aExpected, aValue);
        break;
      case Effect::Late:
        mStore.Delay(aExpected, aValue);
        break;
      case Effect::Refused:
        return aCall.mCall.Unavailable();
    }
    return create && mTrusting ? aCall.mCall.Applied(mStore.Revision())
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
    ++mTally.mRuns;
    aCall.mRan = true;
    mAnswer = {201, {}, "run " + std::to_string(mTally.mRuns)};
    return OneIn(3) ? aCall.mCall.Lost(gone) : aCall.mCall.Answered(mAnswer);
  }

  void Check(const RunningCall& aCall) {
    const std::optional<ClaimOutcome>& outcome = aCall.mCall.Outcome();
    if (!outcome) {
      return;
    }
    const bool refused = outcome->mKind == ClaimOutcomeKind::Refuse;
    const bool notRun = outcome->mError.Run() == RunState::NotRun;
    mTally.mFalseNotRun += refused && notRun && aCall.mRan ? 1 : 0;
    if (outcome->mKind == ClaimOutcomeKind::Replay) {
      ++mTally.mReplays;
      mTally.mFalseReplays += outcome->mAnswer == mAnswer ? 0 : 1;
    }
  }

  std::mt19937_64 mRandom;
  bool mTrusting;
  FakeStore mStore;
  std::vector<std::unique_ptr<RunningCall>> mCalls;
  size_t mNumber = 0;
  ClaimAnswer mAnswer;
  Tally mTally;
};

}  // namespace

class ClaimRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimRandomTest);
  CPPUNIT_TEST(RunsAtMostOnce);
  CPPUNIT_TEST(SeesADefectiveOwner);
  CPPUNIT_TEST_SUITE_END();

  static constexpr uint64_t kSeeds = 3000;

  void RunsAtMostOnce() {
    int runs = 0;
    int replays = 0;
    for (uint64_t seed = 0; seed < kSeeds; ++seed) {
      const Tally tally = World(seed, false).Run();
      const std::string where = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(where, tally.mRuns <= 1);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(where, 0, tally.mFalseNotRun);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(where, 0, tally.mFalseReplays);
      runs += tally.mRuns;
      replays += tally.mReplays;
    }
    // The runs are of use only if calls do run and are repeated.
    CPPUNIT_ASSERT(runs > static_cast<int>(kSeeds / 2));
    CPPUNIT_ASSERT(replays > static_cast<int>(kSeeds));
  }

  /// The same check with the read-back left out must see calls run twice.
  void SeesADefectiveOwner() {
    int twice = 0;
    for (uint64_t seed = 0; seed < kSeeds; ++seed) {
      twice += World(seed, true).Run().mRuns > 1 ? 1 : 0;
    }
    CPPUNIT_ASSERT(twice > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimRandomTest);

}  // namespace rillwall
