/// \file
/// Decides when a running text should move to another replica.
///
/// The replicas of one service differ in speed: by a third because of their
/// hardware, and by several times while one is disturbed. A running text can
/// move: its stream is closed, the new replica reads the prompt and the text so
/// far, and the remaining events arrive faster. Pure: no state, no I/O and no
/// clock.

#pragma once

#include <cstdint>

#include "rillwall/millis.h"

namespace rillwall {

/// A running text, and its pace at the current and at the target replica.
struct TextMove {
  int64_t mEvents = 0;  ///< events received so far
  /// Events of the complete text by its hint; 0: unknown.
  int64_t mExpected = 0;
  double mSourcePace = 0;  ///< ms per event at the current replica; 0: unknown
  double mTargetPace = 0;  ///< ms per event at the target, with this text added
};

/// Learns from finished texts how many hinted tokens correspond to one event.
class LengthHints {
 public:
  /// \param aHint tokens hinted for a finished text; 0: none
  /// \param aEvents events of the finished text
  void Learn(int64_t aHint, int64_t aEvents);
  /// \return expected events of a text with this hint; 0: unknown
  int64_t Events(int64_t aHint) const;

 private:
  int64_t mTokens = 0;  ///< hinted tokens of all finished texts
  int64_t mEvents = 0;  ///< events of these texts
};

/// \return expected number of events that are still to come
int64_t ExpectedRemainingEvents(int64_t aEvents, int64_t aExpected);
/// \return ms that the text ends earlier if it moves; may be negative
double MoveGain(const TextMove& aMove);
/// \return whether the gain justifies the move
bool IsMoveWorthwhile(const TextMove& aMove);

/// \param aPace ms per event; 0: unknown
/// \param aTimeLeft until the replica of the text leaves
/// \return whether the text ends before that
bool EndsBeforeLeaving(int64_t aEvents, int64_t aExpected, double aPace,
                       Millis aTimeLeft);

}  // namespace rillwall
