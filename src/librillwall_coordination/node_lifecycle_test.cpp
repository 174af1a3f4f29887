#include "rillwall/node_lifecycle.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rillwall {

class NodeLifecycleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeLifecycleTest);
  CPPUNIT_TEST(TestReadyOnlyWhenConfirmed);
  CPPUNIT_TEST(TestIsolatedAndBack);
  CPPUNIT_TEST(TestDrainIsFinal);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Millis kWithin{1000};

 public:
  void TestReadyOnlyWhenConfirmed() {
    NodeLifecycle lifecycle(kWithin);
    lifecycle.Tick(Millis(5000));
    CPPUNIT_ASSERT(lifecycle.Phase() == NodePhase::Starting);
    lifecycle.PolicyConfirmed(Millis(5000));
    CPPUNIT_ASSERT(lifecycle.Phase() == NodePhase::Ready);
  }

  void TestIsolatedAndBack() {
    NodeLifecycle lifecycle(kWithin);
    lifecycle.PolicyConfirmed(Millis(0));
    lifecycle.Tick(kWithin);
    CPPUNIT_ASSERT(lifecycle.Phase() == NodePhase::Ready);
    lifecycle.Tick(kWithin + Millis(1));
    CPPUNIT_ASSERT(lifecycle.Phase() == NodePhase::Isolated);
    lifecycle.PolicyConfirmed(Millis(2000));
    CPPUNIT_ASSERT(lifecycle.Phase() == NodePhase::Ready);
  }

  void TestDrainIsFinal() {
    NodeLifecycle lifecycle(kWithin);
    lifecycle.Drained();
    CPPUNIT_ASSERT(lifecycle.Phase() == NodePhase::Starting);
    lifecycle.Drain();
    lifecycle.PolicyConfirmed(Millis(0));
    lifecycle.Tick(Millis(5000));
    CPPUNIT_ASSERT(lifecycle.Phase() == NodePhase::Draining);
    lifecycle.Drained();
    CPPUNIT_ASSERT(lifecycle.Phase() == NodePhase::Stopped);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeLifecycleTest);

}  // namespace rillwall
