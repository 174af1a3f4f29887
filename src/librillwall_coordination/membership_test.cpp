/// \file
/// Tests of Membership on a simulated deterministic network.

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

#include "membership_test_network.h"
#include "membership_updates.h"

namespace rillwall {

namespace {

constexpr Millis kMaxSimulatedTime{600000};

}  // namespace

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(Join);
  CPPUNIT_TEST(DeathIsDetected);
  CPPUNIT_TEST(LossAndShortFreezesCauseNoFalseDeaths);
  CPPUNIT_TEST(BrokenLinkCausesNoSuspicion);
  CPPUNIT_TEST(MemberRejoinsAfterLongFreeze);
  CPPUNIT_TEST(FreezeDoesNotReviveRemovedMember);
  CPPUNIT_TEST(PartitionHeals);
  CPPUNIT_TEST(PartitionHealsWithoutSeeds);
  CPPUNIT_TEST(HealingCausesNoFalseDeaths);
  CPPUNIT_TEST(LeavingMemberHoldsNoDuty);
  CPPUNIT_TEST(FactReachesAllNodes);
  CPPUNIT_TEST(DatagramsAreBounded);
  CPPUNIT_TEST(AllConvergeAfterRandomFaults);
  CPPUNIT_TEST_SUITE_END();

  static TestNetwork Joined(size_t aCount, uint64_t aSeed) {
    TestNetwork net(aCount, GossipLimits{}, aSeed);
    net.RunUntil(kMaxSimulatedTime, [&] { return net.AllSee(aCount); });
    CPPUNIT_ASSERT(net.AllSee(aCount));
    return net;
  }

  static void Split(TestNetwork& aNet, size_t aCount, Millis aSpan) {
    for (size_t index = 0; index < aCount; ++index) {
      aNet.SetPartition(index, 1);
    }
    aNet.Run(aSpan);
    for (size_t index = 0; index < aCount; ++index) {
      aNet.SetPartition(index, 0);
    }
  }

  void Join() {
    const TestNetwork net = Joined(9, 1);
    CPPUNIT_ASSERT(net.Now() - TestNetwork::kStart < Millis(5000));
  }

  void DeathIsDetected() {
    TestNetwork net = Joined(9, 2);
    net.Crash(4);
    const Millis took =
        net.RunUntil(kMaxSimulatedTime, [&] { return net.AllSee(8); });
    CPPUNIT_ASSERT(took < Millis(10000));
    net.Run(GossipLimits{}.mDeadRetention + Millis(10000));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, net.At(0).All().size());
    net.Restart(4, 2);
    net.Run(Millis(10000));
    CPPUNIT_ASSERT(net.AllSee(9));
  }

  void LossAndShortFreezesCauseNoFalseDeaths() {
    TestNetwork net = Joined(9, 3);
    net.SetLoss(0.01);
    std::mt19937_64 random(3);
    for (int round = 0; round < 500; ++round) {
      net.Freeze(random() % 9, Millis(2000));
      net.Run(Millis(3000 + static_cast<int64_t>(random() % 2000)));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, net.FalseDeaths());
    CPPUNIT_ASSERT(net.AllSee(9));
  }

  void BrokenLinkCausesNoSuspicion() {
    TestNetwork net = Joined(9, 4);
    net.BreakLink(3, 7);
    net.Run(Millis(60000));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, net.At(3).Self().mIncarnation);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, net.At(7).Self().mIncarnation);
  }

  void MemberRejoinsAfterLongFreeze() {
    TestNetwork net = Joined(9, 5);
    net.Freeze(5, Millis(30000));
    net.Run(Millis(30000));
    CPPUNIT_ASSERT_EQUAL(size_t{8},
                         net.FalseDeaths());  // node 5, declared dead by each
    const Millis took =
        net.RunUntil(kMaxSimulatedTime, [&] { return net.AllSee(9); });
    CPPUNIT_ASSERT(took < Millis(10000));
    net.Run(Millis(30000));
    CPPUNIT_ASSERT_EQUAL(size_t{8},
                         net.FalseDeaths());  // it declares nobody dead
    CPPUNIT_ASSERT(net.At(5).Self().mIncarnation > 1);
  }

  void FreezeDoesNotReviveRemovedMember() {
    TestNetwork net = Joined(9, 6);
    net.Freeze(5, Millis(150000));
    net.Crash(4);
    net.Run(Millis(150000));
    size_t reported = 0;
    net.Watch([&](size_t aNode, const GossipActions& aActions) {
      for (const Member& member : aActions.mChangedMembers) {
        reported += aNode != 5 && member.mId == TestNetwork::Id(4) ? 1 : 0;
      }
    });
    net.Run(Millis(60000));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, reported);
    CPPUNIT_ASSERT(net.AllSee(8));
  }

  void PartitionHeals() {
    TestNetwork net = Joined(9, 7);
    // The second span is longer than the retention of dead members.
    for (const Millis span : {Millis(30000), Millis(150000)}) {
      Split(net, 4, span);
      CPPUNIT_ASSERT_EQUAL(size_t{4}, net.At(0).Live().size());
      CPPUNIT_ASSERT_EQUAL(size_t{5}, net.At(8).Live().size());
      const size_t deaths = net.FalseDeaths();
      net.RunUntil(Millis(30000), [&] { return net.AllSee(9); });
      CPPUNIT_ASSERT(net.AllSee(9));
      net.Run(Millis(15000));
      CPPUNIT_ASSERT_EQUAL(deaths, net.FalseDeaths());
    }
  }

  void PartitionHealsWithoutSeeds() {
    TestNetwork net = Joined(9, 8);
    for (size_t seed = 0; seed < 3; ++seed) {
      net.Crash(seed);
    }
    net.Run(Millis(20000));
    Split(net, 6, Millis(30000));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, net.At(8).Live().size());
    net.RunUntil(Millis(30000), [&] { return net.AllSee(6); });
    CPPUNIT_ASSERT(net.AllSee(6));
  }

  void HealingCausesNoFalseDeaths() {
    TestNetwork net = Joined(60, 12);
    Split(net, 30, Millis(30000));
    const size_t deaths = net.FalseDeaths();
    net.Run(Millis(30000));
    CPPUNIT_ASSERT(net.AllSee(60));
    CPPUNIT_ASSERT_EQUAL(deaths, net.FalseDeaths());
  }

  void LeavingMemberHoldsNoDuty() {
    TestNetwork net = Joined(9, 9);
    net.CarryOut(2, net.At(2).Leave(net.Now()));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, net.At(2).Live().size());
    const Millis took =
        net.RunUntil(kMaxSimulatedTime, [&] { return net.AllSee(8); });
    CPPUNIT_ASSERT(took < Millis(2000));
    net.Run(Millis(30000));
    CPPUNIT_ASSERT(net.At(0).All()[2].mState == MemberState::Leaving);
    net.Crash(2);
    net.Run(Millis(90000));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, net.At(0).All().size());
  }

  void FactReachesAllNodes() {
    TestNetwork net = Joined(100, 10);
    net.SetExchange(kMaxSimulatedTime);  // gossip only
    net.Run(Millis(30000));
    net.SetLoss(0.01);
    net.CarryOut(50,
                 net.At(50).SetFact({"version/letters", 7, "v7"}, net.Now()));
    const Millis took = net.RunUntil(kMaxSimulatedTime, [&] {
      return net.Count([](const Membership& aNode) {
        return aNode.FindFact("version/letters") != nullptr;
      }) == 100;
    });
    CPPUNIT_ASSERT(took < GossipLimits{}.mProbePeriod * 6);
  }

  void DatagramsAreBounded() {
    TestNetwork net = Joined(9, 11);
    size_t largest = 0;
    net.Watch([&](size_t, const GossipActions& aActions) {
      for (const GossipDatagram& datagram : aActions.mDatagrams) {
        largest = std::max(largest, UpdateBytes(datagram.mMessage));
      }
    });
    for (uint64_t fact = 1; fact <= 100; ++fact) {
      const std::string key = "leaving/engine-" + std::to_string(fact);
      net.CarryOut(0, net.At(0).SetFact({key, fact, "leaving"}, net.Now()));
    }
    net.Run(Millis(10000));
    CPPUNIT_ASSERT_EQUAL(size_t{100},
                         net.At(8).FactsWithPrefix("leaving/").size());
    CPPUNIT_ASSERT(largest > GossipLimits{}.mMaxUpdateBytes / 2);
    CPPUNIT_ASSERT(largest <= GossipLimits{}.mMaxUpdateBytes);
  }

  void AllConvergeAfterRandomFaults() {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      TestNetwork net = Joined(12, 100 + seed);
      std::mt19937_64 random(seed);
      net.SetLoss(0.1);
      for (uint64_t round = 1; round <= 20; ++round) {
        const size_t node = random() % 12;
        const Millis span(static_cast<int64_t>(random() % 20000));
        net.Freeze(random() % 12, span);
        net.SetPartition(random() % 12, static_cast<int>(random() % 2));
        net.Restart(random() % 12, round + 1);
        net.CarryOut(node,
                     net.At(node).SetFact({"key", random() % round, Id(round)},
                                          net.Now()));
        net.Run(Millis(5000));
      }
      for (size_t node = 0; node < 12; ++node) {
        net.SetPartition(node, 0);
      }
      net.SetLoss(0);
      net.Run(Millis(120000));
      CPPUNIT_ASSERT(net.AllSee(12));
      CPPUNIT_ASSERT_EQUAL(size_t{12}, net.Count([&](const Membership& aNode) {
        return aNode.Digest() == net.At(0).Digest() &&
               *aNode.FindFact("key") == *net.At(0).FindFact("key");
      }));
    }
  }

  static std::string Id(size_t aIndex) { return TestNetwork::Id(aIndex); }
  static size_t UpdateBytes(const GossipMessage& aMessage) {
    size_t bytes = 0;
    for (const Member& member : aMessage.mMembers) {
      bytes += EstimateBytes(member);
    }
    for (const Fact& fact : aMessage.mFacts) {
      bytes += EstimateBytes(fact);
    }
    return bytes;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace rillwall
