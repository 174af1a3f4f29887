/// \file
/// The UDP socket, implemented with Asio. All operations run on one strand.

#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>

#include "rillwall/datagram.h"

namespace rillwall {

namespace {

using asio::ip::udp;
using boost::system::error_code;

/// Holds the largest UDP datagram.
constexpr size_t kMaxDatagramBytes = 65536;
/// Delay after a failed receive, so that a persistent error does not cause a
/// busy loop.
constexpr std::chrono::milliseconds kReceiveRetryDelay{10};

Result<udp::endpoint> ToUdpEndpoint(const Endpoint& aEndpoint) {
  error_code ec;
  const asio::ip::address address = asio::ip::make_address(aEndpoint.mHost, ec);
  if (ec) {
    return Error(ErrorKind::BadRequest,
                 "'" + aEndpoint.mHost + "' is not an IP number.");
  }
  return udp::endpoint(address, aEndpoint.mPort);
}

Endpoint FromUdpEndpoint(const udp::endpoint& aEndpoint) {
  return Endpoint{aEndpoint.address().to_string(), aEndpoint.port()};
}

}  // namespace

struct DatagramSocket::Impl
    : public std::enable_shared_from_this<DatagramSocket::Impl> {
  Impl(asio::io_context& aContext, Handler aHandler)
      : mStrand(asio::make_strand(aContext)),
        mSocket(mStrand),
        mRetryTimer(mStrand),
        mHandler(std::move(aHandler)) {}

  void Receive();
  void OnReceived(const error_code& aError, size_t aSize);
  void RetryReceive();
  void SendNow(const udp::endpoint& aTo, const std::string& aBytes);
  void Close();

  asio::strand<asio::io_context::executor_type> mStrand;
  udp::socket mSocket;
  asio::steady_timer mRetryTimer;
  Handler mHandler;
  udp::endpoint mSender;
  std::array<char, kMaxDatagramBytes> mBuffer;
  std::atomic<uint64_t> mBytesSent{0};
  std::atomic<uint64_t> mBytesReceived{0};
  std::atomic<bool> mStopped{false};
};

void DatagramSocket::Impl::Receive() {
  auto self = shared_from_this();
  mSocket.async_receive_from(asio::buffer(mBuffer), mSender,
                             [self](const error_code& aError, size_t aSize) {
                               self->OnReceived(aError, aSize);
                             });
}

void DatagramSocket::Impl::OnReceived(const error_code& aError, size_t aSize) {
  if (mStopped || aError == asio::error::operation_aborted) {
    return;
  }
  if (aError) {
    RetryReceive();
    return;
  }
  mBytesReceived += aSize;
  mHandler(std::string_view(mBuffer.data(), aSize),
           FromUdpEndpoint(mSender).Text());
  Receive();
}

void DatagramSocket::Impl::RetryReceive() {
  auto self = shared_from_this();
  mRetryTimer.expires_after(kReceiveRetryDelay);
  mRetryTimer.async_wait([self](const error_code& aError) {
    if (!aError) {
      self->Receive();
    }
  });
}

void DatagramSocket::Impl::SendNow(const udp::endpoint& aTo,
                                   const std::string& aBytes) {
  if (mStopped) {
    return;
  }
  error_code ec;
  mSocket.send_to(asio::buffer(aBytes), aTo, 0, ec);
  if (!ec) {
    mBytesSent += aBytes.size();
  }
}

void DatagramSocket::Impl::Close() {
  error_code ignored;
  mSocket.close(ignored);
  mRetryTimer.cancel();
}

DatagramSocket::DatagramSocket(asio::io_context& aContext, Handler aHandler)
    : mImpl(std::make_shared<Impl>(aContext, std::move(aHandler))) {}

DatagramSocket::~DatagramSocket() { Stop(); }

Result<Endpoint> DatagramSocket::Listen(const Endpoint& aEndpoint) {
  const Result<udp::endpoint> local = ToUdpEndpoint(aEndpoint);
  if (!local) {
    return local.error();
  }
  error_code ec;
  udp::socket& socket = mImpl->mSocket;
  socket.open(local->protocol(), ec);
  if (!ec) {
    socket.bind(*local, ec);
  }
  if (!ec) {
    socket.non_blocking(true, ec);
  }
  if (ec) {
    error_code ignored;
    socket.close(ignored);
    return Error(ErrorKind::Unavailable, "Cannot receive datagrams on " +
                                             aEndpoint.Text() + ": " +
                                             ec.message() + ".");
  }
  const udp::endpoint bound = socket.local_endpoint(ec);
  auto impl = mImpl;
  asio::post(mImpl->mStrand, [impl] { impl->Receive(); });
  return FromUdpEndpoint(bound);
}

void DatagramSocket::Send(const std::string& aTo, std::string aBytes) {
  const Result<Endpoint> parsed = Endpoint::Parse(aTo);
  if (!parsed) {
    return;
  }
  const Result<udp::endpoint> to = ToUdpEndpoint(*parsed);
  if (!to) {
    return;
  }
  asio::dispatch(mImpl->mStrand,
                 [impl = mImpl, to = *to, bytes = std::move(aBytes)] {
                   impl->SendNow(to, bytes);
                 });
}

uint64_t DatagramSocket::BytesSent() const { return mImpl->mBytesSent; }

uint64_t DatagramSocket::BytesReceived() const { return mImpl->mBytesReceived; }

void DatagramSocket::Stop() {
  if (mImpl->mStopped.exchange(true)) {
    return;
  }
  asio::dispatch(mImpl->mStrand, [impl = mImpl] { impl->Close(); });
}

}  // namespace rillwall
