/// \file
/// Tests of the placement of plain requests by the current load of replicas,
/// one load pattern each.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

#include "rillwall/replica_pool.h"

namespace rillwall {

namespace {

constexpr Millis kNow{100000};
constexpr int64_t kSlots = 6;

std::string IdOf(int64_t aIndex) {
  return std::string(1, static_cast<char>('a' + aIndex));
}

std::vector<Replica> ReplicasOf(int64_t aCount) {
  std::vector<Replica> replicas;
  for (int64_t i = 0; i < aCount; ++i) {
    Replica replica;
    replica.mId = IdOf(i);
    replica.mService = "s";
    replica.mZone = "z";
    replica.mSlots = kSlots;
    replicas.push_back(replica);
  }
  return replicas;
}

ReplicaRequirements Requirements() {
  ReplicaRequirements requirements;
  requirements.mService = "s";
  requirements.mZone = "z";
  return requirements;
}

}  // namespace

class ReplicaPoolLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaPoolLoadTest);
  CPPUNIT_TEST(ChangingSlowReplicasAreAvoidedWhileSlow);
  CPPUNIT_TEST(SlowReplicasServeOnlyWhatFastOnesCannot);
  CPPUNIT_TEST(FastReplicaTakesMoreRequests);
  CPPUNIT_TEST(NoLoadInformation);
  CPPUNIT_TEST(ThreeFiguresUseObservedTimes);
  CPPUNIT_TEST(ReplicaWithoutUsableReportIsStillUsed);
  CPPUNIT_TEST(ManyHostsSpread);
  CPPUNIT_TEST(OwnRequestsSinceTheReportCount);
  CPPUNIT_TEST(FailingFastIsNotFree);
  CPPUNIT_TEST(FailedHealthCheckIsNotForEver);
  CPPUNIT_TEST(FullReplicaIsNotPaused);
  CPPUNIT_TEST(ZoneAndConnectionBreakTies);
  CPPUNIT_TEST(SwitchFollowsReports);
  CPPUNIT_TEST(WaitIsPartOfTheEstimate);
  CPPUNIT_TEST_SUITE_END();

  ReplicaPool mPool;

  void Report(int64_t aIndex, int64_t aRequests,
              std::optional<int64_t> aPercent, Millis aNow = kNow) {
    const int64_t running = std::min(aRequests, kSlots);
    mPool.ObserveLoad(IdOf(aIndex),
                      {running, aRequests - running, kSlots, aPercent}, aNow);
  }
  std::string Chosen(Millis aNow = kNow) const {
    return mPool.Choose(Requirements(), aNow).value_or("none");
  }
  /// Places requests that do not end.
  std::map<std::string, int> Place(int aCount, Millis aNow = kNow) {
    std::map<std::string, int> counts;
    for (int i = 0; i < aCount; ++i) {
      const std::string id = Chosen(aNow);
      mPool.Start(id);
      ++counts[id];
    }
    return counts;
  }

 public:
  /// One sixth of the replicas is slower by a factor of 2.5, and the set
  /// changes every 600 ms. Guards against using a percentage after the change.
  void ChangingSlowReplicasAreAvoidedWhileSlow() {
    mPool.Update(ReplicasOf(18), false);
    for (int64_t round = 0; round < 6; ++round) {
      const Millis now = kNow + Millis(600) * round;
      for (int64_t i = 0; i < 18; ++i) {
        Report(i, 1, i / 3 == round ? 250 : 100, now);
      }
      const auto slow = [round](const std::string& aId) {
        return (aId[0] - 'a') / 3 == round;
      };
      for (const Millis age : {Millis(0), Millis(150)}) {
        const std::string id = Chosen(now + age);
        CPPUNIT_ASSERT_MESSAGE(id, !slow(id));
      }
    }
    // The last set was slow; 600 ms later that is no longer held against it.
    const std::vector<ReplicaFigures> figures =
        mPool.Figures(Requirements(), kNow + Millis(600) * 6);
    const auto [least, most] = std::minmax_element(
        figures.begin(), figures.end(), [](const auto& aOne, const auto& aTwo) {
          return aOne.mPercent < aTwo.mPercent;
        });
    CPPUNIT_ASSERT(most->mPercent < least->mPercent * 1.15);
  }

  /// Two fifths of the replicas are slower by a factor of 5. Guards against
  /// filling their slots while fast replicas answer sooner even with a queue.
  void SlowReplicasServeOnlyWhatFastOnesCannot() {
    mPool.Update(ReplicasOf(5), false);
    for (int64_t i = 0; i < 5; ++i) {
      Report(i, 0, i < 2 ? 500 : 100);
    }
    std::map<std::string, int> counts = Place(45);
    CPPUNIT_ASSERT_EQUAL(0, counts["a"] + counts["b"]);
    CPPUNIT_ASSERT_EQUAL(15, counts["c"]);
    // With four times the work in their queues, the slow ones are the better.
    counts = Place(60);
    CPPUNIT_ASSERT(counts["a"] + counts["b"] > 0);
    CPPUNIT_ASSERT(counts["a"] + counts["b"] < counts["c"]);
  }

  /// Replicas are inherently unequal (0.55 and 1.2). Guards against equal
  /// shares, which let the slow ones' queues grow first.
  void FastReplicaTakesMoreRequests() {
    mPool.Update(ReplicasOf(4), false);
    for (int64_t i = 0; i < 4; ++i) {
      Report(i, kSlots, i == 0 ? 55 : 120);
    }
    std::map<std::string, int> counts = Place(40);
    CPPUNIT_ASSERT(counts["a"] >= 14);
    CPPUNIT_ASSERT(counts["b"] <= 9);
    // The mean remains known when the report is too old.
    const auto figures = mPool.Figures(Requirements(), kNow + Millis(5000));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(55, figures[0].mPercent, 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(120, figures[1].mPercent, 1);
  }

  /// Guards against refusing to choose, or estimating, without figures.
  void NoLoadInformation() {
    mPool.Update(ReplicasOf(3), false);
    CPPUNIT_ASSERT(!mPool.UsesCurrentLoad("s"));
    CPPUNIT_ASSERT(!mPool.EstimateAnswer(Requirements(), kNow));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, Place(3).size());
    Report(0, 3, 100);
    const Millis later = kNow + Millis(6000);
    CPPUNIT_ASSERT(mPool.UsesCurrentLoad("s"));
    CPPUNIT_ASSERT(!mPool.EstimateAnswer(Requirements(), later));
    CPPUNIT_ASSERT(Chosen(later) != "none");
  }

  /// Guards against ignoring slow replicas that send three figures.
  void ThreeFiguresUseObservedTimes() {
    mPool.Update(ReplicasOf(2), false);
    mPool.SetAdmission(true);
    for (int i = 0; i < 8; ++i) {
      for (int64_t replica = 0; replica < 2; ++replica) {
        Report(replica, 0, std::nullopt);
        mPool.ObserveAnswer(IdOf(replica), "r", Millis(replica == 0 ? 100 : 20),
                            false, kNow);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Chosen());
    const auto before = mPool.Figures(Requirements(), kNow);
    CPPUNIT_ASSERT(before[0].mPercent > 2 * before[1].mPercent);
    const auto after = mPool.Figures(Requirements(), kNow + Millis(2000));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, after[0].mPercent, 0.1);
  }

  /// Guards against preferring, or excluding, a replica that sends no usable
  /// report, and against a log line for each response.
  void ReplicaWithoutUsableReportIsStillUsed() {
    mPool.Update(ReplicasOf(2), false);
    Report(0, kSlots + 20, 100);
    Report(1, kSlots + 20, 100);
    CPPUNIT_ASSERT(mPool.DropLoad("b", kNow));
    CPPUNIT_ASSERT(!mPool.DropLoad("b", kNow + Millis(59999)));
    CPPUNIT_ASSERT(mPool.DropLoad("b", kNow + Millis(60000)));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Chosen());
    Report(0, 0, 100);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Chosen());
  }

  /// Many hosts choose at the same moment, with the same figures. Guards
  /// against all of them choosing the same replica.
  void ManyHostsSpread() {
    std::map<std::string, int> counts;
    for (size_t host = 0; host < 72; ++host) {
      mPool = ReplicaPool();
      mPool.SetTieBreakOffset(host);
      mPool.Update(ReplicasOf(18), false);
      for (int64_t i = 0; i < 18; ++i) {
        Report(i, 0, 100);
      }
      ++counts[Chosen()];
    }
    CPPUNIT_ASSERT_EQUAL(size_t{18}, counts.size());
    for (const auto& [id, count] : counts) {
      CPPUNIT_ASSERT_EQUAL(4, count);
    }
  }

  /// Guards against sending a burst to the replica that reported best.
  void OwnRequestsSinceTheReportCount() {
    mPool.Update(ReplicasOf(2), false);
    Report(0, 0, 100);
    Report(1, 1, 100);
    const std::map<std::string, int> counts = Place(11);
    CPPUNIT_ASSERT_EQUAL(6, counts.at("a"));
    const int64_t before =
        mPool.EstimateAnswer(Requirements(), kNow)->mFreeSlots;
    mPool.End("a", ReplicaOutcome::Abandoned, Millis(0), kNow);
    CPPUNIT_ASSERT_EQUAL(
        before + 1, mPool.EstimateAnswer(Requirements(), kNow)->mFreeSlots);
  }

  /// A replica that answers errors immediately has free slots and a low
  /// latency. Guards against sending it everything.
  void FailingFastIsNotFree() {
    mPool.Update(ReplicasOf(2), false);
    for (int i = 0; i < 3; ++i) {
      Report(0, 0, 100);
      Report(1, kSlots + 3, 100);
      mPool.ObserveAnswer("a", "r", Millis(1), true, kNow);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Chosen());
    const Millis later = kNow + Millis(5000);
    Report(0, 0, 100, later);
    Report(1, kSlots + 3, 100, later);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Chosen(later));
  }

  /// Guards against avoiding a replica for ever that fails its health check
  /// and serves requests.
  void FailedHealthCheckIsNotForEver() {
    mPool.Update(ReplicasOf(2), false);
    std::set<std::string> chosen;
    for (Millis now = kNow; now < kNow + Millis(2000); now += Millis(100)) {
      Report(0, 0, 55, now);
      Report(1, 0, 120, now);
      mPool.ObserveProbe("a", false, Millis(1), now);
      if (now == kNow) {
        CPPUNIT_ASSERT_EQUAL(std::string("b"), Chosen(now));
      }
      chosen.insert(Chosen(now));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, chosen.size());
    const Millis end = kNow + Millis(2000);
    mPool.ObserveAnswer("a", "r", Millis(20), false, end);
    mPool.ObserveProbe("a", false, Millis(1), end + Millis(5000));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Chosen(end + Millis(5000)));
  }

  /// Guards against long pauses after a surge: the figures of a replica that
  /// refused because it is full tell when it has room again.
  void FullReplicaIsNotPaused() {
    mPool.Update(ReplicasOf(2), false);
    Report(0, 30, 100);
    Report(1, 30, 100);
    for (int i = 0; i < 6; ++i) {
      mPool.Start("a");
      mPool.End("a", ReplicaOutcome::Refused, Millis(0), kNow);
    }
    Report(0, 0, 100, kNow + Millis(10));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Chosen(kNow + Millis(10)));
    // A replica that has room and refuses is paused.
    mPool.Start("a");
    mPool.End("a", ReplicaOutcome::Refused, Millis(0), kNow + Millis(10));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Chosen(kNow + Millis(10)));
  }

  /// Guards against traffic between zones, and new connections, without need.
  void ZoneAndConnectionBreakTies() {
    std::vector<Replica> replicas = ReplicasOf(3);
    replicas[0].mZone = "y";
    mPool.Update(replicas, false);
    for (int64_t i = 0; i < 3; ++i) {
      Report(i, 0, 100);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Chosen());
    ReplicaRequirements requirements = Requirements();
    requirements.mConnected = {"c"};
    CPPUNIT_ASSERT_EQUAL(std::string("c"), *mPool.Choose(requirements, kNow));
    Report(1, kSlots + 2, 100);
    Report(2, kSlots + 2, 100);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), *mPool.Choose(requirements, kNow));
  }

  /// Guards against a switch that stays on, or is lost by a registry snapshot.
  void SwitchFollowsReports() {
    mPool.Update(ReplicasOf(2), false);
    Report(0, 1, std::nullopt);
    CPPUNIT_ASSERT(!mPool.UsesCurrentLoad("s"));
    mPool.SetAdmission(true);
    CPPUNIT_ASSERT(mPool.UsesCurrentLoad("s"));
    mPool.SetAdmission(false);
    Report(1, 1, 100);
    mPool.Update(ReplicasOf(2), false);
    CPPUNIT_ASSERT(mPool.UsesCurrentLoad("s"));
    mPool.Update(ReplicasOf(1), false);
    CPPUNIT_ASSERT(!mPool.UsesCurrentLoad("s"));
    CPPUNIT_ASSERT(!mPool.UsesCurrentLoad("other"));
  }

  /// Guards against an estimate without the wait for a slot.
  void WaitIsPartOfTheEstimate() {
    mPool.Update(ReplicasOf(1), false);
    Report(0, 0, 100);
    mPool.ObserveAnswer("a", "r", Millis(24), false, kNow);
    ReplicaRequirements requirements = Requirements();
    requirements.mRoute = "r";
    const AnswerEstimate idle{Millis(24), Millis(0), Millis(0), kSlots};
    CPPUNIT_ASSERT(idle == *mPool.EstimateAnswer(requirements, kNow));
    Report(0, kSlots + 11, 200);
    const AnswerEstimate full{Millis(144), Millis(96), Millis(0), 0};
    CPPUNIT_ASSERT(full == *mPool.EstimateAnswer(requirements, kNow));
    CPPUNIT_ASSERT(!mPool.EstimateAnswer(requirements, kNow + Millis(1000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaPoolLoadTest);

}  // namespace rillwall
