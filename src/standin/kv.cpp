/// \file
/// Stand-in of the key-value service: the JSON gateway calls of etcd v3 on a
/// KvStore.

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "commands.h"
#include "control_serve.h"
#include "kv_calls.h"
#include "kv_codec.h"
#include "kv_store.h"

namespace rillwall::standin {

namespace {

constexpr char kCallsPath[] = "/calls";
constexpr char kWatchPath[] = "/v3/watch";
constexpr Millis kPollInterval{20};
constexpr size_t kHistory = 10000;
constexpr int64_t kMillisPerSecond = 1000;
// gRPC status codes, which the gateway puts into the body.
constexpr int kInvalidArgument = 3;
constexpr int kNotFound = 5;
constexpr int kFailedPrecondition = 9;
constexpr int kResourceExhausted = 8;

HttpResponse Failure(int aStatus, int aCode, const std::string& aMessage) {
  json::object answer;
  answer["error"] = "etcdserver: " + aMessage;
  answer["code"] = aCode;
  answer["message"] = "etcdserver: " + aMessage;
  return MakeJsonResponse(aStatus, answer);
}

HttpResponse Failure(const Error& aError) {
  switch (aError.Kind()) {
    case ErrorKind::NotFound:
      return Failure(404, kNotFound, aError.Detail());
    case ErrorKind::Conflict:
      return Failure(400, kFailedPrecondition, aError.Detail());
    default:
      return Failure(400, kInvalidArgument, aError.Detail());
  }
}

/// Serves the calls, watches and leases, and injects outages, lost responses
/// and rate limits.
class KvService {
 public:
  /// \param aHistory number of changes kept for watches
  explicit KvService(size_t aHistory) : mStore(aHistory) {}
  void Run(const ServeOptions& aOptions);

 private:
  struct Route {
    const char* mPath;
    const char* mName;
    CallKind mKind;
    HttpResponse (KvService::*mRun)(const json::object&);
  };
  static const std::array<Route, 7> kRoutes;

  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange);
  static const Route* FindRoute(std::string_view aPath);
  HttpResponse Call(const Route& aRoute, const HttpRequest& aRequest);
  HttpResponse HandleOther(std::string_view aPath) const;
  asio::awaitable<void> Watch(const HttpRequest& aRequest,
                              HttpExchange& aExchange);
  /// Streams changes until the peer disconnects or an outage begins.
  asio::awaitable<void> Follow(const WatchRequest& aWatch,
                               HttpExchange& aExchange);
  asio::awaitable<void> ExpireLeases();
  bool ExceedsRate(CallKind aKind) const;

  HttpResponse RunOp(StoreOpKind aKind, const json::object& aBody);
  HttpResponse Range(const json::object& aBody);
  HttpResponse Put(const json::object& aBody);
  HttpResponse Delete(const json::object& aBody);
  HttpResponse Txn(const json::object& aBody);
  HttpResponse Grant(const json::object& aBody);
  HttpResponse Revoke(const json::object& aBody);
  HttpResponse KeepAlive(const json::object& aBody);

  Control mControl{{kCallsPath}};
  Fault& mOutage = mControl.Add("outage");
  Fault& mAnswerLost = mControl.Add("answer_lost");
  Fault& mReadRate = mControl.Add("read_rate");
  Fault& mWriteRate = mControl.Add("write_rate");
  KvStore mStore;
  KvCalls mCalls{Now()};
};

const std::array<KvService::Route, 7> KvService::kRoutes = {{
    {"/v3/kv/range", "range", CallKind::Read, &KvService::Range},
    {"/v3/kv/put", "put", CallKind::Write, &KvService::Put},
    {"/v3/kv/deleterange", "deleterange", CallKind::Write, &KvService::Delete},
    {"/v3/kv/txn", "txn", CallKind::Write, &KvService::Txn},
    {"/v3/lease/grant", "lease_grant", CallKind::Write, &KvService::Grant},
    {"/v3/lease/revoke", "lease_revoke", CallKind::Write, &KvService::Revoke},
    {"/v3/lease/keepalive", "lease_keepalive", CallKind::Write,
     &KvService::KeepAlive},
}};

void KvService::Run(const ServeOptions& aOptions) {
  const HttpHandler handler = [this](const HttpRequest& aRequest,
                                     HttpExchange& aExchange) {
    return Handle(aRequest, aExchange);
  };
  Serve(aOptions, mControl, handler, {}, [this](asio::io_context& aContext) {
    asio::co_spawn(aContext, ExpireLeases(), asio::detached);
  });
}

asio::awaitable<void> KvService::ExpireLeases() {
  while (true) {
    co_await Sleep(kPollInterval);
    mStore.Expire(Now());
  }
}

const KvService::Route* KvService::FindRoute(std::string_view aPath) {
  for (const Route& route : kRoutes) {
    if (aPath == route.mPath) {
      return &route;
    }
  }
  return nullptr;
}

asio::awaitable<void> KvService::Handle(const HttpRequest& aRequest,
                                        HttpExchange& aExchange) {
  const std::string_view path = aRequest.Path();
  if (path != kCallsPath && mOutage.On()) {
    aExchange.Abort();  // the request has no effect
    co_return;
  }
  if (path == kWatchPath) {
    co_await Watch(aRequest, aExchange);
    co_return;
  }
  const Route* const route = FindRoute(path);
  HttpResponse answer = route ? Call(*route, aRequest) : HandleOther(path);
  const bool written =
      route && route->mKind == CallKind::Write && answer.mStatus == 200;
  if (written && mAnswerLost.Consume()) {
    aExchange.Abort();  // the write took effect, but the caller cannot know
    co_return;
  }
  co_await aExchange.Respond(std::move(answer));
}

HttpResponse KvService::HandleOther(std::string_view aPath) const {
  return aPath == kCallsPath ? MakeJsonResponse(200, mCalls.ToJson())
                             : Failure(404, kNotFound, "no such call");
}

bool KvService::ExceedsRate(CallKind aKind) const {
  const Fault& rate = aKind == CallKind::Read ? mReadRate : mWriteRate;
  return rate.On() && mCalls.ThisSecond(aKind, Now()) >= rate.Count();
}

HttpResponse KvService::Call(const Route& aRoute, const HttpRequest& aRequest) {
  const Result<json::object> body = ParseObject(aRequest.mBody);
  if (!body.has_value()) {
    return Failure(body.error());
  }
  if (ExceedsRate(aRoute.mKind)) {
    mCalls.CountRateLimited();
    return Failure(429, kResourceExhausted, "too many requests");
  }
  mCalls.Count(aRoute.mName, aRoute.mKind, Now());
  return (this->*aRoute.mRun)(body.value());
}

asio::awaitable<void> KvService::Watch(const HttpRequest& aRequest,
                                       HttpExchange& aExchange) {
  const Result<WatchRequest> watch = ReadWatch(aRequest.mBody);
  if (!watch.has_value()) {
    HttpResponse failure = Failure(watch.error());
    co_await aExchange.Respond(std::move(failure));
    co_return;
  }
  mCalls.Count("watch", CallKind::Watch, Now());
  mCalls.WatchStarted();
  co_await Follow(watch.value(), aExchange);
  mCalls.WatchEnded();
}

asio::awaitable<void> KvService::Follow(const WatchRequest& aWatch,
                                        HttpExchange& aExchange) {
  HttpResponse head = HttpResponse::Json(200, "");
  std::error_code gone = co_await aExchange.Begin(std::move(head));
  std::string line = WriteWatchCreated(mStore.Revision());
  int64_t next = aWatch.mFrom > 0 ? aWatch.mFrom : mStore.Revision() + 1;
  while (!gone && !mOutage.On() && !aExchange.PeerDisconnected()) {
    if (!line.empty()) {
      co_await mControl.DelayIfSlowed();
      gone = co_await aExchange.Write(std::move(line));
    }
    if (next < mStore.CompactRevision()) {
      line = WriteWatchCompacted(mStore.Revision(), mStore.CompactRevision());
      co_await aExchange.Write(std::move(line));
      co_await aExchange.End();
      co_return;
    }
    const std::vector<StoreEvent> events = mStore.Since(next, aWatch.mKeys);
    next = std::max(next, mStore.Revision() + 1);
    if (events.empty()) {
      line.clear();
      co_await Sleep(kPollInterval);
    } else {
      line = WriteEvents(events, mStore.Revision());
    }
  }
  aExchange.Abort();
}

HttpResponse KvService::RunOp(StoreOpKind aKind, const json::object& aBody) {
  Result<StoreOp> op = ReadOp(aKind, aBody);
  if (!op.has_value()) {
    return Failure(op.error());
  }
  StoreTxn txn;
  txn.mSuccess.push_back(std::move(op.value()));
  const Result<StoreTxnResult> result = mStore.Run(txn);
  if (!result.has_value()) {
    return Failure(result.error());
  }
  return MakeJsonResponse(
      200, WriteOpResult(result.value().mResults.front(), mStore.Revision()));
}

HttpResponse KvService::Range(const json::object& aBody) {
  return RunOp(StoreOpKind::Range, aBody);
}

HttpResponse KvService::Put(const json::object& aBody) {
  return RunOp(StoreOpKind::Put, aBody);
}

HttpResponse KvService::Delete(const json::object& aBody) {
  return RunOp(StoreOpKind::Delete, aBody);
}

HttpResponse KvService::Txn(const json::object& aBody) {
  const Result<StoreTxn> txn = ReadTxn(aBody);
  if (!txn.has_value()) {
    return Failure(txn.error());
  }
  const Result<StoreTxnResult> result = mStore.Run(txn.value());
  if (!result.has_value()) {
    return Failure(result.error());
  }
  return MakeJsonResponse(200,
                          WriteTxnResult(result.value(), mStore.Revision()));
}

HttpResponse KvService::Grant(const json::object& aBody) {
  const int64_t seconds = NumberOf(aBody, "TTL");
  const Result<int64_t> id = mStore.Grant(
      NumberOf(aBody, "ID"), Millis(seconds * kMillisPerSecond), Now());
  if (!id.has_value()) {
    return Failure(id.error());
  }
  json::object answer;
  answer["header"] = WriteHeader(mStore.Revision());
  answer["ID"] = std::to_string(id.value());
  answer["TTL"] = std::to_string(seconds);
  return MakeJsonResponse(200, answer);
}

HttpResponse KvService::Revoke(const json::object& aBody) {
  if (!mStore.Revoke(NumberOf(aBody, "ID"))) {
    return Failure(404, kNotFound, "requested lease not found");
  }
  json::object answer;
  answer["header"] = WriteHeader(mStore.Revision());
  return MakeJsonResponse(200, answer);
}

HttpResponse KvService::KeepAlive(const json::object& aBody) {
  const int64_t id = NumberOf(aBody, "ID");
  const Millis ttl = mStore.KeepAlive(id, Now());
  json::object result;
  result["header"] = WriteHeader(mStore.Revision());
  result["ID"] = std::to_string(id);
  if (ttl > Millis()) {
    result["TTL"] = std::to_string(ttl.Count() / kMillisPerSecond);
  }
  json::object answer;
  answer["result"] = std::move(result);
  return MakeJsonResponse(200, answer);
}

}  // namespace

void AddKvCommand(CLI::App& aApp) {
  CLI::App* command = aApp.add_subcommand("kv", "The key-value service");
  auto options = std::make_shared<ServeOptions>();
  AddServeOptions(*command, *options);
  auto history = std::make_shared<size_t>(kHistory);
  command->add_option("--history", *history,
                      "Number of changes kept for watches");
  command->callback([options, history] { KvService(*history).Run(*options); });
}

}  // namespace rillwall::standin
