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

constexpr std::chrono::seconds kLongest{30};
constexpr Millis kPlenty{20000};
const Endpoint kAnyPort{"127.0.0.1", 0};

wire::PeerRequest Asking(std::string aFrom) {
  wire::PeerRequest out;
  out.set_from(std::move(aFrom));
  out.mutable_ask_policy();
  return out;
}

/// Answers with the caller's name as the policy's body.
asio::awaitable<Reply> Echo(wire::PeerRequest aRequest) {
  wire::PeerReply out;
  out.mutable_policy()->set_body(aRequest.from());
  co_return out;
}

asio::awaitable<Reply> NeverAnswer(wire::PeerRequest) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_at(asio::steady_timer::time_point::max());
  co_await timer.async_wait(asio::use_awaitable);
  co_return wire::PeerReply();
}

std::string BodyOf(const Reply& aReply) {
  CPPUNIT_ASSERT_MESSAGE(aReply ? "" : aReply.error().Message(), aReply);
  return aReply->policy().body();
}

class PeerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTest);
  CPPUNIT_TEST(TestReply);
  CPPUNIT_TEST(TestErrorsTravel);
  CPPUNIT_TEST(TestThrowingHandler);
  CPPUNIT_TEST(TestLargeMessages);
  CPPUNIT_TEST(TestDeadline);
  CPPUNIT_TEST(TestCancelledCall);
  CPPUNIT_TEST(TestNobodyThere);
  CPPUNIT_TEST(TestRestartedPeer);
  CPPUNIT_TEST(TestPortTaken);
  CPPUNIT_TEST(TestServerStopsWithCallInFlight);
  CPPUNIT_TEST(TestClientEndsWithCallInFlight);
  CPPUNIT_TEST(TestClientGoneBeforeAnswer);
  CPPUNIT_TEST(TestRetain);
  CPPUNIT_TEST(TestManyCallsOnThreads);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestReply() {
    Serve(Echo);
    CPPUNIT_ASSERT_EQUAL(std::string("n1"), BodyOf(Call("n1")));
  }

  void TestErrorsTravel() {
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
    CPPUNIT_ASSERT(large == BodyOf(Call(large)));
    const std::string tooLarge(65 * 1024 * 1024, 'x');
    CPPUNIT_ASSERT(ErrorKind::TooLarge == Call(tooLarge).error().Kind());
  }

  void TestDeadline() {
    Serve(NeverAnswer);
    const Reply reply = Call("n1", Millis(50));
    CPPUNIT_ASSERT(ErrorKind::Timeout == reply.error().Kind());
    CPPUNIT_ASSERT(RunState::Unknown == reply.error().Run());
  }

  void TestCancelledCall() {
    Serve(NeverAnswer);
    asio::cancellation_signal cancel;
    std::optional<Reply> reply;
    asio::co_spawn(mContext,
                   mClient->Call(mEndpoint.Text(), Asking("n1"), kPlenty),
                   asio::bind_cancellation_slot(
                       cancel.slot(), [&](std::exception_ptr, Reply aReply) {
                         reply = std::move(aReply);
                         mContext.stop();
                       }));
    asio::post(mContext,
               [&] { cancel.emit(asio::cancellation_type::terminal); });
    mContext.run_for(kLongest);
    CPPUNIT_ASSERT(reply);
    CPPUNIT_ASSERT(ErrorKind::ConnectionLost == reply->error().Kind());
  }

  void TestNobodyThere() {
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
    const auto deadline = std::chrono::steady_clock::now() + kLongest;
    Reply reply = Call("n1");
    while (!reply && std::chrono::steady_clock::now() < deadline) {
      reply = Call("n1");
    }
    CPPUNIT_ASSERT(reply);
  }

  void TestPortTaken() {
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

  void TestClientEndsWithCallInFlight() {
    Serve([&](wire::PeerRequest aRequest) {
      mClient.reset();
      return NeverAnswer(std::move(aRequest));
    });
    CPPUNIT_ASSERT(ErrorKind::ConnectionLost == Call("n1").error().Kind());
  }

  void TestClientGoneBeforeAnswer() {
    bool answered = false;
    Serve([&](wire::PeerRequest aRequest) -> asio::awaitable<Reply> {
      mClient.reset();
      answered = true;
      co_return co_await Echo(std::move(aRequest));
    });
    CPPUNIT_ASSERT(!Call("n1"));
    CPPUNIT_ASSERT(answered);
    mClient.emplace(mContext);
    Serve(Echo);
    CPPUNIT_ASSERT(Call("n2"));
  }

  void TestRetain() {
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
    std::atomic<int> whole{0};
    for (int i = 0; i < kCalls; ++i) {
      Spawn(std::to_string(i), kPlenty, [&, i](Reply aReply) {
        whole += aReply && aReply->policy().body() == std::to_string(i);
      });
    }
    std::thread other([this] { mContext.run_for(kLongest); });
    mContext.run_for(kLongest);
    other.join();
    CPPUNIT_ASSERT_EQUAL(kCalls, whole.load());
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
        mContext, mClient->Call(mEndpoint.Text(), Asking(aFrom), aTimeout),
        [done = std::move(aDone)](std::exception_ptr aThrown, Reply aReply) {
          CPPUNIT_ASSERT(!aThrown);
          done(std::move(aReply));
        });
  }

  Reply Call(const std::string& aFrom, Millis aTimeout = kPlenty) {
    std::optional<Reply> reply;
    Spawn(aFrom, aTimeout, [&](Reply aReply) {
      reply = std::move(aReply);
      mContext.stop();
    });
    mContext.restart();
    mContext.run_for(kLongest);
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
