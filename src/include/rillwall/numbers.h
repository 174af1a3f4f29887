/// \file
/// Parsing of numbers in text from outside the process.

#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace rillwall {

/// \return the decimal number, or nothing if the whole text is not one number
inline std::optional<int64_t> ParseNumber(std::string_view aText) {
  int64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [last, code] = std::from_chars(aText.data(), end, value);
  const bool whole = code == std::errc() && last == end;
  return whole ? std::optional(value) : std::nullopt;
}

}  // namespace rillwall
