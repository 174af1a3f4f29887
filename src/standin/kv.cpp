/// \file
/// The key-value service: etcd v3's JSON calls over a KvStore.

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "control_serve.h"
#include "kv_calls.h"
#include "kv_codec.h"
#include "kv_store.h"
#include "verbs.h"

namespace rillwall::standin {

namespace {

constexpr Millis kTick{20};
constexpr int64_t kPerSecond = 1000;
// gRPC's codes, as the gateway shows them in the body.
constexpr int kInvalidArgument = 3;
constexpr int kNotFound = 5;
constexpr int kFailedPrecondition = 9;
constexpr int kResourceExhausted = 8;

HttpResponse Failure(int aStatus, int aCode, const std::string& aMessage) {
  json::object answer;
  answer["error"] = "etcdserver: " + aMessage;
  answer["code"] = aCode;
  answer["message"] = "etcdserver: " + aMessage;
  return JsonAnswer(aStatus, answer);
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

class KvService {
 public:
  KvService();
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
  asio::awaitable<void> Call(const Route& aRoute, const json::object& aBody,
                             HttpExchange& aExchange);
  asio::awaitable<void> Watch(const json::object& aBody,
                              HttpExchange& aExchange);
  asio::awaitable<void> Follow(const KeyInterval& aKeys, int64_t aFrom,
                               HttpExchange& aExchange);
  asio::awaitable<void> ExpireLeases();
  bool OverRate(CallKind aKind) const;

  HttpResponse RunOp(StoreOpKind aKind, const json::object& aBody);
  HttpResponse Range(const json::object& aBody);
  HttpResponse Put(const json::object& aBody);
  HttpResponse Delete(const json::object& aBody);
  HttpResponse Txn(const json::object& aBody);
  HttpResponse Grant(const json::object& aBody);
  HttpResponse Revoke(const json::object& aBody);
  HttpResponse KeepAlive(const json::object& aBody);

  Control mControl{{"/calls"}};
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

KvService::KvService() = default;

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
    co_await Sleep(kTick);
    mStore.Expire(Now());
  }
}

asio::awaitable<void> KvService::Handle(const HttpRequest& aRequest,
                                        HttpExchange& aExchange) {
  if (aRequest.Path() == "/calls") {
    co_await aExchange.Respond(JsonAnswer(200, mCalls.Write()));
    co_return;
  }
  if (mOutage.On()) {
    co_return;  // cuts the connection; nothing is done
  }
  const Result<json::object> body = ParseObject(aRequest.mBody);
  if (!body.has_value()) {
    co_await aExchange.Respond(Failure(body.error()));
    co_return;
  }
  if (aRequest.Path() == "/v3/watch") {
    co_await Watch(body.value(), aExchange);
    co_return;
  }
  for (const Route& route : kRoutes) {
    if (aRequest.Path() == route.mPath) {
      co_await Call(route, body.value(), aExchange);
      co_return;
    }
  }
  co_await aExchange.Respond(Failure(404, kNotFound, "no such call"));
}

bool KvService::OverRate(CallKind aKind) const {
  const Fault& rate = aKind == CallKind::Read ? mReadRate : mWriteRate;
  return rate.On() && mCalls.ThisSecond(aKind, Now()) >= rate.Count();
}

asio::awaitable<void> KvService::Call(const Route& aRoute,
                                      const json::object& aBody,
                                      HttpExchange& aExchange) {
  if (OverRate(aRoute.mKind)) {
    mCalls.Count("over_rate", CallKind::Watch, Now());
    co_await aExchange.Respond(
        Failure(429, kResourceExhausted, "too many requests"));
    co_return;
  }
  mCalls.Count(aRoute.mName, aRoute.mKind, Now());
  HttpResponse answer = (this->*aRoute.mRun)(aBody);
  if (aRoute.mKind == CallKind::Write && mAnswerLost.Take()) {
    co_return;  // the write took effect; the writer cannot know
  }
  co_await aExchange.Respond(std::move(answer));
}

asio::awaitable<void> KvService::Watch(const json::object& aBody,
                                       HttpExchange& aExchange) {
  const json::value* request = aBody.if_contains("create_request");
  if (!request || !request->is_object()) {
    co_await aExchange.Respond(
        Failure(400, kInvalidArgument, "create_request is missing"));
    co_return;
  }
  const Result<KeyInterval> keys = ReadInterval(request->get_object());
  if (!keys.has_value()) {
    co_await aExchange.Respond(Failure(keys.error()));
    co_return;
  }
  const int64_t wanted = NumberOf(request->get_object(), "start_revision");
  const int64_t from = wanted > 0 ? wanted : mStore.Revision() + 1;
  mCalls.Count("watch", CallKind::Watch, Now());
  mCalls.WatchBegan();
  co_await Follow(keys.value(), from, aExchange);
  mCalls.WatchEnded();
}

asio::awaitable<void> KvService::Follow(const KeyInterval& aKeys, int64_t aFrom,
                                        HttpExchange& aExchange) {
  HttpResponse head = HttpResponse::Json(200, "");
  if (co_await aExchange.Begin(std::move(head))) {
    co_return;
  }
  json::object created;
  created["header"] = WriteHeader(mStore.Revision());
  created["created"] = true;
  json::object first;
  first["result"] = std::move(created);
  if (co_await aExchange.Write(json::serialize(first) + "\n")) {
    co_return;
  }
  int64_t next = aFrom;
  while (!mOutage.On() && !aExchange.PeerGone()) {
    if (next < mStore.CompactRevision()) {
      json::object cancelled;
      cancelled["header"] = WriteHeader(mStore.Revision());
      cancelled["canceled"] = true;
      cancelled["compact_revision"] = std::to_string(mStore.CompactRevision());
      json::object line;
      line["result"] = std::move(cancelled);
      co_await aExchange.Write(json::serialize(line) + "\n");
      co_await aExchange.End();
      co_return;
    }
    const std::vector<StoreEvent> events = mStore.Since(next, aKeys);
    const int64_t seen = mStore.Revision();
    next = std::max(next, seen + 1);
    if (events.empty()) {
      co_await Sleep(kTick);
      continue;
    }
    co_await mControl.Slowed();
    if (co_await aExchange.Write(WriteEvents(events, seen))) {
      co_return;
    }
  }
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
  return JsonAnswer(
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
  return JsonAnswer(200, WriteTxnResult(result.value(), mStore.Revision()));
}

HttpResponse KvService::Grant(const json::object& aBody) {
  const int64_t seconds = NumberOf(aBody, "TTL");
  const Result<int64_t> id =
      mStore.Grant(NumberOf(aBody, "ID"), Millis(seconds * kPerSecond), Now());
  if (!id.has_value()) {
    return Failure(id.error());
  }
  json::object answer;
  answer["header"] = WriteHeader(mStore.Revision());
  answer["ID"] = std::to_string(id.value());
  answer["TTL"] = std::to_string(seconds);
  return JsonAnswer(200, answer);
}

HttpResponse KvService::Revoke(const json::object& aBody) {
  if (!mStore.Revoke(NumberOf(aBody, "ID"))) {
    return Failure(404, kNotFound, "requested lease not found");
  }
  json::object answer;
  answer["header"] = WriteHeader(mStore.Revision());
  return JsonAnswer(200, answer);
}

HttpResponse KvService::KeepAlive(const json::object& aBody) {
  const int64_t id = NumberOf(aBody, "ID");
  const Millis life = mStore.KeepAlive(id, Now());
  json::object result;
  result["header"] = WriteHeader(mStore.Revision());
  result["ID"] = std::to_string(id);
  if (life > Millis()) {
    result["TTL"] = std::to_string(life.Count() / kPerSecond);
  }
  json::object answer;
  answer["result"] = std::move(result);
  return JsonAnswer(200, answer);
}

}  // namespace

void AddKvVerb(CLI::App& aApp) {
  CLI::App* verb = aApp.add_subcommand("kv", "The key-value service");
  auto options = std::make_shared<ServeOptions>();
  AddServeOptions(*verb, *options);
  verb->callback([options] { KvService().Run(*options); });
}

}  // namespace rillwall::standin
