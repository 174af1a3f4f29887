/// \file
/// Tests of the HTTP client with late, truncated, misplaced and refused
/// responses.

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <map>
#include <mutex>
#include <random>

#include "http_test_support.h"

namespace rillwall {

namespace {

constexpr const char* kCompleteResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(TestRunStateOfFailedCalls);
  CPPUNIT_TEST(TestTruncatedResponseIsAnError);
  CPPUNIT_TEST(TestTruncatedHeadIsAnError);
  CPPUNIT_TEST(TestBodyUntilCloseOfLivePeer);
  CPPUNIT_TEST(TestBodyUntilCloseWithoutProofIsAnError);
  CPPUNIT_TEST(TestAbortedBodyUntilCloseIsAnError);
  CPPUNIT_TEST(TestClosedPooledConnectionIsReplaced);
  CPPUNIT_TEST(TestIdleConnectionsDroppedAfterTimeout);
  CPPUNIT_TEST(TestBytesAfterResponseCloseConnection);
  CPPUNIT_TEST(TestInformationalResponsesAreSkipped);
  CPPUNIT_TEST(TestHeaderInjectionIsPrevented);
  CPPUNIT_TEST(TestEarlyResponseToLargeBody);
  CPPUNIT_TEST(TestCallsReceiveOwnResponses);
  CPPUNIT_TEST(TestDestroyedStreamCancelsCall);
  CPPUNIT_TEST(TestProbe);
  CPPUNIT_TEST(TestSuspensionDropsIdleConnections);
  CPPUNIT_TEST(TestBytesWithoutEndAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRunStateOfFailedCalls() {
    Endpoint closedEndpoint;
    {
      RawUpstream stoppedUpstream({});
      closedEndpoint = stoppedUpstream.ListeningEndpoint();
    }
    const Error refused = Failure(closedEndpoint);
    CPPUNIT_ASSERT(ErrorKind::ConnectionLost == refused.Kind());
    CPPUNIT_ASSERT(RunState::NotRun == refused.Run());
    RawUpstream closingUpstream({""});
    const Error lost = Failure(closingUpstream.ListeningEndpoint());
    CPPUNIT_ASSERT(ErrorKind::ConnectionLost == lost.Kind());
    CPPUNIT_ASSERT(RunState::Unknown == lost.Run());
    HttpRequest request;
    request.mTarget = "/a b";
    const Error bad =
        Await(mClient.Send(closedEndpoint, request, kTestTimeout)).error();
    CPPUNIT_ASSERT(ErrorKind::BadRequest == bad.Kind());
    CPPUNIT_ASSERT(RunState::NotRun == bad.Run());
  }

  void TestTruncatedResponseIsAnError() {
    const std::vector<std::string> truncated = {
        "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nshor",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nshor",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nshor\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"};
    RawUpstream upstream(truncated);
    for (size_t i = 0; i < truncated.size(); ++i) {
      const Error error = Failure(upstream.ListeningEndpoint());
      CPPUNIT_ASSERT(ErrorKind::ConnectionLost == error.Kind());
      CPPUNIT_ASSERT(RunState::NotRun != error.Run());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mClient.Connections());
  }

  /// Guards against responses that look complete though their upstream stopped
  /// in the middle of the head.
  void TestTruncatedHeadIsAnError() {
    for (const char* framing :
         {"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
      const std::string head =
          std::string("HTTP/1.1 200 OK\r\nX-Id: 7\r\n") + framing + "\r\n";
      for (const char* before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
        CheckTruncatedHeads(before, head);
      }
    }
  }
  void CheckTruncatedHeads(const std::string& aBefore,
                           const std::string& aHead) {
    std::vector<std::string> responses;
    for (size_t size = 0; size < aHead.size(); ++size) {
      responses.push_back(aBefore + aHead.substr(0, size));
    }
    for (const bool reset : {false, true}) {
      for (const char* method : {"GET", "HEAD"}) {
        RawUpstream upstream(responses, false, reset);
        for (const std::string& response : responses) {
          HttpRequest request;
          request.mMethod = method;
          HttpClient::OpenOptions options;
          options.mEndCheck = AnyEnd();
          const auto result = Await(
              mClient.Send(upstream.ListeningEndpoint(), request, kTestTimeout,
                           kMaxShortBody, std::move(options)));
          CPPUNIT_ASSERT_MESSAGE(response, !result.has_value());
          CPPUNIT_ASSERT(RunState::NotRun != result.error().Run());
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mClient.Connections());
  }

  /// Guards against memory that grows with bytes that an upstream sends without
  /// end, in a head or in the line of a chunk's length. Each response is 64 MB.
  void TestBytesWithoutEndAreRefused() {
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(64 * 1024 * 1024, 'x');
    for (const std::string& begin :
         {std::string(), std::string("HTTP/1.1 200 OK\r\nX-Long: "),
          chunked + "1;", chunked + "1\r\na\r\n0\r\nX-Long: "}) {
      RawUpstream upstream({begin + filler});
      const Error error = Failure(upstream.ListeningEndpoint());
      CPPUNIT_ASSERT(ErrorKind::TooLarge == error.Kind() ||
                     ErrorKind::UpstreamFailed == error.Kind());
      CPPUNIT_ASSERT(RunState::NotRun != error.Run());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mClient.Connections());
  }

  /// Receives the response of an upstream that sends no length and closes the
  /// connection in order.
  Result<HttpResponse> ReceiveUntilClose(EndCheck aEndCheck) {
    RawUpstream upstream({"HTTP/1.1 200 OK\r\n\r\nall of it"});
    HttpClient::OpenOptions options;
    options.mEndCheck = std::move(aEndCheck);
    Result<HttpResponse> response =
        Await(mClient.Send(upstream.ListeningEndpoint(), HttpRequest(),
                           kTestTimeout, kMaxShortBody, std::move(options)));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mClient.Connections());
    return response;
  }

  void TestBodyUntilCloseOfLivePeer() {
    CPPUNIT_ASSERT_EQUAL(std::string("all of it"),
                         ReceiveUntilClose(AnyEnd()).value().mBody);
  }

  /// Guards against a truncated body being taken for whole: the kernel closes
  /// the connections of a killed process in order.
  void TestBodyUntilCloseWithoutProofIsAnError() {
    int asked = 0;
    const EndCheck ended = [&asked]() -> asio::awaitable<bool> {
      ++asked;
      co_return false;
    };
    for (const EndCheck& check : {EndCheck(), ended}) {
      const Result<HttpResponse> response = ReceiveUntilClose(check);
      CPPUNIT_ASSERT(!response.has_value());
      CPPUNIT_ASSERT(ErrorKind::ConnectionLost == response.error().Kind());
      CPPUNIT_ASSERT(RunState::Run == response.error().Run());
    }
    CPPUNIT_ASSERT_EQUAL(1, asked);
  }

  /// Guards against a truncated body being taken for whole: Abort() ends the
  /// input of the connection as the peer's regular close does, and a body
  /// without a length has no other end.
  void TestAbortedBodyUntilCloseIsAnError() {
    RawUpstream upstream({"HTTP/1.1 200 OK\r\n\r\nfirst part"}, true);
    HttpRequest request;
    auto stream =
        Await(mClient.Open(upstream.ListeningEndpoint(), request, kTestTimeout))
            .value();
    CPPUNIT_ASSERT_EQUAL(std::string("first part"),
                         Await(stream->Read(kTestTimeout)).value());
    auto pending = asio::co_spawn(mThreads.Context(),
                                  stream->Read(kTestTimeout), asio::use_future);
    CPPUNIT_ASSERT(pending.wait_for(std::chrono::milliseconds(50)) ==
                   std::future_status::timeout);
    stream->Abort();
    const Result<std::string> aborted = pending.get();
    CPPUNIT_ASSERT(!aborted.has_value());
    CPPUNIT_ASSERT(ErrorKind::ConnectionLost == aborted.error().Kind());
    CPPUNIT_ASSERT(!Await(stream->Read(kTestTimeout)).has_value());
  }

  void TestClosedPooledConnectionIsReplaced() {
    // The upstream closes each connection after the response without announcing
    // it by a "Connection: close" header.
    RawUpstream upstream({kCompleteResponse, kCompleteResponse});
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Body(upstream.ListeningEndpoint()));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mClient.Connections());
    Await(Sleep(Millis(50)));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Body(upstream.ListeningEndpoint()));
  }

  void TestIdleConnectionsDroppedAfterTimeout() {
    // The server stops responding on a connection from its second request on.
    // The client must then drop its other idle connections instead of timing
    // out on each of them.
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
    const Endpoint endpoint = server.Listen({"127.0.0.1", 0}).value();
    const auto send = [&]() {
      return asio::co_spawn(mThreads.Context(),
                            mClient.Send(endpoint, {}, Millis(300)),
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

  void TestBytesAfterResponseCloseConnection() {
    RawUpstream upstream(
        {std::string(kCompleteResponse) +
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
         kCompleteResponse});
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Body(upstream.ListeningEndpoint()));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mClient.Connections());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Body(upstream.ListeningEndpoint()));
  }

  void TestInformationalResponsesAreSkipped() {
    RawUpstream upstream({std::string("HTTP/1.1 100 Continue\r\n\r\n"
                                      "HTTP/1.1 103 Early Hints\r\n\r\n") +
                          kCompleteResponse});
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Body(upstream.ListeningEndpoint()));
  }

  void TestHeaderInjectionIsPrevented() {
    std::atomic<bool> injected{false};
    HttpServer server(mThreads.Context(), HttpLimits(),
                      [&](const HttpRequest& aRequest,
                          HttpExchange& aExchange) -> asio::awaitable<void> {
                        injected = aRequest.Find("X-Evil") != nullptr;
                        HttpResponse response;
                        response.mBody = *aRequest.Find("X-A");
                        co_await aExchange.Respond(std::move(response));
                      });
    const Endpoint endpoint = server.Listen({"127.0.0.1", 0}).value();
    HttpRequest request;
    request.mHeaders = {{"X-A", "1\r\nX-Evil: 2"},
                        {"Content-Length", "5"},
                        {"Bad\r\nX-Evil", "3"}};
    const HttpResponse response =
        Await(mClient.Send(endpoint, request, kTestTimeout)).value();
    CPPUNIT_ASSERT_EQUAL(std::string("1  X-Evil: 2"), response.mBody);
    CPPUNIT_ASSERT(!injected);
  }

  void TestEarlyResponseToLargeBody() {
    HttpLimits limits;
    limits.mMaxBody = 1000;
    HttpServer server(mThreads.Context(), limits, nullptr);
    const Endpoint endpoint = server.Listen({"127.0.0.1", 0}).value();
    HttpRequest request;
    request.mMethod = "POST";
    request.mBody = std::string(4 * 1024 * 1024, 'x');
    const HttpResponse response =
        Await(mClient.Send(endpoint, request, kTestTimeout)).value();
    CPPUNIT_ASSERT_EQUAL(413, response.mStatus);
  }

  /// Guards against a call receiving the response to another call: with many
  /// concurrent calls, some slower than their timeout, each call must receive
  /// its own response or fail.
  void TestCallsReceiveOwnResponses() {
    constexpr int kCallers = 24;
    constexpr int kCalls = 40;
    constexpr size_t kMaxBody = 32 * 1024;
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
    const Endpoint endpoint = server.Listen({"127.0.0.1", 0}).value();
    std::atomic<int> timeouts{0};
    std::atomic<int> mismatches{0};
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
        const Millis timeout = slow ? Millis(20) : kTestTimeout;
        const Result<HttpResponse> response = co_await mClient.Send(
            endpoint, std::move(request), timeout, kMaxBody);
        timeouts += !response && response.error().Kind() == ErrorKind::Timeout;
        mismatches += response ? response->mBody != expected : !slow;
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
    CPPUNIT_ASSERT_EQUAL(0, mismatches.load());
    CPPUNIT_ASSERT(timeouts > 0);
  }

  void TestDestroyedStreamCancelsCall() {
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
    const Endpoint endpoint = server.Listen({"127.0.0.1", 0}).value();
    HttpRequest request;
    auto stream = Await(mClient.Open(endpoint, request, kTestTimeout)).value();
    CPPUNIT_ASSERT(Await(stream->Read(kTestTimeout)).has_value());
    CPPUNIT_ASSERT(!cancelled);
    stream.reset();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mClient.Connections());
    WaitFor([&] { return cancelled.load(); });
  }

  void TestProbe() {
    Endpoint closedEndpoint;
    {
      RawUpstream stoppedUpstream({});
      closedEndpoint = stoppedUpstream.ListeningEndpoint();
    }
    CPPUNIT_ASSERT(Listening::No ==
                   Await(mClient.Probe(closedEndpoint, kTestTimeout)));
    RawUpstream listeningUpstream(
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
    CPPUNIT_ASSERT(Listening::Yes ==
                   Await(mClient.Probe(listeningUpstream.ListeningEndpoint(),
                                       kTestTimeout)));
    // The upstream accepts only one connection, so that the next call succeeds
    // only if it uses the connection of the probe.
    HttpRequest request;
    CPPUNIT_ASSERT_EQUAL(
        200, Await(mClient.Send(listeningUpstream.ListeningEndpoint(), request,
                                kTestTimeout))
                 ->mStatus);
    CPPUNIT_ASSERT(Listening::Unknown ==
                   Await(mClient.Probe({"no address", 1}, kTestTimeout)));
  }

  void TestSuspensionDropsIdleConnections() {
    std::atomic<int64_t> suspended{0};
    mClient.SetSuspendedFor([&] { return Millis(suspended.load()); });
    HttpServer server(mThreads.Context(), HttpLimits(),
                      [](const HttpRequest&,
                         HttpExchange& aExchange) -> asio::awaitable<void> {
                        HttpResponse response;
                        co_await aExchange.Respond(std::move(response));
                      });
    const Endpoint endpoint = server.Listen({"127.0.0.1", 0}).value();
    HttpRequest request;
    for (int i = 0; i < 2; ++i) {
      Await(mClient.Send(endpoint, request, kTestTimeout)).value();
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, mClient.ConnectionsMade());
    suspended = 5000;
    Await(mClient.Send(endpoint, request, kTestTimeout)).value();
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, mClient.ConnectionsMade());
    // The new connection is reused as usual.
    Await(mClient.Send(endpoint, request, kTestTimeout)).value();
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, mClient.ConnectionsMade());
  }

 private:
  template <class Value>
  Value Await(asio::awaitable<Value> aWork) {
    return mThreads.Await(std::move(aWork));
  }
  Error Failure(const Endpoint& aEndpoint) {
    return Await(mClient.Send(aEndpoint, {}, kTestTimeout)).error();
  }
  std::string Body(const Endpoint& aEndpoint) {
    return Await(mClient.Send(aEndpoint, {}, kTestTimeout)).value().mBody;
  }

  ThreadedContext mThreads{4};
  HttpClient mClient{mThreads.Context()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

}  // namespace

}  // namespace rillwall
