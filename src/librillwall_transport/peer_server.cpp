/// \file
/// The server of the calls between nodes, implemented as a callback service of
/// gRPC. The handler of each call runs as a coroutine on the io_context; gRPC's
/// own threads only transfer messages.

#include <grpcpp/grpcpp.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <mutex>
#include <unordered_set>

#include "grpc_library.h"
#include "node.grpc.pb.h"
#include "peer_limits.h"
#include "peer_tls.h"
#include "rillwall/peer.h"
#include "rillwall/wire_convert.h"

namespace rillwall {

namespace {

/// Time for which Stop() waits until the replies of finished calls are sent.
constexpr std::chrono::milliseconds kShutdownGrace{500};
/// A connection without calls for this long is closed.
constexpr int kMaxConnectionIdleMs = 300000;

/// One call in flight. gRPC owns context, reactor and reply, and keeps them
/// until Finish() is called. The completion of the handler and Stop() compete
/// to finish the call; only the first one does.
class PendingCall {
 public:
  PendingCall(grpc::CallbackServerContext* aContext, wire::PeerReply* aReply)
      : mContext(aContext),
        mReactor(aContext->DefaultReactor()),
        mReply(aReply) {}

  grpc::ServerUnaryReactor* Reactor() const { return mReactor; }

  void Respond(wire::PeerReply aReply) {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mReactor == nullptr) {
      return;
    }
    *mReply = std::move(aReply);
    mContext->set_compression_algorithm(PeerCompression(*mReply));
    std::exchange(mReactor, nullptr)->Finish(grpc::Status::OK);
  }

  void Abort() {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mReactor == nullptr) {
      return;
    }
    std::exchange(mReactor, nullptr)
        ->Finish(grpc::Status(grpc::StatusCode::UNAVAILABLE,
                              "The node is shutting down."));
  }

 private:
  std::mutex mMutex;
  grpc::CallbackServerContext* mContext;
  grpc::ServerUnaryReactor* mReactor;
  wire::PeerReply* mReply;
};

using PendingCallPtr = std::shared_ptr<PendingCall>;

/// The calls in flight, which Stop() aborts. Running coroutines share
/// ownership, so that this may outlive the server.
class PendingCalls {
 public:
  explicit PendingCalls(PeerHandler aHandler) : mHandler(std::move(aHandler)) {}

  const PeerHandler& Handler() const { return mHandler; }

  /// Registers a call.
  /// \return false after Close()
  bool Add(const PendingCallPtr& aCall) {
    const std::lock_guard<std::mutex> lock(mMutex);
    return !mClosed && mCalls.insert(aCall).second;
  }

  void Remove(const PendingCallPtr& aCall) {
    const std::lock_guard<std::mutex> lock(mMutex);
    mCalls.erase(aCall);
  }

  /// Aborts all calls and rejects further ones.
  void Close() {
    std::unordered_set<PendingCallPtr> calls;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mClosed = true;
      calls.swap(mCalls);
    }
    for (const PendingCallPtr& call : calls) {
      call->Abort();
    }
  }

 private:
  const PeerHandler mHandler;
  std::mutex mMutex;
  bool mClosed = false;
  std::unordered_set<PendingCallPtr> mCalls;
};

asio::awaitable<wire::PeerReply> Handle(const PeerHandler& aHandler,
                                        wire::PeerRequest aRequest) {
  try {
    Result<wire::PeerReply> reply = co_await aHandler(std::move(aRequest));
    co_return reply ? std::move(*reply) : ToWire(reply.error());
  } catch (const std::exception& thrown) {
    co_return ToWire(Error(ErrorKind::Internal, thrown.what()));
  }
}

asio::awaitable<void> Serve(std::shared_ptr<PendingCalls> aCalls,
                            PendingCallPtr aCall, wire::PeerRequest aRequest) {
  wire::PeerReply reply =
      co_await Handle(aCalls->Handler(), std::move(aRequest));
  aCall->Respond(std::move(reply));
  aCalls->Remove(aCall);
}

class NodeService final : public wire::Node::CallbackService {
 public:
  NodeService(asio::io_context& aContext, std::shared_ptr<PendingCalls> aCalls)
      : mContext(aContext), mCalls(std::move(aCalls)) {}

  grpc::ServerUnaryReactor* Call(grpc::CallbackServerContext* aServerContext,
                                 const wire::PeerRequest* aRequest,
                                 wire::PeerReply* aReply) override {
    auto call = std::make_shared<PendingCall>(aServerContext, aReply);
    grpc::ServerUnaryReactor* reactor = call->Reactor();
    if (mCalls->Add(call)) {
      asio::co_spawn(mContext, Serve(mCalls, call, *aRequest), asio::detached);
    } else {
      call->Abort();
    }
    return reactor;
  }

 private:
  asio::io_context& mContext;
  std::shared_ptr<PendingCalls> mCalls;
};

}  // namespace

struct PeerServer::Impl {
  Impl(asio::io_context& aContext, PeerHandler aHandler,
       std::optional<TlsSettings> aTls)
      : mCalls(std::make_shared<PendingCalls>(std::move(aHandler))),
        mService(aContext, mCalls),
        mTls(std::move(aTls)) {}

  std::shared_ptr<PendingCalls> mCalls;
  NodeService mService;
  const std::optional<TlsSettings> mTls;
  std::unique_ptr<grpc::Server> mServer;
};

PeerServer::PeerServer(asio::io_context& aContext, PeerHandler aHandler,
                       std::optional<TlsSettings> aTls)
    : mImpl(std::make_unique<Impl>(aContext, std::move(aHandler),
                                   std::move(aTls))) {
  InitGrpcOnce();
}

PeerServer::~PeerServer() { Stop(); }

Result<Endpoint> PeerServer::Listen(const Endpoint& aEndpoint) {
  const std::optional<TlsSettings>& tls = mImpl->mTls;
  if (const auto error = tls ? CheckPeerTls(*tls) : std::nullopt) {
    return *error;
  }
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(aEndpoint.Text(), PeerServerCredentials(tls), &port);
  builder.RegisterService(&mImpl->mService);
  builder.SetMaxReceiveMessageSize(kMaxPeerMessageBytes);
  builder.SetMaxSendMessageSize(kMaxPeerMessageBytes);
  // If two processes shared a port, each would receive some of the calls.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_IDLE_MS,
                             kMaxConnectionIdleMs);
  // Permits the keepalive pings that clients send during a long call.
  builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
      kPeerKeepaliveMs / 2);
  mImpl->mServer = builder.BuildAndStart();
  if (!mImpl->mServer || port == 0) {
    mImpl->mServer.reset();
    return Error(ErrorKind::Unavailable,
                 "Cannot serve peers on " + aEndpoint.Text() +
                     ". Check that the port is free and that the address "
                     "belongs to this host.");
  }
  return Endpoint{aEndpoint.mHost, static_cast<uint16_t>(port)};
}

void PeerServer::Stop() {
  mImpl->mCalls->Close();
  if (mImpl->mServer) {
    mImpl->mServer->Shutdown(std::chrono::system_clock::now() + kShutdownGrace);
    mImpl->mServer.reset();
  }
}

}  // namespace rillwall
