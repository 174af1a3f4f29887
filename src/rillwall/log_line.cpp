#include "log_line.h"

#include <sstream>

namespace rillwall {

namespace {

constexpr char kBegin[] = "{\"time_ms\"";

/// \return the last word before the JSON, or the file's name if there is none
std::string NodeOf(const std::string& aBefore, const std::string& aName) {
  std::istringstream words(aBefore);
  std::string word;
  std::string last;
  while (words >> word) {
    last = word;
  }
  return last.empty() ? aName : last;
}

}  // namespace

bool ContainsLogLine(const std::string& aText) {
  return aText.find(kBegin) != std::string::npos;
}

std::optional<LogLine> ParseLogLine(const std::string& aText,
                                    const std::string& aName) {
  const size_t begin = aText.find(kBegin);
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  json::error_code failed;
  json::value value =
      json::parse(std::string_view(aText).substr(begin), failed);
  if (failed || !value.is_object()) {
    return std::nullopt;
  }
  LogLine line;
  line.mFields = std::move(value.get_object());
  line.mNode = NodeOf(aText.substr(0, begin), aName);
  line.mTime = NumberField(line.mFields, "time_ms");
  return line;
}

std::string TextField(const json::object& aLine, std::string_view aName) {
  const json::value* value = aLine.if_contains(aName);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

int64_t NumberField(const json::object& aLine, std::string_view aName) {
  const json::value* value = aLine.if_contains(aName);
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

}  // namespace rillwall
