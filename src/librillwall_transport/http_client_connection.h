/// \file
/// One connection of the HTTP client, and the call that owns it until the
/// response to the call has ended.

#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "http_socket.h"
#include "http_wire.h"

namespace rillwall {

/// A connection to an upstream, with the bytes received but not yet parsed.
struct HttpClientConnection {
  using Counter = std::shared_ptr<std::atomic<size_t>>;

  /// \param aOpenCount counts the open connections
  HttpClientConnection(asio::io_context& aContext, Endpoint aEndpoint,
                       Counter aOpenCount)
      : mSocket(aContext, TcpSocket(aContext)),
        mEndpoint(std::move(aEndpoint)),
        mOpenCount(std::move(aOpenCount)) {
    mOpenCount->fetch_add(1);
  }
  ~HttpClientConnection() { mOpenCount->fetch_sub(1); }

  HttpSocket mSocket;
  const Endpoint mEndpoint;
  const Counter mOpenCount;
  boost::beast::flat_buffer mInput;
  std::chrono::steady_clock::time_point mIdleSince;
  /// Total time for which the host had been suspended when this became idle.
  Millis mSuspendedWhenIdle;
};

/// Receives the connections of calls whose response has ended, for reuse.
class HttpConnectionPool {
 public:
  virtual ~HttpConnectionPool() = default;
  virtual void Release(std::unique_ptr<HttpClientConnection> aConnection) = 0;
};

/// One call: writes the request and reads the response.
class HttpClientCall final : public HttpStream {
 public:
  /// \param aMaxBody largest body of the response, in bytes
  HttpClientCall(std::shared_ptr<HttpConnectionPool> aPool,
                 std::unique_ptr<HttpClientConnection> aConnection,
                 uint64_t aMaxBody, HttpClient::ReusePredicate aMayReuse,
                 EndCheck aEndCheck);

  /// Writes the request.
  /// \return an error only if no byte of it was written; after a partial write
  /// the upstream may still respond
  asio::awaitable<std::optional<Error>> WriteRequest(
      const HttpRequest& aRequest);
  /// Reads the head of the response. The caller sets the deadline.
  asio::awaitable<std::optional<Error>> ReadHead();
  /// Reads the whole body. The caller sets the deadline.
  asio::awaitable<Result<HttpResponse>> ReadAll();

  /// \return whether any byte of a response has arrived
  bool Responding() const { return mParser && mParser->got_some(); }
  /// Removes the deadline until the next Read().
  void ClearDeadline();

  const HttpResponse& Head() const override { return mHead; }
  asio::awaitable<Result<std::string>> Read(Millis aWait) override;
  bool EndedByClose() const override { return mEndedByClose; }
  void Abort() override;

 private:
  void ResetParser();
  /// Reads and parses the bytes that arrive next.
  /// \return an error if the connection was closed early, the syntax is invalid
  /// or the deadline passed
  asio::awaitable<std::optional<Error>> ReadMore();
  /// Checks that the peer itself closed the connection in order at the end of a
  /// body without a length. A write that fails takes the socket's error, so
  /// that the end of the input looks orderly after it.
  /// \return an error if that is not certain
  asio::awaitable<std::optional<Error>> ConfirmEnd();
  /// Parses the bytes in the input buffer.
  std::optional<Error> Parse();
  /// Returns the connection to the pool if the response is complete, or closes
  /// it if it cannot carry another call.
  void ReleaseWhenDone();
  /// Fails the call and closes the connection.
  /// \return the error, which says whether the upstream ran the request
  Error Fail(ErrorKind aKind, std::string_view aReason);
  Error FailDisconnected(const error_code& aCode);
  /// \return the part of the body that was parsed since the last call
  std::string TakeBody();

  const std::shared_ptr<HttpConnectionPool> mPool;
  std::unique_ptr<HttpClientConnection> mConnection;
  const uint64_t mMaxBody;
  const HttpClient::ReusePredicate mMayReuse;
  const EndCheck mEndCheck;
  std::string mPeer;
  std::optional<ResponseParser> mParser;
  HttpResponse mHead;
  bool mHeadOnly = false;
  bool mWriteFailed = false;
  bool mAborted = false;       ///< Abort() was called
  bool mEndedByClose = false;  ///< see EndedByClose()
  std::optional<Error> mFailure;
};

}  // namespace rillwall
