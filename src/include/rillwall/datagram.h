/// \file
/// Datagrams between nodes: a UDP socket, and the codec of gossip messages.

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "rillwall/error.h"
#include "rillwall/http.h"
#include "rillwall/membership.h"

namespace rillwall {

/// \return the datagram's bytes
std::string EncodeGossip(const GossipMessage& aMessage);
/// \return the message, or BadRequest for anything not made by EncodeGossip
Result<GossipMessage> DecodeGossip(std::string_view aBytes);

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
