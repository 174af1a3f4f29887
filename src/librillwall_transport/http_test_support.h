/// \file
/// What the HTTP tests share: running a coroutine to its end, a server on a
/// free port, and a peer that speaks raw bytes.

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

constexpr Millis kGenerous{10000};

/// An io_context run by threads until the end of the test.
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

/// Waits in a coroutine.
inline asio::awaitable<void> Sleep(Millis aSpan) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(aSpan.Count()));
  co_await timer.async_wait(asio::use_awaitable);
}

/// Waits on the test's thread until something holds; fails after long.
template <class Condition>
void WaitFor(Condition aCondition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!aCondition()) {
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() < end);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

/// A peer that writes and reads raw bytes, blocking.
class RawPeer {
 public:
  explicit RawPeer(const Endpoint& aEndpoint) : mSocket(mContext) {
    mSocket.connect({asio::ip::make_address(aEndpoint.mHost), aEndpoint.mPort});
  }
  void Write(std::string_view aBytes) {
    asio::write(mSocket, asio::buffer(aBytes));
  }
  /// \return all bytes up to the peer's close
  std::string ReadToEnd() {
    std::string bytes;
    boost::system::error_code code;
    asio::read(mSocket, asio::dynamic_buffer(bytes), code);
    return bytes;
  }
  /// \return the bytes up to an empty line
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

/// An upstream that answers each connection with raw bytes after one request's
/// head, and closes it.
class RawUpstream {
 public:
  /// \param aAnswers one for each connection, in order
  explicit RawUpstream(std::vector<std::string> aAnswers)
      : mAcceptor(mContext, {asio::ip::address_v4::loopback(), 0}),
        mThread([this, answers = std::move(aAnswers)] { Serve(answers); }) {}
  ~RawUpstream() {
    // Wakes a pending accept.
    ::shutdown(mAcceptor.native_handle(), SHUT_RD);
    mThread.join();
  }
  Endpoint Where() const {
    return {"127.0.0.1", mAcceptor.local_endpoint().port()};
  }

 private:
  void Serve(const std::vector<std::string>& aAnswers) {
    for (const std::string& answer : aAnswers) {
      asio::ip::tcp::socket socket(mContext);
      boost::system::error_code code;
      mAcceptor.accept(socket, code);
      std::string head;
      asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", code);
      asio::write(socket, asio::buffer(answer), code);
    }
  }

  asio::io_context mContext;
  asio::ip::tcp::acceptor mAcceptor;
  std::thread mThread;
};

}  // namespace rillwall
