#include "log_trace.h"

#include <algorithm>

#include "log_line.h"

namespace rillwall {

namespace {

/// \return whether a field of the line is the id, or a path that contains it
bool Mentions(const json::object& aLine, const std::string& aId) {
  return std::any_of(aLine.begin(), aLine.end(), [&](const auto& aField) {
    const json::string* text = aField.value().if_string();
    if (text == nullptr) {
      return false;
    }
    const std::string_view value = *text;
    const size_t at = value.find(aId);
    const bool path = value.starts_with('/') && at != std::string_view::npos;
    return value == aId || path;
  });
}

std::string OtherFields(const json::object& aLine) {
  std::string out;
  for (const auto& field : aLine) {
    if (field.key() == "time_ms" || field.key() == "event") {
      continue;
    }
    out += out.empty() ? "" : " ";
    out += std::string(field.key()) + "=";
    const json::string* text = field.value().if_string();
    out +=
        text != nullptr ? std::string(*text) : json::serialize(field.value());
  }
  return out;
}

}  // namespace

void LogTrace::Read(std::istream& aLog, const std::string& aName) {
  ++mFiles;
  std::string text;
  while (std::getline(aLog, text)) {
    const std::optional<LogLine> parsed = ParseLogLine(text, aName);
    if (!parsed) {
      mUnparsedLines += ContainsLogLine(text) ? 1 : 0;
      continue;
    }
    const json::object& line = parsed->mFields;
    const std::string event = TextField(line, "event");
    if (event == "log-dropped") {
      mDroppedLines += line.contains("lines")
                           ? static_cast<uint64_t>(line.at("lines").as_int64())
                           : 0;
    }
    if (Mentions(line, mId)) {
      mLines.push_back(
          {parsed->mTime, parsed->mNode, event, OtherFields(line)});
    }
  }
}

std::vector<TraceLine> LogTrace::Lines() const {
  std::vector<TraceLine> lines = mLines;
  std::stable_sort(lines.begin(), lines.end(),
                   [](const TraceLine& aOne, const TraceLine& aOther) {
                     return aOne.mTimeMs < aOther.mTimeMs;
                   });
  return lines;
}

std::vector<std::string> LogTrace::Warnings() const {
  std::vector<std::string> gaps;
  if (mLines.empty()) {
    gaps.push_back(
        "No line in " + std::to_string(mFiles) +
        " files mentions the id: it never reached these nodes, or a "
        "node that had it was killed before it wrote its last lines. "
        "Add the logs of the other nodes.");
  }
  if (mDroppedLines > 0) {
    gaps.push_back(std::to_string(mDroppedLines) +
                   " lines were dropped by nodes whose output was not read.");
  }
  if (mUnparsedLines > 0) {
    gaps.push_back(std::to_string(mUnparsedLines) + " lines can't be read.");
  }
  return gaps;
}

}  // namespace rillwall
