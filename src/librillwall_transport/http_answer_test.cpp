/// \file
/// Tests of the HTTP client with bytes that are no response, or no whole one.

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>

#include "http_test_support.h"

namespace rillwall {

class HttpAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpAnswerTest);
  CPPUNIT_TEST(TestOtherStatusesAreNoAnswers);
  CPPUNIT_TEST(TestAllHttpStatusesAreAnswers);
  CPPUNIT_TEST(TestOtherVersionsAreNoAnswers);
  CPPUNIT_TEST(TestFieldNamesAreTokens);
  CPPUNIT_TEST(TestControlBytesInValues);
  CPPUNIT_TEST(TestOddLengthsAndChunks);
  CPPUNIT_TEST(TestConnectionThatEndsWithinAnUpload);
  CPPUNIT_TEST(TestBodiesOverTheLimit);
  CPPUNIT_TEST(TestOtherTransferCodings);
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

  void TestOtherVersionsAreNoAnswers() {
    for (const char* version :
         {"HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HTTP/0.0", "http/1.1", "ICY"}) {
      CheckNoAnswer(std::string(version) + " 200 OK\r\n" + kBody);
    }
  }

  void TestFieldNamesAreTokens() {
    using std::string_literals::operator""s;
    for (const std::string& name :
         {"X Odd"s, "X-Odd "s, "X\x01Odd"s, "X\x7fOdd"s, "X\0Odd"s, "X\tOdd"s,
          "X(Odd"s, "X\xe9Odd"s, ""s}) {
      CheckNoAnswer("HTTP/1.1 200 OK\r\n" + name + ": 1\r\n" + kBody);
      CheckNoAnswer("HTTP/1.1 200 OK\r\nX-A: 1\r\n" + name + ": 1\r\n" + kBody);
    }
    CheckNoAnswer("HTTP/1.1 200 OK\r\n X-Odd: 1\r\n"s + kBody);
    CheckNoAnswer("HTTP/1.1 200 OK\r\nno colon\r\n"s + kBody);
  }

  void TestControlBytesInValues() {
    using std::string_literals::operator""s;
    for (const std::string& value :
         {"a\x01z"s, "a\0z"s, "a\x7fz"s, "a\rz"s, "a\x1bz"s}) {
      CheckNoAnswer("HTTP/1.1 200 OK\r\nX-Odd: " + value + "\r\n" + kBody);
    }
  }

  void TestOddLengthsAndChunks() {
    for (const char* length :
         {"-2", "+2", "0x2", "2x", "2 2", "2, 3", "", "99999999999999999999"}) {
      CheckNoAnswer(std::string("HTTP/1.1 200 OK\r\nContent-Length: ") +
                    length + "\r\n\r\nok");
    }
    CheckNoAnswer(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok");
    CheckNoAnswer(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    for (const char* chunk :
         {"-2", "+2", "0x2", "z", "", "fffffffffffffffff"}) {
      CheckNoAnswer(
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") +
          chunk + "\r\nok\r\n0\r\n\r\n");
    }
    CheckNoAnswer(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0"
        "\r\n\r\n");
  }

  /// Guards against a part of a body that looks whole: the upstream answers
  /// before it has read the upload, and closes the connection, which the write
  /// notices first.
  void TestConnectionThatEndsWithinAnUpload() {
    HttpRequest upload = Upload();
    upload.mBody = std::string(16 * 1024 * 1024, 'x');
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
    for (const bool reset : {false, true}) {
      for (const std::string& cut :
           {std::string("HTTP/1.1 200 OK\r\n\r\npart"),
            std::string("HTTP/1.0 200 OK\r\n\r\npart"),
            std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"),
            chunked}) {
        const RawUpstream upstream({cut, cut}, false, reset);
        HttpClient::OpenOptions options;
        options.mEndCheck = AnyEnd();
        const auto whole =
            mThreads.Await(mClient.Send(upstream.ListeningEndpoint(), upload,
                                        kTestTimeout, kMaxShortBody, options));
        CPPUNIT_ASSERT_MESSAGE(cut, !whole.has_value());
        CPPUNIT_ASSERT(ErrorKind::ConnectionLost == whole.error().Kind());
        CPPUNIT_ASSERT(RunState::NotRun != whole.error().Run());
        auto opened = mThreads.Await(mClient.Open(
            upstream.ListeningEndpoint(), upload, kTestTimeout, options));
        while (opened) {
          const auto part = mThreads.Await((*opened)->Read(kTestTimeout));
          if (!part) {
            break;
          }
          CPPUNIT_ASSERT_MESSAGE(cut, !part->empty());
        }
      }
    }
  }

  void TestBodiesOverTheLimit() {
    constexpr size_t kLimit = 100 * 1000;
    for (const size_t size : {kLimit, kLimit + 1}) {
      const std::string body(size, 'x');
      char digits[16];
      std::snprintf(digits, sizeof(digits), "%zx", size);
      const std::string length =
          "Content-Length: " + std::to_string(size) + "\r\n\r\n" + body;
      const std::string chunked =
          std::string("Transfer-Encoding: chunked\r\n\r\n") + digits + "\r\n" +
          body + "\r\n0\r\n\r\n";
      for (const std::string& rest : {length, chunked, "\r\n" + body}) {
        const RawUpstream upstream({"HTTP/1.1 200 OK\r\n" + rest});
        HttpClient::OpenOptions options;
        options.mEndCheck = AnyEnd();
        const auto answer = mThreads.Await(
            mClient.Send(upstream.ListeningEndpoint(), {}, kTestTimeout, kLimit,
                         std::move(options)));
        CPPUNIT_ASSERT_EQUAL(size <= kLimit, answer.has_value());
        CPPUNIT_ASSERT(answer ||
                       ErrorKind::UpstreamFailed == answer.error().Kind());
      }
    }
  }

  /// Guards against a body that is passed on in a coding that its new head does
  /// not name.
  void TestOtherTransferCodings() {
    for (const char* coding : {"gzip", "identity", "gzip, chunked",
                               "chunked, gzip", "chunked, chunked", "x"}) {
      for (const char* body : {"2\r\nok\r\n0\r\n\r\n", "ok"}) {
        const RawUpstream upstream(
            {std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: ") + coding +
             "\r\n\r\n" + body});
        HttpClient::OpenOptions options;
        options.mEndCheck = AnyEnd();
        const auto answer = mThreads.Await(
            mClient.Send(upstream.ListeningEndpoint(), Upload(), kTestTimeout,
                         kMaxShortBody, std::move(options)));
        CPPUNIT_ASSERT_MESSAGE(coding, !answer.has_value());
        CPPUNIT_ASSERT(RunState::NotRun != answer.error().Run());
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpAnswerTest);

}  // namespace rillwall
