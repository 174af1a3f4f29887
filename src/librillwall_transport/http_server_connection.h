/// \file
/// One connection of the HTTP server: reads requests one after another, hands
/// each to the handler and writes its answer.
///
/// Everything runs on the connection's strand. One read is kept pending also
/// while a handler runs, unless the peer has sent something ahead: it notices a
/// peer that goes away.

#pragma once

#include <atomic>
#include <boost/asio/strand.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_set>

#include "http_socket.h"
#include "http_wire.h"

namespace rillwall {

/// What a server's connections share.
struct HttpServerShared {
  HttpServerShared(asio::io_context& aContext, HttpLimits aLimits,
                   HttpHandler aHandler)
      : mContext(aContext), mLimits(aLimits), mHandler(std::move(aHandler)) {}

  asio::io_context& mContext;
  const HttpLimits mLimits;
  const HttpHandler mHandler;
  std::optional<TlsKeys> mKeys;
  std::atomic<bool> mDraining{false};
  std::atomic<size_t> mActive{0};

  std::mutex mMutex;  ///< of what follows
  std::unordered_set<class HttpServerConnection*> mConnections;
};

class HttpServerConnection final
    : public HttpExchange,
      public std::enable_shared_from_this<HttpServerConnection> {
 public:
  using Strand = asio::strand<asio::io_context::executor_type>;

  HttpServerConnection(std::shared_ptr<HttpServerShared> aShared,
                       TcpSocket aSocket, std::string aPeer);
  ~HttpServerConnection() override;

  /// Serves the connection until it ends.
  static void Start(std::shared_ptr<HttpServerConnection> aConnection);
  /// The server drains: an idle connection ends soon. Any thread.
  void Drain();
  /// Cuts the connection. Any thread.
  void Stop();

  asio::awaitable<std::error_code> Respond(HttpResponse aResponse) override;
  asio::awaitable<std::error_code> Begin(HttpResponse aHead) override;
  asio::awaitable<std::error_code> Write(std::string aChunk) override;
  asio::awaitable<std::error_code> End() override;
  void Abort() override;
  std::string Peer() const override { return mPeer; }
  bool PeerDisconnected() const override {
    return mPeerGone.load(std::memory_order_relaxed);
  }
  void OnPeerDisconnected(std::function<void()> aCall) override {
    mOnPeerGone = std::move(aCall);
  }

 private:
  /// The read in flight, owned by its own completion handler.
  struct PendingRead {
    std::function<void()> mResume;  ///< set while the coroutine waits for it
  };
  enum class AnswerState { None, Streaming, Done, Abort };

  asio::awaitable<void> Run();
  /// \return whether the connection can be served
  asio::awaitable<bool> Secure();
  asio::awaitable<bool> ServeOne();
  /// \return 0 for a whole request, a 4xx to answer, or -1 to just close
  asio::awaitable<int> ReadRequest();
  asio::awaitable<int> ReadRest();
  int Parse();
  int CheckRequest();
  asio::awaitable<void> RunHandler(const HttpRequest& aRequest);
  asio::awaitable<void> Refuse(int aStatus);
  asio::awaitable<void> Linger();
  asio::awaitable<void> SendContinue();

  void StartRead();
  void OnRead(PendingRead& aPending, const error_code& aCode, size_t aBytes);
  /// \return whether bytes came in
  asio::awaitable<bool> MoreInput();
  asio::awaitable<std::error_code> WriteAll(WriteBuffers aBuffers);
  HeadOptions Framing(const HttpResponse& aHead, BodyFraming aFraming) const;

  const std::shared_ptr<HttpServerShared> mShared;
  const Strand mStrand;
  const std::string mPeer;
  HttpSocket mSocket;
  boost::beast::flat_buffer mInput;
  std::optional<RequestParser> mParser;
  PendingRead* mPending = nullptr;
  bool mInputEnded = false;
  std::atomic<bool> mPeerGone{false};
  std::function<void()> mOnPeerGone;  ///< of the present handler
  bool mIdle = false;                 ///< between two requests

  AnswerState mAnswer = AnswerState::None;
  bool mKeepAlive = false;
  bool mHeadOnly = false;  ///< the request's method is HEAD
  bool mChunked = false;
  unsigned mVersion = 11;
};

}  // namespace rillwall
