/// \file
/// Tests of the membership on a deterministic network.

#include <cppunit/extensions/HelperMacros.h>

#include "membership_test_network.h"

namespace rillwall {

namespace {

constexpr Millis kNeverHeld{600000};

size_t CountNodes(TestNetwork& aNet,
                  const std::function<bool(const Membership&)>& aCondition) {
  size_t count = 0;
  for (size_t index = 0; index < aNet.Size(); ++index) {
    count += aCondition(aNet.At(index)) ? 1 : 0;
  }
  return count;
}

}  // namespace

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(Join);
  CPPUNIT_TEST(DeathIsDetected);
  CPPUNIT_TEST(LossAndShortFreezesKillNobody);
  CPPUNIT_TEST(LongFreezeIsOutlived);
  CPPUNIT_TEST(PartitionHeals);
  CPPUNIT_TEST(LeavingHoldsNoDuty);
  CPPUNIT_TEST(FactSpreads);
  CPPUNIT_TEST_SUITE_END();

  static TestNetwork Joined(size_t aCount, uint64_t aSeed) {
    TestNetwork net(aCount, GossipLimits{}, aSeed);
    const Millis took =
        net.RunUntil(kNeverHeld, [&] { return net.AllSee(aCount); });
    CPPUNIT_ASSERT(took < kNeverHeld);
    return net;
  }

  void Join() {
    TestNetwork net = Joined(9, 1);
    CPPUNIT_ASSERT(net.Now() < Millis(100000 + 5000));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, net.FalseDeaths());
  }

  void DeathIsDetected() {
    TestNetwork net = Joined(9, 2);
    net.Crash(4);
    const Millis took = net.RunUntil(kNeverHeld, [&] { return net.AllSee(8); });
    CPPUNIT_ASSERT(took < Millis(10000));
    net.Run(GossipLimits{}.mForgetDead + Millis(10000));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, net.At(0).All().size());
    net.Restart(4, 2);
    net.Run(Millis(10000));
    CPPUNIT_ASSERT(net.AllSee(9));
  }

  void LossAndShortFreezesKillNobody() {
    TestNetwork net = Joined(9, 3);
    net.SetLoss(0.01);
    std::mt19937_64 random(3);
    for (int round = 0; round < 100; ++round) {
      net.Freeze(random() % 9, Millis(2000));
      net.Run(Millis(4000 + static_cast<int64_t>(random() % 2000)));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, net.FalseDeaths());
    CPPUNIT_ASSERT(net.AllSee(9));
  }

  void LongFreezeIsOutlived() {
    TestNetwork net = Joined(9, 4);
    net.Freeze(5, Millis(30000));
    net.Run(Millis(29000));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, net.At(0).Live().size());
    CPPUNIT_ASSERT_EQUAL(size_t{8}, net.FalseDeaths());  // of it, by each
    net.Run(Millis(1000));
    const Millis took = net.RunUntil(kNeverHeld, [&] { return net.AllSee(9); });
    CPPUNIT_ASSERT(took < Millis(10000));
    net.Run(Millis(30000));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, net.FalseDeaths());  // it kills nobody
    CPPUNIT_ASSERT(net.At(5).Self().mIncarnation > 1);
  }

  void PartitionHeals() {
    TestNetwork net = Joined(9, 5);
    for (const Millis span : {Millis(30000), Millis(150000)}) {
      for (size_t index = 0; index < 4; ++index) {
        net.SetSide(index, 1);  // with all seeds
      }
      net.Run(span);
      CPPUNIT_ASSERT_EQUAL(size_t{4}, net.At(0).Live().size());
      CPPUNIT_ASSERT_EQUAL(size_t{5}, net.At(8).Live().size());
      for (size_t index = 0; index < 4; ++index) {
        net.SetSide(index, 0);
      }
      const Millis took =
          net.RunUntil(kNeverHeld, [&] { return net.AllSee(9); });
      CPPUNIT_ASSERT(took < Millis(30000));
    }
  }

  void LeavingHoldsNoDuty() {
    TestNetwork net = Joined(9, 6);
    net.Carry(2, net.At(2).Leave(net.Now()));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, net.At(2).Live().size());
    const Millis took = net.RunUntil(kNeverHeld, [&] { return net.AllSee(8); });
    CPPUNIT_ASSERT(took < Millis(2000));
    CPPUNIT_ASSERT_EQUAL(size_t{9}, net.At(0).All().size());
    net.Crash(2);
    net.Run(Millis(90000));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, net.At(0).All().size());
  }

  void FactSpreads() {
    TestNetwork net = Joined(100, 7);
    net.SetExchange(Millis(1000000));  // by news alone
    net.Run(Millis(30000));
    net.Carry(50, net.At(50).SetFact({"version/letters", 7, "v7"}, net.Now()));
    const Millis took = net.RunUntil(kNeverHeld, [&] {
      return CountNodes(net, [](const Membership& aNode) {
               return aNode.FindFact("version/letters") != nullptr;
             }) == 100;
    });
    CPPUNIT_ASSERT(took < GossipLimits{}.mProbePeriod * 6);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace rillwall
