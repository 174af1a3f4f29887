/// \file
/// Retry decisions for one call to a service: whether another replica may be
/// tried, and which error the client gets in the end.
///
/// Pure: no I/O and no clock. Use one CallAttempts object per client attempt.

#pragma once

#include "rillwall/error.h"
#include "rillwall/route_table.h"

namespace rillwall {

/// Outcome of one try at a replica.
enum class TryOutcome {
  Answered,  ///< a complete response, or the head of a stream, was received
  Refused,   ///< the replica reported that it did not run the request
  NotSent,   ///< no byte of the request can have reached the replica
  Lost,  ///< sent, but no complete response arrived; the request may have run
  /// Sent, but no response arrived within the time limit of this try.
  TimedOut,
};

/// Next action for a call.
enum class CallStep {
  Deliver,  ///< pass the response on to the client
  Retry,    ///< try another replica
  Fail,     ///< return the error of Failure() to the client
};

/// Tracks the tries of one call.
class CallAttempts {
 public:
  /// \param aKind decides whether the request may run more than once
  /// \param aAttempts replicas that may run the request; values below 1 count
  /// as 1
  CallAttempts(RequestKind aKind, int aAttempts);

  /// Records how a try ended.
  /// \param aStatus HTTP status of the response, 0 if there is none
  /// \return the next action
  CallStep RecordTry(TryOutcome aOutcome, int aStatus);
  /// \return whether the current try may be ended early in favor of another
  /// replica
  bool MayAbandonTry() const;
  /// \return Unknown if a replica may have run the request, else NotRun
  RunState Run() const {
    return mPossibleRuns > 0 ? RunState::Unknown : RunState::NotRun;
  }
  /// \return number of tries so far
  int Tries() const { return mTries; }
  /// \return number of tries so far that reached no replica
  int UnsentTries() const { return mUnsentTries; }
  /// \return the error for the client; it says NotRun only if no replica can
  /// have run the request
  Error Failure(bool aTimedOut) const;

 private:
  bool MayRunAgain() const;

  const RequestKind mKind;
  const int mAttempts;
  int mPossibleRuns = 0;  ///< replicas that ran the request or may have run it
  int mTries = 0;
  int mUnsentTries = 0;  ///< tries that reached no replica
};

}  // namespace rillwall
