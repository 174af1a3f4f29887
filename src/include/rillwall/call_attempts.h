/// \file
/// Whether a call to a service may be tried at another replica, and what its
/// caller may be told in the end.
///
/// Pure. One object for each client attempt.

#pragma once

#include "rillwall/error.h"
#include "rillwall/route_table.h"

namespace rillwall {

/// How one try at a replica ended.
enum class TryOutcome {
  Answered,  ///< a whole answer came, or the head of a stream
  Refused,   ///< the replica said that it did not run the request
  NotSent,   ///< no byte of the request can have reached the replica
  Lost,      ///< sent, and no whole answer came: it may have run
  TimedOut,  ///< sent, and no answer came in the time of this try
};

/// What to do next.
enum class CallStep {
  Deliver,  ///< hand the answer on
  Retry,    ///< try another replica
  Fail,     ///< give the caller the error of Failure()
};

class CallAttempts {
 public:
  /// \param aAttempts replicas that may run the request
  CallAttempts(RequestKind aKind, int aAttempts);

  /// \param aStatus of an answer, else 0
  /// \return what to do next
  CallStep RecordTry(TryOutcome aEnd, int aStatus);
  /// \return whether a try may be cut short in favour of another replica
  bool MayAbandonTry() const;
  /// \return whether a replica may have run the request
  RunState Run() const {
    return mRan > 0 ? RunState::Unknown : RunState::NotRun;
  }
  /// \return how many tries were made
  int Tries() const { return mTries; }
  /// \return what the caller is told; says NotRun only if that is certain
  Error Failure(bool aTimeIsUp) const;

 private:
  bool MayRunAgain() const;

  const RequestKind mKind;
  const int mAttempts;
  int mRan = 0;  ///< replicas that ran it, or may have
  int mTries = 0;
};

}  // namespace rillwall
