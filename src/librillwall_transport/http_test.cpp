/// \file
/// Tests of the HTTP server and client together.

#include <cppunit/extensions/HelperMacros.h>

#include "http_test_support.h"

namespace rillwall {

namespace {

/// Echoes the request, streams a response, truncates a stream or sends no
/// response, depending on the path.
asio::awaitable<void> Handle(const HttpRequest& aRequest,
                             HttpExchange& aExchange) {
  HttpResponse response;
  if (aRequest.Path() == "/echo") {
    response.mHeaders.push_back({"X-Query", aRequest.Query("q")});
    response.mBody = aRequest.mMethod + " " + aRequest.mBody;
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  if (aRequest.Path() == "/no-answer") {
    aExchange.Abort();
    co_return;
  }
  co_await aExchange.Begin(std::move(response));
  std::string part = "one ";
  co_await aExchange.Write(std::move(part));
  co_await Sleep(Millis(20));
  part = "two";
  co_await aExchange.Write(std::move(part));
  if (aRequest.Path() == "/stream") {
    co_await aExchange.End();
  }
}

class HttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(TestRequestAndResponse);
  CPPUNIT_TEST(TestStreamedResponse);
  CPPUNIT_TEST(TestTruncatedStreamIsAnError);
  CPPUNIT_TEST(TestAbortBeforeResponse);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    mServer.emplace(mThreads.Context(), HttpLimits(), Handle);
    mEndpoint = mServer->Listen({"127.0.0.1", 0}).value();
  }
  void tearDown() override { mServer.reset(); }

  void TestRequestAndResponse() {
    for (int i = 0; i < 3; ++i) {
      HttpRequest request;
      request.mMethod = "POST";
      request.mTarget = "/echo?q=a%20b";
      request.mBody = "body" + std::to_string(i);
      const HttpResponse response =
          mThreads.Await(mClient.Send(mEndpoint, request, kTestTimeout))
              .value();
      CPPUNIT_ASSERT_EQUAL(200, response.mStatus);
      CPPUNIT_ASSERT_EQUAL("POST " + request.mBody, response.mBody);
      CPPUNIT_ASSERT_EQUAL(std::string("a b"), *response.Find("x-query"));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mClient.Connections());
  }

  void TestStreamedResponse() {
    HttpRequest request;
    request.mTarget = "/stream";
    auto stream =
        mThreads.Await(mClient.Open(mEndpoint, request, kTestTimeout)).value();
    CPPUNIT_ASSERT_EQUAL(200, stream->Head().mStatus);
    std::string text;
    while (true) {
      const std::string part =
          mThreads.Await(stream->Read(kTestTimeout)).value();
      if (part.empty()) {
        break;
      }
      text += part;
    }
    CPPUNIT_ASSERT_EQUAL(std::string("one two"), text);
    const HttpResponse whole =
        mThreads.Await(mClient.Send(mEndpoint, request, kTestTimeout)).value();
    CPPUNIT_ASSERT_EQUAL(text, whole.mBody);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mClient.Connections());
  }

  void TestTruncatedStreamIsAnError() {
    HttpRequest request;
    request.mTarget = "/cut";
    auto stream =
        mThreads.Await(mClient.Open(mEndpoint, request, kTestTimeout)).value();
    Result<std::string> part = mThreads.Await(stream->Read(kTestTimeout));
    std::string text;
    while (part && !part->empty()) {
      text += *part;
      part = mThreads.Await(stream->Read(kTestTimeout));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("one two"), text);
    CPPUNIT_ASSERT(part.has_error());
    CPPUNIT_ASSERT(part.error().Kind() == ErrorKind::ConnectionLost);
    CPPUNIT_ASSERT(part.error().Run() == RunState::Run);
    const auto whole =
        mThreads.Await(mClient.Send(mEndpoint, request, kTestTimeout));
    CPPUNIT_ASSERT(whole.has_error());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mClient.Connections());
  }

  void TestAbortBeforeResponse() {
    HttpRequest request;
    request.mTarget = "/no-answer";
    const auto response =
        mThreads.Await(mClient.Send(mEndpoint, request, kTestTimeout));
    CPPUNIT_ASSERT(response.has_error());
    CPPUNIT_ASSERT(response.error().Kind() == ErrorKind::ConnectionLost);
    CPPUNIT_ASSERT(response.error().Run() == RunState::Unknown);
  }

 private:
  ThreadedContext mThreads;
  HttpClient mClient{mThreads.Context()};
  std::optional<HttpServer> mServer;
  Endpoint mEndpoint;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

}  // namespace

}  // namespace rillwall
