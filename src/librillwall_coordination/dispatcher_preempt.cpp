// Preemption of training calls, for interactive calls or to move them to
// another engine.

#include <algorithm>

#include "dispatcher_impl.h"

namespace rillwall {

namespace {
constexpr Millis kMoveAfter{2000};  // age of a call
// Training calls are moved off engines whose weight by speed is lower.
constexpr double kMoveSpeedWeight = 0.4;
constexpr size_t kMaxPreemptionsPerTick = 16;
}  // namespace

void Dispatcher::Impl::RequestPreemption(const DispatchedCall& aCall,
                                         CallDecisions& aOut) {
  aOut.push_back(CallDecision{.mTicket = aCall.mSpec.mTicket,
                              .mAction = CallAction::Preempt,
                              .mUpstream = aCall.mEngine->Info().mId});
}

DispatchedCall* Dispatcher::Impl::FindVictim(ModelState& aModel,
                                             const CallSpec& aWaiting,
                                             Millis aNow) {
  // The youngest call has the least to recompute when it is resumed. If no
  // preemption frees a slot for this node, the youngest call is preempted
  // anyway, because that frees a slot for other nodes.
  DispatchedCall* fallback = nullptr;
  const auto& calls = aModel.mTrainingCalls;
  for (auto ticket = calls.rbegin(); ticket != calls.rend(); ++ticket) {
    DispatchedCall& call = mCalls.at(*ticket);
    const bool eligible = call.mStage == CallStage::Started &&
                          call.mEngine->Usable(aNow) &&
                          aModel.mPool.Allowed(aWaiting, *call.mEngine, aNow);
    if (eligible && call.mEngine->WouldFreeSlot(aModel.mPool.Prior(), aNow)) {
      return &call;
    }
    fallback = eligible && !fallback ? &call : fallback;
  }
  return fallback;
}

void Dispatcher::Impl::Preempt(ModelState& aModel, CallDecisions& aOut,
                               Millis aNow) {
  if (mTuning.mPreemptAfter.Count() == 0) {
    return;
  }
  size_t needed = 0;
  size_t preempted = 0;
  aModel.mInteractive.ForEach([&](uint64_t aTicket) {
    const DispatchedCall& waiting = mCalls.at(aTicket);
    const bool due = aNow - waiting.mQueuedAt >= mTuning.mPreemptAfter;
    if (!due || preempted >= kMaxPreemptionsPerTick) {
      return false;
    }
    if (++needed <= aModel.mPreempting) {
      return true;
    }
    DispatchedCall* victim = FindVictim(aModel, waiting.mSpec, aNow);
    if (!victim) {
      return false;
    }
    victim->mStage = CallStage::Preempting;
    ++preempted;
    ++aModel.mPreempting;
    ++mCounts.mPreempted;
    RequestPreemption(*victim, aOut);
    return true;
  });
}

void Dispatcher::Impl::MoveTraining(ModelState& aModel, CallDecisions& aOut,
                                    Millis aNow) {
  if (!mTuning.mMoveTraining) {
    return;
  }
  int64_t freeSlots = aModel.mPool.FreeTrainingSlots(aNow) -
                      static_cast<int64_t>(aModel.mTraining.Size()) -
                      static_cast<int64_t>(aModel.mInteractive.Size());
  for (const uint64_t ticket : aModel.mTrainingCalls) {
    if (freeSlots <= 0) {
      return;
    }
    DispatchedCall& call = mCalls.at(ticket);
    const EngineState& engine = *call.mEngine;
    const bool longRunning = aNow - call.mStartedAt >= kMoveAfter;
    const bool waitingAtEngine =
        !call.mStreaming && engine.LastReport().mWaiting > 0;
    const bool slow =
        engine.Stalled(aNow) || engine.Weight() < kMoveSpeedWeight;
    if (longRunning && call.mStage == CallStage::Started &&
        (waitingAtEngine || slow)) {
      call.mStage = CallStage::Moving;
      ++mCounts.mMoved;
      --freeSlots;
      RequestPreemption(call, aOut);
    }
  }
}

}  // namespace rillwall
