// Admission, queueing, starts and ends of the dispatcher's calls.

#include <algorithm>
#include <utility>

#include "dispatcher_impl.h"

namespace rillwall {

namespace {
constexpr Millis kShortestRetryAfter{100};
constexpr Millis kLongestRetryAfter{30000};
constexpr Millis kUnavailableRetryAfter{1000};
constexpr Millis kForever{INT64_MAX / 2};
}  // namespace

Millis Dispatcher::Impl::Jitter(Millis aSpan) {
  const Millis span =
      std::clamp(aSpan, kShortestRetryAfter, kLongestRetryAfter);
  // Spread, so that callers refused together do not come back together.
  std::uniform_int_distribution<int64_t> extra(0, span.Count() / 4);
  return span + Millis(extra(mRandom));
}

void Dispatcher::Impl::Refuse(uint64_t aTicket, ErrorKind aReason,
                              Millis aRetryAfter, CallDecisions& aOut) {
  ++mCounts.mRefused;
  aOut.push_back(CallDecision{.mTicket = aTicket,
                              .mAction = CallAction::Refuse,
                              .mReason = aReason,
                              .mRetryAfter = Jitter(aRetryAfter)});
}

Millis Dispatcher::Impl::LongestWait(const CallSpec& aSpec, Millis aNow) const {
  const bool unlimited = aSpec.mDeadline.Count() == 0;
  const Millis wait = unlimited ? kForever : aSpec.mDeadline - aNow;
  return aSpec.mClass == CallClass::Interactive
             ? std::min(wait, mLimits.mInteractiveQueue)
             : wait;
}

std::optional<CallDecision> Dispatcher::Impl::Admit(const CallSpec& aSpec,
                                                    ModelQueue* aModel,
                                                    Millis aNow) {
  CallDecisions out;
  if (!aModel) {
    Refuse(aSpec.mTicket, ErrorKind::NotFound, kUnavailableRetryAfter, out);
  } else if (mCalls.contains(aSpec.mTicket)) {
    Refuse(aSpec.mTicket, ErrorKind::Conflict, kUnavailableRetryAfter, out);
  } else if (LongestWait(aSpec, aNow) <= Millis(0)) {
    Refuse(aSpec.mTicket, ErrorKind::Timeout, kShortestRetryAfter, out);
  } else if (aSpec.mRetry && !mBudget.Draw(aSpec.mClass)) {
    Refuse(aSpec.mTicket, ErrorKind::Overloaded, kUnavailableRetryAfter, out);
  }
  if (out.empty()) {
    return std::nullopt;
  }
  return out.front();
}

CallDecisions Dispatcher::Impl::Submit(CallSpec aSpec, Millis aNow) {
  mNow = aNow;
  const auto found = mModels.find(aSpec.mModel);
  ModelQueue* model = found == mModels.end() ? nullptr : found->second.get();
  if (const auto refusal = Admit(aSpec, model, aNow)) {
    return {*refusal};
  }
  CallDecisions out;
  const uint64_t ticket = aSpec.mTicket;
  FairQueue& queue = model->Queue(aSpec.mClass);
  DispatchedCall call{.mSpec = std::move(aSpec), .mModel = model};
  call.mTenant = queue.Find(call.mSpec.mTenant);
  call.mQueuedAt = aNow;
  const bool first = model->mInteractive.Size() == 0 &&
                     (call.mSpec.mClass == CallClass::Interactive ||
                      model->mTraining.Size() == 0);
  if (first && TryStart(ticket, call, out, aNow)) {
    mCalls.emplace(ticket, std::move(call));
    return out;
  }
  if (!model->mPool.AnyUsable(call.mSpec, aNow)) {
    RefuseUnavailable(ticket, *model, out, aNow);
    return out;
  }
  Enqueue(std::move(call), out, aNow);
  return out;
}

void Dispatcher::Impl::RefuseUnavailable(uint64_t aTicket,
                                         const ModelQueue& aModel,
                                         CallDecisions& aOut, Millis aNow) {
  const Millis probe = aModel.mPool.NextProbe(aNow);
  const Millis wait = probe < kForever ? probe - aNow : kUnavailableRetryAfter;
  Refuse(aTicket, ErrorKind::Unavailable, wait, aOut);
}

void Dispatcher::Impl::RefuseHopeless(ModelQueue& aModel, CallDecisions& aOut,
                                      Millis aNow) {
  if (aModel.mPool.AnyUsable(aNow)) {
    return;
  }
  const Millis probe = aModel.mPool.NextProbe(aNow);
  std::vector<uint64_t> hopeless;
  const auto visit = [&](uint64_t aTicket) {
    if (mCalls.at(aTicket).mExpires <= probe) {
      hopeless.push_back(aTicket);
    }
    return true;
  };
  aModel.mInteractive.ForEach(visit);
  aModel.mTraining.ForEach(visit);
  for (const uint64_t ticket : hopeless) {
    Leave(ticket, mCalls.at(ticket));
    RefuseUnavailable(ticket, aModel, aOut, aNow);
  }
}

Millis Dispatcher::Impl::ExpectedWait(ModelQueue& aModel, CallClass aClass,
                                      double aAhead, Millis aNow) const {
  double ahead = aAhead;
  if (aClass == CallClass::Interactive && mTuning.mPreemptAfter.Count() > 0) {
    // Training calls can be made to give way at once.
    ahead -= static_cast<double>(aModel.mTrainingRunning);
  }
  if (ahead < 0) {
    return mTuning.mPreemptAfter;
  }
  const Millis wait =
      aModel.Wait(aClass).Wait(ahead, aModel.Running(aClass), aNow);
  const double cautious = static_cast<double>(wait.Count());
  return Millis(static_cast<int64_t>(cautious * mTuning.mWaitMargin));
}

bool Dispatcher::Impl::HasRoomInQueue(CallClass aClass, CallDecisions& aOut,
                                      Millis) {
  if (mQueuedCalls < mLimits.mMaxQueued) {
    return true;
  }
  if (aClass == CallClass::Training) {
    return false;
  }
  // The lowest class is shed first.
  for (auto& [name, model] : mModels) {
    if (const auto newest = model->mTraining.Newest()) {
      DispatchedCall& shed = mCalls.at(*newest);
      Leave(*newest, shed);
      Refuse(*newest, ErrorKind::Overloaded, kUnavailableRetryAfter, aOut);
      return true;
    }
  }
  return false;
}

void Dispatcher::Impl::Enqueue(DispatchedCall aCall, CallDecisions& aOut,
                               Millis aNow) {
  const uint64_t ticket = aCall.mSpec.mTicket;
  const CallClass kind = aCall.mSpec.mClass;
  ModelQueue& model = *aCall.mModel;
  FairQueue& queue = model.Queue(kind);
  const Millis longest = LongestWait(aCall.mSpec, aNow);
  const Millis wait =
      ExpectedWait(model, kind, queue.Ahead(aCall.mTenant), aNow);
  if (mTuning.mRefuseEarly && wait > longest) {
    Refuse(ticket, ErrorKind::Overloaded, wait - longest, aOut);
    return;
  }
  if (!HasRoomInQueue(kind, aOut, aNow)) {
    Refuse(ticket, ErrorKind::Overloaded, kUnavailableRetryAfter, aOut);
    return;
  }
  ++mCounts.mQueued;
  ++mQueuedCalls;
  aCall.mExpires = aNow + longest;
  aCall.mPosition = queue.Push(aCall.mTenant, ticket);
  mExpiries.push(Expiry{aCall.mExpires, ticket});
  mCalls.emplace(ticket, std::move(aCall));
  Pump(model, aOut, aNow);
}

bool Dispatcher::Impl::TryStart(uint64_t aTicket, DispatchedCall& aCall,
                                CallDecisions& aOut, Millis aNow) {
  ModelQueue& model = *aCall.mModel;
  EngineState* engine = model.mPool.Choose(aCall.mSpec, mRandom, aNow);
  if (!engine) {
    return false;
  }
  StartAt(*engine, aTicket, aCall, aOut, aNow);
  return true;
}

void Dispatcher::Impl::StartAt(EngineState& aEngine, uint64_t aTicket,
                               DispatchedCall& aCall, CallDecisions& aOut,
                               Millis aNow) {
  ModelQueue& model = *aCall.mModel;
  const CallClass kind = aCall.mSpec.mClass;
  aCall.mStage = CallStage::Started;
  aCall.mEngine = &aEngine;
  aCall.mStartedAt = aNow;
  aCall.mAwaitingPosition =
      model.mAwaiting.insert(model.mAwaiting.end(), aTicket);
  aCall.mGeneration = aEngine.Info().mGeneration;
  aEngine.Started(kind, aTicket, aNow);
  model.mPool.Refresh(aEngine, aNow);
  model.Queue(kind).Started(aCall.mTenant, aCall.mSpec.mExpectedTokens);
  ++model.Running(kind);
  model.Wait(kind).Started(aNow);
  if (kind == CallClass::Training) {
    aCall.mTrainingPosition =
        model.mTrainingCalls.insert(model.mTrainingCalls.end(), aTicket);
  }
  if (aCall.mSpec.mRetry) {
    ++mCounts.mRetries;
  } else {
    mBudget.Earn();
  }
  ++mCounts.mStarted;
  aOut.push_back(CallDecision{.mTicket = aTicket,
                              .mAction = CallAction::Start,
                              .mUpstream = aEngine.Info().mId});
}

void Dispatcher::Impl::Pump(ModelQueue& aModel, CallDecisions& aOut,
                            Millis aNow) {
  const auto start = [&](uint64_t aTicket) {
    return TryStart(aTicket, mCalls.at(aTicket), aOut, aNow);
  };
  for (const CallClass kind : {CallClass::Interactive, CallClass::Training}) {
    FairQueue& queue = aModel.Queue(kind);
    while (queue.Size() > 0 && aModel.mPool.AnyRoom(kind)) {
      if (!queue.TakeFirst(start)) {
        break;
      }
      --mQueuedCalls;
    }
  }
}

void Dispatcher::Impl::Progress(uint64_t aTicket, int64_t aTokens,
                                Millis aNow) {
  const auto found = mCalls.find(aTicket);
  if (found == mCalls.end() || !found->second.mEngine) {
    return;
  }
  DispatchedCall& call = found->second;
  EngineState& engine = *call.mEngine;
  call.mTokens += aTokens;
  if (call.mGeneration != engine.Info().mGeneration) {
    call.mLastTokenAt = aNow;
    return;
  }
  if (!call.mStreaming) {
    call.mStreaming = true;
    call.mModel->mAwaiting.erase(call.mAwaitingPosition);
    engine.FirstToken(call.mSpec.mClass, aTicket, aNow - call.mStartedAt, aNow);
  } else {
    engine.Progress(aTicket, aTokens, aNow - call.mLastTokenAt, aNow);
  }
  call.mLastTokenAt = aNow;
}

void Dispatcher::Impl::Leave(uint64_t aTicket, DispatchedCall& aCall) {
  aCall.mModel->Queue(aCall.mSpec.mClass)
      .Remove(aCall.mTenant, aCall.mPosition);
  --mQueuedCalls;
  mCalls.erase(aTicket);
}

CallDecisions Dispatcher::Impl::Finish(uint64_t aTicket, CallOutcome aOutcome,
                                       Millis aNow) {
  CallDecisions out;
  mNow = aNow;
  const auto found = mCalls.find(aTicket);
  if (found == mCalls.end()) {
    return out;
  }
  DispatchedCall& call = found->second;
  ModelQueue& model = *call.mModel;
  if (call.mStage == CallStage::Queued) {
    Leave(aTicket, call);
    return out;
  }
  EngineState& engine = *call.mEngine;
  const CallClass kind = call.mSpec.mClass;
  const bool same = call.mGeneration == engine.Info().mGeneration;
  // A recalled call that ends otherwise says nothing about its engine.
  const bool recalled = call.mStage != CallStage::Started;
  const bool failed = aOutcome != CallOutcome::Done;
  const CallOutcome outcome =
      recalled && failed ? CallOutcome::Cancelled : aOutcome;
  engine.Ended(kind, aTicket, outcome, call.mStreaming, same, aNow);
  model.Queue(kind).Ended(call.mTenant,
                          call.mTokens - call.mSpec.mExpectedTokens);
  --model.Running(kind);
  if (aOutcome == CallOutcome::Done) {
    model.Wait(kind).Ended(aNow - call.mStartedAt);
  }
  if (!call.mStreaming) {
    model.mAwaiting.erase(call.mAwaitingPosition);
  }
  if (kind == CallClass::Training) {
    model.mTrainingCalls.erase(call.mTrainingPosition);
  }
  if (call.mStage == CallStage::Preempting) {
    --model.mPreempting;
  }
  mCalls.erase(found);
  model.mPool.Refresh(engine, aNow);
  Pump(model, out, aNow);
  return out;
}

void Dispatcher::Impl::Expire(CallDecisions& aOut, Millis aNow) {
  while (!mExpiries.empty() && mExpiries.top().mAt <= aNow) {
    const Expiry expiry = mExpiries.top();
    mExpiries.pop();
    const auto found = mCalls.find(expiry.mTicket);
    if (found == mCalls.end() || found->second.mStage != CallStage::Queued ||
        found->second.mExpires != expiry.mAt) {
      continue;
    }
    DispatchedCall& call = found->second;
    const bool late =
        call.mSpec.mDeadline.Count() != 0 && aNow >= call.mSpec.mDeadline;
    ModelQueue& model = *call.mModel;
    const CallClass kind = call.mSpec.mClass;
    const Millis wait = ExpectedWait(
        model, kind, static_cast<double>(model.Queue(kind).Size()), aNow);
    Leave(expiry.mTicket, call);
    Refuse(expiry.mTicket, late ? ErrorKind::Timeout : ErrorKind::Overloaded,
           wait, aOut);
  }
}

}  // namespace rillwall
