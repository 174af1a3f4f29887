#include "charge_runner.h"

#include <random>

#include "rillwall/log.h"

namespace rillwall {

namespace {

// How long a key is remembered. A repeat after that would run again, so it is
// far beyond any caller's patience; docs/API.md states it.
constexpr int64_t kClaimSeconds = 7 * 24 * 3600;
constexpr const char* kKvPrefix = "rillwall/";
constexpr int kSendAttempts = 3;

std::string MakeNonce(const std::string& aNode) {
  std::random_device device;
  std::string nonce = aNode;
  constexpr int kWords = 4;
  for (int i = 0; i < kWords; ++i) {
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

ChargeRunner::Running::Running(ServiceCall aCall, const ClaimKey& aKey,
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
    Mark(refused, RunState::NotRun, aCall.mRequestId);
    co_return refused;
  }
  ClaimKey key;
  key.mHouse = aCall.mHouse;
  key.mService = aCall.mService;
  key.mKey = aCall.mKey;
  auto running = std::make_shared<Running>(std::move(aCall), key,
                                           MakeNonce(mNode.Settings().mNodeId));
  ClaimStep step = running->mClaim.Start();
  while (!running->mClaim.Outcome() && step.mNext != ClaimAction::End) {
    step = co_await CarryOut(*running, step);
  }
  if (step.mNext != ClaimAction::End) {
    // The caller need not wait until the outcome is on record.
    mNode.Spawn(CarryOutRest(running, step));
  }
  co_return Answer(*running);
}

asio::awaitable<void> ChargeRunner::CarryOutRest(
    std::shared_ptr<Running> aRunning, ClaimStep aStep) {
  while (aStep.mNext != ClaimAction::End) {
    aStep = co_await CarryOut(*aRunning, aStep);
  }
  if (aRunning->mClaim.LeftBehind()) {
    Log(Part::Service)
        .Request(aRunning->mCall.mRequestId)
        .Warn("A claim was left behind; its key stays blocked.");
  }
}

asio::awaitable<ClaimStep> ChargeRunner::CarryOut(Running& aRunning,
                                                  ClaimStep aStep) {
  if (aStep.mPause > Millis(0)) {
    co_await Node::Sleep(aStep.mPause);
  }
  switch (aStep.mNext) {
    case ClaimAction::Create:
      co_return co_await Create(aRunning, aStep);
    case ClaimAction::Read:
      co_return co_await Read(aRunning);
    case ClaimAction::Run:
      co_return co_await Send(aRunning);
    case ClaimAction::Record:
      co_return co_await Record(aRunning, aStep);
    case ClaimAction::Remove:
      co_return co_await Remove(aRunning, aStep);
    default:
      co_return aStep;
  }
}

namespace {

// What a compare-and-swap did, as the claim's event.
ClaimStep TellSwap(ClaimCall& aClaim, const Result<KvSwap>& aSwap) {
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

asio::awaitable<ClaimStep> ChargeRunner::Create(Running& aRunning,
                                                const ClaimStep& aStep) {
  const Result<KvSwap> swap = co_await mNode.Kv().CompareAndSwap(
      aRunning.mPath, 0, aStep.mValue, kClaimSeconds);
  co_return TellSwap(aRunning.mClaim, swap);
}

asio::awaitable<ClaimStep> ChargeRunner::Record(Running& aRunning,
                                                const ClaimStep& aStep) {
  const Result<KvSwap> swap = co_await mNode.Kv().CompareAndSwap(
      aRunning.mPath, aStep.mRevision, aStep.mValue, kClaimSeconds);
  co_return TellSwap(aRunning.mClaim, swap);
}

asio::awaitable<ClaimStep> ChargeRunner::Remove(Running& aRunning,
                                                const ClaimStep& aStep) {
  const Result<KvSwap> swap =
      co_await mNode.Kv().CompareAndDelete(aRunning.mPath, aStep.mRevision);
  co_return TellSwap(aRunning.mClaim, swap);
}

asio::awaitable<ClaimStep> ChargeRunner::Read(Running& aRunning) {
  const Result<KvRange> range =
      co_await mNode.Kv().Range(aRunning.mPath, false);
  if (!range) {
    co_return aRunning.mClaim.Unavailable();
  }
  if (range->mEntries.empty()) {
    co_return aRunning.mClaim.Absent();
  }
  const KvEntry& entry = range->mEntries.front();
  co_return aRunning.mClaim.Found(entry.mValue, entry.mModRevision);
}

// Sent again only while nothing of it has reached an upstream. Any whole
// answer, whatever its status, is the call's outcome.
asio::awaitable<ClaimStep> ChargeRunner::Send(Running& aRunning) {
  for (int attempt = 1;; ++attempt) {
    Result<HttpResponse> response = co_await SendOnce(mNode, aRunning.mCall);
    if (response) {
      const HttpResponse relayed = RelayedResponse(std::move(*response));
      co_return aRunning.mClaim.Answered(ToClaimAnswer(relayed));
    }
    const bool notSent = response.error().Run() == RunState::NotRun;
    if (!notSent) {
      co_return aRunning.mClaim.Lost(response.error());
    }
    if (attempt >= kSendAttempts) {
      co_return aRunning.mClaim.NotRun(response.error());
    }
  }
}

HttpResponse ChargeRunner::Answer(const Running& aRunning) {
  const ClaimOutcome& outcome = *aRunning.mClaim.Outcome();
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
  Mark(response, ran, aRunning.mCall.mRequestId);
  return response;
}

}  // namespace rillwall
