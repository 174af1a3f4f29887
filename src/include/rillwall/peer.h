/// \file
/// Remote calls between nodes, over gRPC with the messages of node.proto.
///
/// A PeerServer passes each call to its handler, a coroutine that runs on the
/// io_context. A PeerClient keeps one channel per peer, created on first use.
/// Messages are encoded as protobuf. gRPC's own service discovery and load
/// balancing are not used.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "node.pb.h"
#include "rillwall/error.h"
#include "rillwall/http.h"
#include "rillwall/millis.h"
#include "rillwall/tls.h"

namespace rillwall {

/// Handles the call of a peer. An Error is returned to the caller with its
/// kind.
using PeerHandler = std::function<asio::awaitable<Result<wire::PeerReply>>(
    wire::PeerRequest aRequest)>;

/// Serves the calls of peers on one address.
class PeerServer {
 public:
  /// \param aTls mutual TLS for all connections; the files are reloaded when
  /// they change, and files that cannot be loaded make Listen() fail. mPeerName
  /// is ignored: every certificate that the authority has signed is accepted.
  PeerServer(asio::io_context& aContext, PeerHandler aHandler,
             std::optional<TlsSettings> aTls = std::nullopt);
  ~PeerServer();
  /// Starts to serve. Port 0 selects a free port.
  /// \return the endpoint bound; an error if it cannot be bound or a TLS file
  /// cannot be loaded
  Result<Endpoint> Listen(const Endpoint& aEndpoint);
  /// Aborts the calls in flight, which fail with ConnectionLost at the clients,
  /// and closes all connections. The results of handlers that are still running
  /// are discarded.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// Calls peers. Thread-safe. Reconnects to a restarted peer within a second.
class PeerClient {
 public:
  /// \param aTls mutual TLS for all connections; the files are reloaded when
  /// they change. Calls fail until the files could be loaded once.
  explicit PeerClient(asio::io_context& aContext,
                      std::optional<TlsSettings> aTls = std::nullopt);
  /// Fails the calls in flight with ConnectionLost. The io_context must still
  /// exist.
  ~PeerClient();
  /// Calls a peer and waits for its reply. Calls are never retried.
  /// \param aAddress the peer's "ip:port"
  /// \return the reply, or Timeout, ConnectionLost or the error that the peer
  /// returned
  asio::awaitable<Result<wire::PeerReply>> Call(std::string aAddress,
                                                wire::PeerRequest aRequest,
                                                Millis aTimeout);
  /// Closes the channels to all peers but these.
  void Retain(const std::vector<std::string>& aAddresses);

 private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

}  // namespace rillwall
