#include "rillwall/sse.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rillwall {

class SseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SseTest);
  CPPUNIT_TEST(TestEventsInParts);
  CPPUNIT_TEST(TestUnfinishedEventIsWithheld);
  CPPUNIT_TEST(TestNamedAndManyLines);
  CPPUNIT_TEST(TestBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The events must not depend on where the stream is split in two.
  void TestEventsInParts() {
    const std::string stream = SseData("{\"a\":1}") + SseData(kSseDone);
    for (size_t cut = 0; cut <= stream.size(); ++cut) {
      SseParser parser;
      CPPUNIT_ASSERT(!parser.Feed(stream.substr(0, cut)));
      std::string seen;
      while (const auto event = parser.Next()) {
        seen += event->mData + "|";
      }
      CPPUNIT_ASSERT(!parser.Feed(stream.substr(cut)));
      while (const auto event = parser.Next()) {
        seen += event->mData + "|";
      }
      CPPUNIT_ASSERT_EQUAL(std::string("{\"a\":1}|[DONE]|"), seen);
    }
  }

  void TestUnfinishedEventIsWithheld() {
    SseParser parser;
    CPPUNIT_ASSERT(!parser.Feed("data: [DONE]\n"));
    CPPUNIT_ASSERT(!parser.Next());
  }

  void TestNamedAndManyLines() {
    SseParser parser;
    CPPUNIT_ASSERT(
        !parser.Feed(": comment\r\nevent: error\r\ndata: a\r\n"
                     "data:b\r\n\r\n"));
    const auto event = parser.Next();
    CPPUNIT_ASSERT(event.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("error"), event->mName);
    CPPUNIT_ASSERT_EQUAL(std::string("a\nb"), event->mData);
  }

  void TestBound() {
    SseParser parser;
    const std::string part(1024 * 1024, 'x');
    CPPUNIT_ASSERT(!parser.Feed(part));
    CPPUNIT_ASSERT(!parser.Feed(part));
    CPPUNIT_ASSERT(parser.Feed("x").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SseTest);

}  // namespace rillwall
