/// \file
/// The client of the calls between nodes, with one gRPC channel per peer. Calls
/// complete on gRPC's threads, which post the resumption of the waiting
/// coroutine to its executor.

#include <grpcpp/grpcpp.h>

#include <boost/asio/associated_cancellation_slot.hpp>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

#include "grpc_library.h"
#include "node.grpc.pb.h"
#include "peer_limits.h"
#include "peer_tls.h"
#include "rillwall/peer.h"
#include "rillwall/wire_convert.h"

namespace rillwall {

namespace {

constexpr int kInitialBackoffMs = 100;
/// The longest backoff limits the time to reconnect to a restarted peer.
constexpr int kMaxBackoffMs = 1000;
constexpr int kConnectTimeoutMs = 1000;
/// The connection of a channel that is unused for this long is closed. A node
/// talks to few peers at a time, and each connection costs memory at both ends.
constexpr int kIdleTimeoutMs = 60000;

using StubPtr = std::shared_ptr<wire::Node::Stub>;

/// Data of one call, which must exist until gRPC has finished the call.
struct ClientCall {
  grpc::ClientContext mContext;
  wire::PeerRequest mRequest;
  wire::PeerReply mReply;
  StubPtr mStub;
  std::chrono::milliseconds mTimeout{0};
};

using ClientCallPtr = std::shared_ptr<ClientCall>;

ErrorKind KindOf(grpc::StatusCode aCode) {
  switch (aCode) {
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return ErrorKind::Timeout;
    case grpc::StatusCode::UNAVAILABLE:
    case grpc::StatusCode::CANCELLED:
      return ErrorKind::ConnectionLost;
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
      return ErrorKind::TooLarge;
    default:
      return ErrorKind::Internal;
  }
}

Result<wire::PeerReply> ResultOf(const grpc::Status& aStatus,
                                 wire::PeerReply aReply) {
  if (aStatus.ok()) {
    return FromWire(std::move(aReply));
  }
  return Error(KindOf(aStatus.error_code()),
               "A call to a peer failed: " + aStatus.error_message() + ".",
               RunState::Unknown);
}

grpc::ChannelArguments MakeChannelArguments() {
  grpc::ChannelArguments out;
  out.SetMaxReceiveMessageSize(kMaxPeerMessageBytes);
  out.SetMaxSendMessageSize(kMaxPeerMessageBytes);
  out.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kInitialBackoffMs);
  out.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxBackoffMs);
  out.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kConnectTimeoutMs);
  out.SetInt(GRPC_ARG_CLIENT_IDLE_TIMEOUT_MS, kIdleTimeoutMs);
  out.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kPeerKeepaliveMs);
  out.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kPeerKeepaliveTimeoutMs);
  out.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  // The connection is closed together with its channel.
  out.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  // Callers decide whether to retry, and peers are reached directly.
  out.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  out.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
  out.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  return out;
}

asio::awaitable<Result<wire::PeerReply>> FailedCall(Error aError) {
  co_return aError;
}

/// \return the gRPC target for an IP number, which needs no name resolution
std::string TargetOf(const std::string& aAddress) {
  const bool v6 = aAddress.starts_with('[');
  return (v6 ? "ipv6:" : "ipv4:") + aAddress;
}

using StubMap = std::map<std::string, StubPtr>;

/// A call and the completion handler of the coroutine that waits for it. Must
/// be destroyed on the coroutine's executor and never on a thread of gRPC: the
/// call may hold the last reference to its channel, and destroying gRPC's last
/// channel joins gRPC's threads.
template <class Handler>
struct Completion {
  using Executor =
      asio::associated_executor_t<Handler, asio::io_context::executor_type>;

  Completion(ClientCallPtr aCall, Handler aHandler, asio::io_context& aContext)
      : mCall(std::move(aCall)),
        mHandler(std::move(aHandler)),
        mWork(
            asio::get_associated_executor(mHandler, aContext.get_executor())) {}

  ClientCallPtr mCall;
  Handler mHandler;
  asio::executor_work_guard<Executor> mWork;
};

/// Resumes the coroutine with the result of the call.
template <class Handler>
void ResumeCaller(std::unique_ptr<Completion<Handler>> aCompletion,
                  const grpc::Status& aStatus) {
  Handler handler = std::move(aCompletion->mHandler);
  asio::get_associated_cancellation_slot(handler).clear();
  auto result = ResultOf(aStatus, std::move(aCompletion->mCall->mReply));
  aCompletion.reset();
  std::move(handler)(std::move(result));
}

}  // namespace

struct PeerClient::Impl
    : public std::enable_shared_from_this<PeerClient::Impl> {
  Impl(asio::io_context& aContext, std::optional<TlsSettings> aTls)
      : mContext(aContext), mTls(std::move(aTls)) {}

  Result<StubPtr> StubOf(const std::string& aAddress);
  std::optional<Error> MakeCredentials();
  /// Registers a call, so that Close() can cancel it.
  /// \return false after Close()
  bool Register(ClientCall& aCall);
  /// Cancels the calls in flight and waits until they have ended.
  void Close();
  void Retain(const std::set<std::string>& aAddresses);

  template <class Handler>
  void Start(ClientCallPtr aCall, Handler aHandler);
  template <class Handler>
  void Complete(std::unique_ptr<Completion<Handler>> aCompletion,
                grpc::Status aStatus);

  asio::io_context& mContext;
  const std::optional<TlsSettings> mTls;
  std::mutex mMutex;  ///< guards the members below
  std::shared_ptr<grpc::ChannelCredentials> mCredentials;
  std::condition_variable mCallEnded;
  bool mClosed = false;
  StubMap mStubs;
  std::set<ClientCall*> mCalls;
};

std::optional<Error> PeerClient::Impl::MakeCredentials() {
  if (mCredentials) {
    return std::nullopt;
  }
  auto error = mTls ? CheckPeerTls(*mTls) : std::nullopt;
  if (!error) {
    mCredentials = PeerChannelCredentials(mTls);
  }
  return error;
}

Result<StubPtr> PeerClient::Impl::StubOf(const std::string& aAddress) {
  const std::lock_guard<std::mutex> lock(mMutex);
  if (const auto error = MakeCredentials()) {
    return *error;
  }
  StubPtr& stub = mStubs[aAddress];
  if (!stub) {
    grpc::ChannelArguments arguments = MakeChannelArguments();
    if (mTls && !mTls->mPeerName.empty()) {
      arguments.SetSslTargetNameOverride(mTls->mPeerName);
    }
    stub = wire::Node::NewStub(
        grpc::CreateCustomChannel(TargetOf(aAddress), mCredentials, arguments));
  }
  return stub;
}

bool PeerClient::Impl::Register(ClientCall& aCall) {
  const std::lock_guard<std::mutex> lock(mMutex);
  return !mClosed && mCalls.insert(&aCall).second;
}

void PeerClient::Impl::Close() {
  StubMap removed;
  std::unique_lock<std::mutex> lock(mMutex);
  mClosed = true;
  for (ClientCall* call : mCalls) {
    call->mContext.TryCancel();
  }
  // Completed calls are posted to the io_context, which must still exist.
  mCallEnded.wait(lock, [this] { return mCalls.empty(); });
  removed.swap(mStubs);
  lock.unlock();
}

void PeerClient::Impl::Retain(const std::set<std::string>& aAddresses) {
  // Channels are destroyed after the mutex is unlocked: destroying a channel
  // may wait for a thread of gRPC that waits for the mutex.
  std::vector<StubPtr> removed;
  const std::lock_guard<std::mutex> lock(mMutex);
  std::erase_if(mStubs, [&](const StubMap::value_type& aEntry) {
    const bool obsolete = !aAddresses.contains(aEntry.first);
    if (obsolete) {
      removed.push_back(aEntry.second);
    }
    return obsolete;
  });
}

template <class Handler>
void PeerClient::Impl::Start(ClientCallPtr aCall, Handler aHandler) {
  auto slot = asio::get_associated_cancellation_slot(aHandler);
  if (slot.is_connected()) {
    slot.assign(
        [call = std::weak_ptr<ClientCall>(aCall)](asio::cancellation_type) {
          if (const ClientCallPtr live = call.lock()) {
            live->mContext.TryCancel();
          }
        });
  }
  ClientCall& call = *aCall;
  call.mContext.set_deadline(std::chrono::system_clock::now() + call.mTimeout);
  call.mContext.set_compression_algorithm(PeerCompression(call.mRequest));
  auto completion = std::make_unique<Completion<Handler>>(
      std::move(aCall), std::move(aHandler), mContext);
  if (!Register(call)) {
    Complete(std::move(completion), grpc::Status::CANCELLED);
    return;
  }
  // gRPC copies the callback but runs it only once. The callback holds a raw
  // pointer, so that destroying a copy does not destroy the call.
  call.mStub->async()->Call(&call.mContext, &call.mRequest, &call.mReply,
                            [self = shared_from_this(),
                             raw = completion.release()](grpc::Status aStatus) {
                              self->Complete(
                                  std::unique_ptr<Completion<Handler>>(raw),
                                  std::move(aStatus));
                            });
}

template <class Handler>
void PeerClient::Impl::Complete(
    std::unique_ptr<Completion<Handler>> aCompletion, grpc::Status aStatus) {
  // Posting with the mutex held prevents Close() from returning before it.
  const std::lock_guard<std::mutex> lock(mMutex);
  mCalls.erase(aCompletion->mCall.get());
  const auto executor = aCompletion->mWork.get_executor();
  asio::post(executor, [completion = std::move(aCompletion),
                        status = std::move(aStatus)]() mutable {
    ResumeCaller(std::move(completion), status);
  });
  mCallEnded.notify_all();
}

PeerClient::PeerClient(asio::io_context& aContext,
                       std::optional<TlsSettings> aTls)
    : mImpl(std::make_shared<Impl>(aContext, std::move(aTls))) {
  InitGrpcOnce();
}

PeerClient::~PeerClient() { mImpl->Close(); }

asio::awaitable<Result<wire::PeerReply>> PeerClient::Call(
    std::string aAddress, wire::PeerRequest aRequest, Millis aTimeout) {
  Result<StubPtr> stub = mImpl->StubOf(aAddress);
  if (!stub) {
    return FailedCall(stub.error());
  }
  auto call = std::make_shared<ClientCall>();
  call->mRequest = std::move(aRequest);
  call->mStub = std::move(*stub);
  call->mTimeout = std::chrono::milliseconds(aTimeout.Count());
  // This function is not a coroutine because GCC 12 destroys the captures of a
  // lambda in a co_await expression twice.
  return asio::async_initiate<const asio::use_awaitable_t<>,
                              void(Result<wire::PeerReply>)>(
      [impl = mImpl, call](auto aHandler) {
        impl->Start(call, std::move(aHandler));
      },
      asio::use_awaitable);
}

void PeerClient::Retain(const std::vector<std::string>& aAddresses) {
  mImpl->Retain({aAddresses.begin(), aAddresses.end()});
}

}  // namespace rillwall
