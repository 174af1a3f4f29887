/// \file
/// Tests of the datagram socket, over the loopback interface.

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

#include "rillwall/datagram.h"

namespace rillwall {
namespace {

constexpr std::chrono::seconds kMaxWait{20};
const Endpoint kAnyPort{"127.0.0.1", 0};

class DatagramSocketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatagramSocketTest);
  CPPUNIT_TEST(TestSendAndReceive);
  CPPUNIT_TEST(TestInvalidAddresses);
  CPPUNIT_TEST(TestStopInHandler);
  CPPUNIT_TEST(TestStopWhileWaiting);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestSendAndReceive() {
    asio::io_context context;
    std::string bytes;
    std::string from;
    DatagramSocket receiver(
        context, [&](std::string_view aBytes, const std::string& aFrom) {
          bytes = aBytes;
          from = aFrom;
          context.stop();
        });
    DatagramSocket sender(context, [](auto, const auto&) {});
    const Result<Endpoint> to = receiver.Listen(kAnyPort);
    const Result<Endpoint> own = sender.Listen(kAnyPort);
    CPPUNIT_ASSERT(to && own);
    const std::string sent(1400, 'x');
    sender.Send(to->Text(), sent);
    context.run_for(kMaxWait);
    CPPUNIT_ASSERT_EQUAL(sent, bytes);
    CPPUNIT_ASSERT_EQUAL(own->Text(), from);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1400}, sender.BytesSent());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1400}, receiver.BytesReceived());
  }

  void TestInvalidAddresses() {
    asio::io_context context;
    DatagramSocket socket(context, [](auto, const auto&) {});
    CPPUNIT_ASSERT(!socket.Listen({"nowhere", 1}));
    const Result<Endpoint> own = socket.Listen(kAnyPort);
    CPPUNIT_ASSERT(own);
    DatagramSocket second(context, [](auto, const auto&) {});
    CPPUNIT_ASSERT(ErrorKind::Unavailable ==
                   second.Listen(*own).error().Kind());
    socket.Send("nowhere", "x");
    socket.Send("", "x");
    socket.Send("127.0.0.1:9", std::string(70000, 'x'));
    context.poll();
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, socket.BytesSent());
  }

  void TestStopInHandler() {
    asio::io_context context;
    int received = 0;
    DatagramSocket socket(context, [&](auto, const auto&) {
      ++received;
      socket.Stop();
    });
    const Result<Endpoint> own = socket.Listen(kAnyPort);
    CPPUNIT_ASSERT(own);
    socket.Send(own->Text(), "first");
    socket.Send(own->Text(), "second");
    context.run_for(kMaxWait);
    CPPUNIT_ASSERT_EQUAL(1, received);
    // The stopped socket leaves no pending operation in the context.
    CPPUNIT_ASSERT(context.stopped());
  }

  void TestStopWhileWaiting() {
    asio::io_context context;
    DatagramSocket socket(context, [](auto, const auto&) {});
    CPPUNIT_ASSERT(socket.Listen(kAnyPort));
    context.poll();
    CPPUNIT_ASSERT(!context.stopped());
    socket.Stop();
    context.run_for(kMaxWait);
    CPPUNIT_ASSERT(context.stopped());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DatagramSocketTest);

}  // namespace
}  // namespace rillwall
