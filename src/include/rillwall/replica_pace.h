/// \file
/// How fast one replica generates, from the events of the streams it runs.
///
/// A replica's batch is read in prompts between events, so single gaps differ
/// by several times; the pace is therefore smoothed over time, not over events,
/// of which a full replica sends some 300 a second. What a replica was seen to
/// do for long is kept beside it, for the time when it runs nothing.
/// Pure: no I/O and no clock.

#pragma once

#include "rillwall/millis.h"

namespace rillwall {

class ReplicaPace {
 public:
  /// Takes in the time between two events of one stream.
  /// \param aMsPerEvent in ms
  void Observe(double aMsPerEvent, Millis aNow);
  /// \return ms an event, as of now or as usual if it was not measured lately;
  /// 0 if it never was
  double At(Millis aNow) const;

 private:
  double mRecent = 0;  ///< ms an event, smoothed; 0: never measured
  double mUsual = 0;   ///< the same over a longer time
  Millis mAt;          ///< of the last measurement
};

}  // namespace rillwall
