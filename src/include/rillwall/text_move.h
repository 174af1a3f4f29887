/// \file
/// When a text should go on at another replica.
///
/// Replicas of one service differ in speed, by a third in the hardware and by
/// several times while one is disturbed. A running text can go on elsewhere:
/// its stream is closed, prompt and text are read again there, and the events
/// come faster from then on. Pure: no state, no I/O and no clock.

#pragma once

#include <cstdint>

namespace rillwall {

/// A text and the two replicas in question.
struct TextMove {
  int64_t mEvents = 0;     ///< that it has
  int64_t mExpected = 0;   ///< events of the whole text by its hint; 0: unknown
  double mSourcePace = 0;  ///< ms an event; 0: unknown
  double mTargetPace = 0;  ///< the same with this text there
};

/// What the hints of senders are worth: how many tokens of a hint an event
/// stands for, learnt from texts that are whole.
class LengthHints {
 public:
  /// \param aHint tokens that were hinted for the text; 0: none
  /// \param aEvents that it has in the end
  void Learn(int64_t aHint, int64_t aEvents);
  /// \return events of a text with this hint; 0: unknown
  int64_t Events(int64_t aHint) const;

 private:
  int64_t mTokens = 0;  ///< hinted for all texts that are whole
  int64_t mEvents = 0;  ///< that these have
};

/// \return events that are expected to come
int64_t ExpectedRemainingEvents(int64_t aEvents, int64_t aExpected);
/// \return ms by which the text ends earlier if it moves; may be negative
double MoveGain(const TextMove& aMove);
/// \return whether that is worth the move
bool MovePays(const TextMove& aMove);

}  // namespace rillwall
