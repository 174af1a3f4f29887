/// \file
/// State and steps of the dispatcher; see rillwall/dispatcher.h for what it
/// does.

#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "dispatch_tuning.h"
#include "engine_state.h"
#include "fair_queue.h"
#include "retry_budget.h"
#include "rillwall/dispatcher.h"
#include "router.h"
#include "wait_estimate.h"

namespace rillwall {

using CallDecisions = std::vector<CallDecision>;

/// Preempting: the owner is asked to end the call in favour of an interactive
/// one. Moving: likewise, to start it at another engine.
enum class CallStage { Queued, Started, Preempting, Moving };

struct ModelState;

/// A call from Submit() until it is refused or ends.
struct DispatchedCall {
  CallSpec mSpec;
  CallStage mStage = CallStage::Queued;
  ModelState* mModel = nullptr;
  FairQueue::Tenant mTenant = 0;
  FairQueue::Position mPosition;  ///< while queued
  Millis mQueuedAt;
  Millis mExpires;  ///< when the call is refused if still queued
  EngineState* mEngine = nullptr;
  uint64_t mGeneration = 0;  ///< of the engine, when the call started
  std::list<uint64_t>::iterator mTrainingPosition;  ///< while started
  std::list<uint64_t>::iterator mAwaitingPosition;  ///< until its first token
  int64_t mTokens = 0;
  Millis mStartedAt;
  Millis mLastTokenAt;
  bool mStreaming = false;  ///< the first token has arrived
};

/// Queues and engines of one model.
struct ModelState {
  ModelState(const std::string& aZone, const DispatchTuning& aTuning)
      : mPool(aZone, aTuning) {}

  FairQueue& Queue(CallClass aClass) {
    return aClass == CallClass::Interactive ? mInteractive : mTraining;
  }
  const FairQueue& Queue(CallClass aClass) const {
    return aClass == CallClass::Interactive ? mInteractive : mTraining;
  }
  WaitEstimate& Wait(CallClass aClass) {
    return aClass == CallClass::Interactive ? mInteractiveWait : mTrainingWait;
  }

  /// \return calls of a class that run now
  int64_t& Running(CallClass aClass) {
    return aClass == CallClass::Interactive ? mInteractiveRunning
                                            : mTrainingRunning;
  }

  EnginePool mPool;
  FairQueue mInteractive;
  FairQueue mTraining;
  WaitEstimate mInteractiveWait;
  WaitEstimate mTrainingWait;
  int64_t mInteractiveRunning = 0;
  int64_t mTrainingRunning = 0;
  std::list<uint64_t> mTrainingCalls;  ///< started, oldest first
  std::list<uint64_t>
      mAwaitingFirstToken;  ///< started, no token yet; oldest first
  size_t mPreempting = 0;   ///< preempted for interactive calls, not ended yet
};

/// Time at which a queued call is refused.
struct Expiry {
  Millis mAt;
  uint64_t mTicket = 0;
  bool operator>(const Expiry& aOther) const {
    return std::tie(mAt, mTicket) > std::tie(aOther.mAt, aOther.mTicket);
  }
};

/// Counters for the dump.
struct DispatchCounts {
  uint64_t mStarted = 0;
  uint64_t mQueued = 0;
  uint64_t mRefused = 0;
  uint64_t mPreempted = 0;
  uint64_t mMoved = 0;
  uint64_t mRetries = 0;
};

/// Implementation of the dispatcher: dispatcher.cpp has the engines and the
/// timer, dispatcher_queue.cpp the calls, dispatcher_preempt.cpp preemption.
struct Dispatcher::Impl {
  Impl(std::string aZone, DispatcherLimits aLimits, uint64_t aSeed,
       const DispatchTuning& aTuning);

  // Engines and rules.
  void Configure(std::vector<Upstream> aEngines, const PolicyRules& aRules,
                 Millis aNow);
  void ApplyRules(const PolicyRules& aRules);
  void AddOrUpdateEngine(Upstream aUpstream);
  void RebuildPools(Millis aNow);
  void MarkLeaving(std::string_view aUpstream, Millis aNow);
  ModelState& Model(const std::string& aName);

  // Admission.
  CallDecisions Submit(CallSpec aSpec, Millis aNow);
  /// \return the refusal of a call that must not start or wait, or nothing
  std::optional<CallDecision> Admit(const CallSpec& aSpec, ModelState* aModel,
                                    Millis aNow);
  /// Sheds a queued training call for an interactive one if the queues are
  /// full.
  /// \return whether a call of this class may be queued
  bool EnsureQueueSpace(CallClass aClass, CallDecisions& aOut, Millis aNow);
  void Enqueue(DispatchedCall aCall, CallDecisions& aOut, Millis aNow);
  /// \return how long a call may be queued
  Millis MaxWait(const CallSpec& aSpec, Millis aNow) const;
  /// \param aAhead calls that start first
  Millis ExpectedWait(ModelState& aModel, CallClass aClass, double aAhead,
                      Millis aNow) const;

  // Starts and ends.
  bool TryStart(uint64_t aTicket, DispatchedCall& aCall, CallDecisions& aOut,
                Millis aNow);
  void StartAt(EngineState& aEngine, uint64_t aTicket, DispatchedCall& aCall,
               CallDecisions& aOut, Millis aNow);
  /// Starts queued calls while engines have free slots.
  void StartQueued(ModelState& aModel, CallDecisions& aOut, Millis aNow);
  CallDecisions Finish(uint64_t aTicket, CallOutcome aOutcome, Millis aNow);
  void Progress(uint64_t aTicket, int64_t aTokens, Millis aNow);
  /// Removes a call from its queue and forgets it.
  void RemoveQueued(uint64_t aTicket, DispatchedCall& aCall);
  void Refuse(uint64_t aTicket, ErrorKind aReason, Millis aRetryAfter,
              CallDecisions& aOut);
  void RefuseUnavailable(uint64_t aTicket, const ModelState& aModel,
                         CallDecisions& aOut, Millis aNow);
  /// Refuses queued calls that expire before any engine is usable again.
  void RefuseUnstartable(ModelState& aModel, CallDecisions& aOut, Millis aNow);
  /// \return a retry delay with jitter
  Millis WithJitter(Millis aSpan);

  // Time.
  CallDecisions Tick(Millis aNow);
  void Expire(CallDecisions& aOut, Millis aNow);
  /// Lowers the limits of engines that hold calls with an overdue first token.
  void LowerLimitsForOverdueCalls(ModelState& aModel, Millis aNow);
  /// Preempts training calls for interactive calls that have waited too long.
  void Preempt(ModelState& aModel, CallDecisions& aOut, Millis aNow);
  /// Moves training calls off engines that cannot run them.
  void MoveTraining(ModelState& aModel, CallDecisions& aOut, Millis aNow);
  /// Asks the owner to end a started call.
  void RequestPreemption(const DispatchedCall& aCall, CallDecisions& aOut);
  /// \return the training call to preempt for a waiting one, or nullptr
  DispatchedCall* FindVictim(ModelState& aModel, const CallSpec& aWaiting,
                             Millis aNow);

  std::string Dump() const;

  const std::string mZone;
  const DispatcherLimits mLimits;
  const DispatchTuning mTuning;
  std::mt19937_64 mRandom;
  PolicyRules mRules;
  std::map<std::string, std::unique_ptr<EngineState>, std::less<>> mEngines;
  /// Leaving upstreams that are not configured yet, with the time of the
  /// report.
  std::map<std::string, Millis, std::less<>> mUnknownLeaving;
  std::unordered_map<std::string, std::unique_ptr<ModelState>> mModels;
  std::unordered_map<uint64_t, DispatchedCall> mCalls;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> mExpiries;
  size_t mQueuedCalls = 0;
  RetryBudget mBudget;
  DispatchCounts mCounts;
  Millis mRefreshedAt;
  Millis mNow;
};

}  // namespace rillwall
