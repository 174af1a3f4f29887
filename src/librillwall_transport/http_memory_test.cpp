/// \file
/// Tests of an HTTP server whose memory is short: requests wait, are refused
/// without having run, or give way, and what the head settles needs no memory.

#include <cppunit/extensions/HelperMacros.h>

#include "http_test_support.h"
#include "rillwall/http.h"

namespace rillwall {

namespace {

class HttpMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpMemoryTest);
  CPPUNIT_TEST(TestBodyWaitsForItsTurn);
  CPPUNIT_TEST(TestBodyWithoutRoomIsRefused);
  CPPUNIT_TEST(TestStalledBodyGivesWay);
  CPPUNIT_TEST(TestStalledChunksGiveWay);
  CPPUNIT_TEST(TestBodyThatNeverFits);
  CPPUNIT_TEST(TestManyShortFields);
  CPPUNIT_TEST(TestEndlessChunkLine);
  CPPUNIT_TEST(TestHeadSettlesRequest);
  CPPUNIT_TEST(TestUnfinishedHeadsGoFirst);
  CPPUNIT_TEST(TestIdleConnectionsGoNext);
  CPPUNIT_TEST(TestConnectionsAreCharged);
  CPPUNIT_TEST(TestRequestsSentAheadTakeTurns);
  CPPUNIT_TEST(TestUnreadResponseIsCharged);
  CPPUNIT_TEST(TestAllIsReturned);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t kCapacity = 4 * 1024 * 1024;
  static constexpr size_t kBody = 2 * 1024 * 1024;

  ThreadedContext mThreads;
  std::shared_ptr<MemoryBudget> mBudget =
      std::make_shared<MemoryBudget>(kCapacity);
  std::atomic<int> mHandlerRuns{0};
  std::atomic<int> mMostAtOnce{0};
  std::atomic<bool> mReleaseWaiting{false};
  std::atomic<int> mRefusals{0};
  std::optional<HttpServer> mServer;
  Endpoint mEndpoint;

 public:
  void setUp() override {
    HttpLimits limits;
    limits.mMaxHeader = 16 * 1024;
    limits.mMaxBody = kCapacity;
    limits.mMaxConnections = 30;
    HttpServerOptions options;
    options.mMemory = mBudget;
    options.mCheckHead = [](const HttpRequest& aHead) {
      return aHead.mTarget == "/unknown"
                 ? std::optional(HttpResponse::Json(404, "{}"))
                 : std::nullopt;
    };
    options.mOnRefused = [this](const HttpRefusal&) { ++mRefusals; };
    mServer.emplace(
        mThreads.Context(), limits,
        [this](const HttpRequest& aRequest, HttpExchange& aOut) {
          return Handle(aRequest, aOut);
        },
        std::nullopt, std::move(options));
    mEndpoint = mServer->Listen({"127.0.0.1", 0}).value();
  }
  void tearDown() override {
    mReleaseWaiting = true;
    WaitFor([this] { return mServer->Active() == 0; });
    mServer.reset();
  }

  void TestBodyWaitsForItsTurn() {
    RawPeer first(mEndpoint);
    first.Write(Head("/wait", kBody) + std::string(kBody, 'x'));
    WaitFor([this] { return mServer->Active() == 1; });
    RawPeer second(mEndpoint);
    second.Write(Head("/a", kBody));
    WaitFor([this] { return mBudget->Counts().mWaits == 1; });
    mReleaseWaiting = true;
    second.Write(std::string(kBody, 'y'));
    AssertStatus("200", second);
    AssertStatus("200", first);
    CPPUNIT_ASSERT_EQUAL(2, mHandlerRuns.load());
  }

  void TestBodyWithoutRoomIsRefused() {
    RawPeer first(mEndpoint);
    first.Write(Head("/wait", kBody) + std::string(kBody, 'x'));
    WaitFor([this] { return mServer->Active() == 1; });
    RawPeer second(mEndpoint);
    second.Write(Head("/a", kBody));
    const std::string response = second.ReadHead();
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(response.find("Retry-After: 0.2") != std::string::npos);
    CPPUNIT_ASSERT(response.find("Rillwall-Run: not-run") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(1, mHandlerRuns.load());
    CPPUNIT_ASSERT_EQUAL(1, mRefusals.load());
    // Ordinary requests are served meanwhile.
    RawPeer third(mEndpoint);
    third.Write(Head("/a", 600) + std::string(600, 'z'));
    AssertStatus("200", third);
  }

  void TestStalledBodyGivesWay() {
    RawPeer stalled(mEndpoint);
    stalled.Write(Head("/a", kBody) + std::string(kBody / 2, 'x'));
    WaitFor([this] { return mBudget->Counts().mCharged > kBody; });
    RawPeer other(mEndpoint);
    other.Write(Head("/a", kBody) + std::string(kBody, 'y'));
    AssertStatus("200", other);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, mBudget->Counts().mEvicted);
    CPPUNIT_ASSERT_EQUAL(1, mHandlerRuns.load());
  }

  void TestStalledChunksGiveWay() {
    RawPeer stalled(mEndpoint);
    stalled.Write(
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "f0000\r\n" +
        std::string(0xc0000, 'x'));
    // Chunks are charged in steps; this is the one of 1 MiB.
    WaitFor([this] { return mBudget->Counts().mCharged > 1024 * 1024; });
    constexpr size_t kOther = 5 * 512 * 1024;
    RawPeer other(mEndpoint);
    other.Write(Head("/a", kOther) + std::string(kOther, 'y'));
    AssertStatus("200", other);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, mBudget->Counts().mEvicted);
    CPPUNIT_ASSERT_EQUAL(1, mHandlerRuns.load());
  }

  void TestBodyThatNeverFits() {
    RawPeer peer(mEndpoint);
    peer.Write(Head("/a", kCapacity - 1000));
    AssertStatus("503", peer);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, mBudget->Counts().mWaits);
  }

  void TestManyShortFields() {
    std::string fields;
    for (int i = 0; i < 2900; ++i) {
      fields += "a:b\r\n";
    }
    std::vector<std::unique_ptr<RawPeer>> peers;
    int refused = 0;
    for (int i = 0; i < 6; ++i) {
      peers.push_back(std::make_unique<RawPeer>(mEndpoint));
      peers.back()->Write("GET /wait HTTP/1.1\r\nHost: a\r\n" + fields +
                          "\r\n");
    }
    WaitFor([&] {
      refused = mRefusals.load();
      return refused + static_cast<int>(mServer->Active()) == 6;
    });
    CPPUNIT_ASSERT(refused >= 3);
    CPPUNIT_ASSERT(refused < 6);
  }

  void TestEndlessChunkLine() {
    RawPeer peer(mEndpoint);
    peer.Write(
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;" +
        std::string(200'000, 'x'));
    AssertStatus("400", peer);
  }

  void TestHeadSettlesRequest() {
    RawPeer peer(mEndpoint);
    peer.Write(Head("/unknown", kBody));
    AssertStatus("404", peer);
    CPPUNIT_ASSERT_EQUAL(0, mHandlerRuns.load());
    CPPUNIT_ASSERT(mBudget->Counts().mPeak < kBody / 2);
  }

  void TestUnfinishedHeadsGoFirst() {
    RawPeer idle(mEndpoint);
    idle.Write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    idle.ReadHead();
    std::vector<std::unique_ptr<RawPeer>> unfinished;
    for (int i = 0; i < 29; ++i) {
      unfinished.push_back(std::make_unique<RawPeer>(mEndpoint));
      unfinished.back()->Write("GET /a HTTP/1.1\r\nHo");
    }
    WaitFor([this] { return mServer->Connections() == 30; });
    for (int i = 0; i < 5; ++i) {
      RawPeer newer(mEndpoint);
      newer.Write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
      newer.ReadHead();
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), unfinished.front()->ReadToEnd());
    idle.Write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(idle.ReadHead().starts_with("HTTP/1.1 200"));
  }

  void TestIdleConnectionsGoNext() {
    std::vector<std::unique_ptr<RawPeer>> idle;
    for (int i = 0; i < 30; ++i) {
      idle.push_back(std::make_unique<RawPeer>(mEndpoint));
      idle.back()->Write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
      idle.back()->ReadHead();
    }
    RawPeer newer(mEndpoint);
    newer.Write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(newer.ReadHead().starts_with("HTTP/1.1 200"));
    idle.back()->Write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(idle.back()->ReadHead().starts_with("HTTP/1.1 200"));
  }

  void TestConnectionsAreCharged() {
    mBudget->SetCapacity(200'000);
    std::vector<std::unique_ptr<RawPeer>> peers;
    for (int i = 0; i < 20; ++i) {
      peers.push_back(std::make_unique<RawPeer>(mEndpoint));
    }
    WaitFor([this] { return mRefusals.load() >= 11; });
    WaitFor([this] { return mBudget->Counts().mCharged <= 180'000; });
    RawPeer newer(mEndpoint);
    newer.Write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(newer.ReadHead().starts_with("HTTP/1.1 200"));
  }

  void TestRequestsSentAheadTakeTurns() {
    std::vector<std::unique_ptr<RawPeer>> peers;
    for (int i = 0; i < 20; ++i) {
      peers.push_back(std::make_unique<RawPeer>(mEndpoint));
      // The first request of a connection is not sent ahead.
      peers.back()->Write(
          "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
          "GET /wait HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    }
    WaitFor([this] { return mServer->Active() == 8; });
    RawPeer ordinary(mEndpoint);
    ordinary.Write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(ordinary.ReadHead().starts_with("HTTP/1.1 200"));
    WaitFor([this] { return mServer->Active() == 8; });
    mReleaseWaiting = true;
    for (const auto& peer : peers) {
      CPPUNIT_ASSERT(peer->ReadToEnd().find("waited") != std::string::npos);
    }
  }

  void TestUnreadResponseIsCharged() {
    mBudget->SetCapacity(1'000'000);
    RawPeer peer(mEndpoint);
    peer.Write("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    WaitFor([this] { return mRefusals.load() == 1; });
    WaitFor([this] { return mServer->Connections() == 0; });
  }

  void TestAllIsReturned() {
    for (const char* target : {"/a", "/unknown"}) {
      RawPeer peer(mEndpoint);
      peer.Write(Head(target, kBody) + std::string(1000, 'x'));
      peer.Close();
    }
    {
      RawPeer peer(mEndpoint);
      peer.Write(Head("/a", kBody) + std::string(kBody, 'x'));
      AssertStatus("200", peer);
    }
    WaitFor([this] { return mBudget->Counts().mCharged == 0; });
  }

 private:
  static std::string Head(const std::string& aTarget, size_t aLength) {
    return "POST " + aTarget +
           " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
           std::to_string(aLength) + "\r\n\r\n";
  }
  static void AssertStatus(const std::string& aStatus, RawPeer& aPeer) {
    const std::string response = aPeer.ReadHead();
    CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + aStatus, response.substr(0, 12));
  }

  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange) {
    ++mHandlerRuns;
    HttpResponse response;
    if (aRequest.mTarget == "/large") {
      response.mBody = std::string(64 * 1024 * 1024, 'x');
    }
    if (aRequest.mTarget == "/wait") {
      while (!mReleaseWaiting && !aExchange.PeerDisconnected()) {
        co_await Sleep(Millis(2));
      }
      response.mBody = "waited";
    }
    co_await aExchange.Respond(std::move(response));
  }
};

}  // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(HttpMemoryTest);

}  // namespace rillwall
