#include "upstream_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rillwall {

class UpstreamTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamTableTest);
  CPPUNIT_TEST(TestFind);
  CPPUNIT_TEST(TestLeavingIsNotChosen);
  CPPUNIT_TEST(TestFewerCallsInFlight);
  CPPUNIT_TEST(TestFailuresOpenTheCircuit);
  CPPUNIT_TEST_SUITE_END();

  static UpstreamEntry Entry(const std::string& aId, bool aLeaving) {
    UpstreamEntry entry;
    entry.mUpstream.mId = aId;
    entry.mUpstream.mKind = UpstreamKind::Service;
    entry.mUpstream.mName = "ledger";
    entry.mLeaving = aLeaving;
    entry.mLoad = std::make_shared<UpstreamLoad>();
    return entry;
  }

  // How often the first entry is chosen in all ways to draw two.
  static int Choices(const UpstreamTable& aTable, Millis aNow) {
    int chosen = 0;
    for (uint64_t one = 0; one < 2; ++one) {
      for (uint64_t two = 0; two < 2; ++two) {
        const UpstreamEntry* entry = aTable.Choose(
            UpstreamKind::Service, "ledger", "a", one << 32 | two, aNow);
        chosen += entry == &aTable.Entries()[0] ? 1 : 0;
      }
    }
    return chosen;
  }

 public:
  void TestFind() {
    const UpstreamTable table({Entry("b", false), Entry("a", false)});
    CPPUNIT_ASSERT(table.Find("a") == &table.Entries()[0]);
    CPPUNIT_ASSERT(table.Find("c") == nullptr);
  }

  void TestLeavingIsNotChosen() {
    const UpstreamTable table({Entry("a", true), Entry("b", false)});
    CPPUNIT_ASSERT_EQUAL(0, Choices(table, Millis(0)));
    const UpstreamTable none({Entry("a", true)});
    CPPUNIT_ASSERT(none.Choose(UpstreamKind::Service, "ledger", "", 0,
                               Millis(0)) == nullptr);
  }

  void TestFewerCallsInFlight() {
    const UpstreamTable table({Entry("a", false), Entry("b", false)});
    const UpstreamUse use(table.Entries()[1].mLoad);
    CPPUNIT_ASSERT_EQUAL(3, Choices(table, Millis(0)));
  }

  void TestFailuresOpenTheCircuit() {
    const UpstreamTable table({Entry("a", false), Entry("b", false)});
    for (int i = 0; i < 3; ++i) {
      UpstreamUse use(table.Entries()[0].mLoad);
      use.End(true, Millis(0));
    }
    CPPUNIT_ASSERT_EQUAL(0, Choices(table, Millis(1)));
    CPPUNIT_ASSERT(Choices(table, Millis(5000)) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamTableTest);

}  // namespace rillwall
