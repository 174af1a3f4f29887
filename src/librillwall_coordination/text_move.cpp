#include "rillwall/text_move.h"

#include <algorithm>

namespace rillwall {

namespace {

/// Cost of a move for the text itself, in ms: a new connection, reading the
/// prompt and the text so far beside other prompts, and the event in progress.
constexpr double kMoveCostMs = 80;
/// Required gain in ms. A move also costs others: a connection, a slot that a
/// new text could use, and events that wait while the prompt is read.
constexpr double kMinGainMs = 200;
/// Replicas of the same speed differ by their batch sizes, which a move
/// changes: a full replica is slower than an empty one by a tenth.
constexpr double kMinPaceRatio = 1.15;
/// Time that a text must have before its replica leaves, relative to the
/// expected time. Hints are much too low for the longest texts.
constexpr double kLeavingSafety = 2;

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
  // Hints are right at the median and much too low for the longest texts. With
  // such a long-tailed distribution, a text with n events has about n still to
  // come.
  return std::max(aExpected - aEvents, aEvents);
}

double MoveGain(const TextMove& aMove) {
  if (aMove.mSourcePace == 0 || aMove.mTargetPace == 0) {
    return 0;
  }
  const auto remaining = static_cast<double>(
      ExpectedRemainingEvents(aMove.mEvents, aMove.mExpected));
  return remaining * (aMove.mSourcePace - aMove.mTargetPace) - kMoveCostMs;
}

bool IsMoveWorthwhile(const TextMove& aMove) {
  return aMove.mSourcePace >= aMove.mTargetPace * kMinPaceRatio &&
         MoveGain(aMove) >= kMinGainMs;
}

bool EndsBeforeLeaving(int64_t aEvents, int64_t aExpected, double aPace,
                       Millis aTimeLeft) {
  const auto remaining =
      static_cast<double>(ExpectedRemainingEvents(aEvents, aExpected));
  // A text that is not far enough to tell, or of unknown pace, moves.
  return aPace > 0 && remaining > 0 &&
         remaining * aPace * kLeavingSafety <=
             static_cast<double>(aTimeLeft.Count());
}

}  // namespace rillwall
