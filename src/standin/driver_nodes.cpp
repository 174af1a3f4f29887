#include "driver_nodes.h"

#include <algorithm>
#include <charconv>

#include "control.h"

namespace rillwall::standin {

namespace {

constexpr Millis kRetryDelay{100};
constexpr Millis kMaxRetryAfter{5000};
/// Largest answer, in bytes; it may hold the samples of a step.
constexpr size_t kMaxAnswer = 256 * 1024 * 1024;
constexpr int kTooMany = 429;
constexpr int kServerError = 500;
constexpr int64_t kMillisPerSecond = 1000;

/// \return the integer in a header, or -1
int64_t IntegerHeader(const HttpResponse& aResponse, std::string_view aName) {
  const std::string* text = aResponse.Find(aName);
  int64_t number = -1;
  if (text) {
    std::from_chars(text->data(), text->data() + text->size(), number);
  }
  return number;
}

bool ShouldRetry(int aStatus) {
  return aStatus == kTooMany || aStatus >= kServerError;
}

}  // namespace

Millis RetryAfterOf(const HttpResponse& aResponse) {
  int64_t wait = IntegerHeader(aResponse, "Retry-After-Ms");
  const int64_t seconds = IntegerHeader(aResponse, "Retry-After");
  if (wait < 0 && seconds >= 0) {
    wait = seconds * kMillisPerSecond;
  }
  return wait < 0 ? kRetryDelay : std::min(Millis(wait), kMaxRetryAfter);
}

HttpRequest JsonRequest(std::string aMethod, std::string aTarget,
                        std::string aBody) {
  HttpRequest request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aTarget);
  request.mHeaders.push_back({"Content-Type", "application/json"});
  request.mBody = std::move(aBody);
  return request;
}

int64_t Quantile(std::vector<int64_t> aValues, double aShare) {
  if (aValues.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aValues.size() - 1);
  const auto index = static_cast<std::ptrdiff_t>(last * aShare);
  std::nth_element(aValues.begin(), aValues.begin() + index, aValues.end());
  return aValues[static_cast<size_t>(index)];
}

NodeSet::NodeSet(HttpClient& aClient, std::vector<Endpoint> aNodes,
                 std::string aToken, Millis aRetryTimeout, uint64_t aSeed)
    : mClient(aClient),
      mNodes(std::move(aNodes)),
      mToken(std::move(aToken)),
      mRetryTimeout(aRetryTimeout),
      mRandom(aSeed) {}

Result<std::vector<Endpoint>> NodeSet::Parse(
    const std::vector<std::string>& aTexts) {
  std::vector<Endpoint> nodes;
  for (const std::string& text : aTexts) {
    const auto endpoint = Endpoint::Parse(text);
    if (!endpoint.has_value()) {
      return endpoint.error();
    }
    nodes.push_back(endpoint.value());
  }
  return nodes;
}

const Endpoint& NodeSet::Pick() { return mNodes[mRandom() % mNodes.size()]; }

void NodeSet::Authorize(HttpRequest& aRequest) const {
  if (!mToken.empty()) {
    aRequest.mHeaders.push_back({"Authorization", "Bearer " + mToken});
  }
}

asio::awaitable<Result<NodeResponse>> NodeSet::Ask(HttpRequest aRequest,
                                                   Millis aTimeout) {
  Authorize(aRequest);
  const Millis deadline = Now() + mRetryTimeout;
  NodeResponse answer;
  while (true) {
    const Endpoint node = Pick();
    auto sent = co_await mClient.Send(node, aRequest, aTimeout, kMaxAnswer);
    Millis pause = kRetryDelay;
    if (!sent.has_value()) {
      ++mRetries.mLost;
      answer.mMayHaveRun |= sent.error().Run() != RunState::NotRun;
    } else if (!ShouldRetry(sent.value().mStatus)) {
      answer.mResponse = std::move(sent.value());
      co_return answer;
    } else {
      ++mRetries.mRefused;
      answer.mMayHaveRun |= sent.value().mStatus != kTooMany;
      pause = RetryAfterOf(sent.value());
    }
    if (Now() > deadline) {
      co_return Error(ErrorKind::Timeout, "No node accepted " +
                                              aRequest.mMethod + " " +
                                              aRequest.mTarget + ".");
    }
    co_await Sleep(pause);
  }
}

}  // namespace rillwall::standin
