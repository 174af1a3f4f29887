/// \file
/// A UDP socket on Asio. All uses of the socket are on one strand.

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

/// Room for the largest datagram that UDP carries.
constexpr size_t kReceiveBytes = 65536;
/// Pause after a failed receive, so that a lasting fault does not spin.
constexpr std::chrono::milliseconds kReceivePause{10};

Result<udp::endpoint> UdpEndpoint(const Endpoint& aEndpoint) {
  error_code ec;
  const asio::ip::address address = asio::ip::make_address(aEndpoint.mHost, ec);
  if (ec) {
    return Error(ErrorKind::BadRequest,
                 "'" + aEndpoint.mHost + "' is not an IP number.");
  }
  return udp::endpoint(address, aEndpoint.mPort);
}

Endpoint EndpointOf(const udp::endpoint& aEndpoint) {
  return Endpoint{aEndpoint.address().to_string(), aEndpoint.port()};
}

}  // namespace

struct DatagramSocket::Impl
    : public std::enable_shared_from_this<DatagramSocket::Impl> {
  Impl(asio::io_context& aContext, Handler aHandler)
      : mStrand(asio::make_strand(aContext)),
        mSocket(mStrand),
        mPause(mStrand),
        mHandler(std::move(aHandler)) {}

  void Receive();
  void Received(const error_code& aError, size_t aSize);
  void ReceiveLater();
  void SendNow(const udp::endpoint& aTo, const std::string& aBytes);
  void Close();

  asio::strand<asio::io_context::executor_type> mStrand;
  udp::socket mSocket;
  asio::steady_timer mPause;
  Handler mHandler;
  udp::endpoint mSender;
  std::array<char, kReceiveBytes> mBuffer;
  std::atomic<uint64_t> mSent{0};
  std::atomic<uint64_t> mReceived{0};
  std::atomic<bool> mStopped{false};
};

void DatagramSocket::Impl::Receive() {
  auto self = shared_from_this();
  mSocket.async_receive_from(asio::buffer(mBuffer), mSender,
                             [self](const error_code& aError, size_t aSize) {
                               self->Received(aError, aSize);
                             });
}

void DatagramSocket::Impl::Received(const error_code& aError, size_t aSize) {
  if (mStopped || aError == asio::error::operation_aborted) {
    return;
  }
  if (aError) {
    ReceiveLater();
    return;
  }
  mReceived += aSize;
  mHandler(std::string_view(mBuffer.data(), aSize), EndpointOf(mSender).Text());
  Receive();
}

void DatagramSocket::Impl::ReceiveLater() {
  auto self = shared_from_this();
  mPause.expires_after(kReceivePause);
  mPause.async_wait([self](const error_code& aError) {
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
    mSent += aBytes.size();
  }
}

void DatagramSocket::Impl::Close() {
  error_code ignored;
  mSocket.close(ignored);
  mPause.cancel();
}

DatagramSocket::DatagramSocket(asio::io_context& aContext, Handler aHandler)
    : mImpl(std::make_shared<Impl>(aContext, std::move(aHandler))) {}

DatagramSocket::~DatagramSocket() { Stop(); }

Result<Endpoint> DatagramSocket::Listen(const Endpoint& aEndpoint) {
  const Result<udp::endpoint> local = UdpEndpoint(aEndpoint);
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
  return EndpointOf(bound);
}

void DatagramSocket::Send(const std::string& aTo, std::string aBytes) {
  const Result<Endpoint> parsed = Endpoint::Parse(aTo);
  if (!parsed) {
    return;
  }
  const Result<udp::endpoint> to = UdpEndpoint(*parsed);
  if (!to) {
    return;
  }
  asio::dispatch(mImpl->mStrand,
                 [impl = mImpl, to = *to, bytes = std::move(aBytes)] {
                   impl->SendNow(to, bytes);
                 });
}

uint64_t DatagramSocket::BytesSent() const { return mImpl->mSent; }

uint64_t DatagramSocket::BytesReceived() const { return mImpl->mReceived; }

void DatagramSocket::Stop() {
  if (mImpl->mStopped.exchange(true)) {
    return;
  }
  asio::dispatch(mImpl->mStrand, [impl = mImpl] { impl->Close(); });
}

}  // namespace rillwall
