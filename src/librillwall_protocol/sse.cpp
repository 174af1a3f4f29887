#include "rillwall/sse.h"

#include <algorithm>
#include <utility>

namespace rillwall {

namespace {

constexpr size_t kMaxEventBytes = 1024 * 1024;
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

struct Field {
  std::string_view mName;
  std::string_view mValue;
};

/// Splits a line into its field's name and value. A line without a colon is a
/// field with an empty value.
Field FieldOf(std::string_view aLine) {
  const size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return {aLine, {}};
  }
  std::string_view value = aLine.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  return {aLine.substr(0, colon), value};
}

}  // namespace

std::optional<Error> SseParser::Feed(std::string_view aPart) {
  if (mStart > 0) {
    mBuffer.erase(0, mStart);
    mStart = 0;
  }
  if (mBuffer.size() + mEventBytes + aPart.size() > 2 * kMaxEventBytes) {
    return Error(ErrorKind::TooLarge, "An event of the stream is over 1 MB.");
  }
  mBuffer += aPart;
  return std::nullopt;
}

bool SseParser::SkipByteOrderMark() {
  const std::string_view begin = std::string_view(mBuffer).substr(mStart);
  if (begin.size() < kByteOrderMark.size() &&
      kByteOrderMark.starts_with(begin)) {
    return false;
  }
  mStart += begin.starts_with(kByteOrderMark) ? kByteOrderMark.size() : 0;
  mAtBegin = false;
  return true;
}

void SseParser::SkipLineFeed() {
  if (mAfterCarriageReturn && mStart < mBuffer.size()) {
    mStart += mBuffer[mStart] == '\n' ? 1 : 0;
    mAfterCarriageReturn = false;
  }
}

std::optional<std::string_view> SseParser::NextLine() {
  SkipLineFeed();
  // Two searches for one character are much faster than one for either.
  const std::string_view rest =
      std::string_view(mBuffer).substr(mStart + mScanned);
  const size_t lineFeed = std::min(rest.find('\n'), rest.size());
  const size_t length = std::min(rest.substr(0, lineFeed).find('\r'), lineFeed);
  if (length == rest.size()) {
    mScanned = mBuffer.size() - mStart;
    return std::nullopt;
  }
  const size_t end = mStart + mScanned + length;
  const std::string_view line =
      std::string_view(mBuffer).substr(mStart, end - mStart);
  mAfterCarriageReturn = mBuffer[end] == '\r';
  mStart = end + 1;
  mScanned = 0;
  return line;
}

void SseParser::AddLine(std::string_view aLine) {
  if (aLine.starts_with(':')) {
    return;  // a comment
  }
  mEventBytes += aLine.size() + 1;
  const Field field = FieldOf(aLine);
  if (field.mName == "data") {
    // A data line may be empty, also the first one.
    mEvent.mData += mHasData ? "\n" : "";
    mEvent.mData += field.mValue;
    mHasData = true;
  } else if (field.mName == "event") {
    mEvent.mName = field.mValue;
  } else if (field.mName == "id") {
    if (field.mValue.find('\0') == std::string_view::npos) {
      mEvent.mId = field.mValue;
    }
  } else {
    mEvent.mOthers.push_back(
        {std::string(field.mName), std::string(field.mValue)});
  }
}

std::optional<SseEvent> SseParser::Next() {
  if (mAtBegin && !SkipByteOrderMark()) {
    return std::nullopt;
  }
  while (const std::optional<std::string_view> line = NextLine()) {
    if (!line->empty()) {
      AddLine(*line);
      continue;
    }
    const bool counts =
        mHasData || !mEvent.mName.empty() || !mEvent.mId.empty();
    mEventBytes = 0;
    mHasData = false;
    SseEvent event = std::exchange(mEvent, SseEvent());
    if (counts) {
      SkipLineFeed();
      return event;
    }
  }
  return std::nullopt;
}

bool SseParser::InEvent() const {
  const bool lineFeedOnly = mAfterCarriageReturn &&
                            mBuffer.size() == mStart + 1 &&
                            mBuffer[mStart] == '\n';
  return mEventBytes > 0 || (mStart < mBuffer.size() && !lineFeedOnly);
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
