/// \file
/// Datagrams between nodes: a UDP socket. Their codec is in gossip_codec.h, so
/// that the protocol library need not include this layer.

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "rillwall/error.h"
#include "rillwall/gossip_codec.h"
#include "rillwall/http.h"

namespace rillwall {

/// Sends and receives datagrams. Thread-safe; the handler runs on aContext.
class DatagramSocket {
 public:
  using Handler =
      std::function<void(std::string_view aBytes, const std::string& aFrom)>;
  DatagramSocket(asio::io_context& aContext, Handler aHandler);
  ~DatagramSocket();
  Result<Endpoint> Listen(const Endpoint& aEndpoint);
  /// \param aTo "ip:port"; a datagram that cannot be sent is dropped
  void Send(const std::string& aTo, std::string aBytes);
  uint64_t BytesSent() const;
  uint64_t BytesReceived() const;
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

}  // namespace rillwall
