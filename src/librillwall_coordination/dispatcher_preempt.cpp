// Preemption of training calls to make room for interactive ones.

#include "dispatcher_impl.h"

namespace rillwall {

namespace {
constexpr Millis kPreemptAfter{40};
}  // namespace

void Dispatcher::Impl::Preempt(ModelQueue& aModel, CallDecisions& aOut,
                               Millis aNow) {
  // The youngest call has the least to compute again when it is resumed.
  auto next = aModel.mTrainingCalls.rbegin();
  size_t needed = 0;
  aModel.mInteractive.TakeFirst([&](uint64_t aTicket) {
    const DispatchedCall& waiting = mCalls.at(aTicket);
    const bool due = aNow - waiting.mQueuedAt >= kPreemptAfter;
    if (!due || ++needed <= aModel.mPreempting) {
      return false;
    }
    for (; next != aModel.mTrainingCalls.rend(); ++next) {
      DispatchedCall& call = mCalls.at(*next);
      const bool fits = call.mStage == CallStage::Started &&
                        aModel.mPool.Allowed(waiting.mSpec, *call.mEngine);
      if (!fits) {
        continue;
      }
      call.mStage = CallStage::Preempting;
      ++aModel.mPreempting;
      ++mCounts.mPreempted;
      aOut.push_back(CallDecision{.mTicket = *next,
                                  .mVerdict = CallVerdict::Preempt,
                                  .mUpstream = call.mEngine->Info().mId});
      return false;
    }
    return false;
  });
}

}  // namespace rillwall
