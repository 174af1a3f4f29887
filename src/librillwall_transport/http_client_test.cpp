/// \file
/// What the HTTP client makes of late, crossed, cut and refused answers.

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <map>
#include <mutex>
#include <random>

#include "http_test_support.h"

namespace rillwall {

namespace {

constexpr const char* kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(TestRunStates);
  CPPUNIT_TEST(TestCutAnswers);
  CPPUNIT_TEST(TestAnswerUntilClose);
  CPPUNIT_TEST(TestStalePooledConnection);
  CPPUNIT_TEST(TestSilentPooledConnections);
  CPPUNIT_TEST(TestBytesAfterTheAnswer);
  CPPUNIT_TEST(TestInformational);
  CPPUNIT_TEST(TestHeaderInjection);
  CPPUNIT_TEST(TestEarlyRefusalOfLargeBody);
  CPPUNIT_TEST(TestOwnAnswersUnderTimeouts);
  CPPUNIT_TEST(TestEarlyRelease);
  CPPUNIT_TEST(TestProbe);
  CPPUNIT_TEST(TestIdleWhileSuspended);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRunStates() {
    Endpoint closed;
    {
      RawUpstream gone({});
      closed = gone.Where();
    }
    const Error refused = Failure(closed);
    CPPUNIT_ASSERT(ErrorKind::ConnectionLost == refused.Kind());
    CPPUNIT_ASSERT(RunState::NotRun == refused.Run());
    RawUpstream silent({""});
    const Error lost = Failure(silent.Where());
    CPPUNIT_ASSERT(ErrorKind::ConnectionLost == lost.Kind());
    CPPUNIT_ASSERT(RunState::Unknown == lost.Run());
    HttpRequest request;
    request.mTarget = "/a b";
    const Error bad = Await(mClient.Send(closed, request, kGenerous)).error();
    CPPUNIT_ASSERT(ErrorKind::BadRequest == bad.Kind());
    CPPUNIT_ASSERT(RunState::NotRun == bad.Run());
  }

  void TestCutAnswers() {
    const std::vector<std::string> cuts = {
        "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nshor",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nshor",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nshor\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"};
    RawUpstream upstream(cuts);
    for (size_t i = 0; i < cuts.size(); ++i) {
      const Error error = Failure(upstream.Where());
      CPPUNIT_ASSERT(ErrorKind::ConnectionLost == error.Kind());
      CPPUNIT_ASSERT(RunState::NotRun != error.Run());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mClient.Connections());
  }

  void TestAnswerUntilClose() {
    RawUpstream upstream({"HTTP/1.1 200 OK\r\n\r\nall of it"});
    CPPUNIT_ASSERT_EQUAL(std::string("all of it"), Body(upstream.Where()));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mClient.Connections());
  }

  void TestStalePooledConnection() {
    // Each connection is closed after its answer, without saying so.
    RawUpstream upstream({kWhole, kWhole});
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Body(upstream.Where()));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mClient.Connections());
    Await(Sleep(Millis(50)));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Body(upstream.Where()));
  }

  void TestSilentPooledConnections() {
    // Connections on which two requests have come give no answer any more.
    std::mutex mutex;
    std::map<std::string, int> requests;
    HttpServer server(mThreads.Context(), HttpLimits(),
                      [&](const HttpRequest&,
                          HttpExchange& aExchange) -> asio::awaitable<void> {
                        int count = 0;
                        {
                          const std::lock_guard lock(mutex);
                          count = ++requests[aExchange.Peer()];
                        }
                        if (count > 1) {
                          co_await Sleep(Millis(600));
                          aExchange.Abort();
                          co_return;
                        }
                        co_await Sleep(Millis(20));
                        HttpResponse response;
                        co_await aExchange.Respond(std::move(response));
                      });
    const Endpoint where = server.Listen({"127.0.0.1", 0}).value();
    const auto send = [&]() {
      return asio::co_spawn(mThreads.Context(),
                            mClient.Send(where, {}, Millis(300)),
                            asio::use_future);
    };
    auto first = send();
    auto second = send();
    CPPUNIT_ASSERT(first.get().has_value());
    CPPUNIT_ASSERT(second.get().has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mClient.Connections());
    CPPUNIT_ASSERT(send().get().error().Kind() == ErrorKind::Timeout);
    CPPUNIT_ASSERT(send().get().has_value());
  }

  void TestBytesAfterTheAnswer() {
    RawUpstream upstream(
        {std::string(kWhole) +
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
         kWhole});
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Body(upstream.Where()));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mClient.Connections());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Body(upstream.Where()));
  }

  void TestInformational() {
    RawUpstream upstream({std::string("HTTP/1.1 100 Continue\r\n\r\n"
                                      "HTTP/1.1 103 Early Hints\r\n\r\n") +
                          kWhole});
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Body(upstream.Where()));
  }

  void TestHeaderInjection() {
    std::atomic<bool> injected{false};
    HttpServer server(mThreads.Context(), HttpLimits(),
                      [&](const HttpRequest& aRequest,
                          HttpExchange& aExchange) -> asio::awaitable<void> {
                        injected = aRequest.Find("X-Evil") != nullptr;
                        HttpResponse response;
                        response.mBody = *aRequest.Find("X-A");
                        co_await aExchange.Respond(std::move(response));
                      });
    const Endpoint where = server.Listen({"127.0.0.1", 0}).value();
    HttpRequest request;
    request.mHeaders = {{"X-A", "1\r\nX-Evil: 2"},
                        {"Content-Length", "5"},
                        {"Bad\r\nX-Evil", "3"}};
    const HttpResponse answer =
        Await(mClient.Send(where, request, kGenerous)).value();
    CPPUNIT_ASSERT_EQUAL(std::string("1  X-Evil: 2"), answer.mBody);
    CPPUNIT_ASSERT(!injected);
  }

  void TestEarlyRefusalOfLargeBody() {
    HttpLimits limits;
    limits.mMaxBody = 1000;
    HttpServer server(mThreads.Context(), limits, nullptr);
    const Endpoint where = server.Listen({"127.0.0.1", 0}).value();
    HttpRequest request;
    request.mMethod = "POST";
    request.mBody = std::string(4 * 1024 * 1024, 'x');
    const HttpResponse answer =
        Await(mClient.Send(where, request, kGenerous)).value();
    CPPUNIT_ASSERT_EQUAL(413, answer.mStatus);
  }

  /// Many calls at once, some slower than their timeout: each gets its own
  /// answer or none.
  void TestOwnAnswersUnderTimeouts() {
    constexpr int kCallers = 24;
    constexpr int kCalls = 40;
    HttpServer server(mThreads.Context(), HttpLimits(),
                      [](const HttpRequest& aRequest,
                         HttpExchange& aExchange) -> asio::awaitable<void> {
                        if (aRequest.mTarget.ends_with("slow")) {
                          co_await Sleep(Millis(60));
                        }
                        HttpResponse response;
                        response.mBody = aRequest.mTarget + aRequest.mBody;
                        co_await aExchange.Respond(std::move(response));
                      });
    const Endpoint where = server.Listen({"127.0.0.1", 0}).value();
    std::atomic<int> late{0};
    std::atomic<int> wrong{0};
    const auto caller = [&](int aCaller) -> asio::awaitable<void> {
      std::mt19937 random(aCaller);
      for (int i = 0; i < kCalls; ++i) {
        const bool slow = random() % 4 == 0;
        HttpRequest request;
        request.mMethod = "POST";
        request.mTarget = "/" + std::to_string(aCaller) + "/" +
                          std::to_string(i) + (slow ? "slow" : "");
        request.mBody = std::string(random() % 20000, 'x');
        const std::string expected = request.mTarget + request.mBody;
        const Millis timeout = slow ? Millis(20) : kGenerous;
        const Result<HttpResponse> answer =
            co_await mClient.Send(where, std::move(request), timeout);
        late += !answer && answer.error().Kind() == ErrorKind::Timeout;
        wrong += answer ? answer->mBody != expected : !slow;
      }
    };
    std::vector<std::future<void>> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(
          asio::co_spawn(mThreads.Context(), caller(i), asio::use_future));
    }
    for (std::future<void>& done : callers) {
      done.get();
    }
    CPPUNIT_ASSERT_EQUAL(0, wrong.load());
    CPPUNIT_ASSERT(late > 0);
  }

  void TestEarlyRelease() {
    std::atomic<bool> cancelled{false};
    HttpServer server(mThreads.Context(), HttpLimits(),
                      [&](const HttpRequest&,
                          HttpExchange& aExchange) -> asio::awaitable<void> {
                        HttpResponse head;
                        co_await aExchange.Begin(std::move(head));
                        std::error_code code;
                        while (!code) {
                          std::string part = "more ";
                          code = co_await aExchange.Write(std::move(part));
                          co_await Sleep(Millis(5));
                        }
                        cancelled = true;
                      });
    const Endpoint where = server.Listen({"127.0.0.1", 0}).value();
    HttpRequest request;
    auto stream = Await(mClient.Open(where, request, kGenerous)).value();
    CPPUNIT_ASSERT(Await(stream->Read(kGenerous)).has_value());
    CPPUNIT_ASSERT(!cancelled);
    stream.reset();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mClient.Connections());
    WaitFor([&] { return cancelled.load(); });
  }

  void TestProbe() {
    Endpoint closed;
    {
      RawUpstream gone({});
      closed = gone.Where();
    }
    CPPUNIT_ASSERT(Listening::No == Await(mClient.Probe(closed, kGenerous)));
    RawUpstream lives({"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
    CPPUNIT_ASSERT(Listening::Yes ==
                   Await(mClient.Probe(lives.Where(), kGenerous)));
    // The next call uses its connection: the upstream accepts only one.
    HttpRequest request;
    CPPUNIT_ASSERT_EQUAL(
        200, Await(mClient.Send(lives.Where(), request, kGenerous))->mStatus);
    CPPUNIT_ASSERT(Listening::Unknown ==
                   Await(mClient.Probe({"no address", 1}, kGenerous)));
  }

  void TestIdleWhileSuspended() {
    std::atomic<int64_t> suspended{0};
    mClient.SetSuspendedFor([&] { return Millis(suspended.load()); });
    HttpServer server(mThreads.Context(), HttpLimits(),
                      [](const HttpRequest&,
                         HttpExchange& aExchange) -> asio::awaitable<void> {
                        HttpResponse response;
                        co_await aExchange.Respond(std::move(response));
                      });
    const Endpoint where = server.Listen({"127.0.0.1", 0}).value();
    HttpRequest request;
    for (int i = 0; i < 2; ++i) {
      Await(mClient.Send(where, request, kGenerous)).value();
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, mClient.ConnectionsMade());
    suspended = 5000;
    Await(mClient.Send(where, request, kGenerous)).value();
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, mClient.ConnectionsMade());
    // The new one is as good as any.
    Await(mClient.Send(where, request, kGenerous)).value();
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, mClient.ConnectionsMade());
  }

 private:
  template <class Value>
  Value Await(asio::awaitable<Value> aWork) {
    return mThreads.Await(std::move(aWork));
  }
  Error Failure(const Endpoint& aWhere) {
    return Await(mClient.Send(aWhere, {}, kGenerous)).error();
  }
  std::string Body(const Endpoint& aWhere) {
    return Await(mClient.Send(aWhere, {}, kGenerous)).value().mBody;
  }

  ThreadedContext mThreads{4};
  HttpClient mClient{mThreads.Context()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

}  // namespace

}  // namespace rillwall
