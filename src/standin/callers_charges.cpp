#include "callers_charges.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "control.h"
#include "control_serve.h"

namespace rillwall::standin {

namespace {

using namespace asio::experimental::awaitable_operators;

constexpr Millis kCallTimeout{10000};
constexpr Millis kPause{100};
constexpr int kTries = 6;
constexpr int kOk = 200;
constexpr int kFailed = 300;
constexpr int kConflict = 409;
constexpr uint64_t kPercent = 100;
/// Shares, in percent, of charges that are repeated after their answer, sent
/// twice at once, and sent again with another body.
constexpr uint64_t kRepeated = 15;
constexpr uint64_t kTwins = 25;
constexpr uint64_t kReused = 30;
constexpr int64_t kAmounts = 5000;

std::string RunOf(const HttpResponse& aResponse) {
  const std::string* run = aResponse.Find("Rillwall-Run");
  return run ? *run : "unknown";
}

bool Good(const HttpResponse& aResponse) {
  return aResponse.mStatus >= kOk && aResponse.mStatus < kFailed;
}

}  // namespace

ChargeCaller::ChargeCaller(HttpClient& aClient, NodeSet& aNodes,
                           std::string aService, uint64_t aSeed,
                           ChargeFigures& aFigures)
    : mClient(aClient),
      mNodes(aNodes),
      mService(std::move(aService)),
      mSeed(aSeed),
      mRandom(aSeed),
      mFigures(aFigures) {}

ChargeCaller::Call ChargeCaller::NewCall() {
  const std::string number = std::to_string(++mFigures.mKeys);
  const std::string key = "charge-" + std::to_string(mSeed) + "-" + number;
  mClaims[key];
  return {key, "house-" + number,
          1 + static_cast<int64_t>(mRandom() % kAmounts)};
}

asio::awaitable<void> ChargeCaller::Charge() {
  const Call call = NewCall();
  const uint64_t dice = mRandom() % kPercent;
  if (dice >= kRepeated && dice < kTwins) {
    co_await SendTwin(call);
    co_return;
  }
  co_await Settle(call);
  if (dice < kRepeated) {
    co_await Settle(call);
  } else if (dice < kReused) {
    co_await SendOther(call);
  }
}

asio::awaitable<void> ChargeCaller::Settle(Call aCall) {
  const Millis start = Now();
  for (int attempt = 0; attempt < kTries; ++attempt) {
    Millis pause = kPause;
    const Ending ending = co_await Send(aCall, mNodes.Pick(), pause);
    if (ending == Ending::Confirmed || ending == Ending::Settled) {
      mFigures.mTime.push_back((Now() - start).Count());
      co_return;
    }
    co_await Sleep(pause);
  }
}

asio::awaitable<ChargeCaller::Ending> ChargeCaller::Send(Call aCall,
                                                         Endpoint aNode,
                                                         Millis& aPause) {
  ++mFigures.mCalls;
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
    aPause = RetryAfterOf(sent.value());
    co_return Judge(aCall, sent.value());
  }
  if (sent.error().Run() == RunState::NotRun) {
    co_return Ending::NotRun;
  }
  mClaims[aCall.mKey].mUnknown = true;
  co_return Ending::Unknown;
}

ChargeCaller::Ending ChargeCaller::Judge(const Call& aCall,
                                         const HttpResponse& aResponse) {
  ChargeClaim& claim = mClaims[aCall.mKey];
  if (Good(aResponse)) {
    mFigures.mReplayed += aResponse.Find("Rillwall-Replayed") ? 1 : 0;
    const auto receipt = ParseObject(aResponse.mBody);
    if (!receipt.has_value() ||
        TextOf(receipt.value(), "account") != aCall.mAccount ||
        NumberOf(receipt.value(), "amount") != aCall.mAmount) {
      ++mFigures.mCrossed;
    }
    if (claim.mConfirmed && claim.mAnswer != aResponse.mBody) {
      ++mFigures.mOtherReplay;
    }
    claim.mConfirmed = true;
    claim.mAnswer = aResponse.mBody;
    return Ending::Confirmed;
  }
  const std::string run = RunOf(aResponse);
  if (run == "not-run") {
    return Ending::NotRun;
  }
  claim.mUnknown = true;
  return aResponse.mStatus == kConflict || run == "run" ? Ending::Settled
                                                        : Ending::Unknown;
}

asio::awaitable<void> ChargeCaller::SendTwin(Call aCall) {
  // Both at once through two nodes; then the outcome is asked for.
  Millis left = kPause;
  Millis right = kPause;
  co_await (Send(aCall, mNodes.Pick(), left) &&
            Send(aCall, mNodes.Pick(), right));
  co_await Settle(aCall);
}

asio::awaitable<void> ChargeCaller::SendOther(Call aCall) {
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
  ++mFigures.mCalls;
  const auto sent =
      co_await mClient.Send(mNodes.Pick(), std::move(request), kCallTimeout);
  if (sent.has_value() && Good(sent.value())) {
    ++mFigures.mWrongReuse;
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
  mFigures.mJournalRead = true;
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
    mFigures.mTwice += runs > 1 ? 1 : 0;
    if (claim.mConfirmed) {
      ++mFigures.mRun;
      mFigures.mLost += runs == 0 ? 1 : 0;
    } else if (claim.mUnknown) {
      ++mFigures.mUnknown;
    } else {
      ++mFigures.mNotRun;
      mFigures.mRanNotRun += runs > 0 ? 1 : 0;
    }
  }
}

}  // namespace rillwall::standin
