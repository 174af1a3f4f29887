/// \file
/// Base64 with the URL-safe alphabet and without padding, based on OpenSSL.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rillwall {

/// \return the bytes encoded as text
std::string EncodeBase64Url(std::string_view aBytes);
/// \return the decoded bytes, or nothing if the text is not one that
/// EncodeBase64Url returns
std::optional<std::string> DecodeBase64Url(std::string_view aText);

}  // namespace rillwall
