#include "rillwall/text_move.h"

#include <algorithm>

namespace rillwall {

namespace {

/// What a move takes from the text itself, in ms: a connection, the prompt and
/// the text read again beside other prompts, and the event that was under way.
constexpr double kMoveMs = 80;
/// A move costs others too: a connection, a slot that a fresh text can't take,
/// and events that wait while the prompt is read. So it must gain this in ms.
constexpr double kLeastGainMs = 200;
/// Replicas of one speed differ by their batch, which the move itself changes:
/// a full one is slower than an empty one by a tenth.
constexpr double kLeastRatio = 1.15;

}  // namespace

void LengthHints::Learn(int64_t aHint, int64_t aEvents) {
  if (aHint > 0 && aEvents > 0) {
    mTokens += aHint;
    mEvents += aEvents;
  }
}

int64_t LengthHints::Events(int64_t aHint) const {
  return mTokens == 0 ? 0 : aHint * mEvents / mTokens;
}

int64_t ExpectedRemainingEvents(int64_t aEvents, int64_t aExpected) {
  // Hints are right at the median and far too low for the longest texts. Of
  // lengths with such a tail, one that has come to n events has about n to go.
  return std::max(aExpected - aEvents, aEvents);
}

double MoveGain(const TextMove& aMove) {
  if (aMove.mSourcePace == 0 || aMove.mTargetPace == 0) {
    return 0;
  }
  const auto rest = static_cast<double>(
      ExpectedRemainingEvents(aMove.mEvents, aMove.mExpected));
  return rest * (aMove.mSourcePace - aMove.mTargetPace) - kMoveMs;
}

bool MovePays(const TextMove& aMove) {
  return aMove.mSourcePace >= aMove.mTargetPace * kLeastRatio &&
         MoveGain(aMove) >= kLeastGainMs;
}

}  // namespace rillwall
