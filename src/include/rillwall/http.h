/// \file
/// HTTP/1.1 server and client, used with callers, trainers, operators,
/// upstreams and the platform.
///
/// The server passes each request to one handler, a coroutine, together with an
/// exchange through which the handler sends a whole or a streamed response. The
/// server itself responds with a 4xx status to malformed and stalled requests
/// and to bodies and headers over the limits, and with 503 to requests for
/// which there is no memory (MemoryBudget); none of these has run.
///
/// The client keeps a pool of idle connections per endpoint. A connection
/// belongs to one call until the response to that call has ended. After a
/// timeout, an error or an early release the connection is closed and never
/// reused, so that no call can receive the response to another call.
///
/// A body without a length ends with its connection. The kernel closes the
/// connections of a killed process in the same way (FIN) as a live process
/// does, so that the end of the input alone does not show that such a body is
/// whole. Without further evidence (EndCheck) it counts as truncated.
///
/// Server and client run on the io_context they are given, which may be run by
/// any number of threads.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/memory_budget.h"
#include "rillwall/millis.h"
#include "rillwall/shared_text.h"
#include "rillwall/tls.h"

namespace rillwall {

namespace asio = boost::asio;

/// The IP number of a host, and a port.
struct Endpoint {
  std::string mHost;
  uint16_t mPort = 0;

  /// \param aText "host:port" with an IP number, or "http://host:port"
  static Result<Endpoint> Parse(std::string_view aText);
  /// \return "host:port"
  std::string Text() const;
  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Endpoint&) const = default;
};

/// One header line. Names are compared without regard to case.
struct HttpHeader {
  std::string mName;
  std::string mValue;
  bool operator==(const HttpHeader&) const = default;
};

/// \return the value of the first header of this name, or nullptr
const std::string* FindHeader(const std::vector<HttpHeader>& aHeaders,
                              std::string_view aName);

/// A request as received by a server or sent by a client.
struct HttpRequest {
  std::string mMethod = "GET";
  std::string mTarget = "/";  ///< path and query
  std::vector<HttpHeader> mHeaders;
  SharedText mBody;

  /// \return the target without its query
  std::string_view Path() const;
  /// \return the value of a query parameter, percent-decoded; empty if absent
  std::string Query(std::string_view aName) const;
  /// \return the value of a header, or nullptr if absent
  const std::string* Find(std::string_view aName) const {
    return FindHeader(mHeaders, aName);
  }
};

/// A response as sent by a server or received by a client.
struct HttpResponse {
  int mStatus = 200;
  std::vector<HttpHeader> mHeaders;
  std::string mBody;

  /// \return the value of a header, or nullptr if absent
  const std::string* Find(std::string_view aName) const {
    return FindHeader(mHeaders, aName);
  }
  /// \return a response with a JSON body and its content type
  static HttpResponse Json(int aStatus, std::string aBody);
};

/// Sends the response to one request. Valid as long as the handler runs.
///
/// If the handler returns without having sent a response or called Abort(), the
/// server responds with status 500.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  /// Sends a whole response. May be called at most once and not after Begin().
  /// \return an error if the response could not be sent: ConnectionLost,
  /// Timeout, or Internal if a response was begun before
  virtual asio::awaitable<std::error_code> Respond(HttpResponse aResponse) = 0;
  /// Starts a streamed response. Its body is chunked, or ends with the
  /// connection if the peer speaks HTTP/1.0.
  /// \param aHead status and headers; its body is ignored
  virtual asio::awaitable<std::error_code> Begin(HttpResponse aHead) = 0;
  /// Sends one part of a streamed response without delay.
  /// \return an error if the peer has disconnected or stopped reading
  virtual asio::awaitable<std::error_code> Write(std::string aChunk) = 0;
  /// Ends a streamed response. If the handler returns without calling End(),
  /// the connection is aborted, so that the peer sees that the response is
  /// incomplete.
  virtual asio::awaitable<std::error_code> End() = 0;
  /// Sends no response, or not the rest of it: the connection is aborted when
  /// the handler returns.
  virtual void Abort() = 0;
  /// \return the peer's address, for logs
  virtual std::string Peer() const = 0;
  /// \return whether the peer is known to have closed the connection; the
  /// server watches the socket for this while a handler runs
  virtual bool PeerDisconnected() const = 0;
  /// Sets a callback that runs once, on the connection's strand, when the peer
  /// closes the connection.
  /// \param aCallback replaces the previous callback; empty: no callback
  virtual void OnPeerDisconnected(std::function<void()> aCallback) = 0;
};

/// Handles one request and sends the response through the exchange.
using HttpHandler = std::function<asio::awaitable<void>(
    const HttpRequest& aRequest, HttpExchange& aExchange)>;

/// Limits of a server. Sizes are in bytes.
struct HttpLimits {
  size_t mMaxHeader = 16 * 1024;
  size_t mMaxBody = 8 * 1024 * 1024;
  /// Past it, connections without a whole head are closed, oldest first.
  size_t mMaxConnections = 8192;
  Millis mHeadTimeout{10000};   ///< for a head, once it has begun
  Millis mReadTimeout{10000};   ///< for a body, without waits for memory
  Millis mIdleTimeout{60000};   ///< between two requests on one connection
  Millis mWriteTimeout{10000};  ///< for one write to complete
};

/// A request or connection that a server turned away by itself.
struct HttpRefusal {
  /// Status of the response; 0 if the connection was closed without one.
  int mStatus = 0;
  std::string_view mReason;  ///< a few words, for the log
  std::string mPeer;
  size_t mBytes = 0;  ///< memory that the request would have needed, if known
};

/// Parameters of a server that most servers leave as they are.
struct HttpServerOptions {
  /// Budget that connections and requests are charged to; null: none.
  std::shared_ptr<MemoryBudget> mMemory;
  /// Use that connections and small requests count as.
  MemoryUse mUse = MemoryUse::Small;
  /// Returns the limits in force; called for each request. Empty: the limits
  /// that the server was constructed with.
  std::function<HttpLimits()> mLimits;
  /// Checks the head of a request before its body is read, if the body is
  /// large.
  /// \return the response that refuses the request, or nothing
  std::function<std::optional<HttpResponse>(const HttpRequest& aHead)>
      mCheckHead;
  /// Called on the thread of the connection; empty: refusals are not reported.
  std::function<void(const HttpRefusal&)> mOnRefused;
};

/// Serves HTTP/1.1 with keep-alive on one address.
class HttpServer {
 public:
  /// \param aTls if set, the server accepts TLS only; files that cannot be
  /// loaded make Listen() fail
  HttpServer(asio::io_context& aContext, HttpLimits aLimits,
             HttpHandler aHandler,
             std::optional<TlsSettings> aTls = std::nullopt,
             HttpServerOptions aOptions = {});
  ~HttpServer();
  /// Starts to accept connections. Port 0 selects a free port.
  /// \return the endpoint bound; an error if it cannot be bound or a TLS file
  /// cannot be loaded
  Result<Endpoint> Listen(const Endpoint& aEndpoint);
  /// Reloads the TLS files for new connections; open ones keep their keys.
  /// \return an error if a file cannot be loaded; the previous keys then stay
  /// in use
  std::optional<Error> ReloadTls();
  /// Stops accepting connections. Open ones, and those that only the kernel has
  /// accepted yet, close after the current request.
  void Drain();
  /// \return the number of requests whose handler is running
  size_t Active() const;
  /// \return the number of open connections. A server that drains gets no more
  /// requests once there are none.
  size_t Connections() const;
  /// Stops accepting and closes all connections immediately.
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

/// A response being received. Destroying it before the response has ended
/// closes the connection, which cancels the call at the upstream.
class HttpStream {
 public:
  virtual ~HttpStream() = default;
  /// \return status and headers; the body is empty
  virtual const HttpResponse& Head() const = 0;
  /// Reads the next part of the body as it arrives.
  /// \param aWait longest time to wait for it
  /// \return the part, empty after the complete response; ConnectionLost if the
  /// response was truncated, Timeout if nothing arrived in time
  virtual asio::awaitable<Result<std::string>> Read(Millis aWait) = 0;
  /// \return whether the body had no length and ended with its connection
  virtual bool EndedByClose() const = 0;
  /// Ends the call immediately: a pending Read() returns an error, and the
  /// connection is closed.
  virtual void Abort() = 0;
};

/// Whether a program accepts connections at an endpoint.
enum class Listening {
  Yes,
  No,       ///< the host refused the connection
  Unknown,  ///< the connection timed out or failed in another way
};

/// What a call shows about its upstream, also if it fails.
struct HttpCallTrace {
  bool mNewConnection = false;  ///< the upstream accepted one for this call
  bool mResponding = false;     ///< some byte of a response has arrived
  Millis mUnsent;  ///< from the call until the request began to be written
  /// \return whether the upstream certainly ran when the request was sent. It
  /// may have ended before that if a pooled connection was closed without a
  /// response.
  bool Reached() const { return mNewConnection || mResponding; }
};

/// Finds out whether the peer of a call still ran after it had closed the
/// connection of a body without a length, i.e. whether it closed it itself.
/// \return true only if that is certain
using EndCheck = std::function<asio::awaitable<bool>()>;

/// \return a check for callers to whom a truncated body does no harm, because
/// they use the head only or a format in which truncation is an error
EndCheck AnyEnd();

/// Largest body, in bytes, of a response that says little more than its status,
/// such as those to orders and health checks.
inline constexpr size_t kMaxShortBody = 16 * 1024;

/// Sends requests over pooled connections. Thread-safe.
class HttpClient {
 public:
  /// \param aTls if set, the client uses TLS for every endpoint; until its
  /// files can be loaded, calls fail with NotRun
  explicit HttpClient(asio::io_context& aContext,
                      std::optional<TlsSettings> aTls = std::nullopt);
  ~HttpClient();
  /// Sends a request and receives the whole response. Requests are never
  /// retried. A pooled connection that is found closed before the first byte is
  /// written is replaced by another one.
  /// \param aTimeout for the whole call, connecting included
  /// \param aMaxBody largest body of the response, in bytes; all of it is held
  /// \return the response, or an error whose Run() is NotRun only if no byte of
  /// the request was written to the upstream; UpstreamFailed if what the
  /// upstream sent is no response, or a larger one
  asio::awaitable<Result<HttpResponse>> Send(const Endpoint& aEndpoint,
                                             HttpRequest aRequest,
                                             Millis aTimeout,
                                             size_t aMaxBody = kMaxShortBody) {
    return Send(aEndpoint, std::move(aRequest), aTimeout, aMaxBody,
                OpenOptions());
  }
  /// Decides by the head of a response whether its connection may carry another
  /// call.
  using ReusePredicate = std::function<bool(const HttpResponse& aHead)>;
  /// Parameters of Open() that most calls leave as they are.
  struct OpenOptions {
    /// Empty: every complete response allows reuse.
    ReusePredicate mMayReuse;
    /// Opens a connection for this call, so that the request is sent only if
    /// the upstream accepts connections now.
    bool mNewConnection = false;
    HttpCallTrace* mTrace = nullptr;  ///< set when the call returns
    /// Called when a body without a length has ended with its connection.
    /// Unless it returns true, the response counts as truncated. Empty: always
    /// truncated.
    EndCheck mEndCheck;
  };
  /// As Send() above, with further parameters.
  asio::awaitable<Result<HttpResponse>> Send(const Endpoint& aEndpoint,
                                             HttpRequest aRequest,
                                             Millis aTimeout, size_t aMaxBody,
                                             OpenOptions aOptions);
  /// Sends a request and returns once the headers of the response have arrived.
  /// The caller decides how much of the body it reads, and holds.
  /// \param aTimeout for connecting, sending and receiving the headers
  /// \return the response, whose body is read part by part; errors as of Send()
  asio::awaitable<Result<std::unique_ptr<HttpStream>>> Open(
      const Endpoint& aEndpoint, HttpRequest aRequest, Millis aTimeout,
      OpenOptions aOptions);
  asio::awaitable<Result<std::unique_ptr<HttpStream>>> Open(
      const Endpoint& aEndpoint, HttpRequest aRequest, Millis aTimeout) {
    return Open(aEndpoint, std::move(aRequest), aTimeout, OpenOptions());
  }
  /// Checks whether an upstream still listens, by opening a new connection.
  /// Without TLS, the connection is kept for a later call.
  asio::awaitable<Listening> Probe(const Endpoint& aEndpoint, Millis aTimeout);
  /// \return whether there is an idle connection to the endpoint that is not
  /// known to be closed
  bool HasIdle(const Endpoint& aEndpoint) const;
  /// Limits the time to connect within the timeout of a call, so that a host
  /// that does not respond delays the call by at most this time. Without it,
  /// only the timeout of the call applies.
  void SetConnectTimeout(Millis aTimeout);
  /// Sets the function that tells for how long in total the host has been
  /// suspended. Connections that were idle during a suspension are not reused:
  /// their peers may have closed them, and the host may have missed the close.
  void SetSuspendedFor(std::function<Millis()> aSuspendedFor);
  /// \return the number of connection attempts so far, for metrics
  uint64_t ConnectionsMade() const;
  /// Reloads the TLS files for new connections; open ones keep their keys.
  /// \return an error if a file cannot be loaded; the previous keys then stay
  /// in use
  std::optional<Error> ReloadTls();
  /// \return the number of open connections, for the dump
  size_t Connections() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

}  // namespace rillwall
