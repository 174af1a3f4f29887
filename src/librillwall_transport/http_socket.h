/// \file
/// One TCP connection, plain or with TLS, as the HTTP server and client use it.

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

/// A socket without a type-erased executor: one call less per operation.
using TcpSocket =
    asio::basic_stream_socket<asio::ip::tcp, asio::io_context::executor_type>;

using TlsContext = std::shared_ptr<asio::ssl::context>;

/// Head, body and what closes a chunk, written together.
using WriteBuffers = std::array<asio::const_buffer, 3>;

/// How far a write came.
struct WriteResult {
  error_code mCode;
  size_t mWritten = 0;  ///< bytes that may have left; 0: surely none
};

class HttpSocket {
 public:
  HttpSocket(asio::io_context& aContext, TcpSocket aSocket);
  ~HttpSocket();
  HttpSocket(const HttpSocket&) = delete;
  HttpSocket& operator=(const HttpSocket&) = delete;

  /// Connects a new socket.
  /// \return timed_out if no connection was made in time
  asio::awaitable<error_code> Connect(asio::ip::tcp::endpoint aTo,
                                      Millis aLimit);

  /// Turns to TLS; the deadline applies.
  /// \param aKeys must not be nullptr
  /// \param aPeerName name or IP number that a client demands of the peer
  asio::awaitable<error_code> Secure(TlsRole aRole, TlsContext aKeys,
                                     std::string aPeerName);

  /// Reads what is there, as Asio's async_read_some.
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

  /// Writes as much as the kernel takes at once, without waiting.
  /// \return whether nothing is left to write or the write failed
  bool WriteNow(WriteBuffers& aBuffers, WriteResult& aResult);
  /// Writes what WriteNow() left.
  asio::awaitable<void> WriteRest(WriteBuffers aBuffers, WriteResult& aResult);

  /// \return whether an idle connection was closed or spoken to by the peer,
  /// so that it can't carry a new request
  bool Stale();
  /// Tells the peer that nothing more follows; it may still send.
  /// \param aOwner handler that keeps this alive; with TLS it is called when
  /// the peer has agreed or the connection has ended
  template <class Handler>
  void ShutdownSend(Handler aOwner) {
    if (mTls) {
      // The message goes out at once; only the peer's reply takes time.
      mTls->async_shutdown(std::move(aOwner));
    }
    ShutdownTcp();
  }
  /// Closes with a reset, so that the peer sees the answer as cut.
  void Reset();
  void Close();

  SocketDeadline& Deadline() { return *mDeadline; }

 private:
  void Prepare();
  void ShutdownTcp();
  asio::awaitable<void> WriteTls(const WriteBuffers& aBuffers,
                                 WriteResult& aResult);

  TcpSocket mSocket;
  TlsContext mKeys;  ///< the stream refers to them
  std::unique_ptr<asio::ssl::stream<TcpSocket&>> mTls;
  std::shared_ptr<SocketDeadline> mDeadline;
};

}  // namespace rillwall
