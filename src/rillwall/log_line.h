/// \file
/// Parser for the lines of a node's JSON log.

#pragma once

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace rillwall {

namespace json = boost::json;

/// A parsed line.
struct LogLine {
  json::object mFields;
  std::string mNode;  ///< last word before the JSON, or else the file's name
  int64_t mTime = 0;  ///< wall clock of the node, ms
};

/// \return whether a text contains the beginning of a JSON log line
bool ContainsLogLine(const std::string& aText);
/// \param aName name of the file
/// \return the line, or nothing if the text contains no valid JSON log line
std::optional<LogLine> ParseLogLine(const std::string& aText,
                                    const std::string& aName);
/// \return a string field, empty if it is missing or of another type
std::string TextField(const json::object& aLine, std::string_view aName);
/// \return an integer field, 0 if it is missing or of another type
int64_t NumberField(const json::object& aLine, std::string_view aName);

}  // namespace rillwall
