#include "http_socket.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace rillwall {

namespace {

using asio::experimental::awaitable_operators::operator||;

using KeepAliveIdle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveProbes =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

/// These TCP keepalive settings close a dead connection early enough for a
/// watch on it to be restarted well before a change must be in force: 2 s after
/// the disturbance has settled, which takes 3 s.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

/// Removes the first aBytes bytes from the buffers.
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
    ConfigureSocket();
  }
}

HttpSocket::~HttpSocket() { Close(); }

void HttpSocket::ConfigureSocket() {
  error_code ignored;
  // Keepalive ends a waiting call whose connection died without a reset.
  mSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  mSocket.set_option(KeepAliveIdle(kKeepAliveIdleSeconds), ignored);
  mSocket.set_option(KeepAliveInterval(kKeepAliveIntervalSeconds), ignored);
  mSocket.set_option(KeepAliveProbes(kKeepAliveProbes), ignored);
  mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  mSocket.non_blocking(true, ignored);
  mDeadline->Attach(mSocket.native_handle());
}

asio::awaitable<error_code> HttpSocket::Connect(
    asio::ip::tcp::endpoint aEndpoint, Millis aLimit) {
  error_code code;
  mSocket.open(aEndpoint.protocol(), code);
  if (code) {
    co_return code;
  }
  ConfigureSocket();
  // A timer is used instead of the deadline because shutting a socket down does
  // not cancel a pending connect on every system.
  asio::steady_timer limit(mSocket.get_executor());
  limit.expires_after(std::chrono::milliseconds(aLimit.Count()));
  const auto ended = co_await (
      mSocket.async_connect(aEndpoint, asio::as_tuple(asio::use_awaitable)) ||
      limit.async_wait(asio::as_tuple(asio::use_awaitable)));
  if (ended.index() != 0) {
    co_return asio::error::timed_out;
  }
  co_return std::get<0>(std::get<0>(ended));
}

asio::awaitable<error_code> HttpSocket::HandshakeTls(TlsRole aRole,
                                                     TlsContext aKeys,
                                                     std::string aPeerName) {
  mKeys = std::move(aKeys);
  mTls = std::make_unique<asio::ssl::stream<TcpSocket&>>(mSocket, *mKeys);
  error_code code;
  if (aRole == TlsRole::Client) {
    mTls->set_verify_callback(asio::ssl::host_name_verification(aPeerName),
                              code);
  }
  if (code) {
    co_return code;
  }
  const auto side = aRole == TlsRole::Client ? asio::ssl::stream_base::client
                                             : asio::ssl::stream_base::server;
  const auto [result] =
      co_await mTls->async_handshake(side, asio::as_tuple(asio::use_awaitable));
  co_return result;
}

bool HttpSocket::WriteNow(WriteBuffers& aBuffers, WriteResult& aResult) {
  if (mTls) {
    return false;
  }
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
  if (mTls) {
    co_await WriteTls(aBuffers, aResult);
    co_return;
  }
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

asio::awaitable<void> HttpSocket::WriteTls(const WriteBuffers& aBuffers,
                                           WriteResult& aResult) {
  // Copying into one buffer results in fewer TLS records.
  std::string bytes;
  bytes.reserve(asio::buffer_size(aBuffers));
  for (const asio::const_buffer& buffer : aBuffers) {
    bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
  }
  // After a failure it is unknown how much of a record was sent.
  aResult.mWritten = bytes.size();
  const auto [code, written] = co_await asio::async_write(
      *mTls, asio::buffer(bytes), asio::as_tuple(asio::use_awaitable));
  aResult.mCode = code;
}

bool HttpSocket::Stale() {
  pollfd entry{};
  entry.fd = mSocket.native_handle();
  // With TLS, incoming bytes may belong to the protocol, such as a key update.
  entry.events = mTls ? POLLRDHUP : POLLIN | POLLRDHUP;
  return ::poll(&entry, 1, 0) != 0;
}

void HttpSocket::ShutdownTcp() {
  error_code ignored;
  mSocket.shutdown(asio::socket_base::shutdown_send, ignored);
}

void HttpSocket::StopReceiving() {
  error_code ignored;
  mSocket.shutdown(asio::socket_base::shutdown_receive, ignored);
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
