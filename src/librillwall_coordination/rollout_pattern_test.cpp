/// \file
/// Loads that bind, played in model time on the decisions that answer them: no
/// network, no clock, fixed figures.
///
/// The figures are those of a service as its users describe it: twelve replicas
/// of twelve slots, a third of them slower by 1.3; an event each 40 ms; three
/// trainers that each name a version in 4 s; a load that takes 1 s, two at
/// once.

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
constexpr int64_t kVersionEveryMs = 4000;
constexpr int64_t kLoadMs = 1000;
constexpr size_t kLoadsAtOnce = 2;
constexpr int64_t kEventMs = 40;
constexpr int64_t kLongestEvents = 187;
constexpr int kTextsOfAStep = 72;
constexpr double kSlowFactor = 1.3;
constexpr int64_t kDayMs = 60000;

/// One running text.
struct RunningText {
  size_t mReplica = 0;
  std::string mModel;
  int64_t mEndsAt = 0;
};

/// What a day of loads and texts came to.
struct DayOutcome {
  int mTexts = 0;
  int mCut = 0;           ///< ended by a load
  int mSlotsAtWorst = 0;  ///< of a model's usable replicas when it has a step
};

/// Twelve replicas under three trainers.
class VersionDay {
 public:
  using Plan = std::vector<PlannedLoad> (*)(std::vector<LoadCandidate>,
                                            const std::vector<LoadTarget>&,
                                            size_t);
  explicit VersionDay(Plan aPlan) : mPlan(aPlan) {
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

  DayOutcome Play() {
    mOutcome.mSlotsAtWorst = kReplicas * kSlots;
    for (mNow = 0; mNow < kDayMs; mNow += kTickMs) {
      EndTexts();
      EndLoads();
      for (size_t i = 0; i < mTargets.size(); ++i) {
        // The trainers are not in step with one another.
        if (mNow % kVersionEveryMs ==
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
    // Most are short, a twelfth as long as they may be.
    const auto draw = static_cast<int64_t>(mRandom() % 100);
    return draw < 8 ? kLongestEvents : 5 + draw / 4;
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
    mOutcome.mSlotsAtWorst = std::min(mOutcome.mSlotsAtWorst, slots);
    for (int i = 0; i < kTextsOfAStep; ++i) {
      Start(aTarget, LengthOf());
    }
  }
  /// Runs a text where its model has the most room, or not at all: what waits
  /// is short and of no interest here.
  void Start(const LoadTarget& aTarget, int64_t aEvents) {
    size_t best = mReplicas.size();
    for (size_t i = 0; i < mReplicas.size(); ++i) {
      const bool room = mReplicas[i].mInFlight < kSlots;
      if (room && Serves(mReplicas[i], aTarget) &&
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
    for (const PlannedLoad& pick : mPlan(mReplicas, mTargets, kLoadsAtOnce)) {
      const auto at = static_cast<size_t>(std::stoi(pick.mReplica.substr(1)));
      LoadCandidate& replica = mReplicas[at];
      replica.mLoading = ModelVersion{pick.mModel, pick.mVersion};
      mLoadEnds[at] = mNow + kLoadMs;
      std::erase_if(mTexts, [&](const RunningText& aText) {
        const bool cut = aText.mReplica == at && aText.mModel == pick.mModel;
        mOutcome.mCut += cut ? 1 : 0;
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
  DayOutcome mOutcome;
};

/// What PlanLoads answers: each replica belongs to one model and takes each of
/// its versions.
std::vector<PlannedLoad> LoadEachVersion(
    std::vector<LoadCandidate> aReplicas,
    const std::vector<LoadTarget>& aTargets, size_t aAtOnce) {
  size_t loading = 0;
  for (const LoadCandidate& replica : aReplicas) {
    loading += replica.mLoading ? 1 : 0;
  }
  std::vector<PlannedLoad> picks;
  for (size_t i = 0; i < aReplicas.size(); ++i) {
    const LoadTarget& target = aTargets[i % aTargets.size()];
    if (loading < aAtOnce && !aReplicas[i].mLoading &&
        aReplicas[i].VersionOf(target.mModel) < target.mVersion) {
      picks.push_back({aReplicas[i].mId, target.mModel, target.mVersion, true});
      ++loading;
    }
  }
  return picks;
}

/// A text on a replica, event by event, with the chance to move to another one
/// at each tenth event. \return {ms it took, moves}
std::pair<int64_t, int> PlayText(double aHere, double aThere) {
  std::array<ReplicaPace, 2> paces;
  std::array<double, 2> speeds = {aHere, aThere};
  size_t at = 0;
  int moves = 0;
  double now = 1000;
  // The other replica is known from the texts that it runs.
  paces[1].Observe(aThere, Millis(1000));
  for (int64_t events = 1; events <= kLongestEvents; ++events) {
    // Prompts that are read beside it delay each fourth event.
    const double hiccup = events % 4 == 0 ? 1.5 : 0.9;
    now += speeds[at] * hiccup;
    const Millis instant(static_cast<int64_t>(now));
    paces[at].Observe(speeds[at] * hiccup, instant);
    const TextMove move{events, 0, paces[at].At(instant),
                        paces[1 - at].At(instant)};
    if (events % 10 == 0 && MovePays(move)) {
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
  CPPUNIT_TEST(VersionsFasterThanLoads);
  CPPUNIT_TEST(OneReplicaForEachModelIsNotEnough);
  CPPUNIT_TEST(AThirdOfTheReplicasSlow);
  CPPUNIT_TEST(ReplicasAlikeMoveNothing);
  CPPUNIT_TEST_SUITE_END();

  /// Three loads a second are wanted if each replica takes each version, and
  /// two are possible. A step finds the slots of two replicas at the least, and
  /// hardly a text is cut.
  void VersionsFasterThanLoads() {
    const DayOutcome day = VersionDay(&PlanLoads).Play();
    CPPUNIT_ASSERT(day.mTexts > 1200);
    CPPUNIT_ASSERT(day.mCut * 50 < day.mTexts);
    CPPUNIT_ASSERT(day.mSlotsAtWorst >= 2 * kSlots);
  }

  /// The same load without the rotation: the pattern is hard.
  void OneReplicaForEachModelIsNotEnough() {
    const DayOutcome day = VersionDay(&LoadEachVersion).Play();
    CPPUNIT_ASSERT(day.mCut * 50 >= day.mTexts);
  }

  /// The longest text begins on a slow replica. It ends nearly as if it had
  /// begun on a fast one, and moves once.
  void AThirdOfTheReplicasSlow() {
    const auto [took, moves] = PlayText(kEventMs * kSlowFactor, kEventMs);
    const auto fast = kLongestEvents * kEventMs;
    CPPUNIT_ASSERT_EQUAL(1, moves);
    CPPUNIT_ASSERT(took < fast * 115 / 100);
  }

  void ReplicasAlikeMoveNothing() {
    CPPUNIT_ASSERT_EQUAL(0, PlayText(kEventMs, kEventMs).second);
    CPPUNIT_ASSERT_EQUAL(0, PlayText(kEventMs, kEventMs * kSlowFactor).second);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutPatternTest);

}  // namespace rillwall
