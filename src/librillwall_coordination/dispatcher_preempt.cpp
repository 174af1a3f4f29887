// Making room: training calls recalled from their engines.

#include <algorithm>

#include "dispatcher_impl.h"

namespace rillwall {

namespace {
constexpr Millis kMoveAfter{2000};
constexpr double kMoveWeight = 0.4;
constexpr size_t kMostRecalled = 16;  // in one tick
}  // namespace

void Dispatcher::Impl::Recall(const DispatchedCall& aCall,
                              CallDecisions& aOut) {
  aOut.push_back(CallDecision{.mTicket = aCall.mSpec.mTicket,
                              .mAction = CallAction::Preempt,
                              .mUpstream = aCall.mEngine->Info().mId});
}

DispatchedCall* Dispatcher::Impl::FindVictim(ModelQueue& aModel,
                                             const CallSpec& aWaiting,
                                             Millis aNow) {
  // The youngest call has the least to compute again when it is resumed. One
  // whose engine stays full for this node still makes room for other nodes.
  DispatchedCall* other = nullptr;
  const auto& calls = aModel.mTrainingCalls;
  for (auto ticket = calls.rbegin(); ticket != calls.rend(); ++ticket) {
    DispatchedCall& call = mCalls.at(*ticket);
    const bool fits = call.mStage == CallStage::Started &&
                      call.mEngine->Usable(aNow) &&
                      aModel.mPool.Allowed(aWaiting, *call.mEngine, aNow);
    if (fits && call.mEngine->FreesRoom(aModel.mPool.Prior(), aNow)) {
      return &call;
    }
    other = fits && !other ? &call : other;
  }
  return other;
}

void Dispatcher::Impl::Preempt(ModelQueue& aModel, CallDecisions& aOut,
                               Millis aNow) {
  if (mTuning.mPreemptAfter.Count() == 0) {
    return;
  }
  size_t needed = 0;
  size_t recalled = 0;
  aModel.mInteractive.ForEach([&](uint64_t aTicket) {
    const DispatchedCall& waiting = mCalls.at(aTicket);
    const bool due = aNow - waiting.mQueuedAt >= mTuning.mPreemptAfter;
    if (!due || recalled >= kMostRecalled) {
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
    ++recalled;
    ++aModel.mPreempting;
    ++mCounts.mPreempted;
    Recall(*victim, aOut);
    return true;
  });
}

void Dispatcher::Impl::MoveTraining(ModelQueue& aModel, CallDecisions& aOut,
                                    Millis aNow) {
  if (!mTuning.mMoveTraining) {
    return;
  }
  int64_t room = aModel.mPool.FreeTrainingSlots(aNow) -
                 static_cast<int64_t>(aModel.mTraining.Size()) -
                 static_cast<int64_t>(aModel.mInteractive.Size());
  for (const uint64_t ticket : aModel.mTrainingCalls) {
    if (room <= 0) {
      return;
    }
    DispatchedCall& call = mCalls.at(ticket);
    const EngineState& engine = *call.mEngine;
    const bool old = aNow - call.mStartedAt >= kMoveAfter;
    const bool stuck = !call.mStreaming && engine.Reported().mWaiting > 0;
    const bool slow = engine.Stalled(aNow) || engine.Weight() < kMoveWeight;
    if (old && call.mStage == CallStage::Started && (stuck || slow)) {
      call.mStage = CallStage::Moving;
      ++mCounts.mMoved;
      --room;
      Recall(call, aOut);
    }
  }
}

}  // namespace rillwall
