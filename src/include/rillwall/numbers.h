/// \file
/// Parsing of numbers in text from outside the process, and the median.

#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace rillwall {

/// \return the decimal number, or nothing if the whole text is not one number
inline std::optional<int64_t> ParseNumber(std::string_view aText) {
  int64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [last, code] = std::from_chars(aText.data(), end, value);
  const bool whole = code == std::errc() && last == end;
  return whole ? std::optional(value) : std::nullopt;
}

/// \return the median, the upper one of two, which single numbers hardly
/// change; aDefault if there are no numbers
inline int64_t MedianOr(std::vector<int64_t> aNumbers, int64_t aDefault) {
  if (aNumbers.empty()) {
    return aDefault;
  }
  const auto middle =
      aNumbers.begin() + static_cast<std::ptrdiff_t>(aNumbers.size() / 2);
  std::nth_element(aNumbers.begin(), middle, aNumbers.end());
  return *middle;
}

}  // namespace rillwall
