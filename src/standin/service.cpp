/// \file
/// A plain service with calls that may not be repeated, and a journal of
/// exactly what was run.

#include "control_serve.h"
#include "verbs.h"

namespace rillwall::standin {

namespace {

constexpr char kJournalPath[] = "/journal";
constexpr char kStatsPath[] = "/stats";
constexpr char kLoadPath[] = "/load";

/// One run of a charge.
struct ChargeRun {
  std::string mKey;  ///< the Idempotency-Key it came with
  std::string mAccount;
  int64_t mAmount = 0;
};

class PlainService {
 public:
  void Run(const ServeOptions& aOptions);

 private:
  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange);
  /// What a test or the platform reads; no request of a caller.
  using Report = HttpResponse (PlainService::*)() const;
  static Report FindReport(std::string_view aPath);
  asio::awaitable<void> Delay();
  HttpResponse Work(const HttpRequest& aRequest);
  HttpResponse Charge(const HttpRequest& aRequest);
  HttpResponse Load() const;
  HttpResponse Journal() const;
  HttpResponse Stats() const;

  Control mControl{{kJournalPath, kStatsPath}};
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
  const auto report = FindReport(aRequest.Path());
  HttpResponse answer;
  if (report) {
    answer = (this->*report)();
  } else {
    ++mRequests;
    ++mRunning;
    mLastRequest = Now();
    co_await Delay();
    answer = Work(aRequest);
    --mRunning;
  }
  co_await aExchange.Respond(std::move(answer));
}

asio::awaitable<void> PlainService::Delay() {
  if (mLate.On()) {
    co_await Sleep(mLate.Span());
    co_await mControl.Thawed();
  }
}

PlainService::Report PlainService::FindReport(std::string_view aPath) {
  if (aPath == kJournalPath) {
    return &PlainService::Journal;
  }
  if (aPath == kStatsPath) {
    return &PlainService::Stats;
  }
  return aPath == kLoadPath ? &PlainService::Load : nullptr;
}

HttpResponse PlainService::Work(const HttpRequest& aRequest) {
  const std::string_view path = aRequest.Path();
  if (path == "/charges" && aRequest.mMethod == "POST") {
    return Charge(aRequest);
  }
  if (path.starts_with("/status/")) {
    return JsonAnswer(200, json::object{{"path", path}, {"status", "open"}});
  }
  return ErrorAnswer(404, "not-found",
                     "Known: POST /charges, GET /status/{x}, /journal.");
}

HttpResponse PlainService::Charge(const HttpRequest& aRequest) {
  const Result<json::object> body = ParseObject(aRequest.mBody);
  if (!body.has_value() || TextOf(body.value(), "account").empty()) {
    return ErrorAnswer(400, "bad-request", "Send {\"account\",\"amount\"}.");
  }
  const std::string* key = aRequest.Find("Idempotency-Key");
  mRuns.push_back({key ? *key : "", TextOf(body.value(), "account"),
                   NumberOf(body.value(), "amount")});
  if (mFailAfterRun.Take()) {
    return ErrorAnswer(500, "failed", "Failed on command, after the run.");
  }
  return JsonAnswer(
      201, json::object{{"id", "charge-" + std::to_string(mRuns.size())},
                        {"account", mRuns.back().mAccount},
                        {"amount", mRuns.back().mAmount}});
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
