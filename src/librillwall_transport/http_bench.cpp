/// \file
/// The cost of relaying a small call: caller, relay and upstream on a thread
/// each. The time shown is the relay thread's processor time for one call.

#include <benchmark/benchmark.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <ctime>
#include <thread>

#include "rillwall/http.h"

namespace rillwall {

namespace {

constexpr Millis kTimeout{5000};
constexpr int kCallsEach = 100;

double ThreadSeconds(clockid_t aClock) {
  constexpr double kNanosPerSecond = 1e9;
  timespec now{};
  clock_gettime(aClock, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / kNanosPerSecond;
}

/// An io_context on a thread of its own, whose processor time can be read.
class Runner {
 public:
  Runner()
      : mWork(mContext.get_executor()), mThread([this] { mContext.run(); }) {
    pthread_getcpuclockid(mThread.native_handle(), &mClock);
  }
  ~Runner() {
    mContext.stop();
    mThread.join();
  }
  asio::io_context& Context() { return mContext; }
  double Seconds() const { return ThreadSeconds(mClock); }

 private:
  asio::io_context mContext{1};
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  std::thread mThread;
  clockid_t mClock{};
};

asio::awaitable<void> Answer(const HttpRequest&, HttpExchange& aExchange) {
  HttpResponse response =
      HttpResponse::Json(200, R"({"street":"a","status":"open"})");
  co_await aExchange.Respond(std::move(response));
}

/// Sends calls one after another, then counts itself as done.
asio::awaitable<void> Call(HttpClient& aClient, Endpoint aRelay,
                           std::atomic<int>& aRunning,
                           std::atomic<int>& aFailed) {
  for (int i = 0; i < kCallsEach; ++i) {
    HttpRequest request;
    request.mTarget = "/services/street/status/12";
    request.mHeaders = {{"Authorization", "Bearer 0123456789abcdef"},
                        {"Accept", "application/json"}};
    const Result<HttpResponse> answer =
        co_await aClient.Send(aRelay, std::move(request), kTimeout);
    aFailed += !answer || answer->mStatus != 200;
  }
  aRunning.fetch_sub(1);
  aRunning.notify_all();
}

void RelayedCalls(benchmark::State& aState) {
  Runner upstreamRunner;
  Runner relayRunner;
  Runner callerRunner;
  HttpServer upstream(upstreamRunner.Context(), HttpLimits(), Answer);
  const Endpoint upstreamAt = upstream.Listen({"127.0.0.1", 0}).value();
  HttpClient onward(relayRunner.Context());
  HttpServer relay(
      relayRunner.Context(), HttpLimits(),
      [&](const HttpRequest& aRequest,
          HttpExchange& aExchange) -> asio::awaitable<void> {
        HttpRequest request = aRequest;
        Result<HttpResponse> answer =
            co_await onward.Send(upstreamAt, std::move(request), kTimeout);
        HttpResponse response =
            answer ? std::move(*answer) : HttpResponse::Json(502, "{}");
        co_await aExchange.Respond(std::move(response));
      });
  const Endpoint relayAt = relay.Listen({"127.0.0.1", 0}).value();
  HttpClient client(callerRunner.Context());
  std::atomic<int> failed{0};
  const int callers = static_cast<int>(aState.range(0));
  for ([[maybe_unused]] auto step : aState) {
    const double before = relayRunner.Seconds();
    std::atomic<int> running{callers};
    for (int i = 0; i < callers; ++i) {
      asio::co_spawn(callerRunner.Context(),
                     Call(client, relayAt, running, failed), asio::detached);
    }
    for (int left = callers; left > 0; left = running.load()) {
      running.wait(left);
    }
    const double spent = relayRunner.Seconds() - before;
    aState.SetIterationTime(spent / (callers * kCallsEach));
  }
  aState.counters["failed"] = failed.load();
}

BENCHMARK(RelayedCalls)->Arg(4)->Arg(32)->UseManualTime()->Iterations(50);

}  // namespace

}  // namespace rillwall

BENCHMARK_MAIN();
