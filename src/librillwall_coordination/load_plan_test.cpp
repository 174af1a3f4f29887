/// \file
/// Tests of which replica loads which weights.

#include <cppunit/extensions/HelperMacros.h>

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
void Carry(std::vector<LoadCandidate>& aReplicas, const LoadPick& aPick) {
  for (LoadCandidate& replica : aReplicas) {
    for (ModelVersion& version : replica.mVersions) {
      if (replica.mId == aPick.mReplica && version.mModel == aPick.mModel) {
        version.mVersion = aPick.mVersion;
      }
    }
  }
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
  CPPUNIT_TEST(ModelsShareTheReplicas);
  CPPUNIT_TEST(SharesFollowDemand);
  CPPUNIT_TEST(BothModelsGetTheirTurn);
  CPPUNIT_TEST(AssignmentsStay);
  CPPUNIT_TEST(DemandMovesReplicasSlowly);
  CPPUNIT_TEST(NewReplicaGoesWhereOneIsMissing);
  CPPUNIT_TEST_SUITE_END();

  LoadPlan mPlan;

  void NothingToDoWithoutATarget() {
    CPPUNIT_ASSERT(mPlan.Next(Replicas(3, 1), {}, 2).empty());
    CPPUNIT_ASSERT(mPlan.Next({}, {{"m", 2, 1, true}}, 2).empty());
    CPPUNIT_ASSERT(mPlan.Next(Replicas(3, 2), {{"m", 2, 1, true}}, 2).empty());
  }

  void UselessWeightsGoFirst() {
    std::vector<LoadCandidate> replicas = Replicas(3, 4);
    replicas[2].mVersions = {{"m", 3}};
    const auto picks = mPlan.Next(replicas, {{"m", 5, 1, true}}, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, picks.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r2"), picks[0].mReplica);
    CPPUNIT_ASSERT_EQUAL(int64_t{5}, picks[0].mVersion);
  }

  void KeepsToTheLimit() {
    std::vector<LoadCandidate> replicas = Replicas(5, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         mPlan.Next(replicas, {{"m", 5, 1, true}}, 2).size());
    replicas[0].mLoading = true;
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         mPlan.Next(replicas, {{"m", 5, 1, true}}, 2).size());
    replicas[1].mLoading = true;
    CPPUNIT_ASSERT(mPlan.Next(replicas, {{"m", 5, 1, true}}, 2).empty());
  }

  void BusyReplicaWaitsForRoom() {
    std::vector<LoadCandidate> replicas = Replicas(2, 4);
    replicas[0].mInFlight = kSlots;
    replicas[1].mInFlight = kSlots;
    CPPUNIT_ASSERT(mPlan.Next(replicas, {{"m", 5, 1, true}}, 1).empty());
    replicas[0].mInFlight = 1;
    replicas[1].mInFlight = kSlots - 1;
    const auto picks = mPlan.Next(replicas, {{"m", 5, 1, true}}, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("r0"), picks.at(0).mReplica);
  }

  void UselessOneDoesNotWaitForRoom() {
    std::vector<LoadCandidate> replicas = Replicas(2, 3);
    replicas[0].mInFlight = kSlots;
    replicas[1].mInFlight = kSlots;
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         mPlan.Next(replicas, {{"m", 5, 1, true}}, 1).size());
  }

  void DrainingIsLeftAlone() {
    std::vector<LoadCandidate> replicas = Replicas(1, 3);
    replicas[0].mDraining = true;
    CPPUNIT_ASSERT(mPlan.Next(replicas, {{"m", 5, 1, true}}, 1).empty());
  }

  std::map<std::string, int> CountAssigned(
      const std::vector<LoadCandidate>& aReplicas) const {
    std::map<std::string, int> counts;
    for (const LoadCandidate& replica : aReplicas) {
      ++counts[mPlan.AssignedTo(replica.mId)];
    }
    return counts;
  }

  void ModelsShareTheReplicas() {
    const std::vector<LoadCandidate> replicas = Replicas(8, 1, 1);
    mPlan.Next(replicas, {{"m", 2, 0, true}, {"n", 2, 0, true}}, 1);
    CPPUNIT_ASSERT_EQUAL(4, CountAssigned(replicas)["m"]);
    CPPUNIT_ASSERT_EQUAL(4, CountAssigned(replicas)["n"]);
  }

  void SharesFollowDemand() {
    const std::vector<LoadCandidate> replicas = Replicas(8, 1, 1);
    mPlan.Next(replicas, {{"m", 2, 300, true}, {"n", 2, 100, true}}, 1);
    CPPUNIT_ASSERT_EQUAL(6, CountAssigned(replicas)["m"]);
    CPPUNIT_ASSERT_EQUAL(2, CountAssigned(replicas)["n"]);
  }

  void BothModelsGetTheirTurn() {
    std::vector<LoadCandidate> replicas = Replicas(8, 1, 1);
    const std::vector<LoadTarget> targets = {{"m", 9, 1, true},
                                             {"n", 9, 1, true}};
    std::set<std::string> models;
    for (int i = 0; i < 2; ++i) {
      for (const LoadPick& pick : mPlan.Next(replicas, targets, 1)) {
        models.insert(pick.mModel);
        Carry(replicas, pick);
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, models.size());
  }

  void AssignmentsStay() {
    std::vector<LoadCandidate> replicas = Replicas(8, 1, 1);
    const std::vector<LoadTarget> targets = {{"m", 2, 110, true},
                                             {"n", 2, 100, true}};
    mPlan.Next(replicas, targets, 1);
    const std::string before = mPlan.AssignedTo("r3");
    std::swap(replicas[0], replicas[7]);
    mPlan.Next(replicas, {{"m", 3, 100, true}, {"n", 3, 110, true}}, 1);
    CPPUNIT_ASSERT_EQUAL(before, mPlan.AssignedTo("r3"));
  }

  void DemandMovesReplicasSlowly() {
    const std::vector<LoadCandidate> replicas = Replicas(8, 1, 1);
    mPlan.Next(replicas, {{"m", 2, 1, true}, {"n", 2, 1, true}}, 1);
    const std::vector<LoadTarget> targets = {{"m", 2, 3, true},
                                             {"n", 2, 1, true}};
    mPlan.Next(replicas, targets, 1);
    CPPUNIT_ASSERT_EQUAL(5, CountAssigned(replicas)["m"]);
    mPlan.Next(replicas, targets, 1);
    mPlan.Next(replicas, targets, 1);
    CPPUNIT_ASSERT_EQUAL(6, CountAssigned(replicas)["m"]);
  }

  void NewReplicaGoesWhereOneIsMissing() {
    std::vector<LoadCandidate> replicas = Replicas(4, 1, 1);
    const std::vector<LoadTarget> targets = {{"m", 2, 1, true},
                                             {"n", 2, 1, true}};
    mPlan.Next(replicas, targets, 1);
    const std::string model = mPlan.AssignedTo("r0");
    replicas.erase(replicas.begin());
    replicas.push_back(ReplicaOf(9, 1, 1));
    mPlan.Next(replicas, targets, 1);
    CPPUNIT_ASSERT_EQUAL(model, mPlan.AssignedTo("r9"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPlanTest);

}  // namespace rillwall
