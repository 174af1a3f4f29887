/// \file
/// Follows one request, step or item through the logs of several nodes.

#pragma once

#include <istream>
#include <string>
#include <vector>

namespace rillwall {

/// A log line that mentions the id.
struct TraceLine {
  int64_t mTimeMs = 0;  ///< wall clock of the node that wrote it
  std::string mNode;    ///< last word before the JSON, or else the file's name
  std::string mEvent;
  std::string mText;  ///< the other fields as "name=value"
};

/// Collects the log lines that mention an id.
class LogTrace {
 public:
  explicit LogTrace(std::string aId) : mId(std::move(aId)) {}

  /// Reads the log of one node. Other text may precede the JSON of a line.
  /// \param aName name of the file
  void Read(std::istream& aLog, const std::string& aName);
  /// \return the lines sorted by time
  std::vector<TraceLine> Lines() const;
  /// \return messages about lines that are missing or unreadable
  std::vector<std::string> Warnings() const;

 private:
  const std::string mId;
  std::vector<TraceLine> mLines;
  uint64_t mDroppedLines = 0;   ///< lines that nodes report as not written
  uint64_t mUnparsedLines = 0;  ///< lines that begin like JSON but do not parse
  size_t mFiles = 0;
};

}  // namespace rillwall
