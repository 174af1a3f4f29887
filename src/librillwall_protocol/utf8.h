/// \file
/// Validates text before it goes into a protobuf string, because a protobuf
/// parser rejects a whole message for one string that is not UTF-8.

#pragma once

#include <string_view>

namespace rillwall {

/// \return whether the text is valid UTF-8 without control characters
bool IsPlainUtf8(std::string_view aText);

}  // namespace rillwall
