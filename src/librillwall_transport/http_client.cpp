#include <algorithm>
#include <atomic>
#include <boost/asio/ip/address.hpp>
#include <limits>
#include <map>
#include <mutex>

#include "http_client_connection.h"
#include "rillwall/http.h"

namespace rillwall {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

constexpr size_t kMaxIdlePerEndpoint = 256;
/// Less than the idle timeout of servers, so that servers rarely close an idle
/// connection before this client does.
constexpr std::chrono::seconds kMaxIdleTime{20};
constexpr std::chrono::seconds kSweepInterval{5};
/// Largest body of a response that is read part by part, in bytes.
constexpr uint64_t kMaxStreamedBody = 256ull * 1024 * 1024;

TimePoint DeadlineIn(Millis aSpan) {
  return std::chrono::steady_clock::now() +
         std::chrono::milliseconds(aSpan.Count());
}

Millis RemainingTime(TimePoint aDeadline) {
  const auto left = aDeadline - std::chrono::steady_clock::now();
  const auto count = std::chrono::ceil<std::chrono::milliseconds>(left).count();
  return Millis(std::max<int64_t>(count, 0));
}

Error ConnectError(const Endpoint& aEndpoint, const error_code& aCode,
                   bool aTimedOut) {
  return {aTimedOut ? ErrorKind::Timeout : ErrorKind::ConnectionLost,
          "Can't connect to " + aEndpoint.Text() + ": " +
              (aTimedOut ? "no response in time" : aCode.message()) + ".",
          RunState::NotRun};
}

using Connection = std::unique_ptr<HttpClientConnection>;

}  // namespace

struct HttpClient::Impl final : HttpConnectionPool,
                                std::enable_shared_from_this<HttpClient::Impl> {
  Impl(asio::io_context& aContext, std::optional<TlsSettings> aTls)
      : mContext(aContext) {
    if (aTls) {
      mKeys.emplace(std::move(*aTls), TlsRole::Client);
      mKeysError = mKeys->Load();
    }
  }

  /// Makes a connection available for reuse.
  void Release(Connection aConnection) override;
  /// \return an idle connection that is not known to be closed, or nullptr
  Connection TakeIdle(const Endpoint& aEndpoint);
  bool HasIdle(const Endpoint& aEndpoint);
  /// Connects the socket of a new connection.
  /// \return timed_out if it was not connected in time
  asio::awaitable<error_code> Dial(HttpClientConnection& aConnection,
                                   TimePoint aDeadline);
  asio::awaitable<Result<Connection>> Connect(Endpoint aEndpoint,
                                              TimePoint aDeadline);
  asio::awaitable<Listening> Probe(Endpoint aEndpoint, Millis aTimeout);
  /// Performs the TLS handshake.
  asio::awaitable<std::optional<Error>> HandshakeTls(
      HttpClientConnection& aConnection);
  /// Sends a request on a pooled or new connection and reads the head of the
  /// response.
  asio::awaitable<Result<std::unique_ptr<HttpClientCall>>> Begin(
      const Endpoint& aEndpoint, const HttpRequest& aRequest, Millis aTimeout,
      uint64_t aMaxBody, OpenOptions aOptions);
  asio::awaitable<Result<HttpResponse>> Send(Endpoint aEndpoint,
                                             HttpRequest aRequest,
                                             Millis aTimeout, size_t aMaxBody,
                                             OpenOptions aOptions);
  asio::awaitable<Result<std::unique_ptr<HttpStream>>> Open(
      Endpoint aEndpoint, HttpRequest aRequest, Millis aTimeout,
      OpenOptions aOptions);
  /// Closes the idle connections to an endpoint after a request on a reused
  /// connection timed out. The idle ones may have stopped responding as well,
  /// and trying them one by one would cost a timeout each.
  void DropIdle(const Endpoint& aEndpoint);
  /// Closes connections that were idle for too long. mMutex must be held.
  void Sweep(TimePoint aNow);

  asio::io_context& mContext;
  const HttpClientConnection::Counter mOpenCount =
      std::make_shared<std::atomic<size_t>>(0);
  std::optional<TlsKeys> mKeys;
  /// The error of loading mKeys at construction, if it failed.
  std::optional<Error> mKeysError;
  std::atomic<uint64_t> mConnectionsMade{0};
  Millis mConnectTimeout{std::numeric_limits<int64_t>::max()};
  std::function<Millis()> mSuspendedFor = SuspendedFor;

  std::mutex mMutex;  ///< guards the members below
  std::map<Endpoint, std::vector<Connection>> mIdle;
  TimePoint mLastSweep;
};

void HttpClient::Impl::Release(Connection aConnection) {
  const TimePoint now = std::chrono::steady_clock::now();
  aConnection->mIdleSince = now;
  aConnection->mSuspendedWhenIdle = mSuspendedFor();
  const std::lock_guard lock(mMutex);
  std::vector<Connection>& idle = mIdle[aConnection->mEndpoint];
  if (idle.size() < kMaxIdlePerEndpoint) {
    idle.push_back(std::move(aConnection));
  }
  if (now - mLastSweep > kSweepInterval) {
    mLastSweep = now;
    Sweep(now);
  }
}

void HttpClient::Impl::Sweep(TimePoint aNow) {
  const auto outdated = [aNow](const Connection& aConnection) {
    return aNow - aConnection->mIdleSince > kMaxIdleTime;
  };
  for (auto& [endpoint, idle] : mIdle) {
    std::erase_if(idle, outdated);
  }
  std::erase_if(mIdle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void HttpClient::Impl::DropIdle(const Endpoint& aEndpoint) {
  const std::lock_guard lock(mMutex);
  mIdle.erase(aEndpoint);
}

Connection HttpClient::Impl::TakeIdle(const Endpoint& aEndpoint) {
  while (true) {
    Connection connection;
    {
      const std::lock_guard lock(mMutex);
      const auto found = mIdle.find(aEndpoint);
      if (found == mIdle.end() || found->second.empty()) {
        return nullptr;
      }
      connection = std::move(found->second.back());
      found->second.pop_back();
    }
    const Millis suspended = mSuspendedFor() - connection->mSuspendedWhenIdle;
    if (suspended < kMinSuspension && !connection->mSocket.Stale()) {
      return connection;
    }
  }
}

bool HttpClient::Impl::HasIdle(const Endpoint& aEndpoint) {
  const Millis suspended = mSuspendedFor();
  const std::lock_guard lock(mMutex);
  const auto found = mIdle.find(aEndpoint);
  return found != mIdle.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const Connection& aEach) {
                       return suspended - aEach->mSuspendedWhenIdle <
                                  kMinSuspension &&
                              !aEach->mSocket.Stale();
                     });
}

asio::awaitable<error_code> HttpClient::Impl::Dial(
    HttpClientConnection& aConnection, TimePoint aDeadline) {
  error_code code;
  const asio::ip::address address =
      asio::ip::make_address(aConnection.mEndpoint.mHost, code);
  if (code) {
    co_return code;
  }
  mConnectionsMade.fetch_add(1);
  const asio::ip::tcp::endpoint remote(address, aConnection.mEndpoint.mPort);
  co_return co_await aConnection.mSocket.Connect(
      remote, std::min(RemainingTime(aDeadline), mConnectTimeout));
}

asio::awaitable<Listening> HttpClient::Impl::Probe(Endpoint aEndpoint,
                                                   Millis aTimeout) {
  const std::shared_ptr<Impl> self = shared_from_this();
  auto connection =
      std::make_unique<HttpClientConnection>(mContext, aEndpoint, mOpenCount);
  const error_code code = co_await Dial(*connection, DeadlineIn(aTimeout));
  if (code == asio::error::connection_refused) {
    co_return Listening::No;
  }
  if (code) {
    co_return Listening::Unknown;
  }
  if (!mKeys) {
    Release(std::move(connection));
  }
  co_return Listening::Yes;
}

asio::awaitable<Result<Connection>> HttpClient::Impl::Connect(
    Endpoint aEndpoint, TimePoint aDeadline) {
  auto connection =
      std::make_unique<HttpClientConnection>(mContext, aEndpoint, mOpenCount);
  const error_code code = co_await Dial(*connection, aDeadline);
  if (code) {
    const bool timedOut = code == asio::error::timed_out;
    co_return ConnectError(aEndpoint, code, timedOut);
  }
  HttpSocket& socket = connection->mSocket;
  socket.Deadline().Set(RemainingTime(aDeadline));
  if (mKeys) {
    std::optional<Error> error = co_await HandshakeTls(*connection);
    if (error) {
      co_return std::move(*error);
    }
  }
  co_return connection;
}

asio::awaitable<std::optional<Error>> HttpClient::Impl::HandshakeTls(
    HttpClientConnection& aConnection) {
  const TlsContext keys = mKeys->Current();
  if (!keys) {
    co_return mKeysError;
  }
  const std::string& name = mKeys->Settings().mPeerName;
  const error_code code = co_await aConnection.mSocket.HandshakeTls(
      TlsRole::Client, keys, name.empty() ? aConnection.mEndpoint.mHost : name);
  const bool timedOut = aConnection.mSocket.Deadline().Expired();
  if (!code && !timedOut) {
    co_return std::nullopt;
  }
  co_return Error(timedOut ? ErrorKind::Timeout : ErrorKind::ConnectionLost,
                  "The TLS handshake with " + aConnection.mEndpoint.Text() +
                      " failed: " + code.message() + ".",
                  RunState::NotRun);
}

asio::awaitable<Result<std::unique_ptr<HttpClientCall>>>
HttpClient::Impl::Begin(const Endpoint& aEndpoint, const HttpRequest& aRequest,
                        Millis aTimeout, uint64_t aMaxBody,
                        OpenOptions aOptions) {
  if (!ValidRequestLine(aRequest)) {
    co_return Error(ErrorKind::BadRequest,
                    "The request's method or target is not valid.");
  }
  const Millis began = SteadyClock().Now();
  const TimePoint deadline = DeadlineIn(aTimeout);
  Connection connection =
      aOptions.mNewConnection ? nullptr : TakeIdle(aEndpoint);
  const bool reused = connection != nullptr;
  if (reused) {
    connection->mSocket.Deadline().Set(aTimeout);
  } else {
    Result<Connection> made = co_await Connect(aEndpoint, deadline);
    if (!made) {
      co_return made.error();
    }
    connection = std::move(*made);
  }
  auto call = std::make_unique<HttpClientCall>(
      shared_from_this(), std::move(connection), aMaxBody,
      std::move(aOptions.mMayReuse), std::move(aOptions.mEndCheck));
  const Millis unsent = SteadyClock().Now() - began;
  std::optional<Error> error = co_await call->WriteRequest(aRequest);
  if (!error) {
    error = co_await call->ReadHead();
  }
  if (aOptions.mTrace != nullptr) {
    *aOptions.mTrace = {!reused, call->Responding(), unsent};
  }
  if (error && reused && error->Kind() == ErrorKind::Timeout) {
    DropIdle(aEndpoint);
  }
  if (error) {
    co_return std::move(*error);
  }
  co_return call;
}

asio::awaitable<Result<HttpResponse>> HttpClient::Impl::Send(
    Endpoint aEndpoint, HttpRequest aRequest, Millis aTimeout, size_t aMaxBody,
    OpenOptions aOptions) {
  const std::shared_ptr<Impl> self = shared_from_this();
  Result<std::unique_ptr<HttpClientCall>> call = co_await Begin(
      aEndpoint, aRequest, aTimeout, aMaxBody, std::move(aOptions));
  if (!call) {
    co_return call.error();
  }
  co_return co_await (*call)->ReadAll();
}

asio::awaitable<Result<std::unique_ptr<HttpStream>>> HttpClient::Impl::Open(
    Endpoint aEndpoint, HttpRequest aRequest, Millis aTimeout,
    OpenOptions aOptions) {
  const std::shared_ptr<Impl> self = shared_from_this();
  Result<std::unique_ptr<HttpClientCall>> call = co_await Begin(
      aEndpoint, aRequest, aTimeout, kMaxStreamedBody, std::move(aOptions));
  if (!call) {
    co_return call.error();
  }
  (*call)->ClearDeadline();
  co_return std::unique_ptr<HttpStream>(std::move(*call));
}

EndCheck AnyEnd() {
  return []() -> asio::awaitable<bool> { co_return true; };
}

HttpClient::HttpClient(asio::io_context& aContext,
                       std::optional<TlsSettings> aTls)
    : mImpl(std::make_shared<Impl>(aContext, std::move(aTls))) {}

HttpClient::~HttpClient() = default;

asio::awaitable<Result<HttpResponse>> HttpClient::Send(
    const Endpoint& aEndpoint, HttpRequest aRequest, Millis aTimeout,
    size_t aMaxBody, OpenOptions aOptions) {
  return mImpl->Send(aEndpoint, std::move(aRequest), aTimeout, aMaxBody,
                     std::move(aOptions));
}

asio::awaitable<Result<std::unique_ptr<HttpStream>>> HttpClient::Open(
    const Endpoint& aEndpoint, HttpRequest aRequest, Millis aTimeout,
    OpenOptions aOptions) {
  return mImpl->Open(aEndpoint, std::move(aRequest), aTimeout,
                     std::move(aOptions));
}

asio::awaitable<Listening> HttpClient::Probe(const Endpoint& aEndpoint,
                                             Millis aTimeout) {
  return mImpl->Probe(aEndpoint, aTimeout);
}

bool HttpClient::HasIdle(const Endpoint& aEndpoint) const {
  return mImpl->HasIdle(aEndpoint);
}

void HttpClient::SetConnectTimeout(Millis aTimeout) {
  mImpl->mConnectTimeout = aTimeout;
}

void HttpClient::SetSuspendedFor(std::function<Millis()> aSuspendedFor) {
  mImpl->mSuspendedFor = std::move(aSuspendedFor);
}

uint64_t HttpClient::ConnectionsMade() const {
  return mImpl->mConnectionsMade.load();
}

std::optional<Error> HttpClient::ReloadTls() {
  return mImpl->mKeys ? mImpl->mKeys->Load() : std::nullopt;
}

size_t HttpClient::Connections() const { return mImpl->mOpenCount->load(); }

}  // namespace rillwall
