/// \file
/// Benchmark of relaying a small call. Caller, relay and upstream run on one
/// thread each; the time reported is the processor time of the relay's thread
/// per call.

#include <benchmark/benchmark.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <ctime>
#include <thread>

#include "rillwall/http.h"

namespace rillwall {

namespace {

constexpr Millis kTimeout{5000};
constexpr int kCallsPerCaller = 100;

double ThreadSeconds(clockid_t aClock) {
  constexpr double kNanosPerSecond = 1e9;
  timespec now{};
  clock_gettime(aClock, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / kNanosPerSecond;
}

/// An io_context run by its own thread, whose processor time can be read.
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

asio::awaitable<void> HandleUpstreamRequest(const HttpRequest&,
                                            HttpExchange& aExchange) {
  HttpResponse response =
      HttpResponse::Json(200, R"({"street":"a","status":"open"})");
  co_await aExchange.Respond(std::move(response));
}

/// Sends kCallsPerCaller calls one after another, then decrements aRunning.
asio::awaitable<void> Call(HttpClient& aClient, Endpoint aRelay,
                           std::atomic<int>& aRunning,
                           std::atomic<int>& aFailed) {
  for (int i = 0; i < kCallsPerCaller; ++i) {
    HttpRequest request;
    request.mTarget = "/services/street/status/12";
    request.mHeaders = {{"Authorization", "Bearer 0123456789abcdef"},
                        {"Accept", "application/json"}};
    const Result<HttpResponse> result =
        co_await aClient.Send(aRelay, std::move(request), kTimeout);
    aFailed += !result || result->mStatus != 200;
  }
  aRunning.fetch_sub(1);
  aRunning.notify_all();
}

void RelayedCalls(benchmark::State& aState) {
  Runner upstreamRunner;
  Runner relayRunner;
  Runner callerRunner;
  HttpServer upstream(upstreamRunner.Context(), HttpLimits(),
                      HandleUpstreamRequest);
  const Endpoint upstreamEndpoint = upstream.Listen({"127.0.0.1", 0}).value();
  HttpClient relayClient(relayRunner.Context());
  HttpServer relay(relayRunner.Context(), HttpLimits(),
                   [&](const HttpRequest& aRequest,
                       HttpExchange& aExchange) -> asio::awaitable<void> {
                     HttpRequest request = aRequest;
                     Result<HttpResponse> result = co_await relayClient.Send(
                         upstreamEndpoint, std::move(request), kTimeout);
                     HttpResponse response =
                         result ? std::move(*result)
                                : HttpResponse::Json(502, "{}");
                     co_await aExchange.Respond(std::move(response));
                   });
  const Endpoint relayEndpoint = relay.Listen({"127.0.0.1", 0}).value();
  HttpClient client(callerRunner.Context());
  std::atomic<int> failed{0};
  const int callers = static_cast<int>(aState.range(0));
  for ([[maybe_unused]] auto step : aState) {
    const double before = relayRunner.Seconds();
    std::atomic<int> running{callers};
    for (int i = 0; i < callers; ++i) {
      asio::co_spawn(callerRunner.Context(),
                     Call(client, relayEndpoint, running, failed),
                     asio::detached);
    }
    for (int left = callers; left > 0; left = running.load()) {
      running.wait(left);
    }
    const double spent = relayRunner.Seconds() - before;
    aState.SetIterationTime(spent / (callers * kCallsPerCaller));
  }
  aState.counters["failed"] = failed.load();
}

BENCHMARK(RelayedCalls)->Arg(4)->Arg(32)->UseManualTime()->Iterations(50);

}  // namespace

}  // namespace rillwall

BENCHMARK_MAIN();
