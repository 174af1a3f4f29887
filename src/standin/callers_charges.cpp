#include "callers_charges.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "control.h"
#include "control_serve.h"

namespace rillwall::standin {

namespace {

using namespace asio::experimental::awaitable_operators;

constexpr Millis kCallTimeout{10000};
constexpr Millis kRetryDelay{100};
constexpr int kMaxAttempts = 6;
constexpr int kOk = 200;
constexpr int kSuccessEnd = 300;
constexpr int kConflict = 409;
constexpr uint64_t kPercent = 100;
/// Cumulative shares, in percent, of charges that are repeated after their
/// response, sent twice concurrently, and sent again with a different body.
constexpr uint64_t kRepeatBelow = 15;
constexpr uint64_t kConcurrentBelow = 25;
constexpr uint64_t kReuseBelow = 30;
constexpr int64_t kMaxAmount = 5000;

std::string RunOf(const HttpResponse& aResponse) {
  const std::string* run = aResponse.Find("Rillwall-Run");
  return run ? *run : "unknown";
}

bool IsSuccess(const HttpResponse& aResponse) {
  return aResponse.mStatus >= kOk && aResponse.mStatus < kSuccessEnd;
}

}  // namespace

ChargeCaller::ChargeCaller(HttpClient& aClient, NodeSet& aNodes,
                           std::string aService, uint64_t aSeed,
                           ChargeStats& aStats)
    : mClient(aClient),
      mNodes(aNodes),
      mService(std::move(aService)),
      mSeed(aSeed),
      mRandom(aSeed),
      mStats(aStats) {}

ChargeCaller::Call ChargeCaller::NewCall() {
  const std::string number = std::to_string(++mStats.mKeys);
  const std::string key = "charge-" + std::to_string(mSeed) + "-" + number;
  mClaims[key];
  return {key, "house-" + number,
          1 + static_cast<int64_t>(mRandom() % kMaxAmount)};
}

asio::awaitable<void> ChargeCaller::Charge() {
  const Call call = NewCall();
  const uint64_t draw = mRandom() % kPercent;
  if (draw >= kRepeatBelow && draw < kConcurrentBelow) {
    co_await SendConcurrently(call);
    co_return;
  }
  co_await SendUntilFinal(call);
  if (draw < kRepeatBelow) {
    co_await SendUntilFinal(call);
  } else if (draw < kReuseBelow) {
    co_await SendDifferentBody(call);
  }
}

asio::awaitable<void> ChargeCaller::SendUntilFinal(Call aCall) {
  const Millis start = Now();
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    Millis retryDelay = kRetryDelay;
    const SendOutcome outcome = co_await Send(aCall, mNodes.Pick(), retryDelay);
    if (outcome == SendOutcome::Confirmed || outcome == SendOutcome::Final) {
      mStats.mTime.push_back((Now() - start).Count());
      co_return;
    }
    co_await Sleep(retryDelay);
  }
}

asio::awaitable<ChargeCaller::SendOutcome> ChargeCaller::Send(
    Call aCall, Endpoint aNode, Millis& aRetryDelay) {
  ++mStats.mCalls;
  json::object body;
  body["account"] = aCall.mAccount;
  body["amount"] = aCall.mAmount;
  HttpRequest request = JsonRequest(
      "POST", "/services/" + mService + "/charges", json::serialize(body));
  request.mHeaders.push_back({"Idempotency-Key", aCall.mKey});
  mNodes.Authorize(request);
  const auto sent =
      co_await mClient.Send(aNode, std::move(request), kCallTimeout);
  if (sent.has_value()) {
    aRetryDelay = RetryAfterOf(sent.value());
    co_return EvaluateResponse(aCall, sent.value());
  }
  if (sent.error().Run() == RunState::NotRun) {
    co_return SendOutcome::NotRun;
  }
  mClaims[aCall.mKey].mUnknown = true;
  co_return SendOutcome::Unknown;
}

ChargeCaller::SendOutcome ChargeCaller::EvaluateResponse(
    const Call& aCall, const HttpResponse& aResponse) {
  ChargeClaim& claim = mClaims[aCall.mKey];
  if (IsSuccess(aResponse)) {
    mStats.mReplayed += aResponse.Find("Rillwall-Replayed") ? 1 : 0;
    const auto receipt = ParseObject(aResponse.mBody);
    if (!receipt.has_value() ||
        TextOf(receipt.value(), "account") != aCall.mAccount ||
        NumberOf(receipt.value(), "amount") != aCall.mAmount) {
      ++mStats.mCrossed;
    }
    if (claim.mConfirmed && claim.mAnswer != aResponse.mBody) {
      ++mStats.mOtherReplay;
    }
    claim.mConfirmed = true;
    claim.mAnswer = aResponse.mBody;
    return SendOutcome::Confirmed;
  }
  const std::string run = RunOf(aResponse);
  if (run == "not-run") {
    return SendOutcome::NotRun;
  }
  claim.mUnknown = true;
  return aResponse.mStatus == kConflict || run == "run" ? SendOutcome::Final
                                                        : SendOutcome::Unknown;
}

asio::awaitable<void> ChargeCaller::SendConcurrently(Call aCall) {
  // The two concurrent calls may both return an unknown outcome, so a further
  // call asks for the final one.
  Millis firstDelay = kRetryDelay;
  Millis secondDelay = kRetryDelay;
  co_await (Send(aCall, mNodes.Pick(), firstDelay) &&
            Send(aCall, mNodes.Pick(), secondDelay));
  co_await SendUntilFinal(aCall);
}

asio::awaitable<void> ChargeCaller::SendDifferentBody(Call aCall) {
  if (!mClaims[aCall.mKey].mConfirmed) {
    co_return;
  }
  json::object body;
  body["account"] = aCall.mAccount;
  body["amount"] = aCall.mAmount + 1;
  HttpRequest request = JsonRequest(
      "POST", "/services/" + mService + "/charges", json::serialize(body));
  request.mHeaders.push_back({"Idempotency-Key", aCall.mKey});
  mNodes.Authorize(request);
  ++mStats.mCalls;
  const auto sent =
      co_await mClient.Send(mNodes.Pick(), std::move(request), kCallTimeout);
  if (sent.has_value() && IsSuccess(sent.value())) {
    ++mStats.mWrongReuse;
  }
}

asio::awaitable<void> ChargeCaller::CompareWithJournal(Endpoint aService) {
  HttpRequest request;
  request.mTarget = "/journal";
  const auto answer = co_await mClient.Send(aService, request, kCallTimeout);
  const auto journal = answer.has_value()
                           ? ParseObject(answer.value().mBody)
                           : Result<json::object>(answer.error());
  const json::value* runs =
      journal.has_value() ? journal.value().if_contains("runs") : nullptr;
  if (!runs || !runs->is_array()) {
    co_return;
  }
  mStats.mJournalRead = true;
  std::map<std::string, uint64_t> counts;
  for (const json::value& run : runs->get_array()) {
    ++counts[TextOf(run.as_object(), "key")];
  }
  Compare(counts);
}

void ChargeCaller::Compare(const std::map<std::string, uint64_t>& aRuns) {
  for (const auto& [key, claim] : mClaims) {
    const auto found = aRuns.find(key);
    const uint64_t runs = found == aRuns.end() ? 0 : found->second;
    mStats.mTwice += runs > 1 ? 1 : 0;
    if (claim.mConfirmed) {
      ++mStats.mRun;
      mStats.mLost += runs == 0 ? 1 : 0;
    } else if (claim.mUnknown) {
      ++mStats.mUnknown;
    } else {
      ++mStats.mNotRun;
      mStats.mRanNotRun += runs > 0 ? 1 : 0;
    }
  }
}

}  // namespace rillwall::standin
