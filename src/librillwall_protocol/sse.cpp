#include "rillwall/sse.h"

namespace rillwall {

namespace {

constexpr size_t kMaxEventBytes = 1024 * 1024;

std::string_view TrimCarriageReturn(std::string_view aLine) {
  if (!aLine.empty() && aLine.back() == '\r') {
    aLine.remove_suffix(1);
  }
  return aLine;
}

// Returns the value if the line is of the named field.
std::optional<std::string_view> FieldValue(std::string_view aLine,
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

// Stores a non-standard field. Skips comments, which begin with a colon.
void AddExtensionField(SseEvent& aEvent, std::string_view aLine) {
  const size_t colon = aLine.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    return;
  }
  const std::string_view name = aLine.substr(0, colon);
  const auto value = FieldValue(aLine.substr(colon), ":");
  aEvent.mOthers.push_back({std::string(name), std::string(*value)});
}

void AddLine(SseEvent& aEvent, std::string_view aLine) {
  if (const auto data = FieldValue(aLine, "data:")) {
    if (!aEvent.mData.empty()) {
      aEvent.mData += '\n';
    }
    aEvent.mData += *data;
  } else if (const auto name = FieldValue(aLine, "event:")) {
    aEvent.mName = *name;
  } else if (const auto id = FieldValue(aLine, "id:")) {
    aEvent.mId = *id;
  } else {
    AddExtensionField(aEvent, aLine);
  }
}

}  // namespace

std::optional<Error> SseParser::Feed(std::string_view aPart) {
  if (mStart > 0) {
    mBuffer.erase(0, mStart);
    mStart = 0;
  }
  if (mBuffer.size() + aPart.size() > 2 * kMaxEventBytes) {
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
        TrimCarriageReturn(std::string_view(mBuffer).substr(at, end - at));
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
