#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http_server_connection.h"
#include "rillwall/http.h"

namespace rillwall {

namespace {

using Acceptor =
    asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type>;

/// Delay after a failed accept, for example when file descriptors run out.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
constexpr int kBacklog = 1024;
/// Unread input that the kernel keeps for each connection.
constexpr int kReceiveBuffer = 128 * 1024;

}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(asio::io_context& aContext, HttpLimits aLimits, HttpHandler aHandler,
       HttpServerOptions aOptions)
      : mShared(std::make_shared<HttpServerShared>(
            aContext, aLimits, std::move(aHandler), std::move(aOptions))),
        mStrand(asio::make_strand(aContext)),
        mAcceptor(aContext) {}

  Result<Endpoint> Listen(const Endpoint& aEndpoint);
  std::optional<Error> LoadKeys();
  asio::awaitable<void> Accept();
  void StartConnection(TcpSocket aSocket);
  void CloseAcceptor();
  /// Accepts the connections that the kernel has established already, and
  /// closes the acceptor.
  void DrainAcceptor();
  void ForEachConnection(void (HttpServerConnection::*aAction)());

  const std::shared_ptr<HttpServerShared> mShared;
  const asio::strand<asio::io_context::executor_type> mStrand;
  Acceptor mAcceptor;
};

Result<Endpoint> HttpServer::Impl::Listen(const Endpoint& aEndpoint) {
  const std::optional<Error> keys = LoadKeys();
  if (keys) {
    return *keys;
  }
  error_code code;
  const asio::ip::address address =
      asio::ip::make_address(aEndpoint.mHost, code);
  const asio::ip::tcp::endpoint local(address, aEndpoint.mPort);
  if (!code) {
    mAcceptor.open(local.protocol(), code);
  }
  if (!code) {
    mAcceptor.set_option(asio::socket_base::reuse_address(true), code);
  }
  if (!code) {
    // Accepted sockets inherit it. The server works without it, too.
    error_code ignored;
    mAcceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer),
                         ignored);
  }
  if (!code) {
    mAcceptor.bind(local, code);
  }
  if (!code) {
    mAcceptor.listen(kBacklog, code);
  }
  if (code) {
    error_code ignored;
    mAcceptor.close(ignored);
    return Error(ErrorKind::Unavailable, "Can't listen on " + aEndpoint.Text() +
                                             ": " + code.message() + ".");
  }
  asio::co_spawn(
      mStrand,
      [](std::shared_ptr<Impl> aSelf) -> asio::awaitable<void> {
        co_await aSelf->Accept();
      }(shared_from_this()),
      asio::detached);
  return Endpoint{aEndpoint.mHost, mAcceptor.local_endpoint(code).port()};
}

std::optional<Error> HttpServer::Impl::LoadKeys() {
  return mShared->mKeys ? mShared->mKeys->Load() : std::nullopt;
}

asio::awaitable<void> HttpServer::Impl::Accept() {
  asio::steady_timer retryTimer(mShared->mContext);
  while (mAcceptor.is_open()) {
    auto [code, socket] = co_await mAcceptor.async_accept(
        mShared->mContext, asio::as_tuple(asio::use_awaitable));
    if (!code) {
      StartConnection(std::move(socket));
    } else if (mAcceptor.is_open()) {
      retryTimer.expires_after(kAcceptRetryDelay);
      co_await retryTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }
}

void HttpServer::Impl::StartConnection(TcpSocket aSocket) {
  error_code code;
  const asio::ip::tcp::endpoint peer = aSocket.remote_endpoint(code);
  if (code) {
    return;
  }
  const HttpServerOptions& options = mShared->mOptions;
  MemoryCharge charge(options.mMemory, options.mUse);
  const bool full =
      mShared->Connections() >= mShared->Limits().mMaxConnections ||
      !charge.TryGrow(kConnectionBytes);
  const Endpoint name{peer.address().to_string(), peer.port()};
  if (full) {
    const std::optional<std::string> evicted = mShared->EvictWithoutRequest();
    mShared->Refused({0,
                      evicted ? "closed for a newer connection"
                              : "all connections have requests",
                      evicted.value_or(name.Text()), kConnectionBytes});
    if (!evicted) {
      return;
    }
    charge.Grow(kConnectionBytes);
  }
  HttpServerConnection::Start(std::make_shared<HttpServerConnection>(
      mShared, std::move(aSocket), name.Text(), std::move(charge)));
}

void HttpServer::Impl::CloseAcceptor() {
  asio::post(mStrand, [self = shared_from_this()] {
    error_code ignored;
    self->mAcceptor.close(ignored);
  });
}

void HttpServer::Impl::DrainAcceptor() {
  asio::post(mStrand, [self = shared_from_this()] {
    Acceptor& acceptor = self->mAcceptor;
    error_code code;
    acceptor.non_blocking(true, code);
    while (!code) {
      TcpSocket socket(self->mShared->mContext);
      acceptor.accept(socket, code);
      if (!code) {
        self->StartConnection(std::move(socket));
      }
    }
    acceptor.close(code);
  });
}

void HttpServer::Impl::ForEachConnection(
    void (HttpServerConnection::*aAction)()) {
  const std::lock_guard lock(mShared->mMutex);
  for (HttpServerConnection* connection : mShared->mConnections) {
    (connection->*aAction)();
  }
}

HttpServer::HttpServer(asio::io_context& aContext, HttpLimits aLimits,
                       HttpHandler aHandler, std::optional<TlsSettings> aTls,
                       HttpServerOptions aOptions)
    : mImpl(std::make_shared<Impl>(aContext, aLimits, std::move(aHandler),
                                   std::move(aOptions))) {
  if (aTls) {
    mImpl->mShared->mKeys.emplace(std::move(*aTls), TlsRole::Server);
  }
}

HttpServer::~HttpServer() { Stop(); }

Result<Endpoint> HttpServer::Listen(const Endpoint& aEndpoint) {
  return mImpl->Listen(aEndpoint);
}

std::optional<Error> HttpServer::ReloadTls() { return mImpl->LoadKeys(); }

void HttpServer::Drain() {
  mImpl->mShared->mDraining.store(true);
  mImpl->DrainAcceptor();
  mImpl->ForEachConnection(&HttpServerConnection::Drain);
}

size_t HttpServer::Active() const { return mImpl->mShared->mActive.load(); }

size_t HttpServer::Connections() const { return mImpl->mShared->Connections(); }

void HttpServer::Stop() {
  mImpl->mShared->mDraining.store(true);
  mImpl->CloseAcceptor();
  mImpl->ForEachConnection(&HttpServerConnection::Stop);
}

}  // namespace rillwall
