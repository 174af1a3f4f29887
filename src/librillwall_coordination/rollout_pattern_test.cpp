/// \file
/// Load tests of load plans and moves in simulated time, without network and
/// clock.
///
/// The parameters are those of a typical service: twelve replicas with twelve
/// slots, of which a third is slower by a factor of 1.3; an event every 40 ms;
/// three trainers that each name a version every 4 s; loads that take 1 s, two
/// at a time.

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdlib>
#include <random>

#include "rillwall/load_plan.h"
#include "rillwall/replica_pace.h"
#include "rillwall/text_move.h"

namespace rillwall {

namespace {

constexpr int kReplicas = 12;
constexpr int64_t kSlots = 12;
constexpr int64_t kTickMs = 50;
constexpr int64_t kVersionIntervalMs = 4000;
constexpr int64_t kLoadMs = 1000;
constexpr size_t kLoadsAtOnce = 2;
constexpr int64_t kEventMs = 40;
constexpr int64_t kMaxEvents = 187;
constexpr int kTextsPerStep = 72;
constexpr double kSlowFactor = 1.3;
constexpr int64_t kSimulatedMs = 60000;

/// A running text.
struct RunningText {
  size_t mReplica = 0;
  std::string mModel;
  int64_t mEndsAt = 0;
};

/// Results of a simulation.
struct SimulationOutcome {
  int mTexts = 0;
  int mAborted = 0;   ///< texts that a load ended
  int mMinSlots = 0;  ///< fewest usable slots of a model when a step arrived
};

/// Simulates twelve replicas and three trainers.
class VersionSimulation {
 public:
  using Plan = std::vector<PlannedLoad> (*)(std::vector<LoadCandidate>,
                                            const std::vector<LoadTarget>&,
                                            size_t);
  explicit VersionSimulation(Plan aPlan) : mPlan(aPlan) {
    for (int i = 0; i < kReplicas; ++i) {
      LoadCandidate replica;
      replica.mId = "r" + std::to_string(i);
      replica.mSlots = kSlots;
      replica.mPace = i % 3 == 2 ? kSlowFactor : 1;
      for (const LoadTarget& target : mTargets) {
        replica.mVersions.push_back({target.mModel, 1});
      }
      mReplicas.push_back(replica);
    }
    mLoadEnds.resize(kReplicas);
  }

  SimulationOutcome Run() {
    mOutcome.mMinSlots = kReplicas * kSlots;
    for (mNow = 0; mNow < kSimulatedMs; mNow += kTickMs) {
      EndTexts();
      EndLoads();
      for (size_t i = 0; i < mTargets.size(); ++i) {
        // The trainers are offset from one another.
        if (mNow % kVersionIntervalMs ==
            static_cast<int64_t>(i) * 1300 / 50 * 50) {
          Submit(mTargets[i]);
        }
      }
      StartLoads();
    }
    return mOutcome;
  }

 private:
  int64_t LengthOf() {
    // Most texts are short, about a twelfth of the maximum.
    const auto draw = static_cast<int64_t>(mRandom() % 100);
    return draw < 8 ? kMaxEvents : 5 + draw / 4;
  }
  void EndTexts() {
    std::erase_if(mTexts, [&](const RunningText& aText) {
      const bool ended = aText.mEndsAt <= mNow;
      mReplicas[aText.mReplica].mRuns[aText.mModel] -= ended ? 1 : 0;
      mReplicas[aText.mReplica].mInFlight -= ended ? 1 : 0;
      return ended;
    });
  }
  void EndLoads() {
    for (size_t i = 0; i < mReplicas.size(); ++i) {
      LoadCandidate& replica = mReplicas[i];
      if (!replica.mLoading || mNow < mLoadEnds[i]) {
        continue;
      }
      for (ModelVersion& version : replica.mVersions) {
        if (version.mModel == replica.mLoading->mModel) {
          version = *replica.mLoading;
        }
      }
      replica.mLoading.reset();
    }
  }
  bool Serves(const LoadCandidate& aReplica, const LoadTarget& aTarget) const {
    const bool loads =
        aReplica.mLoading && aReplica.mLoading->mModel == aTarget.mModel;
    return !loads && aReplica.VersionOf(aTarget.mModel) >= aTarget.mVersion - 1;
  }
  void Submit(LoadTarget& aTarget) {
    ++aTarget.mVersion;
    int slots = 0;
    for (const LoadCandidate& replica : mReplicas) {
      slots += Serves(replica, aTarget) ? kSlots : 0;
    }
    mOutcome.mMinSlots = std::min(mOutcome.mMinSlots, slots);
    for (int i = 0; i < kTextsPerStep; ++i) {
      Start(aTarget, LengthOf());
    }
  }
  /// Starts a text at the usable replica with the fewest texts, or drops it if
  /// there is no free slot, because waiting texts do not matter here.
  void Start(const LoadTarget& aTarget, int64_t aEvents) {
    size_t best = mReplicas.size();
    for (size_t i = 0; i < mReplicas.size(); ++i) {
      const bool hasFreeSlot = mReplicas[i].mInFlight < kSlots;
      if (hasFreeSlot && Serves(mReplicas[i], aTarget) &&
          (best == mReplicas.size() ||
           mReplicas[i].mInFlight < mReplicas[best].mInFlight)) {
        best = i;
      }
    }
    if (best == mReplicas.size()) {
      return;
    }
    ++mOutcome.mTexts;
    ++mReplicas[best].mRuns[aTarget.mModel];
    ++mReplicas[best].mInFlight;
    mTexts.push_back({best, aTarget.mModel, mNow + aEvents * kEventMs});
  }
  void StartLoads() {
    for (const PlannedLoad& load : mPlan(mReplicas, mTargets, kLoadsAtOnce)) {
      const auto at = static_cast<size_t>(std::stoi(load.mReplica.substr(1)));
      LoadCandidate& replica = mReplicas[at];
      replica.mLoading = ModelVersion{load.mModel, load.mVersion};
      mLoadEnds[at] = mNow + kLoadMs;
      std::erase_if(mTexts, [&](const RunningText& aText) {
        const bool cut = aText.mReplica == at && aText.mModel == load.mModel;
        mOutcome.mAborted += cut ? 1 : 0;
        replica.mRuns[aText.mModel] -= cut ? 1 : 0;
        replica.mInFlight -= cut ? 1 : 0;
        return cut;
      });
    }
  }

  const Plan mPlan;
  std::mt19937 mRandom{17};
  std::vector<LoadTarget> mTargets = {
      {"a", 1, 1, true}, {"b", 1, 1, true}, {"c", 1, 1, true}};
  std::vector<LoadCandidate> mReplicas;
  std::vector<int64_t> mLoadEnds;
  std::vector<RunningText> mTexts;
  int64_t mNow = 0;
  SimulationOutcome mOutcome;
};

/// Baseline to compare PlanLoads() with: each replica belongs to one model and
/// loads each of its versions.
std::vector<PlannedLoad> LoadEachVersion(
    std::vector<LoadCandidate> aReplicas,
    const std::vector<LoadTarget>& aTargets, size_t aMaxConcurrent) {
  size_t loading = 0;
  for (const LoadCandidate& replica : aReplicas) {
    loading += replica.mLoading ? 1 : 0;
  }
  std::vector<PlannedLoad> planned;
  for (size_t i = 0; i < aReplicas.size(); ++i) {
    const LoadTarget& target = aTargets[i % aTargets.size()];
    if (loading < aMaxConcurrent && !aReplicas[i].mLoading &&
        aReplicas[i].VersionOf(target.mModel) < target.mVersion) {
      planned.push_back(
          {aReplicas[i].mId, target.mModel, target.mVersion, true});
      ++loading;
    }
  }
  return planned;
}

/// Simulates one text event by event. After every tenth event it may move to
/// the other replica.
/// \return the ms it took and the number of moves
std::pair<int64_t, int> SimulateText(double aSourcePace, double aTargetPace) {
  std::array<ReplicaPace, 2> paces;
  std::array<double, 2> speeds = {aSourcePace, aTargetPace};
  size_t at = 0;
  int moves = 0;
  double now = 1000;
  // The pace of the other replica is known from texts that it runs.
  paces[1].Observe(aTargetPace, Millis(1000));
  for (int64_t events = 1; events <= kMaxEvents; ++events) {
    // Prompts that are read in between delay every fourth event.
    const double delayFactor = events % 4 == 0 ? 1.5 : 0.9;
    now += speeds[at] * delayFactor;
    const Millis instant(static_cast<int64_t>(now));
    paces[at].Observe(speeds[at] * delayFactor, instant);
    const TextMove move{events, 0, paces[at].At(instant),
                        paces[1 - at].At(instant)};
    if (events % 10 == 0 && IsMoveWorthwhile(move)) {
      at = 1 - at;
      now += 50;
      ++moves;
    }
  }
  return {static_cast<int64_t>(now) - 1000, moves};
}

}  // namespace

class RolloutPatternTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutPatternTest);
  CPPUNIT_TEST(FewTextsAreAbortedIfVersionsOutpaceLoads);
  CPPUNIT_TEST(LoadingEachVersionOnItsReplicasAbortsMoreTexts);
  CPPUNIT_TEST(LongTextLeavesASlowReplica);
  CPPUNIT_TEST(TextStaysIfReplicasAreNoFaster);
  CPPUNIT_TEST_SUITE_END();

  /// If each replica loaded each version, three loads a second would be needed,
  /// but only two are possible. Each step must still find the slots of at least
  /// two replicas, and few texts may be aborted.
  void FewTextsAreAbortedIfVersionsOutpaceLoads() {
    const SimulationOutcome outcome = VersionSimulation(&PlanLoads).Run();
    CPPUNIT_ASSERT(outcome.mTexts > 1200);
    CPPUNIT_ASSERT(outcome.mAborted * 50 < outcome.mTexts);
    CPPUNIT_ASSERT(outcome.mMinSlots >= 2 * kSlots);
  }

  /// The same load without rotation aborts more texts, which shows that the
  /// load is demanding.
  void LoadingEachVersionOnItsReplicasAbortsMoreTexts() {
    const SimulationOutcome outcome = VersionSimulation(&LoadEachVersion).Run();
    CPPUNIT_ASSERT(outcome.mAborted * 50 >= outcome.mTexts);
  }

  /// The longest text starts on a slow replica. It moves once, and takes little
  /// more time than on a fast replica.
  void LongTextLeavesASlowReplica() {
    const auto [took, moves] = SimulateText(kEventMs * kSlowFactor, kEventMs);
    const auto fast = kMaxEvents * kEventMs;
    CPPUNIT_ASSERT_EQUAL(1, moves);
    CPPUNIT_ASSERT(took < fast * 115 / 100);
  }

  void TextStaysIfReplicasAreNoFaster() {
    CPPUNIT_ASSERT_EQUAL(0, SimulateText(kEventMs, kEventMs).second);
    CPPUNIT_ASSERT_EQUAL(0,
                         SimulateText(kEventMs, kEventMs * kSlowFactor).second);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutPatternTest);

}  // namespace rillwall
