/// \file
/// Validates UTF-8 by the byte ranges of RFC 3629, section 4. Parsers of JSON
/// and protobuf reject a whole message for one string that is not UTF-8, so
/// text from outside is checked before it becomes part of a message.

#pragma once

#include <string>
#include <string_view>

namespace rillwall {

/// \return whether the text is valid UTF-8
bool IsUtf8(std::string_view aText);
/// \return whether the text is valid UTF-8 without control characters
bool IsPlainUtf8(std::string_view aText);
/// \return the text, with U+FFFD in place of each byte that is not part of a
/// valid character
std::string ReplaceInvalidUtf8(std::string_view aText);

}  // namespace rillwall
