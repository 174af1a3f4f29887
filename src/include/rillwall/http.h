/// \file
/// HTTP/1.1 for callers, trainers, operators, upstreams and the platform.
///
/// A server hands each request to one handler, a coroutine, with an exchange
/// on which the answer is written whole or streamed. A client keeps a pool of
/// idle connections per endpoint. A connection belongs to one call until that
/// call's answer has ended; after a timeout, an error or an early release it is
/// closed and never reused, so that no call can receive another's answer.
/// Both run on the io_context they are given, on any number of threads.
/// Bodies and headers over the limits, stalled requests and malformed ones are
/// answered by the server itself with the right 4xx.

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
#include "rillwall/millis.h"
#include "rillwall/tls.h"

namespace rillwall {

namespace asio = boost::asio;

/// A host's IP number and a port.
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

/// The first header of this name, or nullptr.
const std::string* FindHeader(const std::vector<HttpHeader>& aHeaders,
                              std::string_view aName);

struct HttpRequest {
  std::string mMethod = "GET";
  std::string mTarget = "/";  ///< path and query
  std::vector<HttpHeader> mHeaders;
  std::string mBody;

  /// \return the target without its query
  std::string_view Path() const;
  /// \return the value of a query parameter, percent-decoded; empty if absent
  std::string Query(std::string_view aName) const;
  const std::string* Find(std::string_view aName) const {
    return FindHeader(mHeaders, aName);
  }
};

struct HttpResponse {
  int mStatus = 200;
  std::vector<HttpHeader> mHeaders;
  std::string mBody;

  const std::string* Find(std::string_view aName) const {
    return FindHeader(mHeaders, aName);
  }
  /// \return an answer with a JSON body
  static HttpResponse Json(int aStatus, std::string aBody);
};

/// The answer's side of one request. Lives as long as the handler runs.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  /// Writes a whole answer. At most once, and not after Begin().
  virtual asio::awaitable<std::error_code> Respond(HttpResponse aResponse) = 0;
  /// Starts a streamed answer (chunked); the body of aHead is ignored.
  virtual asio::awaitable<std::error_code> Begin(HttpResponse aHead) = 0;
  /// Writes one chunk at once. An error means that the peer has gone.
  virtual asio::awaitable<std::error_code> Write(std::string aChunk) = 0;
  /// Ends a streamed answer. Without it the connection is cut, so that the
  /// peer sees that the answer is not whole.
  virtual asio::awaitable<std::error_code> End() = 0;
  /// Gives no answer, or not the rest of it: the connection is cut when the
  /// handler returns. A handler that returns without this and without an
  /// answer is answered for with status 500.
  virtual void Abort() = 0;
  /// \return the peer's address, for logs
  virtual std::string Peer() const = 0;
  /// \return whether the peer is known to have closed the connection. While a
  /// handler runs, the server watches the socket for it.
  virtual bool PeerDisconnected() const = 0;
  /// Asks for one call, on the connection's strand, when the peer closes the
  /// connection. Replaces the one asked for before; an empty one asks for none.
  virtual void OnPeerDisconnected(std::function<void()> aCall) = 0;
};

using HttpHandler = std::function<asio::awaitable<void>(
    const HttpRequest& aRequest, HttpExchange& aExchange)>;

/// Limits of a server. Spans in milliseconds, sizes in bytes.
struct HttpLimits {
  size_t mMaxHeader = 16 * 1024;
  size_t mMaxBody = 8 * 1024 * 1024;
  size_t mMaxConnections = 8192;
  Millis mReadTimeout{10000};   ///< for a whole request, once begun
  Millis mIdleTimeout{60000};   ///< between requests of one connection
  Millis mWriteTimeout{10000};  ///< for one write to make progress
};

/// Serves HTTP/1.1 with keep-alive on one address.
class HttpServer {
 public:
  /// \param aTls makes it speak TLS only; wrong files fail Listen()
  HttpServer(asio::io_context& aContext, HttpLimits aLimits,
             HttpHandler aHandler,
             std::optional<TlsSettings> aTls = std::nullopt);
  ~HttpServer();
  /// Starts to accept. Port 0 takes a free one.
  /// \return the endpoint taken
  Result<Endpoint> Listen(const Endpoint& aEndpoint);
  /// Reads the TLS files anew, for connections made from now on.
  /// \return what is wrong with them; the keys in force then stay
  std::optional<Error> ReloadTls();
  /// Stops accepting; connections close after their present request.
  void Drain();
  /// \return requests whose handler runs now
  size_t Active() const;
  /// Closes everything at once.
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

/// One answer being received. Destroying it before its end closes the
/// connection, which cancels the call at the upstream.
class HttpStream {
 public:
  virtual ~HttpStream() = default;
  /// \return status and headers, without a body
  virtual const HttpResponse& Head() const = 0;
  /// The next part of the body as it arrives.
  /// \param aWait longest wait for it
  /// \return the part; empty at the answer's proper end; an error if the
  /// answer was cut (ConnectionLost) or nothing came in time (Timeout)
  virtual asio::awaitable<Result<std::string>> Read(Millis aWait) = 0;
  /// Ends the call now: a pending Read() returns an error, and the connection
  /// is closed.
  virtual void Abort() = 0;
};

/// Whether a program takes connections at an endpoint.
enum class Listening {
  Yes,
  No,       ///< the host answers, and nothing listens there
  Unknown,  ///< there was no answer in time, or something else went wrong
};

/// Sends requests. Thread-safe.
class HttpClient {
 public:
  /// \param aTls makes it speak TLS only, to every endpoint; while its files
  /// are wrong, calls fail with NotRun
  explicit HttpClient(asio::io_context& aContext,
                      std::optional<TlsSettings> aTls = std::nullopt);
  ~HttpClient();
  /// Sends a request and receives the whole answer.
  /// \param aTimeout for everything together
  /// \return the answer, or an error whose Run() is NotRun only if no byte of
  /// the request was written to the upstream. Requests are not repeated; a
  /// pooled connection found closed before the first byte is replaced.
  asio::awaitable<Result<HttpResponse>> Send(const Endpoint& aEndpoint,
                                             HttpRequest aRequest,
                                             Millis aTimeout);
  /// Sends a request and returns when the answer's headers are there.
  asio::awaitable<Result<std::unique_ptr<HttpStream>>> Open(
      const Endpoint& aEndpoint, HttpRequest aRequest, Millis aTimeout);
  /// Finds out whether an upstream still listens, by a new connection, which is
  /// kept for a later call.
  asio::awaitable<Listening> Probe(const Endpoint& aEndpoint, Millis aTimeout);
  /// Limits the time for making a connection within a call's own time, so that
  /// a host that does not answer costs only this much. Unset: no own limit.
  void SetConnectTimeout(Millis aTimeout);
  /// Sets how the client learns that the host was suspended: connections that
  /// were idle then are not used again, as their peers may have dropped them
  /// without a word that got through.
  void SetSuspendedFor(std::function<Millis()> aSuspendedFor);
  /// \return connections made so far, for metrics
  uint64_t ConnectionsMade() const;
  /// Reads the TLS files anew, for connections made from now on.
  /// \return what is wrong with them; the keys in force then stay
  std::optional<Error> ReloadTls();
  /// \return open connections, for the dump
  size_t Connections() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

}  // namespace rillwall
