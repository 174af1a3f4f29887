/// \file
/// The weight store's rate limit and its byte ranges.

#pragma once

#include <cstdint>
#include <string_view>

#include "rillwall/error.h"
#include "rillwall/millis.h"

namespace rillwall::standin {

/// Bytes [mBegin, mEnd) of a file.
struct ByteRange {
  int64_t mBegin = 0;
  int64_t mEnd = 0;
  int64_t Size() const { return mEnd - mBegin; }
  bool operator==(const ByteRange&) const = default;
};

/// Reads a Range header with one range ("bytes=0-99", "bytes=5-", "bytes=-5").
/// \return the range, or BadRequest if it lies outside the file
Result<ByteRange> ParseRange(std::string_view aHeader, int64_t aSize);

/// Gives each chunk of any reader the next free time on one line.
class RateLimit {
 public:
  /// \param aBytesPerMilli the rate; 0: none
  /// \return how long to wait before the bytes are sent
  Millis Reserve(int64_t aBytes, double aBytesPerMilli, Millis aNow);

 private:
  double mFreeAt = 0;  ///< in milliseconds, with fractions
};

}  // namespace rillwall::standin
