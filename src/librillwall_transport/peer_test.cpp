/// \file
/// Tests of calls between nodes, over the loopback interface.

#include "rillwall/peer.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <thread>

namespace rillwall {
namespace {

using Reply = Result<wire::PeerReply>;

constexpr std::chrono::seconds kMaxWait{30};
constexpr Millis kCallTimeout{20000};
const Endpoint kAnyPort{"127.0.0.1", 0};

wire::PeerRequest MakeRequest(std::string aFrom) {
  wire::PeerRequest out;
  out.set_from(std::move(aFrom));
  out.mutable_ask_policy();
  return out;
}

/// Replies with the caller's name as the policy's body.
asio::awaitable<Reply> Echo(wire::PeerRequest aRequest) {
  wire::PeerReply out;
  out.mutable_policy()->set_body(aRequest.from());
  co_return out;
}

asio::awaitable<Reply> NeverReply(wire::PeerRequest) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_at(asio::steady_timer::time_point::max());
  co_await timer.async_wait(asio::use_awaitable);
  co_return wire::PeerReply();
}

std::string PolicyBodyOf(const Reply& aReply) {
  CPPUNIT_ASSERT_MESSAGE(aReply ? "" : aReply.error().Message(), aReply);
  return aReply->policy().body();
}

class PeerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTest);
  CPPUNIT_TEST(TestReply);
  CPPUNIT_TEST(TestErrorIsReturnedToCaller);
  CPPUNIT_TEST(TestThrowingHandler);
  CPPUNIT_TEST(TestLargeMessages);
  CPPUNIT_TEST(TestDeadline);
  CPPUNIT_TEST(TestCancelledCall);
  CPPUNIT_TEST(TestNoServer);
  CPPUNIT_TEST(TestRestartedPeer);
  CPPUNIT_TEST(TestPortInUse);
  CPPUNIT_TEST(TestServerStopsWithCallInFlight);
  CPPUNIT_TEST(TestClientDestroyedWithCallInFlight);
  CPPUNIT_TEST(TestClientDestroyedBeforeReply);
  CPPUNIT_TEST(TestCallsAfterRetain);
  CPPUNIT_TEST(TestManyCallsOnThreads);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestReply() {
    Serve(Echo);
    CPPUNIT_ASSERT_EQUAL(std::string("n1"), PolicyBodyOf(Call("n1")));
  }

  void TestErrorIsReturnedToCaller() {
    Serve([](wire::PeerRequest) -> asio::awaitable<Reply> {
      co_return Error(ErrorKind::Stale, "older");
    });
    CPPUNIT_ASSERT(Error(ErrorKind::Stale, "older") == Call("n1").error());
  }

  void TestThrowingHandler() {
    Serve([](wire::PeerRequest) -> asio::awaitable<Reply> {
      throw std::runtime_error("defect");
      co_return wire::PeerReply();
    });
    CPPUNIT_ASSERT(ErrorKind::Internal == Call("n1").error().Kind());
  }

  void TestLargeMessages() {
    Serve(Echo);
    const std::string large(20 * 1024 * 1024, 'x');
    CPPUNIT_ASSERT(large == PolicyBodyOf(Call(large)));
    const std::string tooLarge(65 * 1024 * 1024, 'x');
    CPPUNIT_ASSERT(ErrorKind::TooLarge == Call(tooLarge).error().Kind());
  }

  void TestDeadline() {
    Serve(NeverReply);
    const Reply reply = Call("n1", Millis(50));
    CPPUNIT_ASSERT(ErrorKind::Timeout == reply.error().Kind());
    CPPUNIT_ASSERT(RunState::Unknown == reply.error().Run());
  }

  void TestCancelledCall() {
    Serve(NeverReply);
    asio::cancellation_signal cancel;
    std::optional<Reply> reply;
    asio::co_spawn(
        mContext,
        mClient->Call(mEndpoint.Text(), MakeRequest("n1"), kCallTimeout),
        asio::bind_cancellation_slot(cancel.slot(),
                                     [&](std::exception_ptr, Reply aReply) {
                                       reply = std::move(aReply);
                                       mContext.stop();
                                     }));
    asio::post(mContext,
               [&] { cancel.emit(asio::cancellation_type::terminal); });
    mContext.run_for(kMaxWait);
    CPPUNIT_ASSERT(reply);
    CPPUNIT_ASSERT(ErrorKind::ConnectionLost == reply->error().Kind());
  }

  void TestNoServer() {
    Serve(Echo);
    mServer.reset();
    CPPUNIT_ASSERT(ErrorKind::ConnectionLost == Call("n1").error().Kind());
  }

  void TestRestartedPeer() {
    Serve(Echo);
    CPPUNIT_ASSERT(Call("n1"));
    const Endpoint same = mEndpoint;
    mServer.reset();
    CPPUNIT_ASSERT(!Call("n1"));
    Serve(Echo, same);
    const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
    Reply reply = Call("n1");
    while (!reply && std::chrono::steady_clock::now() < deadline) {
      reply = Call("n1");
    }
    CPPUNIT_ASSERT(reply);
  }

  void TestPortInUse() {
    Serve(Echo);
    PeerServer second(mContext, Echo);
    CPPUNIT_ASSERT(ErrorKind::Unavailable ==
                   second.Listen(mEndpoint).error().Kind());
  }

  void TestServerStopsWithCallInFlight() {
    Serve([&](wire::PeerRequest) -> asio::awaitable<Reply> {
      mServer->Stop();
      co_return wire::PeerReply();
    });
    CPPUNIT_ASSERT(ErrorKind::ConnectionLost == Call("n1").error().Kind());
  }

  void TestClientDestroyedWithCallInFlight() {
    Serve([&](wire::PeerRequest aRequest) {
      mClient.reset();
      return NeverReply(std::move(aRequest));
    });
    CPPUNIT_ASSERT(ErrorKind::ConnectionLost == Call("n1").error().Kind());
  }

  void TestClientDestroyedBeforeReply() {
    bool handlerRan = false;
    Serve([&](wire::PeerRequest aRequest) -> asio::awaitable<Reply> {
      mClient.reset();
      handlerRan = true;
      co_return co_await Echo(std::move(aRequest));
    });
    CPPUNIT_ASSERT(!Call("n1"));
    CPPUNIT_ASSERT(handlerRan);
    mClient.emplace(mContext);
    Serve(Echo);
    CPPUNIT_ASSERT(Call("n2"));
  }

  void TestCallsAfterRetain() {
    Serve(Echo);
    CPPUNIT_ASSERT(Call("n1"));
    mClient->Retain({});
    CPPUNIT_ASSERT(Call("n1"));
    mClient->Retain({mEndpoint.Text()});
    CPPUNIT_ASSERT(Call("n1"));
  }

  void TestManyCallsOnThreads() {
    constexpr int kCalls = 200;
    Serve(Echo);
    std::atomic<int> correct{0};
    for (int i = 0; i < kCalls; ++i) {
      Spawn(std::to_string(i), kCallTimeout, [&, i](Reply aReply) {
        correct += aReply && aReply->policy().body() == std::to_string(i);
      });
    }
    std::thread other([this] { mContext.run_for(kMaxWait); });
    mContext.run_for(kMaxWait);
    other.join();
    CPPUNIT_ASSERT_EQUAL(kCalls, correct.load());
  }

  void setUp() override { mClient.emplace(mContext); }

  void tearDown() override {
    mServer.reset();
    mClient.reset();
  }

 private:
  void Serve(PeerHandler aHandler, const Endpoint& aEndpoint = kAnyPort) {
    mServer.reset();
    mServer.emplace(mContext, std::move(aHandler));
    const Result<Endpoint> endpoint = mServer->Listen(aEndpoint);
    CPPUNIT_ASSERT(endpoint);
    mEndpoint = *endpoint;
  }

  void Spawn(const std::string& aFrom, Millis aTimeout,
             std::function<void(Reply)> aDone) {
    asio::co_spawn(
        mContext, mClient->Call(mEndpoint.Text(), MakeRequest(aFrom), aTimeout),
        [done = std::move(aDone)](std::exception_ptr aThrown, Reply aReply) {
          CPPUNIT_ASSERT(!aThrown);
          done(std::move(aReply));
        });
  }

  Reply Call(const std::string& aFrom, Millis aTimeout = kCallTimeout) {
    std::optional<Reply> reply;
    Spawn(aFrom, aTimeout, [&](Reply aReply) {
      reply = std::move(aReply);
      mContext.stop();
    });
    mContext.restart();
    mContext.run_for(kMaxWait);
    CPPUNIT_ASSERT(reply);
    return *reply;
  }

  asio::io_context mContext;
  std::optional<PeerClient> mClient;
  std::optional<PeerServer> mServer;
  Endpoint mEndpoint;
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerTest);

}  // namespace
}  // namespace rillwall
