#include "rillwall/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>

#include "rillwall/millis.h"

namespace rillwall {

namespace {

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
  AppendQuoted(mLine, aValue);
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
  while (!sink.mPending.empty()) {
    const ssize_t written = ::write(sink.mOptions.mDescriptor,
                                    sink.mPending.data(), sink.mPending.size());
    if (written <= 0) {
      return false;
    }
    sink.mPending.erase(0, static_cast<size_t>(written));
  }
  return true;
}

uint64_t DroppedEvents() { return Sink().mDropped; }

}  // namespace rillwall
