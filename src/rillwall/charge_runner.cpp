#include "charge_runner.h"

#include <random>

#include "rillwall/log.h"

namespace rillwall {

namespace {

// Lifetime of a claim. A retry after this time would run the call again, so it
// is much longer than any caller keeps retrying. docs/API.md documents it.
constexpr int64_t kClaimLifetimeSeconds = 7 * 24 * 3600;
constexpr const char* kKvPrefix = "rillwall/";
constexpr int kSendAttempts = 3;

std::string MakeNonce(const std::string& aNode) {
  std::random_device device;
  std::string nonce = aNode;
  constexpr int kNonceWords = 4;
  for (int i = 0; i < kNonceWords; ++i) {
    nonce += "-" + std::to_string(device());
  }
  return nonce;
}

ClaimAnswer ToClaimAnswer(const HttpResponse& aResponse) {
  ClaimAnswer answer;
  answer.mStatus = aResponse.mStatus;
  answer.mBody = aResponse.mBody;
  for (const HttpHeader& header : aResponse.mHeaders) {
    if (IsRecordedHeader(header.mName)) {
      answer.mHeaders.push_back({header.mName, header.mValue});
    }
  }
  return answer;
}

HttpResponse ToResponse(const ClaimAnswer& aAnswer) {
  HttpResponse response;
  response.mStatus = aAnswer.mStatus;
  response.mBody = aAnswer.mBody;
  for (const ClaimHeader& header : aAnswer.mHeaders) {
    response.mHeaders.push_back({header.mName, header.mValue});
  }
  return response;
}

}  // namespace

ChargeRunner::RunningCall::RunningCall(ServiceCall aCall, const ClaimKey& aKey,
                                       std::string aNonce)
    : mCall(std::move(aCall)),
      mPath(kKvPrefix + aKey.Path()),
      mClaim(aKey,
             RequestDigest(mCall.mRequest.mMethod, mCall.mRequest.mTarget,
                           mCall.mRequest.mBody),
             std::move(aNonce)) {}

asio::awaitable<HttpResponse> ChargeRunner::Run(ServiceCall aCall) {
  const std::optional<Error> badKey = CheckIdempotencyKey(aCall.mKey);
  if (badKey) {
    HttpResponse refused = ErrorResponse(*badKey);
    AddRunHeaders(refused, RunState::NotRun, aCall.mRequestId);
    co_return refused;
  }
  ClaimKey key;
  key.mHouse = aCall.mHouse;
  key.mService = aCall.mService;
  key.mKey = aCall.mKey;
  auto call = std::make_shared<RunningCall>(
      std::move(aCall), key, MakeNonce(mNode.Settings().mNodeId));
  ClaimStep step = call->mClaim.Start();
  while (!call->mClaim.Outcome() && step.mNext != ClaimAction::End) {
    step = co_await CarryOut(*call, step);
  }
  if (step.mNext != ClaimAction::End) {
    // The caller does not wait until the outcome has been recorded.
    mNode.Spawn(CarryOutRemaining(call, step));
  }
  co_return Answer(*call);
}

asio::awaitable<void> ChargeRunner::CarryOutRemaining(
    std::shared_ptr<RunningCall> aRunningCall, ClaimStep aStep) {
  while (aStep.mNext != ClaimAction::End) {
    aStep = co_await CarryOut(*aRunningCall, aStep);
  }
  if (aRunningCall->mClaim.LeftBehind()) {
    Log(Part::Service)
        .Request(aRunningCall->mCall.mRequestId)
        .Warn(
            "A claim could not be updated; its idempotency key stays blocked.");
  }
}

asio::awaitable<ClaimStep> ChargeRunner::CarryOut(RunningCall& aRunningCall,
                                                  ClaimStep aStep) {
  if (aStep.mPause > Millis(0)) {
    co_await Node::Sleep(aStep.mPause);
  }
  switch (aStep.mNext) {
    case ClaimAction::Create:
      co_return co_await Create(aRunningCall, aStep);
    case ClaimAction::Read:
      co_return co_await Read(aRunningCall);
    case ClaimAction::Run:
      co_return co_await Send(aRunningCall);
    case ClaimAction::Record:
      co_return co_await Record(aRunningCall, aStep);
    case ClaimAction::Remove:
      co_return co_await Remove(aRunningCall, aStep);
    default:
      co_return aStep;
  }
}

namespace {

// Reports the result of a compare-and-swap to the claim.
ClaimStep ReportSwap(ClaimCall& aClaim, const Result<KvSwap>& aSwap) {
  if (!aSwap) {
    const bool uncertain = aSwap.error().Kind() == ErrorKind::KvUncertain;
    return uncertain ? aClaim.Uncertain() : aClaim.Unavailable();
  }
  if (aSwap->mApplied) {
    return aClaim.Applied(aSwap->mRevision);
  }
  if (aSwap->mCurrent.empty()) {
    return aClaim.Absent();
  }
  const KvEntry& entry = aSwap->mCurrent.front();
  return aClaim.Found(entry.mValue, entry.mModRevision);
}

}  // namespace

asio::awaitable<ClaimStep> ChargeRunner::Create(RunningCall& aRunningCall,
                                                const ClaimStep& aStep) {
  const Result<KvSwap> swap = co_await mNode.Kv().CompareAndSwap(
      aRunningCall.mPath, 0, aStep.mValue, kClaimLifetimeSeconds);
  co_return ReportSwap(aRunningCall.mClaim, swap);
}

asio::awaitable<ClaimStep> ChargeRunner::Record(RunningCall& aRunningCall,
                                                const ClaimStep& aStep) {
  const Result<KvSwap> swap = co_await mNode.Kv().CompareAndSwap(
      aRunningCall.mPath, aStep.mRevision, aStep.mValue, kClaimLifetimeSeconds);
  co_return ReportSwap(aRunningCall.mClaim, swap);
}

asio::awaitable<ClaimStep> ChargeRunner::Remove(RunningCall& aRunningCall,
                                                const ClaimStep& aStep) {
  const Result<KvSwap> swap =
      co_await mNode.Kv().CompareAndDelete(aRunningCall.mPath, aStep.mRevision);
  co_return ReportSwap(aRunningCall.mClaim, swap);
}

asio::awaitable<ClaimStep> ChargeRunner::Read(RunningCall& aRunningCall) {
  const Result<KvRange> range =
      co_await mNode.Kv().Range(aRunningCall.mPath, false);
  if (!range) {
    co_return aRunningCall.mClaim.Unavailable();
  }
  if (range->mEntries.empty()) {
    co_return aRunningCall.mClaim.Absent();
  }
  const KvEntry& entry = range->mEntries.front();
  co_return aRunningCall.mClaim.Found(entry.mValue, entry.mModRevision);
}

// Retries only while nothing of the call has reached an upstream. Any complete
// response, whatever its status, is the outcome of the call.
asio::awaitable<ClaimStep> ChargeRunner::Send(RunningCall& aRunningCall) {
  for (int attempt = 1;; ++attempt) {
    Result<HttpResponse> response =
        co_await SendOnce(mNode, aRunningCall.mCall);
    if (response) {
      const HttpResponse relayed = RelayedResponse(std::move(*response));
      co_return aRunningCall.mClaim.Answered(ToClaimAnswer(relayed));
    }
    const bool notSent = response.error().Run() == RunState::NotRun;
    if (!notSent) {
      co_return aRunningCall.mClaim.Lost(response.error());
    }
    if (attempt >= kSendAttempts) {
      co_return aRunningCall.mClaim.NotRun(response.error());
    }
  }
}

HttpResponse ChargeRunner::Answer(const RunningCall& aRunningCall) {
  const ClaimOutcome& outcome = *aRunningCall.mClaim.Outcome();
  mNode.Meter().Add(Counter::ChecksAtMostOnce);
  HttpResponse response;
  RunState ran = RunState::Run;
  switch (outcome.mKind) {
    case ClaimOutcomeKind::Answer:
      mNode.Meter().Add(Counter::ChargesRun);
      response = ToResponse(outcome.mAnswer);
      break;
    case ClaimOutcomeKind::Replay:
      mNode.Meter().Add(Counter::ChargesReplayed);
      response = ToResponse(outcome.mAnswer);
      response.mHeaders.push_back({"Rillwall-Replayed", "1"});
      break;
    case ClaimOutcomeKind::Refuse:
      ran = outcome.mError.Run();
      mNode.Meter().Add(ran == RunState::NotRun ? Counter::ChargesRefused
                                                : Counter::ChargesUnknown);
      response = ErrorResponse(outcome.mError);
      break;
  }
  AddRunHeaders(response, ran, aRunningCall.mCall.mRequestId);
  return response;
}

}  // namespace rillwall
