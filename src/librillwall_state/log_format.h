/// \file
/// How one log line looks, as text and as JSON.

#pragma once

#include <string>

#include "rillwall/log.h"

namespace rillwall {

/// What one line says.
struct LogLine {
  std::string mTime;  ///< UTC, ISO 8601
  LogLevel mLevel = LogLevel::Info;
  std::string mPart;     ///< prefix
  std::string mRequest;  ///< empty: none
  std::string mText;
};

/// \return the line without a line break at its end and with none inside
std::string FormatText(const LogLine& aLine);
/// \return the line as one JSON object
std::string FormatJson(const LogLine& aLine);

}  // namespace rillwall
