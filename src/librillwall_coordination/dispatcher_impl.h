/// \file
/// The dispatcher's state and its steps; see rillwall/dispatcher.h.

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

enum class CallStage { Queued, Started, Preempting, Moving };

struct ModelQueue;

/// A call from Submit() until its refusal or end.
struct DispatchedCall {
  CallSpec mSpec;
  CallStage mStage = CallStage::Queued;
  ModelQueue* mModel = nullptr;
  FairQueue::Tenant mTenant = 0;
  FairQueue::Position mPosition;  ///< while queued
  Millis mQueuedAt;
  Millis mExpires;  ///< when a queued call is refused
  EngineState* mEngine = nullptr;
  uint64_t mGeneration = 0;  ///< of the engine when started
  std::list<uint64_t>::iterator mTrainingPosition;  ///< while started
  std::list<uint64_t>::iterator mAwaitingPosition;  ///< until its first token
  int64_t mTokens = 0;
  Millis mStartedAt;
  Millis mLastTokenAt;
  bool mStreaming = false;  ///< the first token has come
};

/// Queues and engines of one model.
struct ModelQueue {
  ModelQueue(const std::string& aZone, const DispatchTuning& aTuning)
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
  std::list<uint64_t> mAwaiting;       ///< started, without a token
  size_t mPreempting = 0;  ///< recalled for interactive calls, not yet ended
};

/// When a queued call is to be refused.
struct Expiry {
  Millis mAt;
  uint64_t mTicket = 0;
  bool operator>(const Expiry& aOther) const {
    return std::tie(mAt, mTicket) > std::tie(aOther.mAt, aOther.mTicket);
  }
};

/// Counts for the dump.
struct DispatchCounts {
  uint64_t mStarted = 0;
  uint64_t mQueued = 0;
  uint64_t mRefused = 0;
  uint64_t mPreempted = 0;
  uint64_t mMoved = 0;
  uint64_t mRetries = 0;
};

struct Dispatcher::Impl {
  Impl(std::string aZone, DispatcherLimits aLimits, uint64_t aSeed,
       const DispatchTuning& aTuning);

  // Engines and rules.
  void Configure(std::vector<Upstream> aEngines, const PolicyRules& aRules,
                 Millis aNow);
  void ApplyRules(const PolicyRules& aRules);
  void TakeEngine(Upstream aUpstream);
  void RebuildPools(Millis aNow);
  void MarkLeaving(std::string_view aUpstream, Millis aNow);
  ModelQueue& Model(const std::string& aName);

  // Admission.
  CallDecisions Submit(CallSpec aSpec, Millis aNow);
  std::optional<CallDecision> Admit(const CallSpec& aSpec, ModelQueue* aModel,
                                    Millis aNow);
  bool HasRoomInQueue(CallClass aClass, CallDecisions& aOut, Millis aNow);
  void Enqueue(DispatchedCall aCall, CallDecisions& aOut, Millis aNow);
  Millis LongestWait(const CallSpec& aSpec, Millis aNow) const;
  Millis ExpectedWait(ModelQueue& aModel, CallClass aClass, double aAhead,
                      Millis aNow) const;

  // Starts and ends.
  bool TryStart(uint64_t aTicket, DispatchedCall& aCall, CallDecisions& aOut,
                Millis aNow);
  void StartAt(EngineState& aEngine, uint64_t aTicket, DispatchedCall& aCall,
               CallDecisions& aOut, Millis aNow);
  void Pump(ModelQueue& aModel, CallDecisions& aOut, Millis aNow);
  CallDecisions Finish(uint64_t aTicket, CallOutcome aOutcome, Millis aNow);
  void Progress(uint64_t aTicket, int64_t aTokens, Millis aNow);
  void Leave(uint64_t aTicket, DispatchedCall& aCall);
  void Refuse(uint64_t aTicket, ErrorKind aReason, Millis aRetryAfter,
              CallDecisions& aOut);
  void RefuseUnavailable(uint64_t aTicket, const ModelQueue& aModel,
                         CallDecisions& aOut, Millis aNow);
  void RefuseHopeless(ModelQueue& aModel, CallDecisions& aOut, Millis aNow);
  Millis Jitter(Millis aSpan);

  // Time.
  CallDecisions Tick(Millis aNow);
  void Expire(CallDecisions& aOut, Millis aNow);
  void FindOverdue(ModelQueue& aModel, Millis aNow);
  void Preempt(ModelQueue& aModel, CallDecisions& aOut, Millis aNow);
  void MoveTraining(ModelQueue& aModel, CallDecisions& aOut, Millis aNow);
  void Recall(const DispatchedCall& aCall, CallDecisions& aOut);
  DispatchedCall* FindVictim(ModelQueue& aModel, const CallSpec& aWaiting,
                             Millis aNow);

  std::string Dump() const;

  const std::string mZone;
  const DispatcherLimits mLimits;
  const DispatchTuning mTuning;
  std::mt19937_64 mRandom;
  PolicyRules mRules;
  std::map<std::string, std::unique_ptr<EngineState>, std::less<>> mEngines;
  std::map<std::string, Millis, std::less<>> mLeavingUnknown;
  std::unordered_map<std::string, std::unique_ptr<ModelQueue>> mModels;
  std::unordered_map<uint64_t, DispatchedCall> mCalls;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> mExpiries;
  size_t mQueuedCalls = 0;
  RetryBudget mBudget;
  DispatchCounts mCounts;
  Millis mRefreshedAt;
  Millis mNow;
};

}  // namespace rillwall
