/// \file
/// Server-sent events: parsing a byte stream into events, and writing events.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/error.h"

namespace rillwall {

/// A field of an event that the standard does not define.
struct SseField {
  std::string mName;
  std::string mValue;
  bool operator==(const SseField&) const = default;
};

/// One event.
struct SseEvent {
  std::string mName;  ///< value of the "event:" line; empty if none
  std::string mData;  ///< values of the "data:" lines, joined by newlines
  std::string mId;    ///< value of the "id:" line; empty if none
  std::vector<SseField> mOthers = {};  ///< non-standard fields
  bool operator==(const SseEvent&) const = default;
};

/// Data of the event that ends a complete OpenAI-style stream.
inline constexpr std::string_view kSseDone = "[DONE]";

/// Incremental parser: takes pieces of a stream and returns complete events, as
/// the section "Server-sent events" of the HTML standard describes them: lines
/// end with CR, LF or CRLF, and a byte order mark may precede the first one.
/// Other than there, an event without data counts if it has a name or an id.
class SseParser {
 public:
  /// Appends a piece of the stream.
  /// \return TooLarge if the unparsed data would exceed twice the size limit of
  /// an event (1 MB)
  std::optional<Error> Feed(std::string_view aPart);
  /// \return the next complete event, or nothing until more data arrives
  std::optional<SseEvent> Next();
  /// \return whether data of an event that is not complete has arrived. Call
  /// it when Next() returns nothing.
  bool InEvent() const;

 private:
  /// \return false if more bytes are needed to decide
  bool SkipByteOrderMark();
  /// Skips the line feed of a CRLF whose CR has ended a line.
  void SkipLineFeed();
  /// \return the next whole line without its end; valid until the next Feed()
  std::optional<std::string_view> NextLine();
  void AddLine(std::string_view aLine);

  std::string mBuffer;
  size_t mStart = 0;       ///< offset of the first unparsed byte of mBuffer
  size_t mScanned = 0;     ///< bytes from mStart on without the end of a line
  SseEvent mEvent;         ///< the event that is not complete
  size_t mEventBytes = 0;  ///< of its lines
  bool mHasData = false;   ///< it has a data line, which may be empty
  bool mAtBegin = true;    ///< a byte order mark may follow
  bool mAfterCarriageReturn = false;  ///< the last line ended with CR
};

/// \return "data: <aData>\n\n"
std::string SseData(std::string_view aData);
/// \return a named event with one data line
std::string SseNamed(std::string_view aName, std::string_view aData);

}  // namespace rillwall
