#include "rillwall/sse.h"

namespace rillwall {

namespace {

constexpr size_t kMaxEvent = 1024 * 1024;

std::string_view TrimReturn(std::string_view aLine) {
  if (!aLine.empty() && aLine.back() == '\r') {
    aLine.remove_suffix(1);
  }
  return aLine;
}

// The field's value, if the line is of that field.
std::optional<std::string_view> Field(std::string_view aLine,
                                      std::string_view aName) {
  if (!aLine.starts_with(aName)) {
    return std::nullopt;
  }
  aLine.remove_prefix(aName.size());
  if (!aLine.empty() && aLine.front() == ' ') {
    aLine.remove_prefix(1);
  }
  return aLine;
}

// Keeps a field of an extension; a comment begins with a colon.
void AddOther(SseEvent& aEvent, std::string_view aLine) {
  const size_t colon = aLine.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    return;
  }
  const std::string_view name = aLine.substr(0, colon);
  const auto value = Field(aLine.substr(colon), ":");
  aEvent.mOthers.push_back({std::string(name), std::string(*value)});
}

void AddLine(SseEvent& aEvent, std::string_view aLine) {
  if (const auto data = Field(aLine, "data:")) {
    if (!aEvent.mData.empty()) {
      aEvent.mData += '\n';
    }
    aEvent.mData += *data;
  } else if (const auto name = Field(aLine, "event:")) {
    aEvent.mName = *name;
  } else if (const auto id = Field(aLine, "id:")) {
    aEvent.mId = *id;
  } else {
    AddOther(aEvent, aLine);
  }
}

}  // namespace

std::optional<Error> SseParser::Feed(std::string_view aPart) {
  if (mStart > 0) {
    mBuffer.erase(0, mStart);
    mStart = 0;
  }
  if (mBuffer.size() + aPart.size() > 2 * kMaxEvent) {
    return Error(ErrorKind::TooLarge, "An event of the stream is over 1 MB.");
  }
  mBuffer += aPart;
  return std::nullopt;
}

std::optional<SseEvent> SseParser::Next() {
  SseEvent event;
  size_t at = mStart;
  while (true) {
    const size_t end = mBuffer.find('\n', at);
    if (end == std::string::npos) {
      return std::nullopt;
    }
    const std::string_view line =
        TrimReturn(std::string_view(mBuffer).substr(at, end - at));
    at = end + 1;
    if (!line.empty()) {
      AddLine(event, line);
      continue;
    }
    mStart = at;
    if (!event.mData.empty() || !event.mName.empty() || !event.mId.empty()) {
      return event;
    }
    event = SseEvent();
  }
}

std::string SseData(std::string_view aData) {
  std::string text = "data: ";
  text += aData;
  text += "\n\n";
  return text;
}

std::string SseNamed(std::string_view aName, std::string_view aData) {
  std::string text = "event: ";
  text += aName;
  text += '\n';
  return text + SseData(aData);
}

}  // namespace rillwall
