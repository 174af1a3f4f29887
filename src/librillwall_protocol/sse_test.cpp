#include "rillwall/sse.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <numeric>

namespace rillwall {

namespace {

constexpr int kRandomStreams = 3000;

/// Writes events as a sound writer does. Choices that the standard leaves open
/// are drawn.
class StreamWriter {
 public:
  std::string Write(const SseEvent& aEvent) {
    mEnd = *rc::gen::element<std::string>("\n", "\r", "\r\n");
    std::string text = MaybeComment();
    if (!aEvent.mId.empty()) {
      text += "id:" + MaybeSpace(aEvent.mId) + aEvent.mId + mEnd;
    }
    size_t at = 0;
    while (at != std::string::npos) {
      const size_t end = aEvent.mData.find('\n', at);
      const std::string line = aEvent.mData.substr(at, end - at);
      const bool bare = line.empty() && Draw();
      text += bare ? "data" : "data:" + MaybeSpace(line) + line;
      text += mEnd + MaybeComment();
      at = end == std::string::npos ? end : end + 1;
    }
    for (const SseField& field : aEvent.mOthers) {
      text += field.mName + ": " + field.mValue + mEnd;
    }
    return text + mEnd;
  }

 private:
  static bool Draw() { return *rc::gen::arbitrary<bool>(); }
  static std::string MaybeSpace(const std::string& aValue) {
    return aValue.starts_with(' ') || Draw() ? " " : "";
  }
  std::string MaybeComment() const {
    return Draw() ? ": comment" + mEnd : std::string();
  }

  std::string mEnd;  ///< of all lines of an event
};

rc::Gen<std::string> Data() {
  return rc::gen::container<std::string>(rc::gen::weightedElement<char>(
      {{3, '\n'}, {2, ' '}, {2, ':'}, {6, 'a'}}));
}

std::vector<SseEvent> ReadAll(const std::string& aStream,
                              const std::vector<size_t>& aCuts) {
  SseParser parser;
  std::vector<SseEvent> events;
  size_t at = 0;
  const auto feed = [&](size_t aEnd) {
    RC_ASSERT(!parser.Feed(std::string_view(aStream).substr(at, aEnd - at)));
    at = aEnd;
    while (std::optional<SseEvent> event = parser.Next()) {
      events.push_back(std::move(*event));
    }
  };
  for (const size_t cut : aCuts) {
    feed(cut);
  }
  feed(aStream.size());
  RC_ASSERT(!parser.InEvent());
  return events;
}

}  // namespace

class SseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SseTest);
  CPPUNIT_TEST(TestEventsInParts);
  CPPUNIT_TEST(TestUnfinishedEventIsWithheld);
  CPPUNIT_TEST(TestNamedAndManyLines);
  CPPUNIT_TEST(LineFeedsAtTheBeginningOfDataStay);
  CPPUNIT_TEST(WrittenEventsAreReadBack);
  CPPUNIT_TEST(FieldsAreReadAsInTheStandard);
  CPPUNIT_TEST(LineEndsMayBeCut);
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

  // Texts were listed without the line feeds at the beginning of their events.
  void LineFeedsAtTheBeginningOfDataStay() {
    SseParser parser;
    CPPUNIT_ASSERT(!parser.Feed("id: 1\ndata:\ndata:\ndata: a\n\ndata:\n\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("\n\na"), parser.Next()->mData);
    CPPUNIT_ASSERT_EQUAL(std::string(), parser.Next()->mData);
    CPPUNIT_ASSERT(!parser.Next());
  }

  void WrittenEventsAreReadBack() {
    rc::detail::TestParams params;
    params.seed = 20261205;
    params.maxSuccess = kRandomStreams;
    const auto result = rc::detail::checkTestable(
        [] {
          std::string stream =
              *rc::gen::element<std::string>("", "\xEF\xBB\xBF");
          std::vector<SseEvent> written;
          StreamWriter writer;
          const int count = *rc::gen::inRange(1, 6);
          for (int i = 1; i <= count; ++i) {
            SseEvent event;
            event.mId = std::to_string(i);
            event.mData = *Data();
            if (*rc::gen::arbitrary<bool>()) {
              event.mOthers = {{"weight-version", "7"}};
            }
            stream += writer.Write(event);
            written.push_back(std::move(event));
          }
          std::vector<size_t> everywhere(stream.size());
          std::iota(everywhere.begin(), everywhere.end(), 0);
          RC_ASSERT(ReadAll(stream, everywhere) == written);
          const size_t cut = *rc::gen::inRange<size_t>(0, stream.size() + 1);
          RC_ASSERT(ReadAll(stream, {cut}) == written);
        },
        rc::detail::TestMetadata(), params);
    CPPUNIT_ASSERT(result.is<rc::detail::SuccessResult>());
  }

  void FieldsAreReadAsInTheStandard() {
    SseParser parser;
    std::string stream = "\xEF\xBB\xBF";
    stream += "data:  two spaces\nid: 4\nid: a";
    stream += '\0';
    stream += "\ndatabase: 1\nevent\n: x\n\nonly: an extension\n\n: comment\n";
    CPPUNIT_ASSERT(!parser.Feed(stream));
    const std::optional<SseEvent> event = parser.Next();
    CPPUNIT_ASSERT(event.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(" two spaces"), event->mData);
    CPPUNIT_ASSERT_EQUAL(std::string("4"), event->mId);
    CPPUNIT_ASSERT(event->mName.empty());
    CPPUNIT_ASSERT(event->mOthers ==
                   std::vector<SseField>({{"database", "1"}}));
    CPPUNIT_ASSERT(!parser.Next());
    CPPUNIT_ASSERT(!parser.InEvent());
    CPPUNIT_ASSERT(!parser.Feed("data: not ended\n"));
    CPPUNIT_ASSERT(!parser.Next());
    CPPUNIT_ASSERT(parser.InEvent());
  }

  // An event is complete with the CR of its blank line.
  void LineEndsMayBeCut() {
    SseParser parser;
    CPPUNIT_ASSERT(!parser.Feed("data: a\r\n\r"));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), parser.Next()->mData);
    CPPUNIT_ASSERT(!parser.InEvent());
    CPPUNIT_ASSERT(!parser.Feed("\n"));
    CPPUNIT_ASSERT(!parser.InEvent());
    CPPUNIT_ASSERT(!parser.Feed("data: b\r\r"));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), parser.Next()->mData);
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
