#include "rillwall/log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <log4cplus/appender.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <boost/json.hpp>

#include "log_format.h"
#include "log_repeat.h"

namespace rillwall {

namespace {

/// Appender that collects log lines in memory.
class Collector final : public log4cplus::Appender {
 public:
  ~Collector() override { destructorImpl(); }
  void close() override { closed = true; }  // NOLINT: log4cplus's name

  std::vector<std::string> mLines;

 private:
  void append(  // NOLINT: log4cplus's name
      const log4cplus::spi::InternalLoggingEvent& aEvent) override {
    mLines.push_back(aEvent.getLoggerName() + "|" + aEvent.getMessage() + "|" +
                     aEvent.getMDC("request"));
  }
};

}  // namespace

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(TestFormats);
  CPPUNIT_TEST(TestRepeatsAreSuppressed);
  CPPUNIT_TEST(TestRememberedKeysAreBounded);
  CPPUNIT_TEST(TestLog);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestFormats() {
    const LogLine line = {"2026-01-02T03:04:05.678Z", LogLevel::Warn, "kv",
                          "r-7", "Says \"no\".\nforged"};
    CPPUNIT_ASSERT_EQUAL(
        std::string("2026-01-02T03:04:05.678Z warn kv: Says \"no\". forged "
                    "[r-7]"),
        FormatText(line));
    const std::string json = FormatJson(line);
    CPPUNIT_ASSERT(json.find('\n') == std::string::npos);
    const boost::json::value value = boost::json::parse(json);
    CPPUNIT_ASSERT(value.at("message") == "Says \"no\".\nforged");
    CPPUNIT_ASSERT(value.at("request") == "r-7");
    CPPUNIT_ASSERT(value.at("part") == "kv");
    CPPUNIT_ASSERT(value.at("level") == "warn");
  }

  void TestRepeatsAreSuppressed() {
    LogRepeatFilter repeat;
    CPPUNIT_ASSERT(repeat.Pass("a", Millis(0)) == uint64_t{0});
    CPPUNIT_ASSERT(repeat.Pass("b", Millis(1)) == uint64_t{0});
    CPPUNIT_ASSERT(!repeat.Pass("a", Millis(1)));
    CPPUNIT_ASSERT(!repeat.Pass("a", Millis(9999)));
    CPPUNIT_ASSERT(repeat.Pass("a", Millis(10000)) == uint64_t{2});
    CPPUNIT_ASSERT(repeat.Pass("a", Millis(20000)) == uint64_t{0});
  }

  void TestRememberedKeysAreBounded() {
    LogRepeatFilter repeat;
    for (int i = 0; i < 5000; ++i) {
      repeat.Pass(std::to_string(i), Millis(i));
    }
    CPPUNIT_ASSERT(repeat.KeyCount() <= 1024);
  }

  void TestLog() {
    log4cplus::SharedAppenderPtr appender(new Collector());
    Log(Part::Node).Error("Logged before the start.");
    StartLog({LogLevel::Info, false});
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    Log(Part::Gossip).Debug("Not shown.");
    Log(Part::Gossip).Info("Node a is dead.");
    Log(Part::Gossip).Info("Node a is dead.");
    Log(Part::Kv).RepeatKey("down").Warn("Down for 1 s.");
    Log(Part::Kv).RepeatKey("down").Warn("Down for 2 s.");
    Log(Part::Http).Request("r-1").Error("Refused.");
    root.removeAllAppenders();
    const std::vector<std::string> wanted = {
        "gossip|Node a is dead.|", "kv|Down for 1 s.|", "http|Refused.|r-1"};
    CPPUNIT_ASSERT(static_cast<Collector*>(appender.get())->mLines == wanted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

}  // namespace rillwall
