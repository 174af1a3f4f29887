/// \file
/// The way of one request, step or item through the logs of several nodes.

#pragma once

#include <istream>
#include <string>
#include <vector>

namespace rillwall {

/// One line of a log that tells of the id.
struct TraceLine {
  int64_t mTimeMs = 0;  ///< wall clock of the node that wrote it
  std::string mNode;    ///< the file's name, or the word before the line
  std::string mEvent;
  std::string mText;  ///< its other fields, "name=value"
};

/// Gathers the lines that tell of an id.
class LogTrace {
 public:
  explicit LogTrace(std::string aId) : mId(std::move(aId)) {}

  /// Reads one node's log: JSON lines, each with words before it or not.
  void Read(std::istream& aLog, const std::string& aName);
  /// \return the lines in order of time
  std::vector<TraceLine> Lines() const;
  /// \return what a reader should know of lines that may be missing
  std::vector<std::string> Gaps() const;

 private:
  const std::string mId;
  std::vector<TraceLine> mLines;
  uint64_t mDropped = 0;  ///< lines that nodes say they could not write
  uint64_t mBroken = 0;   ///< lines that begin as JSON and are none
  size_t mFiles = 0;
};

}  // namespace rillwall
