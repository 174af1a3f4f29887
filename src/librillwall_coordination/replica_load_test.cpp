#include "rillwall/replica_load.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rillwall {

/// Tests the parser of load reports.
class ReplicaLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaLoadTest);
  CPPUNIT_TEST(ReportsOfThreeAndMoreFiguresAreRead);
  CPPUNIT_TEST(BadReportsAreRefusedWithTheFigure);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against dropping the fourth figure, and against refusing a report
  /// of a newer replica that has more of them.
  void ReportsOfThreeAndMoreFiguresAreRead() {
    const ReplicaLoad plain{1, 2, 6, std::nullopt};
    CPPUNIT_ASSERT(plain == *ParseReplicaLoad("1,2,6"));
    const ReplicaLoad withPercent{3, 0, 6, 250};
    CPPUNIT_ASSERT(withPercent == *ParseReplicaLoad("3,0,6,250"));
    CPPUNIT_ASSERT(withPercent == *ParseReplicaLoad("3,0,6,250,7,x"));
  }

  /// Guards against choosing replicas by malformed figures.
  void BadReportsAreRefusedWithTheFigure() {
    for (const char* text :
         {"", "1", "1,2", "-1,0,6", "1,x,6", "1,0,0", "1,,6", "1,0,6,",
          "1,0,6,0", "1,0,6,-5", "1,0,6,20000", "99999999999999999999,0,6"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseReplicaLoad(text));
    }
    const std::string detail = ParseReplicaLoad("1,0,6,-5").error().Detail();
    CPPUNIT_ASSERT(detail.find("'percent'") != detail.npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaLoadTest);

}  // namespace rillwall
