/// \file
/// Tests of the selection of replicas to probe.

#include "rillwall/probe_plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace rillwall {

class ProbePlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProbePlanTest);
  CPPUNIT_TEST(BestReplicasAndARandomOne);
  CPPUNIT_TEST(OnlyOpenConnectionsAreUsed);
  CPPUNIT_TEST(FreshFiguresAreNotAskedFor);
  CPPUNIT_TEST(ReadyNeedsASlotAndUsualSpeed);
  CPPUNIT_TEST_SUITE_END();

  /// \return replicas in order of their expected time, with old figures
  static std::vector<ReplicaFigures> FiguresOf(size_t aCount) {
    std::vector<ReplicaFigures> all(aCount);
    for (size_t i = 0; i < aCount; ++i) {
      all[i].mReport = ReplicaLoad{0, 0, 6, 100};
      all[i].mAge = Millis(6000);
      all[i].mPercent = 100;
      all[i].mExpected.mWorkMs = static_cast<double>(20 + i);
      all[i].mConnected = true;
    }
    return all;
  }

 public:
  /// Guards against probing all, and against all hosts probing the same ones.
  void BestReplicasAndARandomOne() {
    std::set<size_t> third;
    for (uint64_t seed = 0; seed < 64; ++seed) {
      const std::vector<size_t> plan = PlanProbes(FiguresOf(18), seed);
      CPPUNIT_ASSERT_EQUAL(kMaxProbes, plan.size());
      CPPUNIT_ASSERT_EQUAL(size_t{0}, plan[0]);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, plan[1]);
      CPPUNIT_ASSERT(plan[2] >= 2 && plan[2] < 18);
      third.insert(plan[2]);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{16}, third.size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, PlanProbes(FiguresOf(2), 7).size());
    CPPUNIT_ASSERT(PlanProbes(FiguresOf(1), 7).empty());
  }

  /// Guards against opening connections for probes, and against probes to
  /// replicas that are avoided.
  void OnlyOpenConnectionsAreUsed() {
    std::vector<ReplicaFigures> all = FiguresOf(6);
    for (ReplicaFigures& figures : all) {
      figures.mConnected = false;
    }
    CPPUNIT_ASSERT(PlanProbes(all, 1).empty());
    all[3].mConnected = true;
    all[4].mConnected = true;
    all[4].mPaused = true;
    CPPUNIT_ASSERT(PlanProbes(all, 1) == std::vector<size_t>{3});
  }

  /// Guards against probes while a replica is known to be ready, and against
  /// more probes than replicas are compared.
  void FreshFiguresAreNotAskedFor() {
    std::vector<ReplicaFigures> all = FiguresOf(6);
    all[5].mAge = kFreshAge;
    CPPUNIT_ASSERT(PlanProbes(all, 1).empty());
    all[5].mPercent = 250;
    const std::vector<size_t> plan = PlanProbes(all, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, plan.size());
    CPPUNIT_ASSERT(std::find(plan.begin(), plan.end(), 5) == plan.end());
  }

  /// Guards against ending the comparison at a busy or slow replica.
  void ReadyNeedsASlotAndUsualSpeed() {
    ReplicaFigures figures = FiguresOf(1)[0];
    CPPUNIT_ASSERT(IsReady(figures));
    figures.mPercent = 137;
    CPPUNIT_ASSERT(!IsReady(figures));
    figures.mPercent = 55;
    figures.mReport->mRunning = 6;
    CPPUNIT_ASSERT(!IsReady(figures));
    figures.mReport.reset();
    CPPUNIT_ASSERT(!IsReady(figures));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProbePlanTest);

}  // namespace rillwall
