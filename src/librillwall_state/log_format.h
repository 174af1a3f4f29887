/// \file
/// Formats log lines as text and as JSON.

#pragma once

#include <string>

#include "rillwall/log.h"

namespace rillwall {

/// The fields of one log line.
struct LogLine {
  std::string mTime;  ///< UTC, ISO 8601
  LogLevel mLevel = LogLevel::Info;
  std::string mPart;     ///< prefix of the component
  std::string mRequest;  ///< request id; empty: none
  std::string mText;
};

/// \return the line as text, without a final line break; control characters in
/// the line are replaced by spaces
std::string FormatText(const LogLine& aLine);
/// \return the line as one JSON object
std::string FormatJson(const LogLine& aLine);

}  // namespace rillwall
