// Making room: training calls recalled from their engines.

#include <algorithm>

#include "dispatcher_impl.h"

namespace rillwall {

namespace {
constexpr Millis kMoveAfter{2000};
constexpr double kMoveWeight = 0.4;
}  // namespace

void Dispatcher::Impl::Recall(uint64_t aTicket, DispatchedCall& aCall,
                              CallDecisions& aOut) {
  aOut.push_back(CallDecision{.mTicket = aTicket,
                              .mVerdict = CallVerdict::Preempt,
                              .mUpstream = aCall.mEngine->Info().mId});
}

void Dispatcher::Impl::Preempt(ModelQueue& aModel, CallDecisions& aOut,
                               Millis aNow) {
  if (mTuning.mPreemptAfter.Count() == 0) {
    return;
  }
  // The youngest call has the least to compute again when it is resumed.
  auto next = aModel.mTrainingCalls.rbegin();
  size_t needed = 0;
  aModel.mInteractive.TakeFirst([&](uint64_t aTicket) {
    const DispatchedCall& waiting = mCalls.at(aTicket);
    const bool due = aNow - waiting.mQueuedAt >= mTuning.mPreemptAfter;
    if (!due || ++needed <= aModel.mPreempting) {
      return false;
    }
    for (; next != aModel.mTrainingCalls.rend(); ++next) {
      DispatchedCall& call = mCalls.at(*next);
      const bool fits = call.mStage == CallStage::Started &&
                        call.mEngine->Usable(aNow) &&
                        aModel.mPool.Allowed(waiting.mSpec, *call.mEngine);
      if (fits) {
        call.mStage = CallStage::Preempting;
        ++aModel.mPreempting;
        ++mCounts.mPreempted;
        Recall(*next, call, aOut);
        return false;
      }
    }
    return false;
  });
}

void Dispatcher::Impl::MoveTraining(ModelQueue& aModel, CallDecisions& aOut,
                                    Millis aNow) {
  if (!mTuning.mMoveTraining) {
    return;
  }
  int64_t room = aModel.mPool.TrainingRoom(aNow) -
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
      Recall(ticket, call, aOut);
    }
  }
}

}  // namespace rillwall
