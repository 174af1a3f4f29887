/// \file
/// One line of a node's log.

#pragma once

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace rillwall {

namespace json = boost::json;

struct LogLine {
  json::object mFields;
  std::string mNode;  ///< the file's name, or the word before the line
  int64_t mTime = 0;  ///< wall clock of the node, ms
};

/// \return whether a text holds the beginning of a log line
bool HoldsLogLine(const std::string& aText);
/// \param aName of the file
/// \return the line, or nothing if the text holds none or a broken one
std::optional<LogLine> ParseLogLine(const std::string& aText,
                                    const std::string& aName);
/// \return a field as text, empty if it is missing or none
std::string LineText(const json::object& aLine, std::string_view aName);
/// \return a field as a whole number, 0 if it is missing or none
int64_t LineNumber(const json::object& aLine, std::string_view aName);

}  // namespace rillwall
