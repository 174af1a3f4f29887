#include "rillwall/node_lifecycle.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rillwall {

class NodeLifeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeLifeTest);
  CPPUNIT_TEST(TestReadyOnlyWhenConfirmed);
  CPPUNIT_TEST(TestIsolatedAndBack);
  CPPUNIT_TEST(TestDrainIsFinal);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Millis kWithin{1000};

 public:
  void TestReadyOnlyWhenConfirmed() {
    NodeLifecycle life(kWithin);
    life.Tick(Millis(5000));
    CPPUNIT_ASSERT(life.Phase() == NodePhase::Starting);
    life.PolicyConfirmed(Millis(5000));
    CPPUNIT_ASSERT(life.Phase() == NodePhase::Ready);
  }

  void TestIsolatedAndBack() {
    NodeLifecycle life(kWithin);
    life.PolicyConfirmed(Millis(0));
    life.Tick(kWithin);
    CPPUNIT_ASSERT(life.Phase() == NodePhase::Ready);
    life.Tick(kWithin + Millis(1));
    CPPUNIT_ASSERT(life.Phase() == NodePhase::Isolated);
    life.PolicyConfirmed(Millis(2000));
    CPPUNIT_ASSERT(life.Phase() == NodePhase::Ready);
  }

  void TestDrainIsFinal() {
    NodeLifecycle life(kWithin);
    life.Drained();
    CPPUNIT_ASSERT(life.Phase() == NodePhase::Starting);
    life.Drain();
    life.PolicyConfirmed(Millis(0));
    life.Tick(Millis(5000));
    CPPUNIT_ASSERT(life.Phase() == NodePhase::Draining);
    life.Drained();
    CPPUNIT_ASSERT(life.Phase() == NodePhase::Stopped);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeLifeTest);

}  // namespace rillwall
