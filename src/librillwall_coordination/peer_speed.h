/// \file
/// Detection of engines that are slow but not dead (gray failures): the tokens
/// per second and stream of an engine are compared with the median of its
/// peers.
///
/// Samples decay with time, so an engine whose limit was lowered is tried
/// again. Sans-IO and single-threaded.

#pragma once

#include <cstdint>
#include <vector>

#include "rillwall/millis.h"

namespace rillwall {

/// Average tokens per second of one engine's streams, decayed over time.
class StreamSpeed {
 public:
  /// Records tokens of one stream.
  /// \param aSpan since the previous tokens of the stream
  void Add(int64_t aTokens, Millis aSpan, Millis aNow);
  /// \return whether there are enough recent samples for a comparison
  bool Known(Millis aNow) const;
  /// \return tokens per second of a stream
  double PerSecond() const { return mSpan > 0 ? mTokens * 1000 / mSpan : 0; }
  void Clear() { *this = StreamSpeed(); }

 private:
  void Decay(Millis aNow);

  double mTokens = 0;
  double mSpan = 0;  ///< ms
  Millis mAt;
};

/// \param aSpeed tokens per second and stream of the engine
/// \param aMedian that of its peers; 0: not known
/// \return the share of its slots that the engine should fill, in (0, 1]
double SpeedWeight(double aSpeed, double aMedian);

/// \return the median, or 0 if there are no values
double Median(std::vector<double> aValues);

}  // namespace rillwall
