/// \file
/// Admission, queueing and routing of model calls on one node.
///
/// Interactive calls and samples ask for an upstream here and are started,
/// queued or refused. The dispatcher keeps weighted fair queues (between
/// houses, and between trainers), an adaptive concurrency limit and a circuit
/// breaker per upstream, headroom for interactive calls, one retry budget, and
/// chooses among upstreams by own calls in flight, reported load decayed by
/// its age, two random choices, prefix affinity with a bounded load, and zone.
///
/// Sans-IO and single-threaded: the owner calls it on one strand and carries
/// out the decisions returned. The same calls give the same decisions.

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

/// What a model call asks for.
struct CallSpec {
  uint64_t mTicket = 0;  ///< chosen by the owner, unique
  CallClass mClass = CallClass::Interactive;
  std::string mTenant;  ///< house or trainer
  std::string mModel;
  uint64_t mPrefixHash = 0;  ///< of the prompt's first part; 0: none
  int64_t mExpectedTokens = 0;
  int64_t mMinVersion = 0;          ///< least weight version wanted; 0: any
  std::vector<std::string> mZones;  ///< allowed; empty: all
  std::vector<std::string> mAvoid;  ///< upstream ids that failed this call
  Millis mDeadline;                 ///< instant after which it is of no use
  bool mRetry = false;              ///< a repeat; drawn from the retry budget
};

enum class CallAction { Start, Refuse, Preempt };

/// What to do with a ticket.
struct CallDecision {
  uint64_t mTicket = 0;
  CallAction mAction = CallAction::Start;
  std::string mUpstream;                      ///< id, for Start
  ErrorKind mReason = ErrorKind::Overloaded;  ///< for Refuse
  Millis mRetryAfter;                         ///< for Refuse: when to come back
};

/// How a call ended at its upstream.
enum class CallOutcome { Done, Refused, Failed, TimedOut, Cancelled };

struct DispatcherLimits {
  Millis mInteractiveQueue{2000};  ///< longest wait of an interactive call
  size_t mMaxQueued = 20000;
  double mRetryRatio = 0.1;   ///< retries per first call
  int mBreakerFailures = 3;   ///< in a row, to open
  Millis mBreakerOpen{2000};  ///< until a probe is let through
};

struct DispatchTuning;

class Dispatcher {
 public:
  Dispatcher(std::string aZone, DispatcherLimits aLimits, uint64_t aSeed);
  /// As above, with other constants than the usual ones, for benchmarks.
  Dispatcher(std::string aZone, DispatcherLimits aLimits, uint64_t aSeed,
             const DispatchTuning& aTuning);
  ~Dispatcher();

  /// Takes the engines to route to (the node's subset) and the rules.
  void Configure(std::vector<Upstream> aEngines, const PolicyRules& aRules,
                 Millis aNow);
  /// An upstream is leaving (from any source): no new call goes to it.
  void MarkLeaving(std::string_view aUpstream, Millis aNow);
  void Report(std::string_view aUpstream, const LoadReport& aReport);

  /// Asks for an upstream. The decision for it may come now or later, from any
  /// of the calls below.
  std::vector<CallDecision> Submit(CallSpec aSpec, Millis aNow);
  /// A started call's first token came.
  void FirstToken(uint64_t aTicket, Millis aNow);
  /// Tokens came from a started call.
  void Progress(uint64_t aTicket, int64_t aTokens, Millis aNow);
  /// A started call ended.
  std::vector<CallDecision> Finish(uint64_t aTicket, CallOutcome aOutcome,
                                   Millis aNow);
  /// A queued call is no longer wanted.
  std::vector<CallDecision> Withdraw(uint64_t aTicket, Millis aNow);
  /// Call every 20 ms or so: expires, probes, preempts.
  std::vector<CallDecision> Tick(Millis aNow);

  /// Free slots that training could take now, for choosing among runners.
  int64_t FreeTrainingSlots(std::string_view aModel) const;
  /// State as JSON text for the dump.
  std::string Dump() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}  // namespace rillwall
