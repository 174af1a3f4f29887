/// \file
/// Stand-in of a service with non-idempotent calls, and a journal of the calls
/// that ran.

#include "commands.h"
#include "control_serve.h"

namespace rillwall::standin {

namespace {

constexpr char kJournalPath[] = "/journal";
constexpr char kStatsPath[] = "/stats";
constexpr char kLoadPath[] = "/load";

/// A charge that ran.
struct ChargeRun {
  std::string mKey;  ///< Idempotency-Key of the request
  std::string mAccount;
  int64_t mAmount = 0;
};

/// Serves charges and status reads. Single-threaded.
class PlainService {
 public:
  void Run(const ServeOptions& aOptions);

 private:
  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange);
  /// Handlers of paths that tests or the platform read. These requests are not
  /// counted.
  using ReportHandler = HttpResponse (PlainService::*)() const;
  static ReportHandler FindReportHandler(std::string_view aPath);
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
  const auto reportHandler = FindReportHandler(aRequest.Path());
  HttpResponse answer;
  if (reportHandler) {
    answer = (this->*reportHandler)();
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
    co_await Sleep(mLate.Duration());
    co_await mControl.WaitWhileFrozen();
  }
}

PlainService::ReportHandler PlainService::FindReportHandler(
    std::string_view aPath) {
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
    return MakeJsonResponse(200,
                            json::object{{"path", path}, {"status", "open"}});
  }
  return MakeErrorResponse(
      404, "not-found",
      "Unknown path; use POST /charges, GET /status/{x} or "
      "GET /journal.");
}

HttpResponse PlainService::Charge(const HttpRequest& aRequest) {
  const Result<json::object> body = ParseObject(aRequest.mBody);
  if (!body.has_value() || TextOf(body.value(), "account").empty()) {
    return MakeErrorResponse(400, "bad-request",
                             "Send {\"account\",\"amount\"}.");
  }
  const std::string* key = aRequest.Find("Idempotency-Key");
  mRuns.push_back({key ? *key : "", TextOf(body.value(), "account"),
                   NumberOf(body.value(), "amount")});
  if (mFailAfterRun.Consume()) {
    return MakeErrorResponse(500, "failed",
                             "Failed by the injected fault, after the run.");
  }
  return MakeJsonResponse(
      201, json::object{{"id", "charge-" + std::to_string(mRuns.size())},
                        {"account", mRuns.back().mAccount},
                        {"amount", mRuns.back().mAmount}});
}

HttpResponse PlainService::Load() const {
  return MakeJsonResponse(200, json::object{{"running", mRunning},
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
  return MakeJsonResponse(200, json::object{{"runs", std::move(runs)}});
}

HttpResponse PlainService::Stats() const {
  const Millis since = mRequests > 0 ? Now() - mLastRequest : Millis(-1);
  return MakeJsonResponse(200, json::object{{"requests", mRequests},
                                            {"running", mRunning},
                                            {"since_last_ms", since.Count()}});
}

}  // namespace

void AddServiceCommand(CLI::App& aApp) {
  CLI::App* command = aApp.add_subcommand(
      "service", "Service with non-idempotent calls and a journal");
  auto options = std::make_shared<ServeOptions>();
  AddServeOptions(*command, *options);
  command->callback([options] { PlainService().Run(*options); });
}

}  // namespace rillwall::standin
