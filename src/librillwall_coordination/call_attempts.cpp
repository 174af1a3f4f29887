#include "rillwall/call_attempts.h"

#include <algorithm>

namespace rillwall {

namespace {

constexpr int kServerErrors = 5;  // of status / 100
/// Tries that did not run cost little, but must end.
constexpr int kMaxTries = 8;
/// When a refused caller may come back: about as long as one plain request
/// runs, so that a slot has come free.
constexpr Millis kComeBack{200};

}  // namespace

CallAttempts::CallAttempts(RequestKind aKind, int aAttempts)
    : mKind(aKind), mAttempts(std::max(aAttempts, 1)) {}

bool CallAttempts::MayRunAgain() const {
  return mKind == RequestKind::Idempotent && mRan < mAttempts;
}

bool CallAttempts::MayAbandonTry() const {
  return mKind == RequestKind::Idempotent && mRan + 1 < mAttempts &&
         mTries + 1 < kMaxTries;
}

CallStep CallAttempts::RecordTry(TryOutcome aEnd, int aStatus) {
  ++mTries;
  const bool triesLeft = mTries < kMaxTries;
  switch (aEnd) {
    case TryOutcome::Answered: {
      ++mRan;
      const bool failed = aStatus / 100 == kServerErrors;
      return failed && MayRunAgain() && triesLeft ? CallStep::Retry
                                                  : CallStep::Deliver;
    }
    case TryOutcome::Refused:
    case TryOutcome::NotSent:
      return triesLeft ? CallStep::Retry : CallStep::Fail;
    case TryOutcome::Lost:
    case TryOutcome::TimedOut:
      ++mRan;
      return MayRunAgain() && triesLeft ? CallStep::Retry : CallStep::Fail;
  }
  return CallStep::Fail;
}

Error CallAttempts::Failure(bool aTimeIsUp) const {
  if (mRan == 0) {
    return Error(ErrorKind::Overloaded,
                 "No replica took the request; it was not run.",
                 RunState::NotRun)
        .WithRetryAfter(kComeBack);
  }
  if (aTimeIsUp) {
    return {ErrorKind::Timeout, "No answer came in time.", RunState::Unknown};
  }
  return {ErrorKind::ConnectionLost, "A replica's answer was lost.",
          RunState::Unknown};
}

}  // namespace rillwall
