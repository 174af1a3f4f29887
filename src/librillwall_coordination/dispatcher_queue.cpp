// Admission, queueing, start and end of the dispatcher's calls.

#include <algorithm>
#include <utility>

#include "dispatcher_impl.h"

namespace rillwall {

namespace {
constexpr Millis kMinRetryAfter{100};
constexpr Millis kMaxRetryAfter{30000};
constexpr Millis kUnavailableRetryAfter{1000};
constexpr Millis kForever{INT64_MAX / 2};
}  // namespace

Millis Dispatcher::Impl::WithJitter(Millis aSpan) {
  const Millis span = std::clamp(aSpan, kMinRetryAfter, kMaxRetryAfter);
  // Jitter keeps callers that were refused together from retrying together.
  std::uniform_int_distribution<int64_t> extra(0, span.Count() / 4);
  return span + Millis(extra(mRandom));
}

void Dispatcher::Impl::Refuse(uint64_t aTicket, ErrorKind aReason,
                              Millis aRetryAfter, CallDecisions& aOut) {
  ++mCounts.mRefused;
  aOut.push_back(CallDecision{.mTicket = aTicket,
                              .mAction = CallAction::Refuse,
                              .mReason = aReason,
                              .mRetryAfter = WithJitter(aRetryAfter)});
}

Millis Dispatcher::Impl::MaxWait(const CallSpec& aSpec, Millis aNow) const {
  const bool unlimited = aSpec.mDeadline.Count() == 0;
  const Millis wait = unlimited ? kForever : aSpec.mDeadline - aNow;
  return aSpec.mClass == CallClass::Interactive
             ? std::min(wait, mLimits.mMaxInteractiveWait)
             : wait;
}

std::optional<CallDecision> Dispatcher::Impl::Admit(const CallSpec& aSpec,
                                                    ModelState* aModel,
                                                    Millis aNow) {
  CallDecisions out;
  if (!aModel) {
    Refuse(aSpec.mTicket, ErrorKind::NotFound, kUnavailableRetryAfter, out);
  } else if (mCalls.contains(aSpec.mTicket)) {
    Refuse(aSpec.mTicket, ErrorKind::Conflict, kUnavailableRetryAfter, out);
  } else if (MaxWait(aSpec, aNow) <= Millis(0)) {
    Refuse(aSpec.mTicket, ErrorKind::Timeout, kMinRetryAfter, out);
  } else if (aSpec.mRetry && !mBudget.TryWithdraw(aSpec.mClass)) {
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
  ModelState* model = found == mModels.end() ? nullptr : found->second.get();
  if (const auto refusal = Admit(aSpec, model, aNow)) {
    return {*refusal};
  }
  CallDecisions out;
  const uint64_t ticket = aSpec.mTicket;
  FairQueue& queue = model->Queue(aSpec.mClass);
  DispatchedCall call{.mSpec = std::move(aSpec), .mModel = model};
  call.mTenant = queue.FindOrAdd(call.mSpec.mTenant);
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
                                         const ModelState& aModel,
                                         CallDecisions& aOut, Millis aNow) {
  const Millis probe = aModel.mPool.NextProbe(aNow);
  const Millis wait = probe < kForever ? probe - aNow : kUnavailableRetryAfter;
  Refuse(aTicket, ErrorKind::Unavailable, wait, aOut);
}

void Dispatcher::Impl::RefuseUnstartable(ModelState& aModel,
                                         CallDecisions& aOut, Millis aNow) {
  if (aModel.mPool.AnyUsable(aNow)) {
    return;
  }
  const Millis probe = aModel.mPool.NextProbe(aNow);
  std::vector<uint64_t> unstartable;
  const auto visit = [&](uint64_t aTicket) {
    if (mCalls.at(aTicket).mExpires <= probe) {
      unstartable.push_back(aTicket);
    }
    return true;
  };
  aModel.mInteractive.ForEach(visit);
  aModel.mTraining.ForEach(visit);
  for (const uint64_t ticket : unstartable) {
    RemoveQueued(ticket, mCalls.at(ticket));
    RefuseUnavailable(ticket, aModel, aOut, aNow);
  }
}

Millis Dispatcher::Impl::ExpectedWait(ModelState& aModel, CallClass aClass,
                                      double aAhead, Millis aNow) const {
  double ahead = aAhead;
  if (aClass == CallClass::Interactive && mTuning.mPreemptAfter.Count() > 0) {
    // Training calls can be preempted at once.
    ahead -= static_cast<double>(aModel.mTrainingRunning);
  }
  if (ahead < 0) {
    return mTuning.mPreemptAfter;
  }
  const Millis wait =
      aModel.Wait(aClass).Wait(ahead, aModel.Running(aClass), aNow);
  const double estimatedMs = static_cast<double>(wait.Count());
  return Millis(static_cast<int64_t>(estimatedMs * mTuning.mWaitMargin));
}

bool Dispatcher::Impl::EnsureQueueSpace(CallClass aClass, CallDecisions& aOut,
                                        Millis) {
  if (mQueuedCalls < mLimits.mMaxQueued) {
    return true;
  }
  if (aClass == CallClass::Training) {
    return false;
  }
  // Queued training calls are shed for interactive ones.
  for (auto& [name, model] : mModels) {
    if (const auto newest = model->mTraining.ShedCandidate()) {
      DispatchedCall& shed = mCalls.at(*newest);
      RemoveQueued(*newest, shed);
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
  ModelState& model = *aCall.mModel;
  FairQueue& queue = model.Queue(kind);
  const Millis maxWait = MaxWait(aCall.mSpec, aNow);
  const Millis wait =
      ExpectedWait(model, kind, queue.CallsAhead(aCall.mTenant), aNow);
  if (mTuning.mRefuseEarly && wait > maxWait) {
    Refuse(ticket, ErrorKind::Overloaded, wait - maxWait, aOut);
    return;
  }
  if (!EnsureQueueSpace(kind, aOut, aNow)) {
    Refuse(ticket, ErrorKind::Overloaded, kUnavailableRetryAfter, aOut);
    return;
  }
  ++mCounts.mQueued;
  ++mQueuedCalls;
  aCall.mExpires = aNow + maxWait;
  aCall.mPosition = queue.Push(aCall.mTenant, ticket);
  mExpiries.push(Expiry{aCall.mExpires, ticket});
  mCalls.emplace(ticket, std::move(aCall));
  StartQueued(model, aOut, aNow);
}

bool Dispatcher::Impl::TryStart(uint64_t aTicket, DispatchedCall& aCall,
                                CallDecisions& aOut, Millis aNow) {
  ModelState& model = *aCall.mModel;
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
  ModelState& model = *aCall.mModel;
  const CallClass kind = aCall.mSpec.mClass;
  aCall.mStage = CallStage::Started;
  aCall.mEngine = &aEngine;
  aCall.mStartedAt = aNow;
  aCall.mAwaitingPosition = model.mAwaitingFirstToken.insert(
      model.mAwaitingFirstToken.end(), aTicket);
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
    mBudget.Deposit();
  }
  ++mCounts.mStarted;
  aOut.push_back(CallDecision{.mTicket = aTicket,
                              .mAction = CallAction::Start,
                              .mUpstream = aEngine.Info().mId});
}

void Dispatcher::Impl::StartQueued(ModelState& aModel, CallDecisions& aOut,
                                   Millis aNow) {
  const auto start = [&](uint64_t aTicket) {
    return TryStart(aTicket, mCalls.at(aTicket), aOut, aNow);
  };
  for (const CallClass kind : {CallClass::Interactive, CallClass::Training}) {
    FairQueue& queue = aModel.Queue(kind);
    while (queue.Size() > 0 && aModel.mPool.AnyFreeSlot(kind)) {
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
    call.mModel->mAwaitingFirstToken.erase(call.mAwaitingPosition);
    engine.FirstToken(call.mSpec.mClass, aTicket, aNow - call.mStartedAt, aNow);
  } else {
    engine.Progress(aTicket, aTokens, aNow - call.mLastTokenAt, aNow);
  }
  call.mLastTokenAt = aNow;
}

void Dispatcher::Impl::RemoveQueued(uint64_t aTicket, DispatchedCall& aCall) {
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
  ModelState& model = *call.mModel;
  if (call.mStage == CallStage::Queued) {
    RemoveQueued(aTicket, call);
    return out;
  }
  EngineState& engine = *call.mEngine;
  const CallClass kind = call.mSpec.mClass;
  const bool sameGeneration = call.mGeneration == engine.Info().mGeneration;
  // Any end of a preempted call other than Done shows nothing about its engine.
  const bool preempted = call.mStage != CallStage::Started;
  const bool failed = aOutcome != CallOutcome::Done;
  const CallOutcome outcome =
      preempted && failed ? CallOutcome::Cancelled : aOutcome;
  engine.Ended(kind, aTicket, outcome, call.mStreaming, sameGeneration, aNow);
  model.Queue(kind).Ended(call.mTenant,
                          call.mTokens - call.mSpec.mExpectedTokens);
  --model.Running(kind);
  if (aOutcome == CallOutcome::Done) {
    model.Wait(kind).Ended(aNow - call.mStartedAt);
  }
  if (!call.mStreaming) {
    model.mAwaitingFirstToken.erase(call.mAwaitingPosition);
  }
  if (kind == CallClass::Training) {
    model.mTrainingCalls.erase(call.mTrainingPosition);
  }
  if (call.mStage == CallStage::Preempting) {
    --model.mPreempting;
  }
  mCalls.erase(found);
  model.mPool.Refresh(engine, aNow);
  StartQueued(model, out, aNow);
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
    const bool pastDeadline =
        call.mSpec.mDeadline.Count() != 0 && aNow >= call.mSpec.mDeadline;
    ModelState& model = *call.mModel;
    const CallClass kind = call.mSpec.mClass;
    const Millis wait = ExpectedWait(
        model, kind, static_cast<double>(model.Queue(kind).Size()), aNow);
    RemoveQueued(expiry.mTicket, call);
    Refuse(expiry.mTicket,
           pastDeadline ? ErrorKind::Timeout : ErrorKind::Overloaded, wait,
           aOut);
  }
}

}  // namespace rillwall
