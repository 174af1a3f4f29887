#include "service_api.h"

#include <algorithm>

namespace rillwall {

namespace {

constexpr const char* kHouseHeader = "Rillwall-House";
constexpr const char* kKeyHeader = "Idempotency-Key";
constexpr const char* kDefaultHouse = "anonymous";
constexpr std::string_view kPrefix = "/services/";
constexpr Millis kDefaultTimeout{5000};
constexpr Millis kRepeatPause{20};
constexpr int kAttempts = 3;
constexpr int kUnavailable = 503;

// GET and HEAD change nothing by definition; the policy cannot say otherwise
// of another method unless it names it.
bool Repeatable(const HttpRequest& aRequest) {
  return aRequest.mMethod == "GET" || aRequest.mMethod == "HEAD";
}

std::string Stated(const HttpRequest& aRequest, const char* aName,
                   const char* aDefault) {
  const std::string* value = aRequest.Find(aName);
  return value == nullptr ? aDefault : *value;
}

// What concerns rillwall and its callers only stays here.
bool IsOwnHeader(const HttpHeader& aHeader) {
  constexpr const char* kOwn[] = {
      "Authorization",    "Rillwall-House", "Host",
      "Connection",       "Content-Length", "Expect",
      "Transfer-Encoding"};
  return std::ranges::any_of(kOwn, [&](const char* aName) {
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
    Mark(refused, RunState::NotRun, aRequestId);
    co_return refused;
  }
  std::string_view target = aRequest.mTarget;
  target.remove_prefix(kPrefix.size());
  const size_t slash = std::min(target.find_first_of("/?"), target.size());
  ServiceCall call;
  call.mService = std::string(target.substr(0, slash));
  call.mHouse =
      who->mOpen ? Stated(aRequest, kHouseHeader, kDefaultHouse) : who->mName;
  call.mKey = Stated(aRequest, kKeyHeader, "");
  call.mRequestId = aRequestId;
  call.mRequest.mMethod = aRequest.mMethod;
  call.mRequest.mTarget = std::string(target.substr(slash));
  if (!call.mRequest.mTarget.starts_with('/')) {
    call.mRequest.mTarget.insert(0, "/");
  }
  call.mRequest.mBody = aRequest.mBody;
  call.mRequest.mHeaders = aRequest.mHeaders;
  std::erase_if(call.mRequest.mHeaders, IsOwnHeader);
  const ServiceRule* rule = policies->Rules().Service(call.mService);
  call.mTimeout = rule == nullptr ? kDefaultTimeout : rule->mTimeout;
  const bool once = policies->Rules().NonIdempotent(
      call.mService, call.mRequest.mMethod, call.mRequest.Path());
  if (once) {
    co_return co_await mCharges.Run(std::move(call));
  }
  const Millis start = mNode.Now();
  HttpResponse response =
      co_await Relay(call, Repeatable(call.mRequest) || !call.mKey.empty());
  mNode.Meter().Measure(Timing::ServiceCall, mNode.Now() - start);
  co_return response;
}

asio::awaitable<HttpResponse> ServiceApi::Relay(const ServiceCall& aCall,
                                                bool aRepeat) {
  bool sentBefore = false;
  for (int attempt = 1;; ++attempt) {
    Result<HttpResponse> response = co_await SendOnce(mNode, aCall);
    const bool good = response && response->mStatus != kUnavailable;
    const bool sent = response || response.error().Run() != RunState::NotRun;
    sentBefore = sentBefore || sent;
    // What reached no upstream may always be tried again; what may have run
    // only if it is repeatable.
    const bool again = !good && (!sent || aRepeat) && attempt < kAttempts;
    if (!again) {
      const RunState doubt = sentBefore ? RunState::Unknown : RunState::NotRun;
      const RunState ran = good ? RunState::Run : doubt;
      HttpResponse answer =
          response ? RelayedResponse(std::move(*response))
                   : ErrorResponse(response.error().WithRunState(ran));
      Mark(answer, ran, aCall.mRequestId);
      co_return answer;
    }
    mNode.Meter().Add(Counter::UpstreamRetries);
    co_await Node::Sleep(kRepeatPause * attempt);
  }
}

}  // namespace rillwall
