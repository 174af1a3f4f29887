#include "service_call.h"

#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <random>

namespace rillwall {

namespace {

constexpr int kServerError = 500;
constexpr Millis kNoUpstreamRetry{1000};
/// Largest answer of a service, in bytes; as large as a body of a request.
constexpr size_t kMaxAnswer = 8 * 1024 * 1024;

// Hop-by-hop headers, and headers that the framing of the relayed message sets
// again.
constexpr std::array<const char*, 8> kHopHeaders = {
    "Connection", "Keep-Alive",     "Transfer-Encoding", "TE",
    "Upgrade",    "Content-Length", "Trailer",           "Proxy-Connection"};

uint64_t Random() {
  thread_local std::mt19937_64 sEngine{std::random_device()()};
  return sEngine();
}

bool IsHopHeader(const HttpHeader& aHeader) {
  return std::ranges::any_of(kHopHeaders, [&](const char* aName) {
    return boost::algorithm::iequals(aHeader.mName, aName);
  });
}

}  // namespace

asio::awaitable<Result<HttpResponse>> SendOnce(Node& aNode,
                                               const ServiceCall& aCall) {
  const auto table = aNode.Upstreams().Read();
  const UpstreamEntry* upstream =
      table->Choose(UpstreamKind::Service, aCall.mService,
                    aNode.Settings().mZone, Random(), aNode.Now());
  if (upstream == nullptr) {
    co_return Error(
        ErrorKind::Unavailable,
        "No upstream of the service '" + aCall.mService + "' takes calls now.")
        .WithRetryAfter(kNoUpstreamRetry);
  }
  InFlightCall inFlight(upstream->mLoad);
  Result<HttpResponse> response = co_await aNode.Http().Send(
      upstream->mEndpoint, aCall.mRequest, aCall.mTimeout, kMaxAnswer);
  const bool failed = !response || response->mStatus >= kServerError;
  inFlight.End(failed, aNode.Now());
  co_return response;
}

HttpResponse RelayedResponse(HttpResponse aUpstream) {
  std::erase_if(aUpstream.mHeaders, IsHopHeader);
  return aUpstream;
}

}  // namespace rillwall
