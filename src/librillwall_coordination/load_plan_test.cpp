/// \file
/// Tests of which replica loads which weights.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "rillwall/load_plan.h"

namespace rillwall {

namespace {

constexpr int64_t kSlots = 4;

LoadCandidate ReplicaOf(int aNumber, int64_t aFirst, int64_t aSecond = 0) {
  LoadCandidate replica;
  replica.mId = "r" + std::to_string(aNumber);
  replica.mVersions = {{"m", aFirst}};
  if (aSecond > 0) {
    replica.mVersions.push_back({"n", aSecond});
  }
  replica.mSlots = kSlots;
  return replica;
}

std::vector<LoadCandidate> Replicas(int aCount, int64_t aFirst,
                                    int64_t aSecond = 0) {
  std::vector<LoadCandidate> replicas;
  for (int i = 0; i < aCount; ++i) {
    replicas.push_back(ReplicaOf(i, aFirst, aSecond));
  }
  return replicas;
}

/// Carries a pick out at once.
void Carry(std::vector<LoadCandidate>& aReplicas, const PlannedLoad& aPick) {
  for (LoadCandidate& replica : aReplicas) {
    for (ModelVersion& version : replica.mVersions) {
      if (replica.mId == aPick.mReplica && version.mModel == aPick.mModel) {
        version.mVersion = aPick.mVersion;
      }
    }
  }
}

/// Plans and carries out, one load at a time, until nothing is left to load.
/// \return the loads in their order
std::vector<PlannedLoad> CarryAll(std::vector<LoadCandidate>& aReplicas,
                                  const std::vector<LoadTarget>& aTargets) {
  std::vector<PlannedLoad> all;
  while (true) {
    const std::vector<PlannedLoad> picks = PlanLoads(aReplicas, aTargets, 1);
    if (picks.empty()) {
      return all;
    }
    Carry(aReplicas, picks[0]);
    all.push_back(picks[0]);
  }
}

std::map<std::string, int> CountByModel(
    const std::vector<PlannedLoad>& aPicks) {
  std::map<std::string, int> counts;
  for (const PlannedLoad& pick : aPicks) {
    ++counts[pick.mModel];
  }
  return counts;
}

}  // namespace

class LoadPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadPlanTest);
  CPPUNIT_TEST(NothingToDoWithoutATarget);
  CPPUNIT_TEST(UselessWeightsGoFirst);
  CPPUNIT_TEST(KeepsToTheLimit);
  CPPUNIT_TEST(BusyReplicaWaitsForRoom);
  CPPUNIT_TEST(UselessOneDoesNotWaitForRoom);
  CPPUNIT_TEST(DrainingIsLeftAlone);
  CPPUNIT_TEST(FailingOneComesLast);
  CPPUNIT_TEST(IdleOfTheModelIsLoadedBeforeItsRunners);
  CPPUNIT_TEST(HalfOfThoseThatServeAreRenewed);
  CPPUNIT_TEST(LoadsUnderWayCount);
  CPPUNIT_TEST(SharesFollowDemand);
  CPPUNIT_TEST(BothModelsGetTheirTurn);
  CPPUNIT_TEST(FastOnesTakeMoreModels);
  CPPUNIT_TEST(SuccessiveVersionsRotate);
  CPPUNIT_TEST(SomeServeWhenTheNextVersionIsNamed);
  CPPUNIT_TEST(StepsThatTakeTheNewestOnlyNeedAll);
  CPPUNIT_TEST(StepsThatTakeOldWeightsNeedFewLoads);
  CPPUNIT_TEST(LagIsLearntFromSteps);
  CPPUNIT_TEST(OneEarlyStepDoesNotNarrowTheLag);
  CPPUNIT_TEST(StepOfATrainerThatIsAheadDoesNotWidenTheLag);
  CPPUNIT_TEST_SUITE_END();

  void NothingToDoWithoutATarget() {
    CPPUNIT_ASSERT(PlanLoads(Replicas(3, 1), {}, 2).empty());
    CPPUNIT_ASSERT(PlanLoads({}, {{"m", 2, 1, true}}, 2).empty());
    CPPUNIT_ASSERT(PlanLoads(Replicas(3, 2), {{"m", 2, 1, true}}, 2).empty());
  }

  void UselessWeightsGoFirst() {
    std::vector<LoadCandidate> replicas = Replicas(3, 4);
    replicas[2].mVersions = {{"m", 3}};
    const auto picks = PlanLoads(replicas, {{"m", 5, 1, true}}, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, picks.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r2"), picks[0].mReplica);
    CPPUNIT_ASSERT_EQUAL(int64_t{5}, picks[0].mVersion);
  }

  void KeepsToTheLimit() {
    std::vector<LoadCandidate> replicas = Replicas(5, 1);
    const std::vector<LoadTarget> targets = {{"m", 5, 1, true}};
    CPPUNIT_ASSERT_EQUAL(size_t{2}, PlanLoads(replicas, targets, 2).size());
    replicas[0].mLoading = ModelVersion{"m", 5};
    CPPUNIT_ASSERT_EQUAL(size_t{1}, PlanLoads(replicas, targets, 2).size());
    replicas[1].mLoading = ModelVersion{"m", 5};
    CPPUNIT_ASSERT(PlanLoads(replicas, targets, 2).empty());
  }

  void BusyReplicaWaitsForRoom() {
    std::vector<LoadCandidate> replicas = Replicas(2, 4);
    for (LoadCandidate& replica : replicas) {
      replica.mInFlight = kSlots;
      replica.mRuns["m"] = kSlots;
    }
    CPPUNIT_ASSERT(PlanLoads(replicas, {{"m", 5, 1, true}}, 1).empty());
    replicas[0].mInFlight = 1;
    replicas[0].mRuns["m"] = 1;
    replicas[1].mInFlight = kSlots - 1;
    replicas[1].mRuns["m"] = kSlots - 1;
    const auto picks = PlanLoads(replicas, {{"m", 5, 1, true}}, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("r0"), picks.at(0).mReplica);
  }

  void UselessOneDoesNotWaitForRoom() {
    std::vector<LoadCandidate> replicas = Replicas(2, 3);
    for (LoadCandidate& replica : replicas) {
      replica.mInFlight = kSlots;
      replica.mRuns["m"] = kSlots;
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         PlanLoads(replicas, {{"m", 5, 1, true}}, 1).size());
  }

  void DrainingIsLeftAlone() {
    std::vector<LoadCandidate> replicas = Replicas(1, 3);
    replicas[0].mDraining = true;
    CPPUNIT_ASSERT(PlanLoads(replicas, {{"m", 5, 1, true}}, 1).empty());
  }

  void FailingOneComesLast() {
    std::vector<LoadCandidate> replicas = Replicas(2, 3);
    replicas[0].mFailing = true;
    const std::vector<PlannedLoad> picks =
        PlanLoads(replicas, {{"m", 5, 1, true}}, 2);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), picks.at(0).mReplica);
  }

  void IdleOfTheModelIsLoadedBeforeItsRunners() {
    std::vector<LoadCandidate> replicas = Replicas(3, 3, 9);
    replicas[0].mRuns["m"] = 1;
    replicas[0].mInFlight = 1;
    // Runs of other models are not touched by a load.
    replicas[1].mRuns["n"] = 3;
    replicas[1].mInFlight = 3;
    replicas[2].mRuns["m"] = 2;
    replicas[2].mInFlight = 2;
    const std::vector<PlannedLoad> picks =
        PlanLoads(replicas, {{"m", 5, 1, true}}, 3);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), picks.at(0).mReplica);
    CPPUNIT_ASSERT_EQUAL(std::string("r0"), picks.at(1).mReplica);
    CPPUNIT_ASSERT_EQUAL(std::string("r2"), picks.at(2).mReplica);
  }

  void HalfOfThoseThatServeAreRenewed() {
    std::vector<LoadCandidate> replicas = Replicas(8, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{4},
                         CarryAll(replicas, {{"m", 2, 1, true}}).size());
    // Named again, the others are of no use and follow.
    CPPUNIT_ASSERT_EQUAL(size_t{4},
                         CarryAll(replicas, {{"m", 3, 1, true}}).size());
  }

  void LoadsUnderWayCount() {
    std::vector<LoadCandidate> replicas = Replicas(2, 1);
    replicas[0].mLoading = ModelVersion{"m", 2};
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, replicas[0].VersionOf("m"));
    CPPUNIT_ASSERT(PlanLoads(replicas, {{"m", 2, 1, true}}, 2).empty());
  }

  void SharesFollowDemand() {
    std::vector<LoadCandidate> replicas = Replicas(8, 1, 1);
    const auto loads =
        CarryAll(replicas, {{"m", 9, 300, true}, {"n", 9, 100, true}});
    CPPUNIT_ASSERT_EQUAL(6, CountByModel(loads)["m"]);
    CPPUNIT_ASSERT_EQUAL(2, CountByModel(loads)["n"]);
  }

  void BothModelsGetTheirTurn() {
    std::vector<LoadCandidate> replicas = Replicas(8, 1, 1);
    const std::vector<PlannedLoad> loads =
        CarryAll(replicas, {{"m", 9, 1, true}, {"n", 9, 1, true}});
    CPPUNIT_ASSERT(loads.at(0).mModel != loads.at(1).mModel);
    CPPUNIT_ASSERT_EQUAL(4, CountByModel(loads)["m"]);
    CPPUNIT_ASSERT_EQUAL(4, CountByModel(loads)["n"]);
  }

  void FastOnesTakeMoreModels() {
    // A third slower, as a part of a service's hardware often is.
    std::vector<LoadCandidate> replicas = Replicas(4, 1, 1);
    replicas[0].mPace = 1.3;
    replicas[1].mPace = 1.3;
    const std::vector<PlannedLoad> loads =
        CarryAll(replicas, {{"m", 9, 1, true}, {"n", 9, 1, true}});
    CPPUNIT_ASSERT_EQUAL(size_t{4}, loads.size());
    for (const PlannedLoad& pick : loads) {
      CPPUNIT_ASSERT(pick.mReplica == "r2" || pick.mReplica == "r3");
    }
  }

  void SuccessiveVersionsRotate() {
    // Two models on eight replicas: four loads of each version, so the second
    // one goes to the four that the first left out.
    std::vector<LoadCandidate> replicas = Replicas(8, 1, 9);
    std::vector<LoadTarget> targets = {{"m", 5, 1, true}, {"n", 9, 1, true}};
    std::set<std::string> first;
    for (const PlannedLoad& pick : CarryAll(replicas, targets)) {
      first.insert(pick.mReplica);
    }
    targets[0].mVersion = 6;
    const std::vector<PlannedLoad> second = CarryAll(replicas, targets);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, first.size());
    CPPUNIT_ASSERT_EQUAL(size_t{4}, second.size());
    for (const PlannedLoad& pick : second) {
      CPPUNIT_ASSERT(!first.contains(pick.mReplica));
    }
  }

  void StepsThatTakeTheNewestOnlyNeedAll() {
    std::vector<LoadCandidate> replicas = Replicas(8, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{8},
                         CarryAll(replicas, {{"m", 2, 1, true, 0}}).size());
  }

  void StepsThatTakeOldWeightsNeedFewLoads() {
    std::vector<LoadCandidate> replicas = Replicas(9, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{3},
                         CarryAll(replicas, {{"m", 2, 1, true, 2}}).size());
  }

  void LagIsLearntFromSteps() {
    AllowedLag lag;
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, lag.Versions());
    lag.Observe(7, 7);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, lag.Versions());
    lag.Observe(8, 8);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, lag.Versions());
  }

  void OneEarlyStepDoesNotNarrowTheLag() {
    AllowedLag lag;
    lag.Observe(5, 4);
    lag.Observe(5, 5);
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, lag.Versions());
    lag.Observe(0, 4);  // nothing is known here yet
    lag.Observe(0, 5);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, lag.Versions());
  }

  void StepOfATrainerThatIsAheadDoesNotWidenTheLag() {
    AllowedLag lag;
    lag.Observe(5, 4);
    for (int64_t named = 7; named < 10; ++named) {
      lag.Observe(named, named - 2);
    }
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, lag.Versions());
    lag.Observe(10, 8);
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, lag.Versions());
  }

  void SomeServeWhenTheNextVersionIsNamed() {
    std::vector<LoadCandidate> replicas = Replicas(6, 1, 1);
    for (int64_t version = 2; version < 12; ++version) {
      const std::vector<LoadTarget> targets = {{"m", version, 2, true},
                                               {"n", version, 1, true}};
      CarryAll(replicas, targets);
      for (const LoadTarget& target : targets) {
        const auto newest =
            std::count_if(replicas.begin(), replicas.end(),
                          [&](const LoadCandidate& aReplica) {
                            return aReplica.VersionOf(target.mModel) == version;
                          });
        CPPUNIT_ASSERT(newest >= 1);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPlanTest);

}  // namespace rillwall
