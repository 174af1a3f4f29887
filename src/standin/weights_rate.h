/// \file
/// Rate limit and byte ranges of the weight store.

#pragma once

#include <cstdint>
#include <string_view>

#include "rillwall/error.h"
#include "rillwall/millis.h"

namespace rillwall::standin {

/// The bytes [mBegin, mEnd) of a file.
struct ByteRange {
  int64_t mBegin = 0;
  int64_t mEnd = 0;
  int64_t Size() const { return mEnd - mBegin; }
  bool operator==(const ByteRange&) const = default;
};

/// Parses a Range header with one range ("bytes=0-99", "bytes=5-", "bytes=-5").
/// \param aSize size of the file in bytes
/// \return the range, or BadRequest if it is invalid or outside the file
Result<ByteRange> ParseRange(std::string_view aHeader, int64_t aSize);

/// A rate limit shared by all readers. Chunks are scheduled one after the other
/// in the order of their reservations.
class RateLimit {
 public:
  /// Reserves the time to send a chunk.
  /// \param aBytesPerMs rate in bytes per millisecond; 0: unlimited
  /// \return how long to wait before the bytes are sent
  Millis Reserve(int64_t aBytes, double aBytesPerMs, Millis aNow);

 private:
  double mFreeAt = 0;  ///< end of the last reservation, in milliseconds
};

}  // namespace rillwall::standin
