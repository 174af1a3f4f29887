/// \file
/// Tests of the HTTP client with bytes that are no response, or no whole one.

#include <cppunit/extensions/HelperMacros.h>

#include "http_test_support.h"

namespace rillwall {

class HttpAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpAnswerTest);
  CPPUNIT_TEST(TestOtherStatusesAreNoAnswers);
  CPPUNIT_TEST(TestAllHttpStatusesAreAnswers);
  CPPUNIT_TEST_SUITE_END();

  static constexpr char kBody[] = "Content-Length: 2\r\n\r\nok";

  ThreadedContext mThreads;
  HttpClient mClient{mThreads.Context()};

  HttpRequest Upload() const {
    HttpRequest request;
    request.mMethod = "POST";
    request.mBody = std::string(1024, 'x');
    return request;
  }
  Result<HttpResponse> Send(const std::string& aResponse,
                            const HttpRequest& aRequest) {
    const RawUpstream upstream({aResponse});
    return mThreads.Await(
        mClient.Send(upstream.ListeningEndpoint(), aRequest, kTestTimeout));
  }
  /// Checks that a response is a failed try which may have run the request, for
  /// whole responses and for streams, with and without a body to send.
  void CheckNoAnswer(const std::string& aResponse) {
    for (const HttpRequest& request : {HttpRequest(), Upload()}) {
      const auto whole = Send(aResponse, request);
      CPPUNIT_ASSERT_MESSAGE(aResponse, !whole.has_value());
      CPPUNIT_ASSERT(ErrorKind::UpstreamFailed == whole.error().Kind());
      CPPUNIT_ASSERT(RunState::NotRun != whole.error().Run());
      const RawUpstream upstream({aResponse});
      const auto opened = mThreads.Await(
          mClient.Open(upstream.ListeningEndpoint(), request, kTestTimeout));
      const bool failed =
          !opened || !mThreads.Await((*opened)->Read(kTestTimeout));
      CPPUNIT_ASSERT_MESSAGE(aResponse, failed);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mClient.Connections());
  }

 public:
  void TestOtherStatusesAreNoAnswers() {
    for (const char* status : {"000", "001", "099", "600", "999", "101"}) {
      const std::string line = std::string("HTTP/1.1 ") + status + " Odd\r\n";
      CheckNoAnswer(line + kBody);
      CheckNoAnswer(line + "Connection: upgrade\r\nUpgrade: x\r\n" + kBody);
      CheckNoAnswer("HTTP/1.1 100 Continue\r\n\r\n" + line + kBody);
      CheckNoAnswer(line + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    }
    for (const char* status : {"", "2", "20", "2000", "-20", "+20", "2x0"}) {
      CheckNoAnswer(std::string("HTTP/1.1 ") + status + " Odd\r\n" + kBody);
    }
  }

  void TestAllHttpStatusesAreAnswers() {
    for (const int status : {200, 299, 300, 399, 418, 499, 500, 599}) {
      const std::string line = "HTTP/1.1 " + std::to_string(status) + " \r\n";
      const auto answer = Send(line + kBody, Upload());
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT_EQUAL(status, answer->mStatus);
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), answer->mBody);
    }
    CPPUNIT_ASSERT(
        Send(std::string("HTTP/1.0 200 OK\r\n") + kBody, {}).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpAnswerTest);

}  // namespace rillwall
