#include "rillwall/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/mdc.h>
#include <log4cplus/spi/loggingevent.h>

#include <array>
#include <atomic>
#include <mutex>

#include "log_format.h"
#include "log_repeat.h"
#include "rillwall/millis.h"

namespace rillwall {

namespace {

constexpr std::array<const char*, 12> kPartNames = {
    "node", "gossip",  "peer", "policy", "kv",   "upstream",
    "call", "service", "step", "weight", "http", "admin"};

constexpr char kRequestKey[] = "request";
constexpr char kTimeFormat[] = "%Y-%m-%dT%H:%M:%S.%qZ";
constexpr int kLoggingOff = static_cast<int>(LogLevel::Error) + 1;

std::atomic<int> gMinLevel{kLoggingOff};  // least severe level that is logged

log4cplus::LogLevel ToLog4cplus(LogLevel aLevel) {
  constexpr log4cplus::LogLevel kLevels[] = {
      log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
      log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
  return kLevels[static_cast<size_t>(aLevel)];
}

LogLevel FromLog4cplus(log4cplus::LogLevel aLevel) {
  if (aLevel >= log4cplus::ERROR_LOG_LEVEL) {
    return LogLevel::Error;
  }
  if (aLevel >= log4cplus::WARN_LOG_LEVEL) {
    return LogLevel::Warn;
  }
  return aLevel >= log4cplus::INFO_LOG_LEVEL ? LogLevel::Info : LogLevel::Debug;
}

/// Formats a log4cplus event as text or JSON.
class LineLayout final : public log4cplus::Layout {
 public:
  explicit LineLayout(bool aJson) : mJson(aJson) {}
  // clang-tidy: log4cplus defines the name.
  void formatAndAppend(  // NOLINT(readability-identifier-naming)
      log4cplus::tostream& aOutput,
      const log4cplus::spi::InternalLoggingEvent& aEvent) override {
    LogLine line;
    line.mTime = log4cplus::helpers::getFormattedTime(
        kTimeFormat, aEvent.getTimestamp(), true);
    line.mLevel = FromLog4cplus(aEvent.getLogLevel());
    line.mPart = aEvent.getLoggerName();
    line.mRequest = aEvent.getMDC(kRequestKey);
    line.mText = aEvent.getMessage();
    aOutput << (mJson ? FormatJson(line) : FormatText(line)) << "\n";
  }

 private:
  const bool mJson;
};

/// The log4cplus loggers and the repeat filter of the process.
class Sink {
 public:
  Sink() {
    for (size_t i = 0; i < kPartNames.size(); ++i) {
      mLoggers[i] = log4cplus::Logger::getInstance(kPartNames[i]);
    }
  }

  void Start(const LogOptions& aOptions) {
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<LineLayout>(aOptions.mJson));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(log4cplus::ALL_LOG_LEVEL);
  }

  std::optional<uint64_t> Pass(const std::string& aKey) {
    const std::lock_guard lock(mMutex);
    return mRepeatFilter.Pass(aKey, mClock.Now());
  }

  void Write(Part aPart, LogLevel aLevel, std::string_view aRequest,
             const std::string& aText) {
    log4cplus::MDC& context = log4cplus::getMDC();
    context.put(kRequestKey, std::string(aRequest));
    mLoggers[static_cast<size_t>(aPart)].forcedLog(ToLog4cplus(aLevel), aText,
                                                   nullptr, -1);
    context.remove(kRequestKey);
  }

 private:
  log4cplus::Initializer mInitializer;
  std::array<log4cplus::Logger, kPartNames.size()> mLoggers;
  SteadyClock mClock;
  std::mutex mMutex;
  LogRepeatFilter mRepeatFilter;
};

// The sink is never destroyed, because other threads may log until the process
// exits.
Sink& ProcessSink() {
  static Sink* const kSink = new Sink();
  return *kSink;
}

}  // namespace

const char* PartName(Part aPart) {
  return kPartNames[static_cast<size_t>(aPart)];
}

void StartLog(const LogOptions& aOptions) {
  ProcessSink().Start(aOptions);
  gMinLevel.store(static_cast<int>(aOptions.mLevel), std::memory_order_release);
}

void Log::Write(LogLevel aLevel, std::string_view aText) {
  if (static_cast<int>(aLevel) < gMinLevel.load(std::memory_order_acquire)) {
    return;
  }
  std::string key = PartName(mPart);
  key += static_cast<char>('0' + static_cast<int>(aLevel));
  key += mKey.empty() ? aText : mKey;
  const std::optional<uint64_t> suppressed = ProcessSink().Pass(key);
  if (!suppressed) {
    return;
  }
  std::string text(aText);
  if (*suppressed > 0) {
    text += " (" + std::to_string(*suppressed) +
            " similar messages were suppressed)";
  }
  ProcessSink().Write(mPart, aLevel, mRequest, text);
}

}  // namespace rillwall
