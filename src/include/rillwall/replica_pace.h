/// \file
/// Measures how fast one replica generates, from the events of its streams.
///
/// A replica reads prompts between the events of its batch, so that single gaps
/// between events differ by several times. The pace is therefore smoothed over
/// time and not over events, of which a full replica sends some 300 a second. A
/// long-term pace is kept as well, for times when the replica runs nothing.
/// Pure: no I/O and no clock.

#pragma once

#include "rillwall/millis.h"

namespace rillwall {

/// Smoothed time per event of one replica.
class ReplicaPace {
 public:
  /// Adds a measurement.
  /// \param aMsPerEvent time between two events of one stream, in ms
  void Observe(double aMsPerEvent, Millis aNow);
  /// \return ms per event: the recent pace, or the long-term pace if there is
  /// no recent measurement; 0 if there never was one
  double At(Millis aNow) const;

 private:
  double mRecent = 0;  ///< smoothed ms per event; 0: never measured
  double mUsual = 0;   ///< ms per event, smoothed over a longer time
  Millis mAt;          ///< time of the last measurement
};

}  // namespace rillwall
