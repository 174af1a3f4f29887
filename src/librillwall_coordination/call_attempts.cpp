#include "rillwall/call_attempts.h"

#include <algorithm>

namespace rillwall {

namespace {

constexpr int kServerErrorClass = 5;  // status / 100
/// Limit on the tries that reached a replica. Those that did not run the
/// request are cheap, but must be bounded too.
constexpr int kMaxTries = 8;
/// Limit on the others. Entries of the registry that describe no replica must
/// not use up the tries.
constexpr int kMaxUnsentTries = 32;
/// Retry-After of a refused call: about the run time of a plain request, after
/// which a slot has become free.
constexpr Millis kRefusedRetryAfter{200};

}  // namespace

CallAttempts::CallAttempts(RequestKind aKind, int aAttempts)
    : mKind(aKind), mAttempts(std::max(aAttempts, 1)) {}

bool CallAttempts::MayRunAgain() const {
  return mKind == RequestKind::Idempotent && mPossibleRuns < mAttempts;
}

bool CallAttempts::MayAbandonTry() const {
  return mKind == RequestKind::Idempotent && mPossibleRuns + 1 < mAttempts &&
         mTries - mUnsentTries + 1 < kMaxTries;
}

CallStep CallAttempts::RecordTry(TryOutcome aOutcome, int aStatus) {
  ++mTries;
  mUnsentTries += aOutcome == TryOutcome::NotSent ? 1 : 0;
  const bool triesLeft =
      mTries - mUnsentTries < kMaxTries && mUnsentTries < kMaxUnsentTries;
  switch (aOutcome) {
    case TryOutcome::Answered: {
      ++mPossibleRuns;
      const bool failed = aStatus / 100 == kServerErrorClass;
      return failed && MayRunAgain() && triesLeft ? CallStep::Retry
                                                  : CallStep::Deliver;
    }
    case TryOutcome::Refused:
    case TryOutcome::NotSent:
      return triesLeft ? CallStep::Retry : CallStep::Fail;
    case TryOutcome::Lost:
    case TryOutcome::TimedOut:
      ++mPossibleRuns;
      return MayRunAgain() && triesLeft ? CallStep::Retry : CallStep::Fail;
  }
  return CallStep::Fail;
}

Error CallAttempts::Failure(bool aTimedOut) const {
  if (mPossibleRuns == 0) {
    return Error(ErrorKind::Overloaded,
                 "No replica accepted the request; it was not run.",
                 RunState::NotRun)
        .WithRetryAfter(kRefusedRetryAfter);
  }
  if (aTimedOut) {
    return {ErrorKind::Timeout, "No response arrived before the deadline.",
            RunState::Unknown};
  }
  return {ErrorKind::ConnectionLost, "The response of a replica was lost.",
          RunState::Unknown};
}

}  // namespace rillwall
