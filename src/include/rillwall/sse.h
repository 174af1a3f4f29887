/// \file
/// Server-sent events: splitting a byte stream into events.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/error.h"

namespace rillwall {

/// A line of an event whose field is none of the standard's.
struct SseField {
  std::string mName;
  std::string mValue;
  bool operator==(const SseField&) const = default;
};

/// One event; several data lines are joined by a newline.
struct SseEvent {
  std::string mName;  ///< of the "event:" line; empty if none
  std::string mData;
  std::string mId;  ///< of the "id:" line; empty if none
  std::vector<SseField> mOthers = {};
  bool operator==(const SseEvent&) const = default;
};

/// The data of the event that ends a whole OpenAI-style stream.
inline constexpr std::string_view kSseDone = "[DONE]";

/// Takes parts of a stream as they arrive and gives out whole events.
class SseParser {
 public:
  /// \return TooLarge if an unfinished event exceeds the bound (1 MB)
  std::optional<Error> Feed(std::string_view aPart);
  /// \return the next whole event, if there is one
  std::optional<SseEvent> Next();

 private:
  std::string mBuffer;
  size_t mStart = 0;
};

/// \return "data: <aData>\n\n"
std::string SseData(std::string_view aData);
/// \return a named event with one data line
std::string SseNamed(std::string_view aName, std::string_view aData);

}  // namespace rillwall
