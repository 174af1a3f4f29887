/// \file
/// Tests of structured events: format, buffer limit and non-blocking writes.

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/json.hpp>
#include <sstream>

#include "rillwall/event_log.h"

namespace rillwall {

class EventLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(WritesOneJsonObjectALine);
  CPPUNIT_TEST(FullPipeNeverBlocks);
  CPPUNIT_TEST(RequestsOneFlushPerBatch);
  CPPUNIT_TEST(WritesOnlyWholeLines);
  CPPUNIT_TEST(LongTextsAreTruncated);
  CPPUNIT_TEST(BoundedEventsAreSummed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(mPipe.data()));
    ::fcntl(mPipe[0], F_SETFL, O_NONBLOCK);
    mFlushRequests = 0;
    EventLogOptions options;
    options.mDescriptor = mPipe[1];
    options.mMaxPending = 4096;
    options.mOnPending = [this] { ++mFlushRequests; };
    StartEventLog(options);
  }
  /// Guards against a surge that fills the log with one line for each request.
  void BoundedEventsAreSummed() {
    constexpr int kLines = 60;
    for (int i = 0; i < kLines; ++i) {
      Event("surge").Bounded(true).Number("n", i).Write();
      Event("calm").Bounded(false).Write();
      mText += Drain();
    }
    // The second of the last line must have passed.
    ::usleep(1100 * 1000);
    Event("later").Write();
    mText += Drain();
    int written = 0;
    int calm = 0;
    int64_t summed = 0;
    std::istringstream lines(mText);
    for (std::string line; std::getline(lines, line);) {
      const boost::json::object event = boost::json::parse(line).as_object();
      const boost::json::string& name = event.at("event").as_string();
      written += name == "surge" ? 1 : 0;
      calm += name == "calm" ? 1 : 0;
      summed += name == "suppressed" ? event.at("lines").as_int64() : 0;
    }
    CPPUNIT_ASSERT_EQUAL(kLines, calm);
    CPPUNIT_ASSERT(written >= kMaxBoundedLines);
    // The loop may take place in two different seconds.
    CPPUNIT_ASSERT(written <= 2 * kMaxBoundedLines);
    CPPUNIT_ASSERT_EQUAL(int64_t{kLines}, written + summed);
  }
  void tearDown() override {
    Drain();
    FlushEvents();
    EventLogOptions none;
    none.mDescriptor = -1;
    StartEventLog(none);
    ::close(mPipe[0]);
    ::close(mPipe[1]);
  }

 private:
  std::array<int, 2> mPipe{};
  std::string mText;  ///< what was read so far
  int mFlushRequests = 0;

  /// Flushes pending events and reads everything from the pipe, without
  /// waiting.
  std::string Drain() {
    std::string all;
    while (true) {
      const bool done = FlushEvents();
      std::array<char, 65536> buffer;
      const ssize_t size = ::read(mPipe[0], buffer.data(), buffer.size());
      all.append(buffer.data(), size > 0 ? static_cast<size_t>(size) : 0);
      if (done) {
        return all;
      }
    }
  }

  void WritesOneJsonObjectALine() {
    Event("routed").Id("a\"b").Number("left_ms", -3).Flag("ok", true).Write();
    const std::string text = Drain();
    const auto line = boost::json::parse(text.substr(0, text.find('\n')));
    CPPUNIT_ASSERT_EQUAL(std::string("a\"b"),
                         std::string(line.at("id").as_string()));
    CPPUNIT_ASSERT_EQUAL(int64_t{-3}, line.at("left_ms").as_int64());
    CPPUNIT_ASSERT(line.at("ok").as_bool());
    CPPUNIT_ASSERT(line.at("time_ms").as_int64() > 0);
  }

  void FullPipeNeverBlocks() {
    const uint64_t before = DroppedEvents();
    const std::string filler(500, 'x');
    for (int i = 0; i < 1000; ++i) {
      Event("filler").Text("text", filler).Write();
      FlushEvents();
    }
    CPPUNIT_ASSERT(DroppedEvents() > before);
    const std::string text = Drain();
    CPPUNIT_ASSERT(text.find("log-dropped") != std::string::npos);
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
      boost::json::parse(line);  // throws for a truncated line
    }
  }

  void RequestsOneFlushPerBatch() {
    Event("one").Write();
    Event("two").Write();
    CPPUNIT_ASSERT_EQUAL(1, mFlushRequests);
    FlushEvents();
    Event("three").Write();
    CPPUNIT_ASSERT_EQUAL(2, mFlushRequests);
  }

  // Several processes may share one pipe. If a line were written in two parts,
  // a line of another process could end up between them, and neither line could
  // be parsed.
  void WritesOnlyWholeLines() {
    const std::string filler(300, 'x');
    for (int round = 0; round < 40; ++round) {
      for (int i = 0; i < 10; ++i) {
        Event("filler").Text("text", filler).Write();
      }
      FlushEvents();
    }
    // The pipe is full now. Its content must end with a whole line, because
    // another process may write next.
    std::string text;
    std::array<char, 65536> buffer;
    ssize_t size = 0;
    while ((size = ::read(mPipe[0], buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<size_t>(size));
    }
    CPPUNIT_ASSERT(text.size() > 30000);
    CPPUNIT_ASSERT_EQUAL('\n', text.back());
  }

  void LongTextsAreTruncated() {
    Event("answer").Text("body", std::string(100000, 'b')).Write();
    CPPUNIT_ASSERT(Drain().size() < 1000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

}  // namespace rillwall
