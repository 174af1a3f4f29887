#include "http_socket.h"

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/socket_base.hpp>

namespace rillwall {

namespace {

/// Drops the first bytes of the buffers.
void Consume(WriteBuffers& aBuffers, size_t aBytes) {
  for (asio::const_buffer& buffer : aBuffers) {
    const size_t step = std::min(aBytes, buffer.size());
    buffer += step;
    aBytes -= step;
  }
}

}  // namespace

HttpSocket::HttpSocket(asio::io_context& aContext, TcpSocket aSocket)
    : mSocket(std::move(aSocket)),
      mDeadline(std::make_shared<SocketDeadline>(aContext)) {
  if (mSocket.is_open()) {
    Prepare();
  }
}

HttpSocket::~HttpSocket() { Close(); }

void HttpSocket::Prepare() {
  error_code ignored;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  mSocket.non_blocking(true, ignored);
  mDeadline->Attach(mSocket.native_handle());
}

asio::awaitable<error_code> HttpSocket::Connect(
    const asio::ip::tcp::endpoint& aTo) {
  error_code code;
  mSocket.open(aTo.protocol(), code);
  if (code) {
    co_return code;
  }
  Prepare();
  const auto [result] =
      co_await mSocket.async_connect(aTo, asio::as_tuple(asio::use_awaitable));
  co_return result;
}

bool HttpSocket::WriteNow(WriteBuffers& aBuffers, WriteResult& aResult) {
  while (asio::buffer_size(aBuffers) > 0) {
    error_code code;
    const size_t written = mSocket.write_some(aBuffers, code);
    if (code == asio::error::would_block || code == asio::error::try_again) {
      return false;
    }
    if (code) {
      aResult.mCode = code;
      return true;
    }
    aResult.mWritten += written;
    Consume(aBuffers, written);
  }
  return true;
}

asio::awaitable<void> HttpSocket::WriteRest(WriteBuffers aBuffers,
                                            WriteResult& aResult) {
  while (asio::buffer_size(aBuffers) > 0) {
    const auto [code, written] = co_await mSocket.async_write_some(
        aBuffers, asio::as_tuple(asio::use_awaitable));
    aResult.mWritten += written;
    if (code) {
      aResult.mCode = code;
      co_return;
    }
    Consume(aBuffers, written);
  }
}

bool HttpSocket::Stale() {
  pollfd entry{};
  entry.fd = mSocket.native_handle();
  entry.events = POLLIN | POLLRDHUP;
  return ::poll(&entry, 1, 0) != 0;
}

void HttpSocket::ShutdownSend() {
  error_code ignored;
  mSocket.shutdown(asio::socket_base::shutdown_send, ignored);
}

void HttpSocket::Reset() {
  error_code ignored;
  mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void HttpSocket::Close() {
  mDeadline->Detach();
  error_code ignored;
  mSocket.close(ignored);
}

}  // namespace rillwall
