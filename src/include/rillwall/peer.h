/// \file
/// Calls between nodes, over gRPC with the messages of node.proto.
///
/// A PeerServer hands each call to the handler of its kind, a coroutine on the
/// io_context. A PeerClient keeps one channel a peer, made on first use. Codec
/// is protobuf; no discovery or balancing of gRPC's own is used.

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

/// Answers a call of a peer. An Error travels back with its kind.
using PeerHandler = std::function<asio::awaitable<Result<wire::PeerReply>>(
    wire::PeerRequest aRequest)>;

class PeerServer {
 public:
  /// \param aTls mutual TLS for all connections; its files are read again when
  /// they change. mPeerName is not used: any certificate of the authority is
  /// taken. Wrong files fail Listen().
  PeerServer(asio::io_context& aContext, PeerHandler aHandler,
             std::optional<TlsSettings> aTls = std::nullopt);
  ~PeerServer();
  /// Starts to serve. Port 0 takes a free one.
  /// \return the endpoint taken
  Result<Endpoint> Listen(const Endpoint& aEndpoint);
  /// Ends the calls in flight, which the clients see as ConnectionLost, and
  /// closes all connections. Handlers that still run lose their result.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// Thread-safe. A peer that was restarted is reached again within a second.
class PeerClient {
 public:
  /// \param aTls mutual TLS for all connections; its files are read again when
  /// they change. While they are wrong from the start, calls fail.
  explicit PeerClient(asio::io_context& aContext,
                      std::optional<TlsSettings> aTls = std::nullopt);
  /// Ends the calls in flight as ConnectionLost. The io_context must still be
  /// there.
  ~PeerClient();
  /// \param aAddress the peer's "ip:port"
  /// \return the reply; Timeout, ConnectionLost or the peer's own error
  asio::awaitable<Result<wire::PeerReply>> Call(std::string aAddress,
                                                wire::PeerRequest aRequest,
                                                Millis aTimeout);
  /// Drops channels to peers other than these.
  void Retain(const std::vector<std::string>& aAddresses);

 private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

}  // namespace rillwall
