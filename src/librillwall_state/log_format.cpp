#include "log_format.h"

#include <boost/json.hpp>

namespace rillwall {

namespace {

const char* LevelName(LogLevel aLevel) {
  constexpr const char* kNames[] = {"debug", "info", "warn", "error"};
  return kNames[static_cast<size_t>(aLevel)];
}

// Replaces control characters by spaces, so that text from a peer cannot forge
// additional log lines.
std::string Printable(std::string aText) {
  for (char& byte : aText) {
    const auto code = static_cast<unsigned char>(byte);
    if (code < ' ' || code == 0x7f) {
      byte = ' ';
    }
  }
  return aText;
}

}  // namespace

std::string FormatText(const LogLine& aLine) {
  std::string text = aLine.mTime + " " + LevelName(aLine.mLevel) + " " +
                     aLine.mPart + ": " + aLine.mText;
  if (!aLine.mRequest.empty()) {
    text += " [" + aLine.mRequest + "]";
  }
  return Printable(std::move(text));
}

std::string FormatJson(const LogLine& aLine) {
  boost::json::object line;
  line["time"] = aLine.mTime;
  line["level"] = LevelName(aLine.mLevel);
  line["part"] = aLine.mPart;
  if (!aLine.mRequest.empty()) {
    line["request"] = aLine.mRequest;
  }
  line["message"] = aLine.mText;
  return boost::json::serialize(line);
}

}  // namespace rillwall
