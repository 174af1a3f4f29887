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
#include <string>

#include "node.pb.h"
#include "rillwall/error.h"
#include "rillwall/http.h"
#include "rillwall/millis.h"

namespace rillwall {

/// Answers a call of a peer. An Error travels back with its kind.
using PeerHandler = std::function<asio::awaitable<Result<wire::PeerReply>>(
    wire::PeerRequest aRequest)>;

class PeerServer {
 public:
  PeerServer(asio::io_context& aContext, PeerHandler aHandler);
  ~PeerServer();
  Result<Endpoint> Listen(const Endpoint& aEndpoint);
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

class PeerClient {
 public:
  explicit PeerClient(asio::io_context& aContext);
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
