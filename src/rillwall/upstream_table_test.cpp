#include "upstream_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rillwall {

class UpstreamTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamTableTest);
  CPPUNIT_TEST(FindLooksUpById);
  CPPUNIT_TEST(LeavingUpstreamIsNotChosen);
  CPPUNIT_TEST(FewerCallsInFlightIsPreferred);
  CPPUNIT_TEST(FailuresOpenTheCircuit);
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

  // Counts how often the first entry is chosen over all pairs of random picks.
  static int CountFirstChosen(const UpstreamTable& aTable, Millis aNow) {
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
  void FindLooksUpById() {
    const UpstreamTable table({Entry("b", false), Entry("a", false)});
    CPPUNIT_ASSERT(table.Find("a") == &table.Entries()[0]);
    CPPUNIT_ASSERT(table.Find("c") == nullptr);
  }

  void LeavingUpstreamIsNotChosen() {
    const UpstreamTable table({Entry("a", true), Entry("b", false)});
    CPPUNIT_ASSERT_EQUAL(0, CountFirstChosen(table, Millis(0)));
    const UpstreamTable none({Entry("a", true)});
    CPPUNIT_ASSERT(none.Choose(UpstreamKind::Service, "ledger", "", 0,
                               Millis(0)) == nullptr);
  }

  void FewerCallsInFlightIsPreferred() {
    const UpstreamTable table({Entry("a", false), Entry("b", false)});
    const InFlightCall inFlight(table.Entries()[1].mLoad);
    CPPUNIT_ASSERT_EQUAL(3, CountFirstChosen(table, Millis(0)));
  }

  void FailuresOpenTheCircuit() {
    const UpstreamTable table({Entry("a", false), Entry("b", false)});
    for (int i = 0; i < 3; ++i) {
      InFlightCall inFlight(table.Entries()[0].mLoad);
      inFlight.End(true, Millis(0));
    }
    CPPUNIT_ASSERT_EQUAL(0, CountFirstChosen(table, Millis(1)));
    CPPUNIT_ASSERT(CountFirstChosen(table, Millis(5000)) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamTableTest);

}  // namespace rillwall
