/// \file
/// Codec of gossip datagrams: the protobuf message rillwall.wire.Gossip. If
/// the fleet shares a key, an HMAC-SHA256 of all preceding bytes follows.
///
/// A datagram replayed by a third party is harmless: members and facts are
/// merged by incarnation and revision, and an acknowledgement counts only for
/// the probe with its sequence number.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "rillwall/error.h"
#include "rillwall/membership.h"

namespace rillwall {

/// Largest datagram that is decoded.
inline constexpr size_t kMaxGossipBytes = 8192;
/// Most members and most facts in one datagram.
inline constexpr int kMaxGossipEntries = 256;

/// Encodes a datagram. Members and facts that peers would reject (see
/// FitsWire) or that exceed the datagram's limits are omitted.
/// \param aKey shared key of the fleet; empty: the datagram is not signed
/// \return the bytes of the datagram
std::string EncodeGossip(const GossipMessage& aMessage,
                         std::string_view aKey = {});

/// Decodes a datagram. Unknown fields, which a newer release may send, are
/// ignored.
/// \param aKey shared key of the fleet
/// \param aOtherKey second accepted key, for key rotation; if both keys are
/// empty, digests are not checked
/// \return the message; Unauthorized for a missing or wrong digest; BadRequest
/// for anything else that EncodeGossip does not produce
Result<GossipMessage> DecodeGossip(std::string_view aBytes,
                                   std::string_view aKey = {},
                                   std::string_view aOtherKey = {});

}  // namespace rillwall
