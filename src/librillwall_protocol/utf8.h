/// \file
/// A check of text before it is put into a protobuf string: a peer's parser
/// refuses a whole message for one string that is not UTF-8.

#pragma once

#include <string_view>

namespace rillwall {

/// \return whether the text is valid UTF-8 without control characters
bool IsPlainUtf8(std::string_view aText);

}  // namespace rillwall
