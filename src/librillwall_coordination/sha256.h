/// \file
/// SHA-256 of a sequence of texts, computed by OpenSSL.

#pragma once

#include <array>
#include <initializer_list>
#include <string_view>

namespace rillwall {

using Sha256Bytes = std::array<unsigned char, 32>;

/// \param aTexts hashed as if they were concatenated
Sha256Bytes Sha256(std::initializer_list<std::string_view> aTexts);

}  // namespace rillwall
