/// \file
/// Tests of the key-value client with a server that responds, aborts or
/// refuses.

#include "rillwall/kv_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <mutex>

#include "http_test_support.h"
#include "kv_codec.h"

namespace rillwall {

namespace {

constexpr const char* kEntry =
    R"({"header":{"revision":"7"},"kvs":[{"key":"YS9i","value":"dg==",)"
    R"("create_revision":"3","mod_revision":"5","version":"2"}],"count":"1"})";

/// How the server handles the calls of one path.
struct Behaviour {
  int mStatus = 200;
  std::string mBody;
  bool mDrop = false;    ///< send head and body, then abort the connection
  bool mSilent = false;  ///< respond only after the client's timeout
};

/// A key-value service that records calls and responds as configured.
class FakeService {
 public:
  explicit FakeService(asio::io_context& aContext)
      : mServer(aContext, HttpLimits(),
                [this](const HttpRequest& aRequest, HttpExchange& aExchange) {
                  return Handle(aRequest, aExchange);
                }) {
    mEndpoint = mServer.Listen({"127.0.0.1", 0}).value();
  }

  Endpoint mEndpoint;
  std::map<std::string, Behaviour> mPaths;
  std::vector<std::string> mCalls;  ///< path and body of each call, in order

 private:
  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange) {
    mCalls.push_back(aRequest.mTarget + " " + aRequest.mBody);
    const Behaviour behaviour = mPaths[aRequest.mTarget];
    if (behaviour.mSilent) {
      co_await Sleep(Millis(400));
    }
    HttpResponse response =
        HttpResponse::Json(behaviour.mStatus, behaviour.mBody);
    if (!behaviour.mDrop) {
      co_await aExchange.Respond(std::move(response));
      co_return;
    }
    // Without End(), the server aborts the connection, so that the response is
    // truncated.
    co_await aExchange.Begin(std::move(response));
    std::string body = behaviour.mBody;
    co_await aExchange.Write(std::move(body));
  }

  HttpServer mServer;
};

class KvClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KvClientTest);
  CPPUNIT_TEST(TestEncoding);
  CPPUNIT_TEST(TestRange);
  CPPUNIT_TEST(TestSwap);
  CPPUNIT_TEST(TestLostResponses);
  CPPUNIT_TEST(TestErrorStatuses);
  CPPUNIT_TEST(TestLease);
  CPPUNIT_TEST(TestEndpointRotation);
  CPPUNIT_TEST(TestWatch);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    mFake.emplace(mThreads.Context());
    mKv.emplace(mClient, Settings({mFake->mEndpoint}));
  }
  void tearDown() override {
    mKv.reset();
    mFake.reset();
  }

  void TestEncoding() {
    for (const std::string text : {"", "a", "ab", "abc", "ab\xff\0z"}) {
      CPPUNIT_ASSERT(text == kv::DecodeBase64(kv::EncodeBase64(text)));
    }
    CPPUNIT_ASSERT(!kv::DecodeBase64("abc").has_value());
    CPPUNIT_ASSERT(!kv::DecodeBase64("a*==").has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("a0"), kv::RangeEnd("a/"));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), kv::RangeEnd("a\xff"));
  }

  void TestRange() {
    mFake->mPaths["/v3/kv/range"].mBody = kEntry;
    const KvRange range = Await(mKv->Range("a/", true)).value();
    const std::vector<KvEntry> expected = {{"a/b", "v", 3, 5}};
    CPPUNIT_ASSERT(expected == range.mEntries);
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, range.mRevision);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"(/v3/kv/range {"key":"YS8=","range_end":"YTA="})"),
        mFake->mCalls.back());
  }

  void TestSwap() {
    Behaviour& txn = mFake->mPaths["/v3/kv/txn"];
    txn.mBody = R"({"header":{"revision":"9"},"succeeded":true})";
    const KvSwap applied = Await(mKv->CompareAndSwap("k", 5, "v", 0)).value();
    CPPUNIT_ASSERT(applied.mApplied);
    CPPUNIT_ASSERT_EQUAL(int64_t{9}, applied.mRevision);
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"(/v3/kv/txn {"compare":[{"key":"aw==","target":"MOD",)"
            R"("result":"EQUAL","mod_revision":"5"}],"success":[{"request_put":)"
            R"({"key":"aw==","value":"dg=="}}],"failure":[{"request_range":)"
            R"({"key":"aw=="}}]})"),
        mFake->mCalls.back());
    txn.mBody = std::string(R"({"header":{"revision":"9"},"responses":)") +
                R"([{"response_range":)" + kEntry + "}]}";
    const KvSwap notApplied = Await(mKv->CompareAndDelete("a/b", 4)).value();
    CPPUNIT_ASSERT(!notApplied.mApplied);
    CPPUNIT_ASSERT_EQUAL(std::string("v"), notApplied.mCurrent.at(0).mValue);
  }

  void TestLostResponses() {
    for (const bool silent : {false, true}) {
      for (const char* path : {"/v3/kv/range", "/v3/kv/put", "/v3/kv/txn"}) {
        mFake->mPaths[path] = {200, "{", !silent, silent};
      }
      CPPUNIT_ASSERT(ErrorKind::KvUnavailable == RangeError());
      CPPUNIT_ASSERT(ErrorKind::KvUncertain == PutError());
      CPPUNIT_ASSERT(ErrorKind::KvUncertain ==
                     Await(mKv->CompareAndSwap("k", 0, "v", 0)).error().Kind());
    }
    const KvCounts expected{2, 4, 0, 6};
    CPPUNIT_ASSERT(expected == mKv->Counts());
  }

  void TestErrorStatuses() {
    Behaviour& put = mFake->mPaths["/v3/kv/put"];
    put = {503, R"({"error":{"kind":"refused"}})"};
    CPPUNIT_ASSERT(ErrorKind::KvUnavailable == PutError());
    put = {503, R"({"code":14,"message":"etcdserver: request timed out"})"};
    CPPUNIT_ASSERT(ErrorKind::KvUncertain == PutError());
    put = {503, R"({"code":14,"message":"etcdserver: no leader"})"};
    CPPUNIT_ASSERT(ErrorKind::KvUnavailable == PutError());
    put = {500, ""};
    CPPUNIT_ASSERT(ErrorKind::KvUncertain == PutError());
    put = {400, "too large"};
    CPPUNIT_ASSERT(ErrorKind::BadRequest == PutError());
    const size_t calls = mFake->mCalls.size();
    const std::string large(2 * 1024 * 1024, 'x');
    CPPUNIT_ASSERT(ErrorKind::TooLarge ==
                   Await(mKv->Put("k", large, 0)).error().Kind());
    CPPUNIT_ASSERT_EQUAL(calls, mFake->mCalls.size());
  }

  void TestLease() {
    Behaviour& grant = mFake->mPaths["/v3/lease/grant"];
    mFake->mPaths["/v3/kv/put"].mBody = R"({"header":{"revision":"4"}})";
    grant.mBody = R"({"ID":"77","TTL":"30"})";
    CPPUNIT_ASSERT_EQUAL(int64_t{4}, Await(mKv->Put("k", "v", 30)).value());
    const std::vector<std::string> expected = {
        R"(/v3/lease/grant {"TTL":"30"})",
        R"(/v3/kv/put {"key":"aw==","value":"dg==","lease":"77"})"};
    CPPUNIT_ASSERT(expected == mFake->mCalls);
    // Without a lease the value is not written.
    grant.mDrop = true;
    CPPUNIT_ASSERT(ErrorKind::KvUnavailable ==
                   Await(mKv->Put("k", "v", 30)).error().Kind());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, mFake->mCalls.size());
  }

  void TestEndpointRotation() {
    mFake->mPaths["/v3/kv/put"].mBody = R"({"header":{"revision":"4"}})";
    mKv.emplace(mClient, Settings({ClosedEndpoint(), mFake->mEndpoint}));
    CPPUNIT_ASSERT(ErrorKind::KvUnavailable == PutError());
    CPPUNIT_ASSERT_EQUAL(int64_t{4}, Await(mKv->Put("k", "v", 0)).value());
  }

  void TestWatch() {
    Behaviour& watch = mFake->mPaths["/v3/watch"];
    const std::string lines =
        R"({"result":{"header":{"revision":"7"},"created":true}})"
        "\n"
        R"({"result":{"header":{"revision":"8"},"events":[{"kv":{"key":"YQ==",)"
        R"("value":"dg==","mod_revision":"8"}},{"type":"DELETE","kv":)"
        R"({"key":"Yg==","mod_revision":"8"}}]}})"
        "\n";
    watch = {200, lines + R"({"resu)", true};
    CPPUNIT_ASSERT(ErrorKind::KvUnavailable == WatchEnd());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mSeen.size());
    CPPUNIT_ASSERT(!mSeen[0].mDeleted && mSeen[1].mDeleted);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), mSeen[1].mEntry.mKey);
    watch = {200, R"({"result":{"canceled":true,"compact_revision":"5"}})"
                  "\n"};
    CPPUNIT_ASSERT(ErrorKind::Stale == WatchEnd());
    CPPUNIT_ASSERT(mFake->mCalls.back().find(R"("start_revision":"8")") !=
                   std::string::npos);
  }

 private:
  static KvSettings Settings(std::vector<Endpoint> aEndpoints) {
    KvSettings settings;
    settings.mEndpoints = std::move(aEndpoints);
    settings.mTimeout = Millis(200);
    return settings;
  }
  /// \return an endpoint on which no program listens
  Endpoint ClosedEndpoint() {
    HttpServer server(mThreads.Context(), HttpLimits(), nullptr);
    const Endpoint endpoint = server.Listen({"127.0.0.1", 0}).value();
    server.Stop();
    Await(Sleep(Millis(50)));
    return endpoint;
  }
  template <class Value>
  Value Await(asio::awaitable<Value> aWork) {
    return mThreads.Await(std::move(aWork));
  }
  ErrorKind PutError() { return Await(mKv->Put("k", "v", 0)).error().Kind(); }
  ErrorKind RangeError() {
    return Await(mKv->Range("k", false)).error().Kind();
  }
  ErrorKind WatchEnd() {
    const auto take = [this](const std::vector<KvEvent>& aEvents) {
      mSeen.insert(mSeen.end(), aEvents.begin(), aEvents.end());
    };
    return Await(mKv->Watch("a", 8, take)).Kind();
  }

  ThreadedContext mThreads{1};
  HttpClient mClient{mThreads.Context()};
  std::optional<FakeService> mFake;
  std::optional<KvClient> mKv;
  std::vector<KvEvent> mSeen;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KvClientTest);

}  // namespace

}  // namespace rillwall
