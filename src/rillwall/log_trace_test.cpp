/// \file
/// Tests of LogTrace, which follows one id through logs.

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

#include "log_trace.h"

namespace rillwall {

class LogTraceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTraceTest);
  CPPUNIT_TEST(FollowsAnIdAcrossNodesInTimeOrder);
  CPPUNIT_TEST(AcceptsTextBeforeTheJson);
  CPPUNIT_TEST(WarnsOfMissingLines);
  CPPUNIT_TEST_SUITE_END();

  LogTrace mTrace{"7c41"};

  void Read(const std::string& aName, const std::string& aText) {
    std::istringstream log(aText);
    mTrace.Read(log, aName);
  }

  void FollowsAnIdAcrossNodesInTimeOrder() {
    Read("two.log",
         "{\"time_ms\":20,\"event\":\"refused\",\"id\":\"7c41\",\"status\":503}"
         "\n{\"time_ms\":21,\"event\":\"refused\",\"id\":\"7c410\"}\n");
    Read("one.log",
         "{\"time_ms\":10,\"event\":\"routed\",\"id\":\"7c41\"}\n"
         "{\"time_ms\":30,\"event\":\"node-call-failed\","
         "\"target\":\"/x/7c41?after=3\"}\n");
    const auto lines = mTrace.Lines();
    CPPUNIT_ASSERT_EQUAL(size_t{3}, lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("routed"), lines[0].mEvent);
    CPPUNIT_ASSERT_EQUAL(std::string("one.log"), lines[0].mNode);
    CPPUNIT_ASSERT_EQUAL(std::string("id=7c41 status=503"), lines[1].mText);
    CPPUNIT_ASSERT_EQUAL(std::string("node-call-failed"), lines[2].mEvent);
    CPPUNIT_ASSERT(mTrace.Warnings().empty());
  }

  void AcceptsTextBeforeTheJson() {
    Read("all.log",
         "   8.13 storage-1 {\"time_ms\":1,\"event\":\"item-run\","
         "\"id\":\"i\",\"step\":\"7c41\"}\nother output\n");
    CPPUNIT_ASSERT_EQUAL(std::string("storage-1"), mTrace.Lines()[0].mNode);
  }

  void WarnsOfMissingLines() {
    Read("one.log",
         "{\"time_ms\":1,\"event\":\"log-dropped\",\"lines\":12}\n"
         "{\"time_ms\":2,\"event\":\"cut in the mid\n");
    const auto gaps = mTrace.Warnings();
    CPPUNIT_ASSERT_EQUAL(size_t{3}, gaps.size());
    CPPUNIT_ASSERT(gaps[1].find("12 lines") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTraceTest);

}  // namespace rillwall
