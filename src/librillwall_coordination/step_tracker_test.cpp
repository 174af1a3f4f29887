/// \file
/// Tests of StepTracker: orders, deliveries, failures and takeovers.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/step.h"

namespace rillwall {

namespace {

constexpr Millis kStart{1000};

StepSpec SpecOf(std::vector<std::string> aPrompts) {
  return {{"letters", 7}, 8, 100, std::move(aPrompts), 1};
}

TrainerRule Rule() {
  TrainerRule rule;
  rule.mName = "letters";
  return rule;
}

GroupSummary Done(const GroupOrder& aOrder, int64_t aVersion = 5) {
  return {aOrder.mGroup, aOrder.mRunner, aOrder.mAttempt,
          aVersion,      Millis(0),      100};
}

Receipt ReceiptOf(const StepTracker& aTracker,
                  const std::vector<size_t>& aGroups) {
  Receipt receipt(aTracker.Spec().mId, aTracker.Spec().mPrompts.size());
  for (const size_t group : aGroups) {
    receipt.Add(group);
  }
  return receipt;
}

}  // namespace

class StepTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepTrackerTest);
  CPPUNIT_TEST(OrdersLongestFirstWithinCapacity);
  CPPUNIT_TEST(RespectsInFlightLimit);
  CPPUNIT_TEST(DeliversAndReleases);
  CPPUNIT_TEST(DropsStaleGroupAndRunsItAgain);
  CPPUNIT_TEST(CancelsRunsThatWouldBeStale);
  CPPUNIT_TEST(HedgesTheTailAndCancelsTheLoser);
  CPPUNIT_TEST(FailingRunnerIsBackedOff);
  CPPUNIT_TEST(LostRunnerRequeuesItsGroupsOnly);
  CPPUNIT_TEST(RebuildsFromInventories);
  CPPUNIT_TEST(CancelsAdoptedRunsThatNoInventoryNames);
  CPPUNIT_TEST(WaitsForReceiptAfterTakeover);
  CPPUNIT_TEST(DelaysGroupsThatWouldBeStale);
  CPPUNIT_TEST(HandedOverGroupStaysHeld);
  CPPUNIT_TEST(SilentTrainerGetsNoNewGroups);
  CPPUNIT_TEST_SUITE_END();

  void OrdersLongestFirstWithinCapacity() {
    StepTracker tracker(SpecOf({"a", "aaaa", "aa"}), Rule(), false, kStart);
    const StepActions actions = tracker.Tick({{"n1", 1}, {"n2", 1}}, 5, kStart);
    const std::vector<GroupOrder> expected = {{1, "n1", 1}, {2, "n2", 1}};
    CPPUNIT_ASSERT(actions.mRun == expected);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, tracker.Running());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, tracker.Waiting());
  }

  void RespectsInFlightLimit() {
    TrainerRule rule = Rule();
    rule.mMaxInFlight = 17;
    StepTracker tracker(SpecOf({"a", "b", "c", "d"}), rule, false, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         tracker.Tick({{"n1", 9}}, 5, kStart).mRun.size());
    CPPUNIT_ASSERT(tracker.Tick({{"n1", 9}}, 5, kStart).mRun.empty());
  }

  void DeliversAndReleases() {
    StepTracker tracker(SpecOf({"a", "b"}), Rule(), false, kStart);
    const auto run = tracker.Tick({{"n1", 2}}, 5, kStart).mRun;
    tracker.Finished(Done(run[1], 4), kStart);
    tracker.Finished(Done(run[0], 5), kStart);
    StepActions actions;
    PullPlan plan = tracker.Plan(ReceiptOf(tracker, {}), 5, 9, kStart, actions);
    CPPUNIT_ASSERT_EQUAL(run[1].mGroup, plan.mGroups[0].mGroup);
    CPPUNIT_ASSERT(!plan.mComplete);
    // If the response was lost, the same receipt yields the same groups.
    plan = tracker.Plan(ReceiptOf(tracker, {}), 5, 9, kStart, actions);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, plan.mGroups.size());
    CPPUNIT_ASSERT(actions.mRelease.empty());
    plan = tracker.Plan(ReceiptOf(tracker, {0, 1}), 5, 9, kStart, actions);
    CPPUNIT_ASSERT(plan.mComplete && plan.mGroups.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, actions.mRelease.size());
    // An older receipt: a group that was received is missing again.
    tracker.Plan(ReceiptOf(tracker, {0}), 5, 9, kStart, actions);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, tracker.Waiting());
  }

  void DropsStaleGroupAndRunsItAgain() {
    StepTracker tracker(SpecOf({"a"}), Rule(), false, kStart);
    const auto run = tracker.Tick({{"n1", 1}}, 5, kStart).mRun;
    tracker.Finished(Done(run[0], 5), kStart);
    StepActions actions;
    const PullPlan plan =
        tracker.Plan(ReceiptOf(tracker, {}), 7, 9, kStart, actions);
    CPPUNIT_ASSERT(plan.mGroups.empty());
    CPPUNIT_ASSERT(actions.mCancel == run);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, tracker.StaleDropped());
    const std::vector<GroupOrder> again = {{0, "n1", 2}};
    CPPUNIT_ASSERT(tracker.Tick({{"n1", 1}}, 7, kStart).mRun == again);
  }

  void CancelsRunsThatWouldBeStale() {
    StepTracker tracker(SpecOf({"a"}), Rule(), false, kStart);
    const auto run = tracker.Tick({{"n1", 1}}, 5, kStart).mRun;
    CPPUNIT_ASSERT(tracker.Tick({}, 6, kStart).mCancel.empty());
    const StepActions actions = tracker.Tick({{"n2", 1}}, 7, kStart);
    CPPUNIT_ASSERT(actions.mCancel == run);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions.mRun.size());
  }

  void HedgesTheTailAndCancelsTheLoser() {
    StepTracker tracker(SpecOf({"a", "b", "c", "d"}), Rule(), false, kStart);
    const auto run = tracker.Tick({{"n1", 4}}, 5, kStart).mRun;
    const Millis finish = kStart + Millis(1000);
    for (size_t each = 0; each < 3; ++each) {
      tracker.Finished(Done(run[each]), finish);
    }
    const std::vector<RunnerCapacity> capacities = {{"n1", 9}, {"n2", 1}};
    CPPUNIT_ASSERT(tracker.Tick(capacities, 5, finish).mRun.empty());
    const Millis late = kStart + Millis(3000);
    const auto hedge = tracker.Tick(capacities, 5, late).mRun;
    const std::vector<GroupOrder> expected = {{run[3].mGroup, "n2", 2}};
    CPPUNIT_ASSERT(hedge == expected);
    CPPUNIT_ASSERT(tracker.Tick(capacities, 5, late).mRun.empty());
    CPPUNIT_ASSERT(tracker.Finished(Done(hedge[0]), late).mCancel[0] == run[3]);
    // The other run finishes despite the cancellation; its samples are dropped.
    CPPUNIT_ASSERT(tracker.Finished(Done(run[3]), late).mCancel[0] == run[3]);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, tracker.Held());
  }

  void FailingRunnerIsBackedOff() {
    StepTracker tracker(SpecOf({"a", "b", "c"}), Rule(), false, kStart);
    const std::vector<RunnerCapacity> capacities = {{"n1", 3}};
    const auto run = tracker.Tick(capacities, 5, kStart).mRun;
    for (const GroupOrder& order : run) {
      tracker.Failed(order.mGroup, order.mRunner, order.mAttempt, kStart);
    }
    const StepActions paused =
        tracker.Tick(capacities, 5, kStart + Millis(200));
    CPPUNIT_ASSERT(paused.mRun.empty());
    CPPUNIT_ASSERT(paused.mCancel == run);
    const auto probe = tracker.Tick(capacities, 5, kStart + Millis(250)).mRun;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, probe.size());
    CPPUNIT_ASSERT(
        tracker.Tick(capacities, 5, kStart + Millis(900)).mRun.empty());
    tracker.Finished(Done(probe[0]), kStart + Millis(900));
    CPPUNIT_ASSERT_EQUAL(
        size_t{2},
        tracker.Tick(capacities, 5, kStart + Millis(900)).mRun.size());
  }

  void LostRunnerRequeuesItsGroupsOnly() {
    StepTracker tracker(SpecOf({"a", "b", "c", "d"}), Rule(), false, kStart);
    const auto run = tracker.Tick({{"n1", 2}, {"n2", 2}}, 5, kStart).mRun;
    tracker.Finished(Done(run[0]), kStart);
    tracker.RunnerLost(run[0].mRunner, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, tracker.Held());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, tracker.Waiting());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, tracker.Running());
  }

  void RebuildsFromInventories() {
    StepTracker tracker(SpecOf({"a", "b", "c"}), Rule(), true, kStart);
    const std::vector<RunnerCapacity> capacities = {{"n1", 9}};
    CPPUNIT_ASSERT(tracker.Tick(capacities, 5, kStart).mRun.empty());
    tracker.Inventory("n1", {Done({0, "", 4})}, {{1, "", 2}}, kStart);
    tracker.Inventory("n2", {Done({0, "", 3})}, {}, kStart);
    tracker.Rebuilt(kStart);
    StepActions actions;
    const PullPlan plan =
        tracker.Plan(ReceiptOf(tracker, {}), 5, 9, kStart, actions);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan.mGroups.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, plan.mGroups[0].mAttempt);
    actions = tracker.Tick(capacities, 5, kStart);
    const std::vector<GroupOrder> run = {{2, "n1", 1}};
    const std::vector<GroupOrder> cancel = {{0, "n2", 3}};
    CPPUNIT_ASSERT(actions.mRun == run);
    CPPUNIT_ASSERT(actions.mCancel == cancel);
  }

  void CancelsAdoptedRunsThatNoInventoryNames() {
    StepTracker tracker(SpecOf({"a"}), Rule(), true, kStart);
    tracker.Inventory("n1", {}, {{0, "", 1}}, kStart);
    tracker.Rebuilt(kStart);
    CPPUNIT_ASSERT(tracker.RunnersToAsk() == std::vector<std::string>{"n1"});
    const Millis asked = kStart + Millis(10000);
    tracker.Inventory("n1", {}, {{0, "", 1}}, asked);
    CPPUNIT_ASSERT(tracker.Tick({}, 5, asked + Millis(15000)).mCancel.empty());
    const Millis late = asked + Millis(15001);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, tracker.Tick({}, 5, late).mCancel.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, tracker.Waiting());
    CPPUNIT_ASSERT(tracker.RunnersToAsk().empty());
  }

  void WaitsForReceiptAfterTakeover() {
    StepTracker tracker(SpecOf({"a", "b"}), Rule(), true, kStart);
    const std::vector<RunnerCapacity> capacities = {{"n1", 9}};
    tracker.Rebuilt(kStart);
    CPPUNIT_ASSERT(tracker.Tick(capacities, 5, kStart).mRun.empty());
    StepActions actions;
    tracker.Plan(ReceiptOf(tracker, {1}), 5, 9, kStart, actions);
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         tracker.Tick(capacities, 5, kStart).mRun.size());
    StepTracker unpulled(SpecOf({"a", "b"}), Rule(), true, kStart);
    unpulled.Rebuilt(kStart);
    CPPUNIT_ASSERT_EQUAL(
        size_t{2},
        unpulled.Tick(capacities, 5, kStart + Millis(5000)).mRun.size());
  }

  void DelaysGroupsThatWouldBeStale() {
    TrainerRule rule = Rule();
    rule.mStaleness.mVersions = 0;
    StepTracker tracker(SpecOf({"a", "b"}), rule, false, kStart);
    const std::vector<RunnerCapacity> capacities = {{"n1", 1}};
    // New versions appear every 60 s; a group takes 30 s.
    tracker.Tick({}, 5, kStart);
    tracker.Tick({}, 6, kStart + Millis(60000));
    const Millis rise = kStart + Millis(120000);
    const auto run = tracker.Tick(capacities, 7, rise).mRun;
    tracker.Finished(Done(run[0], 7), rise + Millis(30000));
    CPPUNIT_ASSERT(
        tracker.Tick(capacities, 7, rise + Millis(40000)).mRun.empty());
    // The next version is overdue, so the group is ordered: the trainer may
    // need it to make that version.
    CPPUNIT_ASSERT_EQUAL(
        size_t{1},
        tracker.Tick(capacities, 7, rise + Millis(61000)).mRun.size());
  }

  void SilentTrainerGetsNoNewGroups() {
    StepTracker tracker(SpecOf({"a"}), Rule(), false, kStart);
    const Millis later = kStart + Millis(900000);
    CPPUNIT_ASSERT(tracker.Tick({{"n1", 1}}, 5, later).mRun.empty());
    StepActions actions;
    tracker.Plan(ReceiptOf(tracker, {}), 5, 9, later, actions);
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         tracker.Tick({{"n1", 1}}, 5, later).mRun.size());
  }

  void HandedOverGroupStaysHeld() {
    StepTracker tracker(SpecOf({"a"}), Rule(), false, kStart);
    const auto run = tracker.Tick({{"n1", 1}}, 5, kStart).mRun;
    tracker.Finished(Done(run[0]), kStart);
    tracker.Inventory("n2", {Done(run[0])}, {}, kStart);
    tracker.RunnerLost("n1", kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, tracker.Held());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepTrackerTest);

}  // namespace rillwall
