/// \file
/// Base64 with the URL-safe alphabet and no padding, by OpenSSL's codec.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rillwall {

/// \return the text that stands for these bytes
std::string EncodeBase64Url(std::string_view aBytes);
/// \return the bytes, or nothing if EncodeBase64Url cannot have made the text
std::optional<std::string> DecodeBase64Url(std::string_view aText);

}  // namespace rillwall
