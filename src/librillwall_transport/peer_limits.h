/// \file
/// Limits and timings that both ends of the calls between nodes agree on.

#pragma once

namespace rillwall {

/// Largest message, both ways.
inline constexpr int kMaxPeerMessageBytes = 64 * 1024 * 1024;
/// While a call is in flight, the client asks after this silence whether the
/// peer is there, and gives the connection up after the second span.
inline constexpr int kPeerKeepaliveMs = 10000;
inline constexpr int kPeerKeepaliveTimeoutMs = 5000;

}  // namespace rillwall
