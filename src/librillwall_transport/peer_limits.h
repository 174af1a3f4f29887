/// \file
/// Limits and timings that both ends of the calls between nodes agree on.

#pragma once

#include <grpc/compression.h>

namespace rillwall {

/// Largest message, both ways.
inline constexpr int kMaxPeerMessageBytes = 64 * 1024 * 1024;
/// While a call is in flight, the client asks after this silence whether the
/// peer is there, and gives the connection up after the second span.
inline constexpr int kPeerKeepaliveMs = 10000;
inline constexpr int kPeerKeepaliveTimeoutMs = 5000;

/// \return how a request or reply is compressed. The full exchanges of gossip
/// are most of what a node sends for control, and consist of like entries;
/// samples are left as they are, which spares processor time.
template <class Message>
grpc_compression_algorithm PeerCompression(const Message& aMessage) {
  return aMessage.has_exchange() ? GRPC_COMPRESS_GZIP : GRPC_COMPRESS_NONE;
}

}  // namespace rillwall
