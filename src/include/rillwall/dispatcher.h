/// \file
/// Admission, queueing and routing of model calls on one node.
///
/// Interactive calls and training samples ask for an upstream here and are
/// started, queued or refused. The dispatcher has:
/// - weighted fair queues, between client accounts and between trainers;
/// - an adaptive concurrency limit and a circuit breaker per upstream;
/// - headroom that is kept for interactive calls;
/// - one retry budget.
///
/// It selects an upstream by the node's own calls in flight, the reported load
/// weighted by its age, the power of two random choices, prefix affinity with
/// bounded loads, and the zone.
///
/// Sans-IO and single-threaded: the owner calls it on one strand and carries
/// out the decisions returned. The same sequence of calls gives the same
/// decisions.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/millis.h"
#include "rillwall/policy.h"
#include "rillwall/upstream.h"

namespace rillwall {

enum class CallClass { Interactive, Training };

/// Request for an upstream for one model call.
struct CallSpec {
  uint64_t mTicket = 0;  ///< unique ID, assigned by the owner
  CallClass mClass = CallClass::Interactive;
  std::string mTenant;  ///< client account or trainer
  std::string mModel;
  uint64_t mPrefixHash = 0;  ///< of the prompt's first part; 0: no affinity
  int64_t mExpectedTokens = 0;
  int64_t mMinVersion = 0;          ///< minimum weight version; 0: any
  std::vector<std::string> mZones;  ///< allowed zones; empty: all
  std::vector<std::string> mAvoid;  ///< IDs of upstreams that failed this call
  Millis mDeadline;     ///< instant after which the result is useless
  bool mRetry = false;  ///< counts against the retry budget
};

enum class CallAction { Start, Refuse, Preempt };

/// Decision about one call. Preempt asks the owner to cancel the call at its
/// upstream, to report its end with Finish() and to submit it again.
struct CallDecision {
  uint64_t mTicket = 0;
  CallAction mAction = CallAction::Start;
  std::string mUpstream;                      ///< ID of the upstream, for Start
  ErrorKind mReason = ErrorKind::Overloaded;  ///< for Refuse
  Millis mRetryAfter;  ///< for Refuse: time until a retry makes sense
};

/// How a call ended at its upstream.
enum class CallOutcome { Done, Refused, Failed, TimedOut, Cancelled };

/// Limits of admission, queueing and retries.
struct DispatcherLimits {
  Millis mMaxInteractiveWait{2000};  ///< queueing time of an interactive call
  size_t mMaxQueued = 20000;         ///< queued calls of all models and classes
  double mRetryRatio = 0.1;          ///< retries per first attempt
  int mBreakerFailures = 3;  ///< consecutive failures that open the breaker
  Millis mBreakerOpenTime{2000};  ///< from opening to the first probe
};

struct DispatchTuning;

/// Admits, queues and routes the model calls of one node.
class Dispatcher {
 public:
  /// \param aZone the availability zone of the node
  /// \param aSeed seed of the random choices
  Dispatcher(std::string aZone, DispatcherLimits aLimits, uint64_t aSeed);
  /// As above, with constants other than the defaults, for benchmarks.
  Dispatcher(std::string aZone, DispatcherLimits aLimits, uint64_t aSeed,
             const DispatchTuning& aTuning);
  ~Dispatcher();

  /// Replaces the engines to route to (the node's subset) and the rules. Calls
  /// in flight at an engine that is no longer listed go on.
  void Configure(std::vector<Upstream> aEngines, const PolicyRules& aRules,
                 Millis aNow);
  /// Marks an upstream as leaving, so that no new call goes to it, whichever
  /// source reported it. An ID that is not known yet is remembered for a while.
  void MarkLeaving(std::string_view aUpstream, Millis aNow);
  /// Records an upstream's load report.
  void Report(std::string_view aUpstream, const LoadReport& aReport);

  /// Requests an upstream for a call. The decision about it is returned here or
  /// later by any of the functions below.
  /// \return decisions about this call and possibly about queued ones
  std::vector<CallDecision> Submit(CallSpec aSpec, Millis aNow);
  /// Records the first token of a started call.
  void FirstToken(uint64_t aTicket, Millis aNow);
  /// Records tokens of a started call.
  /// \param aTokens since the previous record
  void Progress(uint64_t aTicket, int64_t aTokens, Millis aNow);
  /// Records the end of a started call.
  /// \return decisions about other calls that can start now
  std::vector<CallDecision> Finish(uint64_t aTicket, CallOutcome aOutcome,
                                   Millis aNow);
  /// Removes a queued call that its owner no longer needs.
  std::vector<CallDecision> Withdraw(uint64_t aTicket, Millis aNow);
  /// Refuses expired calls, starts queued ones, requests preemptions and
  /// refreshes the estimates. Call it about every 20 ms.
  std::vector<CallDecision> Tick(Millis aNow);

  /// \return slots that training calls could take now, for the choice among
  /// group runners
  int64_t FreeTrainingSlots(std::string_view aModel) const;
  /// \return the state as JSON text, for the dump
  std::string Dump() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace rillwall
