/// \file
/// What the HTTP server does with bad, large, stalled and early input.

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

#include "http_test_support.h"

namespace rillwall {

namespace {

constexpr const char* kHost = "Host: a\r\n";

class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(TestMalformed);
  CPPUNIT_TEST(TestTooLarge);
  CPPUNIT_TEST(TestRefusedPeerMaySendOn);
  CPPUNIT_TEST(TestStalled);
  CPPUNIT_TEST(TestContinue);
  CPPUNIT_TEST(TestPipelined);
  CPPUNIT_TEST(TestSentAheadInParts);
  CPPUNIT_TEST(TestHeadAndOldVersion);
  CPPUNIT_TEST(TestSeesPeerGone);
  CPPUNIT_TEST(TestNoAnswer);
  CPPUNIT_TEST(TestDrainLetsRequestsEnd);
  CPPUNIT_TEST(TestMaxConnections);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    HttpLimits limits;
    limits.mMaxHeader = 1024;
    limits.mMaxBody = 4096;
    limits.mMaxConnections = 4;
    limits.mReadTimeout = Millis(100);
    limits.mIdleTimeout = Millis(300);
    mServer.emplace(mThreads.Context(), limits,
                    [this](const HttpRequest& aRequest, HttpExchange& aOut) {
                      return Handle(aRequest, aOut);
                    });
    mWhere = mServer->Listen({"127.0.0.1", 0}).value();
  }
  void tearDown() override {
    mRelease = true;
    WaitFor([this] { return mServer->Active() == 0; });
    mServer.reset();
  }

  void TestMalformed() {
    AssertStatus("400", "nonsense\r\n\r\n");
    AssertStatus("400", "GET / HTTP/1.1\r\n\r\n");
    AssertStatus("400", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n");
    AssertStatus("400", Post("Content-Length: x\r\n", ""));
    AssertStatus("400", Post("Transfer-Encoding: gzip\r\n", ""));
    AssertStatus("400",
                 Post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                      "0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(0, mRuns.load());
  }

  void TestTooLarge() {
    AssertStatus("413", Post("Content-Length: 5000\r\n", ""));
    AssertStatus("413",
                 Post("Content-Length: 500000\r\n", std::string(500000, 'x')));
    AssertStatus("413", Post("Transfer-Encoding: chunked\r\n",
                             "2000\r\n" + std::string(0x2000, 'x')));
    AssertStatus("431", Post("X: " + std::string(2000, 'x') + "\r\n", ""));
    CPPUNIT_ASSERT_EQUAL(0, mRuns.load());
  }

  /// A peer that is still sending is not reset, so that it reads its answer.
  void TestRefusedPeerMaySendOn() {
    RawPeer peer(mWhere);
    peer.Write(Post("Content-Length: 50000\r\n", ""));
    CPPUNIT_ASSERT(peer.ReadHead().starts_with("HTTP/1.1 413"));
    for (int i = 0; i < 3; ++i) {
      mThreads.Await(Sleep(Millis(20)));
      peer.Write(std::string(1000, 'x'));
    }
  }

  void TestStalled() {
    AssertStatus("408", "GET / HT");
    AssertStatus("408", Post("Content-Length: 10\r\n", "half"));
    // A connection on which nothing was begun is closed without an answer.
    RawPeer peer(mWhere);
    CPPUNIT_ASSERT_EQUAL(std::string(), peer.ReadToEnd());
    CPPUNIT_ASSERT_EQUAL(0, mRuns.load());
  }

  void TestContinue() {
    RawPeer peer(mWhere);
    peer.Write(Post("Expect: 100-continue\r\nContent-Length: 4\r\n", ""));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 100 Continue\r\n\r\n"),
                         peer.ReadHead());
    peer.Write("body");
    CPPUNIT_ASSERT(peer.ReadToEnd().find("/ body") != std::string::npos);
  }

  void TestPipelined() {
    RawPeer peer(mWhere);
    std::string all;
    for (const char* path : {"/1", "/2", "/3"}) {
      all += std::string("GET ") + path + " HTTP/1.1\r\n" + kHost + "\r\n";
    }
    peer.Write(all);
    const std::string answers = peer.ReadToEnd();
    const size_t first = answers.find("/1 ");
    const size_t second = answers.find("/2 ");
    const size_t third = answers.find("/3 ");
    CPPUNIT_ASSERT(first < second && second < third);
    CPPUNIT_ASSERT(third != std::string::npos);
  }

  void TestSentAheadInParts() {
    RawPeer peer(mWhere);
    const std::string rest = std::string(" HTTP/1.1\r\n") + kHost + "\r\n";
    peer.Write("GET /wait" + rest);
    WaitFor([this] { return mRuns == 1; });
    peer.Write("GET /2" + rest);
    mThreads.Await(Sleep(Millis(30)));
    mRelease = true;
    WaitFor([this] { return mRuns == 2; });
    peer.Write("GET /3" + rest);
    const std::string answers = peer.ReadToEnd();
    CPPUNIT_ASSERT_EQUAL(3, mRuns.load());
    CPPUNIT_ASSERT(answers.find("waited") < answers.find("/2 "));
    CPPUNIT_ASSERT(answers.find("/2 ") < answers.find("/3 "));
    CPPUNIT_ASSERT(answers.find("/3 ") != std::string::npos);
  }

  void TestHeadAndOldVersion() {
    RawPeer head(mWhere);
    head.Write("HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string answer = head.ReadToEnd();
    CPPUNIT_ASSERT(answer.find("Content-Length: 3") != std::string::npos);
    CPPUNIT_ASSERT(answer.ends_with("\r\n\r\n"));
    // Before HTTP/1.1 there are no chunks: the body ends with the connection.
    RawPeer old(mWhere);
    old.Write("GET /stream HTTP/1.0\r\n\r\n");
    const std::string stream = old.ReadToEnd();
    CPPUNIT_ASSERT(stream.find("chunked") == std::string::npos);
    CPPUNIT_ASSERT(stream.ends_with("\r\n\r\npart"));
  }

  void TestSeesPeerGone() {
    RawPeer peer(mWhere);
    peer.Write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    WaitFor([this] { return mRuns == 1; });
    CPPUNIT_ASSERT(!mPeerGone);
    peer.Close();
    WaitFor([this] { return mPeerGone.load(); });
  }

  void TestNoAnswer() {
    RawPeer cut(mWhere);
    cut.Write(Post("Content-Length: 0\r\n", "", "/cut"));
    CPPUNIT_ASSERT_EQUAL(std::string(), cut.ReadToEnd());
    AssertStatus("500", Post("Content-Length: 0\r\n", "", "/nothing"));
    AssertStatus("500", Post("Content-Length: 0\r\n", "", "/throw"));
  }

  void TestDrainLetsRequestsEnd() {
    RawPeer busy(mWhere);
    RawPeer idle(mWhere);
    busy.Write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    WaitFor([this] { return mServer->Active() == 1; });
    mServer->Drain();
    // The idle one ends first; the busy one still gets its answer.
    CPPUNIT_ASSERT_EQUAL(std::string(), idle.ReadToEnd());
    mThreads.Await(Sleep(Millis(100)));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mServer->Active());
    CPPUNIT_ASSERT(!mPeerGone);
    mRelease = true;
    const std::string answer = busy.ReadToEnd();
    CPPUNIT_ASSERT(answer.find("waited") != std::string::npos);
    CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT_THROW(RawPeer late(mWhere), std::exception);
  }

  void TestMaxConnections() {
    std::vector<std::unique_ptr<RawPeer>> peers;
    for (int i = 0; i < 4; ++i) {
      peers.push_back(std::make_unique<RawPeer>(mWhere));
      peers.back()->Write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    WaitFor([this] { return mServer->Active() == 4; });
    RawPeer over(mWhere);
    CPPUNIT_ASSERT_EQUAL(std::string(), over.ReadToEnd());
    mRelease = true;
    CPPUNIT_ASSERT(peers[0]->ReadToEnd().find("waited") != std::string::npos);
  }

 private:
  static std::string Post(const std::string& aHeaders, const std::string& aBody,
                          const std::string& aPath = "/") {
    return "POST " + aPath + " HTTP/1.1\r\n" + kHost + aHeaders + "\r\n" +
           aBody;
  }

  void AssertStatus(const std::string& aStatus, const std::string& aBytes) {
    RawPeer peer(mWhere);
    peer.Write(aBytes);
    const std::string answer = peer.ReadToEnd();
    CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + aStatus, answer.substr(0, 12));
  }

  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange) {
    ++mRuns;
    HttpResponse response;
    response.mBody = aRequest.mTarget + " " + aRequest.mBody;
    if (aRequest.mTarget == "/nothing") {
      co_return;
    }
    if (aRequest.mTarget == "/cut") {
      aExchange.Abort();
      co_return;
    }
    if (aRequest.mTarget == "/throw") {
      throw std::runtime_error("thrown by the test");
    }
    if (aRequest.mTarget == "/stream") {
      co_await aExchange.Begin(std::move(response));
      std::string part = "part";
      co_await aExchange.Write(std::move(part));
      co_await aExchange.End();
      co_return;
    }
    if (aRequest.mTarget == "/wait") {
      while (!mRelease && !aExchange.PeerDisconnected()) {
        co_await Sleep(Millis(5));
      }
      mPeerGone = aExchange.PeerDisconnected();
      response.mBody = "waited";
    }
    co_await aExchange.Respond(std::move(response));
  }

  ThreadedContext mThreads;
  std::optional<HttpServer> mServer;
  Endpoint mWhere;
  std::atomic<int> mRuns{0};
  std::atomic<bool> mRelease{false};
  std::atomic<bool> mPeerGone{false};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

}  // namespace

}  // namespace rillwall
