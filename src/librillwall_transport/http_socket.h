/// \file
/// One TCP connection, plain or with TLS, for the HTTP server and client.

#pragma once

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>

#include "http_deadline.h"
#include "http_tls.h"

namespace rillwall {

namespace asio = boost::asio;
using boost::system::error_code;

/// A socket without a type-erased executor, which saves one indirect call per
/// operation.
using TcpSocket =
    asio::basic_stream_socket<asio::ip::tcp, asio::io_context::executor_type>;

using TlsContext = std::shared_ptr<asio::ssl::context>;

/// Head, body and chunk terminator, written together.
using WriteBuffers = std::array<asio::const_buffer, 3>;

/// The outcome of a write.
struct WriteResult {
  error_code mCode;
  size_t mWritten = 0;  ///< bytes that may have been sent; 0: certainly none
};

/// A connected TCP socket with a deadline and optional TLS.
class HttpSocket {
 public:
  HttpSocket(asio::io_context& aContext, TcpSocket aSocket);
  ~HttpSocket();
  HttpSocket(const HttpSocket&) = delete;
  HttpSocket& operator=(const HttpSocket&) = delete;

  /// Opens a new socket and connects it.
  /// \return timed_out if the connection was not established within aLimit
  asio::awaitable<error_code> Connect(asio::ip::tcp::endpoint aEndpoint,
                                      Millis aLimit);

  /// Performs the TLS handshake; the deadline applies to it. All later reads
  /// and writes use TLS.
  /// \param aKeys must not be nullptr
  /// \param aPeerName name or IP number that a client requires in the peer's
  /// certificate
  asio::awaitable<error_code> HandshakeTls(TlsRole aRole, TlsContext aKeys,
                                           std::string aPeerName);

  /// Reads the bytes available, as Asio's async_read_some.
  template <class Token>
  auto ReadSome(asio::mutable_buffer aBuffer, Token&& aToken) {
    if (mTls) {
      return mTls->async_read_some(aBuffer, std::forward<Token>(aToken));
    }
    return mSocket.async_read_some(aBuffer, std::forward<Token>(aToken));
  }
  asio::awaitable<std::tuple<error_code, size_t>> ReadSome(
      asio::mutable_buffer aBuffer) {
    return ReadSome(aBuffer, asio::as_tuple(asio::use_awaitable));
  }

  /// Writes as much as the kernel accepts without waiting, and removes it from
  /// aBuffers. With TLS it writes nothing.
  /// \return whether nothing is left to write or the write failed
  bool WriteNow(WriteBuffers& aBuffers, WriteResult& aResult);
  /// Writes the rest after WriteNow().
  asio::awaitable<void> WriteRest(WriteBuffers aBuffers, WriteResult& aResult);

  /// \return whether the peer of an idle connection has closed it or sent
  /// bytes, so that it cannot be used for a new request
  bool Stale();
  /// Tells the peer that no more bytes follow; the peer may still send.
  /// \param aHandler completion handler that keeps this alive; with TLS it is
  /// called when the peer has confirmed the shutdown or the connection ended
  template <class Handler>
  void ShutdownSend(Handler aHandler) {
    if (mTls) {
      // The close message is sent immediately; only the peer's reply is
      // awaited.
      mTls->async_shutdown(std::move(aHandler));
    }
    ShutdownTcp();
  }
  /// Ends a pending read; a response can still be written.
  void StopReceiving();
  /// Closes with a TCP reset, so that the peer sees the response as truncated.
  void Reset();
  void Close();

  SocketDeadline& Deadline() { return *mDeadline; }

 private:
  /// Sets the socket's options and attaches the deadline.
  void ConfigureSocket();
  void ShutdownTcp();
  asio::awaitable<void> WriteTls(const WriteBuffers& aBuffers,
                                 WriteResult& aResult);

  TcpSocket mSocket;
  TlsContext mKeys;  ///< referenced by mTls
  std::unique_ptr<asio::ssl::stream<TcpSocket&>> mTls;
  std::shared_ptr<SocketDeadline> mDeadline;
};

}  // namespace rillwall
