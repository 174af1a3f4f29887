/// \file
/// One connection of the HTTP server: reads requests one after another, passes
/// each to the handler and writes the response.
///
/// All methods run on the connection's strand unless stated otherwise. While a
/// handler runs, one read stays pending to detect that the peer disconnects,
/// unless the peer has already sent bytes of the next request.

#pragma once

#include <atomic>
#include <boost/asio/strand.hpp>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_set>

#include "http_socket.h"
#include "http_wire.h"

namespace rillwall {

/// What a connection is charged while it is open: its buffers, and a request
/// with a head and a body of some KB.
inline constexpr size_t kConnectionBytes = 20 * 1024;

/// State shared by all connections of a server.
struct HttpServerShared {
  using ConnectionList = std::list<class HttpServerConnection*>;

  HttpServerShared(asio::io_context& aContext, HttpLimits aLimits,
                   HttpHandler aHandler, HttpServerOptions aOptions)
      : mContext(aContext),
        mLimits(aLimits),
        mHandler(std::move(aHandler)),
        mOptions(std::move(aOptions)) {}

  /// \return the limits in force
  HttpLimits Limits() const {
    return mOptions.mLimits ? mOptions.mLimits() : mLimits;
  }
  /// \return the number of open connections
  size_t Connections() const;
  /// Closes the oldest connection that has sent no whole head, or else the one
  /// that is idle for longest.
  /// \return its peer, or nothing if all connections have requests
  std::optional<std::string> EvictWithoutRequest();
  /// Counts and reports a refusal.
  void Refused(const HttpRefusal& aRefusal) const;

  asio::io_context& mContext;
  const HttpLimits mLimits;
  const HttpHandler mHandler;
  const HttpServerOptions mOptions;
  std::optional<TlsKeys> mKeys;
  std::atomic<bool> mDraining{false};
  std::atomic<size_t> mActive{0};

  /// Waits for a turn of a request that was sent ahead of the response before
  /// it. Only a few of these run at once, so that connections which send many
  /// leave the upstreams to the others.
  /// \param aResume called once, on any thread, when the turn has come
  void AwaitTurn(std::function<void()> aResume);
  /// Ends a turn; the connection that has waited for longest has the next one.
  void EndTurn();

  mutable std::mutex mMutex;  ///< guards the members below
  size_t mTurns = 0;          ///< that are taken
  std::list<std::function<void()>> mAwaitTurn;
  std::unordered_set<class HttpServerConnection*> mConnections;
  ConnectionList mWithoutHead;  ///< have begun no request, or only its head
  ConnectionList mIdle;         ///< between two requests
};

/// Serves one connection; also the exchange of its current request.
class HttpServerConnection final
    : public HttpExchange,
      public std::enable_shared_from_this<HttpServerConnection> {
 public:
  using Strand = asio::strand<asio::io_context::executor_type>;

  /// \param aCharge of kConnectionBytes
  HttpServerConnection(std::shared_ptr<HttpServerShared> aShared,
                       TcpSocket aSocket, std::string aPeer,
                       MemoryCharge aCharge);
  ~HttpServerConnection() override;

  /// Serves the connection until it ends.
  static void Start(std::shared_ptr<HttpServerConnection> aConnection);
  /// Shortens the idle timeout because the server drains. Thread-safe.
  void Drain();
  /// Shuts the connection down. Thread-safe.
  void Stop();

  asio::awaitable<std::error_code> Respond(HttpResponse aResponse) override;
  asio::awaitable<std::error_code> Begin(HttpResponse aHead) override;
  asio::awaitable<std::error_code> Write(std::string aChunk) override;
  asio::awaitable<std::error_code> End() override;
  void Abort() override;
  std::string Peer() const override { return mPeer; }
  bool PeerDisconnected() const override {
    return mPeerDisconnected.load(std::memory_order_relaxed);
  }
  void OnPeerDisconnected(std::function<void()> aCallback) override {
    mOnPeerDisconnected = std::move(aCallback);
  }

 private:
  /// The pending read, owned by its completion handler.
  struct PendingRead {
    std::function<void()> mResume;  ///< set while a coroutine awaits the read
  };
  enum class ResponseState { None, Streaming, Done, Aborted };

  asio::awaitable<void> Run();
  /// Performs the TLS handshake if the server uses TLS.
  /// \return whether the connection can be served
  asio::awaitable<bool> HandshakeTls();
  /// Serves one request.
  /// \return whether the connection stays open for another one
  asio::awaitable<bool> ServeRequest();
  /// Reads one request.
  /// \return 0 for a complete request, the status to respond with, or -1 to
  /// close the connection without a response
  asio::awaitable<int> ReadRequest();
  /// Reads the head; returns as ReadRequest().
  asio::awaitable<int> ReadHead();
  /// Reads the body once there is memory for it; returns as ReadRequest().
  asio::awaitable<int> ReadBody();
  /// Reads the body without regard to memory for all of it.
  asio::awaitable<int> ReadBodyParts();
  /// Parses the bytes in the input buffer, up to the end of the head while
  /// there is none.
  /// \return 0, or the 4xx status to respond with
  int Parse();
  /// Charges the head for its bytes and its fields.
  /// \return whether there is memory for it
  bool ChargeHead(std::string_view aPart);
  /// Checks what the parser accepts but the server does not support.
  /// \return 0, or the 4xx status to respond with
  int CheckRequest();
  /// Asks HttpServerOptions::mCheckHead about a large body.
  /// \return whether the body may be read; mRefusal is set otherwise
  bool MayReadBody();
  /// Charges what the body holds with the input buffer, and waits for room.
  /// \return whether there is room
  asio::awaitable<bool> AwaitBodyRoom();
  /// Waits until the body's charge is granted.
  asio::awaitable<bool> AwaitRoom(size_t aBytes);
  /// Ends the read because others wait for this connection's memory.
  void Evict();
  /// Frees the request's memory, so that none is held for a refused request.
  void DropRequest();
  /// Runs the handler, in a turn if the request was sent ahead.
  asio::awaitable<void> RunInTurn(const HttpRequest& aRequest);
  /// Frees a large input buffer that is empty.
  void ShrinkInput();
  /// Moves the connection to a list of the server, or out of all (nullptr).
  void MoveTo(HttpServerShared::ConnectionList* aList);
  asio::awaitable<void> RunHandler(const HttpRequest& aRequest);
  /// Refuses the request and closes the connection after the response.
  asio::awaitable<void> RespondWithError(int aStatus);
  /// Discards input for a limited time, so that the last response arrives.
  asio::awaitable<void> Linger();
  /// Sends "100 Continue" if the request expects it.
  asio::awaitable<void> SendContinue();

  void StartRead();
  void OnRead(PendingRead& aPending, const error_code& aCode, size_t aBytes);
  /// Waits for the pending read, which it starts if there is none.
  /// \return whether bytes were received
  asio::awaitable<bool> ReadMore();
  asio::awaitable<std::error_code> WriteAll(WriteBuffers aBuffers);
  /// \return whether another request may follow: the server does not drain, or
  /// bytes of that request have arrived
  bool MayStayOpen() const;
  HeadOptions Framing(const HttpResponse& aHead, BodyFraming aFraming) const;

  const std::shared_ptr<HttpServerShared> mShared;
  const Strand mStrand;
  const std::string mPeer;
  HttpSocket mSocket;
  boost::beast::flat_buffer mInput;
  std::optional<RequestParser> mParser;
  PendingRead* mPending = nullptr;
  bool mInputEnded = false;
  std::atomic<bool> mPeerDisconnected{false};
  std::function<void()> mOnPeerDisconnected;  ///< set by the current handler
  bool mIdle = false;                         ///< between two requests
  bool mEvicted = false;                      ///< see Evict()
  bool mLingers = false;                      ///< only discards input
  size_t mWanted = 0;       ///< bytes that there is no memory for
  bool mSentAhead = false;  ///< the request came before the last response

  friend struct HttpServerShared;
  /// A node for one of the server's lists; guarded by HttpServerShared::mMutex.
  HttpServerShared::ConnectionList mNode;
  const HttpServerShared::ConnectionList::iterator mPlace = mNode.begin();
  HttpServerShared::ConnectionList* mList = &mNode;

  HttpLimits mLimits;  ///< in force when the request began
  MemoryCharge mConnectionCharge;
  MemoryCharge mHeadCharge;
  size_t mHeadCost = 0;  ///< of the head so far, see ChargeHead()
  MemoryCharge mBodyCharge;
  /// Set while a charged body is read.
  std::optional<MemoryBudget::ReceiverPlace> mReceiver;
  std::optional<HttpResponse> mRefusal;  ///< of MayReadBody()

  ResponseState mResponseState = ResponseState::None;
  bool mKeepAlive = false;
  bool mHeadOnly = false;  ///< the request's method is HEAD
  bool mChunked = false;
  unsigned mVersion = 11;
};

}  // namespace rillwall
