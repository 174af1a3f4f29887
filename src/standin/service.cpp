/// \file
/// A plain service with calls that may not be repeated, and a journal of
/// exactly what was run.

#include "control_serve.h"
#include "verbs.h"

namespace rillwall::standin {

namespace {

/// One run of a charge.
struct ChargeRun {
  std::string mKey;  ///< the Idempotency-Key it came with
  std::string mAccount;
  int64_t mAmount = 0;
  Millis mAt;
};

HttpResponse Receipt(const ChargeRun& aRun, size_t aNumber) {
  return JsonAnswer(201,
                    json::object{{"id", "charge-" + std::to_string(aNumber)},
                                 {"account", aRun.mAccount},
                                 {"amount", aRun.mAmount}});
}

HttpResponse Status(std::string_view aPath) {
  return JsonAnswer(200, json::object{{"path", aPath}, {"status", "open"}});
}

class PlainService {
 public:
  void Run(const ServeOptions& aOptions);

 private:
  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange);
  asio::awaitable<void> Charge(const HttpRequest& aRequest,
                               HttpExchange& aExchange);
  HttpResponse Load() const;
  HttpResponse Journal() const;
  HttpResponse Stats() const;

  Control mControl{{"/journal", "/stats"}};
  Fault& mFailAfterRun = mControl.Add("fail_after_run");
  Fault& mLate = mControl.Add("late_ms");
  Fault& mLeaving = mControl.Add("leaving");
  std::vector<ChargeRun> mRuns;
  int64_t mRequests = 0;
  int64_t mRunning = 0;
  Millis mLastRequest;
};

void PlainService::Run(const ServeOptions& aOptions) {
  Serve(aOptions, mControl,
        [this](const HttpRequest& aRequest, HttpExchange& aExchange) {
          return Handle(aRequest, aExchange);
        });
}

asio::awaitable<void> PlainService::Handle(const HttpRequest& aRequest,
                                           HttpExchange& aExchange) {
  const std::string_view path = aRequest.Path();
  if (path == "/journal") {
    co_await aExchange.Respond(Journal());
    co_return;
  }
  if (path == "/stats") {
    co_await aExchange.Respond(Stats());
    co_return;
  }
  if (path == "/load") {
    co_await aExchange.Respond(Load());
    co_return;
  }
  ++mRequests;
  ++mRunning;
  mLastRequest = Now();
  if (path == "/charges" && aRequest.mMethod == "POST") {
    co_await Charge(aRequest, aExchange);
  } else if (path.starts_with("/status/")) {
    co_await aExchange.Respond(Status(path));
  } else {
    co_await aExchange.Respond(ErrorAnswer(
        404, "not-found", "Known: POST /charges, GET /status/{x}, /journal."));
  }
  --mRunning;
}

asio::awaitable<void> PlainService::Charge(const HttpRequest& aRequest,
                                           HttpExchange& aExchange) {
  const Result<json::object> body = ParseObject(aRequest.mBody);
  if (!body.has_value() || TextOf(body.value(), "account").empty()) {
    co_await aExchange.Respond(
        ErrorAnswer(400, "bad-request", "Send {\"account\",\"amount\"}."));
    co_return;
  }
  if (mLate.On()) {
    co_await Sleep(mLate.Span());
    co_await mControl.Thawed();
  }
  const std::string* key = aRequest.Find("Idempotency-Key");
  ChargeRun run{key ? *key : "", TextOf(body.value(), "account"),
                NumberOf(body.value(), "amount"), Now()};
  mRuns.push_back(run);
  const size_t number = mRuns.size();
  if (mFailAfterRun.Take()) {
    co_await aExchange.Respond(
        ErrorAnswer(500, "failed", "Failed on command, after the run."));
    co_return;
  }
  co_await aExchange.Respond(Receipt(run, number));
}

HttpResponse PlainService::Load() const {
  return JsonAnswer(200, json::object{{"running", mRunning},
                                      {"waiting", 0},
                                      {"leaving", mLeaving.On()}});
}

HttpResponse PlainService::Journal() const {
  json::array runs;
  int64_t number = 0;
  for (const ChargeRun& run : mRuns) {
    runs.push_back(json::object{{"key", run.mKey},
                                {"account", run.mAccount},
                                {"amount", run.mAmount},
                                {"n", ++number}});
  }
  return JsonAnswer(200, json::object{{"runs", std::move(runs)}});
}

HttpResponse PlainService::Stats() const {
  const Millis since = mRequests > 0 ? Now() - mLastRequest : Millis(-1);
  return JsonAnswer(200, json::object{{"requests", mRequests},
                                      {"running", mRunning},
                                      {"since_last_ms", since.Count()}});
}

}  // namespace

void AddServiceVerb(CLI::App& aApp) {
  CLI::App* verb = aApp.add_subcommand("service", "A plain service");
  auto options = std::make_shared<ServeOptions>();
  AddServeOptions(*verb, *options);
  verb->callback([options] { PlainService().Run(*options); });
}

}  // namespace rillwall::standin
