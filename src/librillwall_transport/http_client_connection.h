/// \file
/// One connection of the HTTP client, and the call that owns it until the
/// call's answer has ended.

#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "http_socket.h"
#include "http_wire.h"

namespace rillwall {

/// A connection to an upstream with what was read ahead of it.
struct HttpClientConnection {
  using Counter = std::shared_ptr<std::atomic<size_t>>;

  /// \param aOpen counts the open connections
  HttpClientConnection(asio::io_context& aContext, Endpoint aEndpoint,
                       Counter aOpen)
      : mSocket(aContext, TcpSocket(aContext)),
        mEndpoint(std::move(aEndpoint)),
        mOpen(std::move(aOpen)) {
    mOpen->fetch_add(1);
  }
  ~HttpClientConnection() { mOpen->fetch_sub(1); }

  HttpSocket mSocket;
  const Endpoint mEndpoint;
  const Counter mOpen;
  boost::beast::flat_buffer mInput;
  std::chrono::steady_clock::time_point mIdleSince;
  Millis mSuspendedBefore;  ///< how long the host had been when it became idle
};

/// Takes back a connection whose answer has ended.
class HttpConnectionSink {
 public:
  virtual ~HttpConnectionSink() = default;
  virtual void Release(std::unique_ptr<HttpClientConnection> aConnection) = 0;
};

/// One call: writes the request and reads the answer.
class HttpClientCall final : public HttpStream {
 public:
  HttpClientCall(std::shared_ptr<HttpConnectionSink> aSink,
                 std::unique_ptr<HttpClientConnection> aConnection);

  /// Writes the request.
  /// \return the error if not a byte of it was written or the time is over
  asio::awaitable<std::optional<Error>> WriteRequest(
      const HttpRequest& aRequest);
  /// Reads the answer's head. The deadline is the caller's.
  asio::awaitable<std::optional<Error>> ReadHead();
  /// Reads the whole body. The deadline is the caller's.
  asio::awaitable<Result<HttpResponse>> ReadAll();

  /// Lifts the deadline until the next Read().
  void Pause();

  const HttpResponse& Head() const override { return mHead; }
  asio::awaitable<Result<std::string>> Read(Millis aWait) override;
  void Abort() override;

 private:
  void ResetParser();
  /// Takes in what arrives next. Fails at a cut, at bad syntax or in time.
  asio::awaitable<std::optional<Error>> More();
  std::optional<Error> Parse();
  /// Gives the connection back if its answer ended properly.
  void Finish();
  Error Fail(ErrorKind aKind, std::string_view aWhat);
  Error Lost(const error_code& aCode);
  std::string TakeBody();

  const std::shared_ptr<HttpConnectionSink> mSink;
  std::unique_ptr<HttpClientConnection> mConnection;
  std::string mPeer;
  std::optional<ResponseParser> mParser;
  HttpResponse mHead;
  bool mHeadOnly = false;
  bool mWriteFailed = false;
  std::optional<Error> mFailure;
};

}  // namespace rillwall
