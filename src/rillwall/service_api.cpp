#include "service_api.h"

#include <algorithm>

namespace rillwall {

namespace {

constexpr const char* kHouseHeader = "Rillwall-House";
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr const char* kDefaultHouse = "anonymous";
constexpr std::string_view kPrefix = "/services/";
constexpr Millis kDefaultTimeout{5000};
constexpr Millis kRetryPause{20};
constexpr int kMaxAttempts = 3;
constexpr int kUnavailable = 503;

// GET and HEAD change nothing by definition. Any other method may change state
// even if no policy declares it non-idempotent.
bool IsSafeMethod(const HttpRequest& aRequest) {
  return aRequest.mMethod == "GET" || aRequest.mMethod == "HEAD";
}

std::string HeaderOr(const HttpRequest& aRequest, const char* aName,
                     const char* aDefault) {
  const std::string* value = aRequest.Find(aName);
  return value == nullptr ? aDefault : *value;
}

// Headers meant for rillwall itself or for the caller's connection. They are
// not forwarded to the upstream.
bool IsNotForwarded(const HttpHeader& aHeader) {
  constexpr const char* kNames[] = {
      "Authorization",    "Rillwall-House", "Host",
      "Connection",       "Content-Length", "Expect",
      "Transfer-Encoding"};
  return std::ranges::any_of(kNames, [&](const char* aName) {
    const std::vector<HttpHeader> one = {aHeader};
    return FindHeader(one, aName) != nullptr;
  });
}

}  // namespace

ServiceApi::ServiceApi(Node& aNode) : mNode(aNode), mCharges(aNode) {}

asio::awaitable<HttpResponse> ServiceApi::Handle(const HttpRequest& aRequest,
                                                 std::string aRequestId) {
  mNode.Meter().Add(Counter::RequestsService);
  const auto policies = mNode.Policies().Read();
  const Result<Identity> who = Identify(*policies, aRequest, "caller");
  if (!who) {
    HttpResponse refused = ErrorResponse(who.error());
    AddRunHeaders(refused, RunState::NotRun, aRequestId);
    co_return refused;
  }
  std::string_view target = aRequest.mTarget;
  target.remove_prefix(kPrefix.size());
  const size_t slash = std::min(target.find_first_of("/?"), target.size());
  ServiceCall call;
  call.mService = std::string(target.substr(0, slash));
  call.mHouse = who->mUnauthenticated
                    ? HeaderOr(aRequest, kHouseHeader, kDefaultHouse)
                    : who->mName;
  call.mKey = HeaderOr(aRequest, kIdempotencyKeyHeader, "");
  call.mRequestId = aRequestId;
  call.mRequest.mMethod = aRequest.mMethod;
  call.mRequest.mTarget = std::string(target.substr(slash));
  if (!call.mRequest.mTarget.starts_with('/')) {
    call.mRequest.mTarget.insert(0, "/");
  }
  call.mRequest.mBody = aRequest.mBody;
  call.mRequest.mHeaders = aRequest.mHeaders;
  std::erase_if(call.mRequest.mHeaders, IsNotForwarded);
  const ServiceRule* rule = policies->Rules().Service(call.mService);
  call.mTimeout = rule == nullptr ? kDefaultTimeout : rule->mTimeout;
  const bool atMostOnce = policies->Rules().NonIdempotent(
      call.mService, call.mRequest.mMethod, call.mRequest.Path());
  if (atMostOnce) {
    co_return co_await mCharges.Run(std::move(call));
  }
  const Millis start = mNode.Now();
  HttpResponse response =
      co_await Relay(call, IsSafeMethod(call.mRequest) || !call.mKey.empty());
  mNode.Meter().Measure(Timing::ServiceCall, mNode.Now() - start);
  co_return response;
}

asio::awaitable<HttpResponse> ServiceApi::Relay(const ServiceCall& aCall,
                                                bool aRetryable) {
  bool sentBefore = false;
  for (int attempt = 1;; ++attempt) {
    Result<HttpResponse> response = co_await SendOnce(mNode, aCall);
    const bool good = response && response->mStatus != kUnavailable;
    const bool sent = response || response.error().Run() != RunState::NotRun;
    sentBefore = sentBefore || sent;
    // A call that reached no upstream can always be retried, one that may have
    // run only if a retry is safe.
    const bool retry = !good && (!sent || aRetryable) && attempt < kMaxAttempts;
    if (!retry) {
      const RunState failedState =
          sentBefore ? RunState::Unknown : RunState::NotRun;
      const RunState ran = good ? RunState::Run : failedState;
      HttpResponse answer =
          response ? RelayedResponse(std::move(*response))
                   : ErrorResponse(response.error().WithRunState(ran));
      AddRunHeaders(answer, ran, aCall.mRequestId);
      co_return answer;
    }
    mNode.Meter().Add(Counter::UpstreamRetries);
    co_await Node::Sleep(kRetryPause * attempt);
  }
}

}  // namespace rillwall
