#include "rillwall/event_log.h"

#include <fcntl.h>
#include <limits.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>

#include "rillwall/millis.h"

namespace rillwall {

namespace {

/// Up to this size a pipe takes a write whole, so that a line never stands
/// between the halves of another process's line.
constexpr size_t kWholeWrite = PIPE_BUF;
/// Longest text of a field. What goes on after it, such as an answer's body, is
/// no more use; five such fields still fit into one write.
constexpr size_t kMaxText = 700;

struct EventSink {
  EventLogOptions mOptions;
  std::string mPending;
  uint64_t mDropped = 0;
  uint64_t mDroppedTold = 0;
  bool mStarted = false;
};

EventSink& Sink() {
  static EventSink sSink;
  return sSink;
}

bool Plain(char aChar) {
  return aChar >= ' ' && aChar < 0x7f && aChar != '"' && aChar != '\\';
}

void AppendQuoted(std::string& aLine, std::string_view aText) {
  if (std::all_of(aText.begin(), aText.end(), Plain)) {
    aLine += '"';
    aLine += aText;
    aLine += '"';
    return;
  }
  aLine += boost::json::serialize(boost::json::string(aText));
}

/// \return where the lines that leave in one write end: as many whole ones as a
/// pipe takes at once, or one that is longer
size_t EndOfWrite(const std::string& aText, size_t aBegin) {
  const size_t most = std::min(aText.size(), aBegin + kWholeWrite);
  const size_t last = aText.rfind('\n', most - 1);
  if (last != std::string::npos && last >= aBegin) {
    return last + 1;
  }
  const size_t next = aText.find('\n', aBegin);
  return next == std::string::npos ? aText.size() : next + 1;
}

/// Adds a line if there is room. \return whether there was
bool Append(EventSink& aSink, std::string_view aLine) {
  if (aSink.mPending.size() + aLine.size() > aSink.mOptions.mMaxPending) {
    ++aSink.mDropped;
    return false;
  }
  aSink.mPending += aLine;
  return true;
}

}  // namespace

Event::Event(std::string_view aName) {
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
  AppendQuoted(mLine, aValue.substr(0, kMaxText));
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

void Event::Write() {
  EventSink& sink = Sink();
  if (!sink.mStarted) {
    return;
  }
  const bool first = sink.mPending.empty();
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
  if (sink.mDropped > sink.mDroppedTold) {
    const uint64_t missing = sink.mDropped - sink.mDroppedTold;
    std::string line =
        "{\"time_ms\":" + std::to_string(WallClockMs()) +
        ",\"event\":\"log-dropped\",\"lines\":" + std::to_string(missing) +
        "}\n";
    sink.mPending += line;
    sink.mDroppedTold = sink.mDropped;
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
