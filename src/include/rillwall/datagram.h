/// \file
/// UDP socket for the datagrams that nodes exchange. The codec of the datagrams
/// is in gossip_codec.h, so that the protocol library does not depend on the
/// transport library.

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

/// Sends and receives datagrams. Thread-safe. The destructor calls Stop().
class DatagramSocket {
 public:
  /// Called for each datagram received. \p aFrom is the sender as "ip:port".
  using Handler =
      std::function<void(std::string_view aBytes, const std::string& aFrom)>;
  /// \param aContext runs the socket's operations and the handler
  DatagramSocket(asio::io_context& aContext, Handler aHandler);
  ~DatagramSocket();
  /// Binds the socket and starts receiving. Port 0 selects a free port.
  /// \return the endpoint bound; BadRequest if the host is not an IP number,
  /// Unavailable if the endpoint cannot be bound
  Result<Endpoint> Listen(const Endpoint& aEndpoint);
  /// Sends a datagram, or drops it if it cannot be sent.
  /// \param aTo the receiver as "ip:port"
  void Send(const std::string& aTo, std::string aBytes);
  /// \return the payload bytes sent so far
  uint64_t BytesSent() const;
  /// \return the payload bytes received so far
  uint64_t BytesReceived() const;
  /// Closes the socket. Datagrams that arrive later are not handled.
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

}  // namespace rillwall
