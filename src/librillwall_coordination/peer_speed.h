/// \file
/// Finding engines that are slow but not dead ("grey"): the tokens per second
/// that one engine gives a stream, compared with the median of its peers.
///
/// Evidence fades with time, so that an engine weighed down is tried again.
/// Sans-IO and single-threaded.

#pragma once

#include <cstdint>
#include <vector>

#include "rillwall/millis.h"

namespace rillwall {

/// Tokens per second of one engine's streams.
class StreamSpeed {
 public:
  /// Tokens came for one stream.
  /// \param aSpan since the stream's tokens before
  void Add(int64_t aTokens, Millis aSpan, Millis aNow);
  /// \return whether enough was seen lately to judge
  bool Known(Millis aNow) const;
  /// \return tokens per second of one stream
  double PerSecond() const { return mSpan > 0 ? mTokens * 1000 / mSpan : 0; }
  void Clear() { *this = StreamSpeed(); }

 private:
  void Fade(Millis aNow);

  double mTokens = 0;
  double mSpan = 0;  ///< ms
  Millis mAt;
};

/// \return the share of its slots that an engine deserves, in (0, 1]
/// \param aSpeed its tokens per second and stream
/// \param aMedian of its peers; 0: not known
double SpeedWeight(double aSpeed, double aMedian);

/// \return the median, or 0 of nothing
double Median(std::vector<double> aValues);

}  // namespace rillwall
