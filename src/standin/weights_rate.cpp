#include "weights_rate.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace rillwall::standin {

namespace {

/// \return nothing for an empty text or one that is not a number
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
  const Error invalid(ErrorKind::BadRequest, "The range is not satisfiable.");
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

Millis RateLimit::Reserve(int64_t aBytes, double aBytesPerMilli, Millis aNow) {
  if (aBytesPerMilli <= 0) {
    return Millis();
  }
  const double now = static_cast<double>(aNow.Count());
  mFreeAt = std::max(mFreeAt, now) + aBytes / aBytesPerMilli;
  return Millis(static_cast<int64_t>(mFreeAt - now));
}

}  // namespace rillwall::standin
