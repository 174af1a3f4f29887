#include "rillwall/relay.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "rillwall/event_log.h"
#include "rillwall/json.h"
#include "rillwall/numbers.h"
#include "rillwall/upstream_call.h"

namespace rillwall {

namespace {

using asio::experimental::awaitable_operators::operator||;

/// For clients that send no wait, on routes without a timeout.
constexpr Millis kDefaultTimeout{30000};
/// Time that a response of this node needs to reach the client.
constexpr Millis kResponseMargin{20};
/// Longest pause within a stream before it counts as broken. Clients give up a
/// stream after two seconds at least; a replica that loads weights pauses for
/// one.
constexpr Millis kStreamIdleTimeout{10000};
/// Retry-After of a host that stops: other hosts serve the request at once.
constexpr Millis kOtherHostRetryAfter{10};
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

int StatusOf(const Error& aError) {
  if (aError.Run() == RunState::NotRun) {
    switch (aError.Kind()) {
      case ErrorKind::Overloaded:
      case ErrorKind::Unavailable:
      case ErrorKind::Draining:
      case ErrorKind::KvUnavailable:
      case ErrorKind::Timeout:
        return kServiceUnavailable;
      default:
        return ErrorStatus(aError.Kind());
    }
  }
  return aError.Kind() == ErrorKind::Timeout ? kGatewayTimeout : kBadGateway;
}

/// \return the time in seconds with three decimals
std::string Seconds(Millis aSpan) {
  constexpr int64_t kPerSecond = 1000;
  std::string text = std::to_string(aSpan.Count() / kPerSecond) + ".";
  const std::string rest = std::to_string(aSpan.Count() % kPerSecond);
  return text + std::string(3 - rest.size(), '0') + rest;
}

UpstreamCall MakeCall(const NodeContext& aNode, const Route& aRoute,
                      const Caller& aCaller, const HttpRequest& aRequest,
                      const std::string& aId) {
  UpstreamCall call;
  call.mId = aId;
  call.mRequest = aRequest;
  call.mRequest.mHeaders = EndToEndHeaders(aRequest.mHeaders);
  std::erase_if(call.mRequest.mHeaders, [&](const HttpHeader& aHeader) {
    const HeaderNames& names = aNode.mHeaders;
    return boost::iequals(aHeader.mName, names.mTimeLeft) ||
           boost::iequals(aHeader.mName, names.mExpectReplica);
  });
  SetAccountHeader(aNode, *aNode.mRoutes.Read(), aCaller.mAccount,
                   call.mRequest.mHeaders);
  call.mAccount = aCaller.mAccount;
  const std::string* service =
      PickService(aRoute, std::hash<std::string>()(aId));
  call.mService = service == nullptr ? std::string() : *service;
  call.mKind = aRoute.mKind;
  call.mAttempts = aRoute.mAttempts;
  call.mTargetLatency = aRoute.mTargetLatency;
  call.mDeadline = DeadlineOf(aNode, aRoute, aRequest);
  call.mRoute = aRoute.mName;
  call.mProbes = true;
  if (aRoute.mTimeout > kResponseMargin) {
    call.mTimeout = aRoute.mTimeout - kResponseMargin;
  }
  call.mPriority = aCaller.mPriority.value_or(aRoute.mPriority);
  call.mRegions = RegionsOf(*aNode.mRoutes.Read(), aRoute, aCaller.mAccount);
  return call;
}

/// \return an error if this node stops before a stream surely ends. Streams
/// that begin while the load balancer still uses this node are accepted all the
/// same, as the others may not have been found ready yet.
std::optional<Error> ErrorIfStreamMayBeCut(const NodeContext& aNode,
                                           const UpstreamCall& aCall) {
  const bool maybeCut = aNode.mOutOfRotation && aNode.mRespondsUntil &&
                        aCall.mDeadline > *aNode.mRespondsUntil;
  if (aCall.mKind != RequestKind::Streaming || !maybeCut) {
    return std::nullopt;
  }
  return Error(ErrorKind::Draining,
               "This host stops before the response can end; send the request "
               "to another one.",
               RunState::NotRun)
      .WithRetryAfter(kOtherHostRetryAfter);
}

/// \return the error of a request that has no response when this node must
/// have responded
Error StoppedError(bool aMayHaveRun) {
  if (aMayHaveRun) {
    return {ErrorKind::Timeout,
            "This host stops, and no response has arrived yet.",
            RunState::Unknown};
  }
  return Error(ErrorKind::Draining,
               "This host stops; send the request to another one.",
               RunState::NotRun)
      .WithRetryAfter(kOtherHostRetryAfter);
}

/// Forwards the rest of a response as it arrives.
asio::awaitable<void> ForwardStream(std::unique_ptr<HttpStream> aRest,
                                    const std::string& aId,
                                    HttpExchange& aExchange) {
  while (true) {
    Result<std::string> part = co_await aRest->Read(kStreamIdleTimeout);
    if (!part) {
      Event("stream-cut").Id(aId).Text("why", part.error().Detail()).Write();
      aExchange.Abort();
      co_return;
    }
    if (part->empty()) {
      co_await aExchange.End();
      co_return;
    }
    const std::error_code failed = co_await aExchange.Write(std::move(*part));
    if (failed) {
      Event("stream-left").Id(aId).Text("why", failed.message()).Write();
      aExchange.Abort();
      co_return;
    }
  }
}

asio::awaitable<void> ForwardResponse(UpstreamResponse aResponse,
                                      const std::string& aId,
                                      HttpExchange& aExchange) {
  aResponse.mHead.mHeaders = EndToEndHeaders(aResponse.mHead.mHeaders);
  if (!aResponse.mRest) {
    co_await aExchange.Respond(std::move(aResponse.mHead));
    co_return;
  }
  std::string firstPart = std::move(aResponse.mHead.mBody);
  const std::error_code failed =
      co_await aExchange.Begin(std::move(aResponse.mHead));
  if (failed) {
    aExchange.Abort();
    co_return;
  }
  if (!firstPart.empty()) {
    co_await aExchange.Write(std::move(firstPart));
  }
  co_await ForwardStream(std::move(aResponse.mRest), aId, aExchange);
}

/// \param aOpen if it has been ended, nothing is sent
asio::awaitable<void> CallAndRespond(NodeContext& aNode, UpstreamCall aCall,
                                     const Route& aRoute, Millis aStarted,
                                     OpenRequests::Entry& aOpen,
                                     HttpExchange& aExchange) {
  const std::string id = aCall.mId;
  Result<UpstreamResponse> answer =
      co_await CallUpstream(aNode, std::move(aCall));
  if (!aOpen.BeginResponse()) {
    co_return;
  }
  if (!answer) {
    co_await RespondWithError(aNode, id, answer.error(), aExchange);
    co_return;
  }
  const std::string labels = "route=\"" + aRoute.mName + "\",status=\"" +
                             std::to_string(answer->mHead.mStatus) + "\"";
  aNode.mMetrics.Count("requests_total", labels);
  aNode.mMetrics.Measure("answer_ms", aNode.Now() - aStarted);
  co_await ForwardResponse(std::move(*answer), id, aExchange);
}

}  // namespace

std::vector<HttpHeader> EndToEndHeaders(const std::vector<HttpHeader>& aAll) {
  std::vector<std::string> named;
  const std::string* connection = FindHeader(aAll, "Connection");
  if (connection != nullptr) {
    boost::split(named, *connection, [](char aChar) { return aChar == ','; });
  }
  std::vector<HttpHeader> kept;
  for (const HttpHeader& header : aAll) {
    const bool hop =
        std::any_of(named.begin(), named.end(), [&](const std::string& aName) {
          return boost::iequals(boost::trim_copy(aName), header.mName);
        });
    if (!hop && !boost::iequals(header.mName, "Connection")) {
      kept.push_back(header);
    }
  }
  return kept;
}

const std::string* RequestId(const NodeContext& aNode,
                             const HttpRequest& aRequest) {
  const std::string* id = aRequest.Find(aNode.mHeaders.mRequestId);
  return id == nullptr || id->empty() ? nullptr : id;
}

Millis DeadlineOf(const NodeContext& aNode, const Route& aRoute,
                  const HttpRequest& aRequest) {
  Millis span = aRoute.mTimeout > Millis(0) ? aRoute.mTimeout : kDefaultTimeout;
  const std::string* left = aRequest.Find(aNode.mHeaders.mTimeLeft);
  const std::optional<int64_t> client =
      left == nullptr ? std::nullopt : ParseNumber(*left);
  if (client) {
    span = std::min(span, Millis(*client));
  }
  return aNode.Now() + std::max(span - kResponseMargin, Millis(0));
}

HttpResponse ErrorAnswer(const Error& aError) {
  json::object error;
  error["kind"] = ErrorName(aError.Kind());
  error["message"] = aError.Detail();
  error["remedy"] = ErrorRemedy(aError.Kind());
  error["run"] = RunStateName(aError.Run());
  json::object body;
  body["error"] = std::move(error);
  HttpResponse response =
      HttpResponse::Json(StatusOf(aError), json::serialize(body));
  if (aError.RetryAfter() > Millis(0)) {
    response.mHeaders.push_back({"Retry-After", Seconds(aError.RetryAfter())});
  }
  return response;
}

HttpResponse RefuseRequest(NodeContext& aNode, const std::string& aId,
                           const Error& aError) {
  HttpResponse response = ErrorAnswer(aError);
  const std::string labels = "status=\"" + std::to_string(response.mStatus) +
                             "\",reason=\"" + ErrorName(aError.Kind()) + "\"";
  aNode.mMetrics.Count("refusals_total", labels);
  // Errors before the route is known concern no service, so the bound applies
  // on hosts that have any service with admission control.
  Event("refused")
      .Bounded(aNode.mGate != nullptr)
      .Id(aId)
      .Number("status", response.mStatus)
      .Text("kind", ErrorName(aError.Kind()))
      .Text("run", RunStateName(aError.Run()))
      .Text("why", aError.Detail())
      .Number("retry_after_ms", aError.RetryAfter().Count())
      .Number("config", aNode.mRoutes.Read()->Version())
      .Write();
  return response;
}

asio::awaitable<void> RespondWithError(NodeContext& aNode, std::string aId,
                                       Error aError, HttpExchange& aExchange) {
  HttpResponse response = RefuseRequest(aNode, aId, aError);
  co_await aExchange.Respond(std::move(response));
}

asio::awaitable<void> RelayRequest(NodeContext& aNode, Route aRoute,
                                   Caller aCaller, const HttpRequest& aRequest,
                                   HttpExchange& aExchange) {
  const std::string* id = RequestId(aNode, aRequest);
  if (id == nullptr) {
    Error error(ErrorKind::BadRequest,
                "The request has no identity; send the "
                "header " +
                    aNode.mHeaders.mRequestId + ".");
    co_await RespondWithError(aNode, std::string(), std::move(error),
                              aExchange);
    co_return;
  }
  const Millis started = aNode.Now();
  UpstreamCall call = MakeCall(aNode, aRoute, aCaller, aRequest, *id);
  const bool bounded = aNode.mReplicas.UsesCurrentLoad(call.mService);
  Event("routed")
      .Bounded(bounded)
      .Id(*id)
      .Text("route", aRoute.mName)
      .Text("account", aCaller.mAccount)
      .Text("service", call.mService)
      .Number("config", aNode.mRoutes.Read()->Version())
      .Number("left_ms", (call.mDeadline - started).Count())
      .Write();
  std::optional<Error> stopping = ErrorIfStreamMayBeCut(aNode, call);
  if (stopping) {
    co_await RespondWithError(aNode, *id, std::move(*stopping), aExchange);
    co_return;
  }
  if (aNode.mRespondsUntil && call.mKind != RequestKind::Streaming) {
    // A response that says that the time is over is better than none.
    call.mDeadline = std::min(call.mDeadline, *aNode.mRespondsUntil);
  }
  bool mayHaveRun = false;
  call.mMayHaveRun = &mayHaveRun;
  // Cancelled when the client disconnects, or when this node must respond.
  asio::steady_timer interrupt(aNode.mIo);
  interrupt.expires_at(asio::steady_timer::time_point::max());
  OpenRequests::Entry open(aNode.mOpenRequests,
                           [&interrupt] { interrupt.cancel(); });
  aExchange.OnPeerDisconnected([&interrupt] { interrupt.cancel(); });
  if (aExchange.PeerDisconnected()) {
    interrupt.cancel();
  }
  const auto ended =
      co_await (CallAndRespond(aNode, std::move(call), aRoute, started, open,
                               aExchange) ||
                interrupt.async_wait(asio::as_tuple(asio::use_awaitable)));
  aExchange.OnPeerDisconnected(nullptr);
  if (open.Ended() && !aExchange.PeerDisconnected()) {
    co_await RespondWithError(aNode, *id, StoppedError(mayHaveRun), aExchange);
    co_return;
  }
  if (ended.index() == 1 || open.Ended()) {
    Event("client-left").Bounded(bounded).Id(*id).Write();
    aNode.mMetrics.Count("clients_left_total");
    aExchange.Abort();
  }
}

}  // namespace rillwall
