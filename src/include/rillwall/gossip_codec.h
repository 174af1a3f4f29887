/// \file
/// The codec of gossip datagrams: the protobuf message rillwall.wire.Gossip,
/// with an HMAC-SHA256 over all bytes before it when the fleet shares a key.
///
/// A datagram that was repeated by a third party is harmless: members and
/// facts are merged by incarnation and revision, and an acknowledgement counts
/// only for the probe whose sequence it names.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "rillwall/error.h"
#include "rillwall/membership.h"

namespace rillwall {

/// Largest datagram that is read.
inline constexpr size_t kMaxGossipBytes = 8192;
/// Most members and most facts in one datagram.
inline constexpr int kMaxGossipEntries = 256;

/// Members and facts that no peer would take (see FitsWire) and those over
/// the datagram's limits are left out.
/// \param aKey the fleet's shared key; empty: the datagram is not signed
/// \return the datagram's bytes
std::string EncodeGossip(const GossipMessage& aMessage,
                         std::string_view aKey = {});

/// \param aKey the fleet's shared key; empty: digests are not looked at
/// \param aOtherKey a second key that is taken too, while the fleet goes over
/// from one key to another; empty: none
/// \return the message; Unauthorized for a missing or wrong digest; BadRequest
/// for anything else not made by EncodeGossip. Fields that only a newer node
/// knows are passed over.
Result<GossipMessage> DecodeGossip(std::string_view aBytes,
                                   std::string_view aKey = {},
                                   std::string_view aOtherKey = {});

}  // namespace rillwall
