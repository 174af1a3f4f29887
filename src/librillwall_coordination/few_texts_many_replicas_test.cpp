/// \file
/// Load test: steps of some hundred texts on thousands of replicas. The number
/// of weight loads must depend on the texts and not on the number of replicas.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "rillwall/load_plan.h"

namespace rillwall {

namespace {

constexpr int64_t kSlots = 6;

}  // namespace

class FewTextsManyReplicasTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FewTextsManyReplicasTest);
  CPPUNIT_TEST(LoadCountFollowsTextCount);
  CPPUNIT_TEST(LostReplicasAreReplaced);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<LoadCandidate> Candidates(size_t aReplicas) {
    std::vector<LoadCandidate> candidates;
    for (size_t i = 0; i < aReplicas; ++i) {
      LoadCandidate candidate;
      candidate.mId = "i-" + std::to_string(i);
      candidate.mVersions = {{"m", 1}, {"n", 1}};
      candidate.mSlots = kSlots;
      candidates.push_back(std::move(candidate));
    }
    return candidates;
  }

  // With six slots per replica, 192 texts take half of the slots of 64
  // replicas.
  void LoadCountFollowsTextCount() {
    const std::vector<LoadTarget> targets = {{"m", 2, 100, true, 0, 192},
                                             {"n", 2, 100, true, 0, 48}};
    for (const size_t replicas : {200, 1000, 10000}) {
      const std::vector<PlannedLoad> planned =
          PlanLoads(Candidates(replicas), targets, replicas);
      const auto ofM = std::count_if(
          planned.begin(), planned.end(),
          [](const PlannedLoad& aLoad) { return aLoad.mModel == "m"; });
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{64}, ofM);
      CPPUNIT_ASSERT_EQUAL(size_t{80}, planned.size());
    }
    // If replicas are few, all of them are used.
    CPPUNIT_ASSERT_EQUAL(size_t{12},
                         PlanLoads(Candidates(12), targets, 12).size());
  }

  void LostReplicasAreReplaced() {
    const std::vector<LoadTarget> targets = {{"m", 2, 100, true, 0, 192}};
    std::vector<LoadCandidate> candidates = Candidates(1000);
    for (size_t i = 0; i < 64; ++i) {
      candidates[i].mVersions = {{"m", 2}};
      candidates[i].mFailing = i < 10;
      candidates[i].mDraining = i >= 10 && i < 15;
    }
    CPPUNIT_ASSERT_EQUAL(
        size_t{15}, PlanLoads(std::move(candidates), targets, 1000).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FewTextsManyReplicasTest);

}  // namespace rillwall
