#include "rillwall/event_log.h"

#include <fcntl.h>
#include <limits.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <map>

#include "rillwall/millis.h"
#include "rillwall/utf8.h"

namespace rillwall {

namespace {

/// Writes to a pipe up to this size are atomic, so a line is never interleaved
/// with lines of other processes.
constexpr size_t kMaxAtomicWriteBytes = PIPE_BUF;
/// Longest value of a text field. The rest of a long value, such as a response
/// body, is of little use, and five such fields still fit into one atomic
/// write.
constexpr size_t kMaxTextBytes = 700;

constexpr int64_t kRateWindowMs = 1000;

/// Lines of one bounded event in the current second.
struct LineRate {
  int64_t mWindow = 0;  ///< number of the second
  int mWritten = 0;
  uint64_t mSuppressed = 0;
};

/// Buffer and counters of the event log.
struct EventSink {
  EventLogOptions mOptions;
  std::string mPending;
  uint64_t mDropped = 0;
  uint64_t mDroppedReported = 0;
  bool mStarted = false;
  std::map<std::string, LineRate, std::less<>> mRates;  ///< by event name
};

EventSink& Sink() {
  static EventSink sSink;
  return sSink;
}

bool NeedsNoEscape(char aChar) {
  return aChar >= ' ' && aChar < 0x7f && aChar != '"' && aChar != '\\';
}

void AppendQuoted(std::string& aLine, std::string_view aText) {
  if (std::all_of(aText.begin(), aText.end(), NeedsNoEscape)) {
    aLine += '"';
    aLine += aText;
    aLine += '"';
    return;
  }
  // A reader of the log rejects a line that is not UTF-8.
  aLine +=
      boost::json::serialize(boost::json::string(ReplaceInvalidUtf8(aText)));
}

/// \return the end of the next write: as many whole lines as fit into an atomic
/// write, or a single line that is longer
size_t EndOfWrite(const std::string& aText, size_t aBegin) {
  const size_t limit = std::min(aText.size(), aBegin + kMaxAtomicWriteBytes);
  const size_t last = aText.rfind('\n', limit - 1);
  if (last != std::string::npos && last >= aBegin) {
    return last + 1;
  }
  const size_t next = aText.find('\n', aBegin);
  return next == std::string::npos ? aText.size() : next + 1;
}

/// Appends a line unless the buffer is full.
/// \return whether the line was appended
bool Append(EventSink& aSink, std::string_view aLine) {
  if (aSink.mPending.size() + aLine.size() > aSink.mOptions.mMaxPending) {
    ++aSink.mDropped;
    return false;
  }
  aSink.mPending += aLine;
  return true;
}

/// Reports the suppressed lines of a second that has passed.
void ReportSuppressed(EventSink& aSink, const std::string& aName,
                      LineRate& aRate) {
  if (aRate.mSuppressed == 0) {
    return;
  }
  const std::string line = "{\"time_ms\":" + std::to_string(WallClockMs()) +
                           R"(,"event":"suppressed","kind":")" + aName +
                           "\",\"lines\":" + std::to_string(aRate.mSuppressed) +
                           "}\n";
  aRate.mSuppressed = 0;
  Append(aSink, line);
}

/// \return whether a line of a bounded event may be written now
bool WithinRate(EventSink& aSink, const std::string& aName) {
  LineRate& rate = aSink.mRates[aName];
  const int64_t window = WallClockMs() / kRateWindowMs;
  if (rate.mWindow != window) {
    ReportSuppressed(aSink, aName, rate);
    rate.mWindow = window;
    rate.mWritten = 0;
  }
  if (rate.mWritten >= kMaxBoundedLines) {
    ++rate.mSuppressed;
    return false;
  }
  ++rate.mWritten;
  return true;
}

/// Reports the suppressed lines of all seconds that have passed.
void ReportAllSuppressed(EventSink& aSink) {
  const int64_t window = WallClockMs() / kRateWindowMs;
  for (auto& [name, rate] : aSink.mRates) {
    if (rate.mWindow != window) {
      ReportSuppressed(aSink, name, rate);
    }
  }
}

}  // namespace

Event::Event(std::string_view aName) : mName(aName) {
  mLine.reserve(256);
  mLine = "{\"time_ms\":";
  mLine += std::to_string(WallClockMs());
  Text("event", aName);
}

void Event::Name(std::string_view aName) {
  mLine += ",\"";
  mLine += aName;
  mLine += "\":";
}

Event& Event::Text(std::string_view aName, std::string_view aValue) {
  Name(aName);
  AppendQuoted(mLine, aValue.substr(0, kMaxTextBytes));
  return *this;
}

Event& Event::Number(std::string_view aName, int64_t aValue) {
  Name(aName);
  mLine += std::to_string(aValue);
  return *this;
}

Event& Event::Flag(std::string_view aName, bool aValue) {
  Name(aName);
  mLine += aValue ? "true" : "false";
  return *this;
}

Event& Event::Bounded(bool aBounded) {
  mBoundedName = aBounded ? mName : std::string_view();
  return *this;
}

void Event::Write() {
  EventSink& sink = Sink();
  if (!sink.mStarted) {
    return;
  }
  const bool first = sink.mPending.empty();
  if (!mBoundedName.empty() && !WithinRate(sink, mBoundedName)) {
    return;
  }
  mLine += "}\n";
  if (Append(sink, mLine) && first && sink.mOptions.mOnPending) {
    sink.mOptions.mOnPending();
  }
}

void StartEventLog(EventLogOptions aOptions) {
  EventSink& sink = Sink();
  sink.mOptions = std::move(aOptions);
  sink.mStarted = true;
  const int flags = ::fcntl(sink.mOptions.mDescriptor, F_GETFL);
  if (flags >= 0) {
    ::fcntl(sink.mOptions.mDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

bool FlushEvents() {
  EventSink& sink = Sink();
  ReportAllSuppressed(sink);
  if (sink.mDropped > sink.mDroppedReported) {
    const uint64_t unreported = sink.mDropped - sink.mDroppedReported;
    std::string line =
        "{\"time_ms\":" + std::to_string(WallClockMs()) +
        ",\"event\":\"log-dropped\",\"lines\":" + std::to_string(unreported) +
        "}\n";
    sink.mPending += line;
    sink.mDroppedReported = sink.mDropped;
  }
  size_t begin = 0;
  while (begin < sink.mPending.size()) {
    const size_t end = EndOfWrite(sink.mPending, begin);
    const ssize_t written = ::write(sink.mOptions.mDescriptor,
                                    sink.mPending.data() + begin, end - begin);
    if (written <= 0) {
      break;
    }
    begin += static_cast<size_t>(written);
  }
  sink.mPending.erase(0, begin);
  return sink.mPending.empty();
}

uint64_t DroppedEvents() { return Sink().mDropped; }

}  // namespace rillwall
