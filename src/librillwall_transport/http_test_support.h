/// \file
/// Support for the HTTP tests: running coroutines to completion, and clients
/// and upstreams that exchange raw bytes.

#pragma once

#include <cppunit/TestAssert.h>
#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "rillwall/http.h"

namespace rillwall {

constexpr Millis kTestTimeout{10000};

/// An io_context that is run by its own threads until it is destroyed.
class ThreadedContext {
 public:
  explicit ThreadedContext(size_t aThreads = 2)
      : mWork(asio::make_work_guard(mContext)) {
    for (size_t i = 0; i < aThreads; ++i) {
      mThreads.emplace_back([this] { mContext.run(); });
    }
  }
  ~ThreadedContext() {
    mContext.stop();
    for (std::thread& thread : mThreads) {
      thread.join();
    }
  }
  asio::io_context& Context() { return mContext; }
  /// Runs a coroutine and waits for its result.
  template <class Value>
  Value Await(asio::awaitable<Value> aWork) {
    return asio::co_spawn(mContext, std::move(aWork), asio::use_future).get();
  }

 private:
  asio::io_context mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  std::vector<std::thread> mThreads;
};

/// Suspends the coroutine for a time span.
inline asio::awaitable<void> Sleep(Millis aSpan) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(aSpan.Count()));
  co_await timer.async_wait(asio::use_awaitable);
}

/// Blocks until aCondition holds; fails the test after 10 s.
template <class Condition>
void WaitFor(Condition aCondition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!aCondition()) {
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() < end);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

/// A blocking client that writes and reads raw bytes.
class RawPeer {
 public:
  explicit RawPeer(const Endpoint& aEndpoint) : mSocket(mContext) {
    mSocket.connect({asio::ip::make_address(aEndpoint.mHost), aEndpoint.mPort});
  }
  void Write(std::string_view aBytes) {
    asio::write(mSocket, asio::buffer(aBytes));
  }
  /// \return all bytes until the server closes the connection
  std::string ReadToEnd() {
    std::string bytes;
    boost::system::error_code code;
    asio::read(mSocket, asio::dynamic_buffer(bytes), code);
    return bytes;
  }
  /// \return the bytes up to and including the next empty line
  std::string ReadHead() {
    std::string bytes;
    asio::read_until(mSocket, asio::dynamic_buffer(bytes), "\r\n\r\n");
    return bytes;
  }
  void Close() { mSocket.close(); }

 private:
  asio::io_context mContext;
  asio::ip::tcp::socket mSocket;
};

/// An upstream that reads one request head from each connection, writes raw
/// bytes as the response and closes the connection.
class RawUpstream {
 public:
  /// \param aResponses the bytes to write on each connection, in order
  /// \param aWaitForPeer close a connection only after the client has closed it
  /// \param aReset close connections with a reset
  explicit RawUpstream(std::vector<std::string> aResponses,
                       bool aWaitForPeer = false, bool aReset = false)
      : mAcceptor(mContext, {asio::ip::address_v4::loopback(), 0}),
        mWaitForPeer(aWaitForPeer),
        mReset(aReset),
        mThread(
            [this, responses = std::move(aResponses)] { Serve(responses); }) {}
  ~RawUpstream() {
    // Wakes the thread if it is blocked in accept().
    ::shutdown(mAcceptor.native_handle(), SHUT_RD);
    mThread.join();
  }
  Endpoint ListeningEndpoint() const {
    return {"127.0.0.1", mAcceptor.local_endpoint().port()};
  }

 private:
  void Serve(const std::vector<std::string>& aResponses) {
    for (const std::string& response : aResponses) {
      asio::ip::tcp::socket socket(mContext);
      boost::system::error_code code;
      mAcceptor.accept(socket, code);
      std::string head;
      asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", code);
      asio::write(socket, asio::buffer(response), code);
      if (mWaitForPeer) {
        asio::read(socket, asio::dynamic_buffer(head), code);
      }
      if (mReset) {
        socket.set_option(asio::socket_base::linger(true, 0), code);
      }
    }
  }

  asio::io_context mContext;
  asio::ip::tcp::acceptor mAcceptor;
  const bool mWaitForPeer;
  const bool mReset;
  std::thread mThread;
};

}  // namespace rillwall
