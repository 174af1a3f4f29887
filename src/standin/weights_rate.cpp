#include "weights_rate.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace rillwall::standin {

namespace {

/// \return the number, or nothing if the text is empty or not a number
std::optional<int64_t> ParseNumber(std::string_view aText) {
  int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, failure] = std::from_chars(aText.data(), end, number);
  if (failure != std::errc() || stop != end || number < 0) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

Result<ByteRange> ParseRange(std::string_view aHeader, int64_t aSize) {
  constexpr std::string_view kUnit = "bytes=";
  const Error invalid(ErrorKind::BadRequest,
                      "The range is invalid or outside the file.");
  const size_t dash = aHeader.find('-');
  if (!aHeader.starts_with(kUnit) || dash == std::string_view::npos) {
    return invalid;
  }
  const std::string_view beginText =
      aHeader.substr(kUnit.size(), dash - kUnit.size());
  const std::string_view endText = aHeader.substr(dash + 1);
  const std::optional<int64_t> begin = ParseNumber(beginText);
  const std::optional<int64_t> last = ParseNumber(endText);
  if ((!begin && !beginText.empty()) || (!last && !endText.empty()) ||
      (!begin && !last)) {
    return invalid;
  }
  ByteRange range;
  range.mBegin = begin ? *begin : std::max<int64_t>(0, aSize - *last);
  range.mEnd = begin && last ? std::min(aSize, *last + 1) : aSize;
  if (range.Size() <= 0) {
    return invalid;
  }
  return range;
}

Millis RateLimit::Reserve(int64_t aBytes, double aBytesPerMs, Millis aNow) {
  if (aBytesPerMs <= 0) {
    return Millis();
  }
  const double now = static_cast<double>(aNow.Count());
  mFreeAt = std::max(mFreeAt, now) + aBytes / aBytesPerMs;
  return Millis(static_cast<int64_t>(mFreeAt - now));
}

}  // namespace rillwall::standin
