/// \file
/// Limits and timings shared by client and server of the calls between nodes.

#pragma once

#include <grpc/compression.h>

namespace rillwall {

/// Largest request or reply.
inline constexpr int kMaxPeerMessageBytes = 64 * 1024 * 1024;
/// While a call is in flight, the client sends a keepalive ping after this time
/// without traffic.
inline constexpr int kPeerKeepaliveMs = 10000;
/// The client closes the connection if a ping is not acknowledged in this time.
inline constexpr int kPeerKeepaliveTimeoutMs = 5000;

/// \return the compression of a request or reply. Full gossip exchanges are
/// compressed because they are most of a node's control traffic and consist of
/// similar entries. Samples are not compressed, to save processor time.
template <class Message>
grpc_compression_algorithm PeerCompression(const Message& aMessage) {
  return aMessage.has_exchange() ? GRPC_COMPRESS_GZIP : GRPC_COMPRESS_NONE;
}

}  // namespace rillwall
