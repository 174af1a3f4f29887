#include "rillwall/gossip_codec.h"

#include <google/protobuf/stubs/logging.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <mutex>

#include "node.pb.h"
#include "rillwall/wire_convert.h"

namespace rillwall {

namespace {

constexpr uint32_t kLastKind = static_cast<uint32_t>(GossipKind::Nack);
constexpr size_t kDigestBytes = 32;
/// Tag and length of field 7, the digest. The digest is encoded by hand as the
/// last field of the datagram, so that it covers exactly the preceding bytes
/// and is verified before anything is parsed.
constexpr std::string_view kDigestHeader{"\x3a\x20", 2};
constexpr size_t kTrailerBytes = kDigestBytes + kDigestHeader.size();

using Digest = std::array<unsigned char, kDigestBytes>;

Digest DigestOf(std::string_view aBytes, std::string_view aKey) {
  Digest out{};
  unsigned int size = out.size();
  HMAC(EVP_sha256(), aKey.data(), static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aBytes.data()), aBytes.size(),
       out.data(), &size);
  return out;
}

/// \return whether the datagram ends with a valid digest; false for an empty
/// key
bool HasValidDigest(std::string_view aBytes, std::string_view aKey) {
  if (aKey.empty() || aBytes.size() < kTrailerBytes) {
    return false;
  }
  const size_t bodySize = aBytes.size() - kTrailerBytes;
  if (aBytes.substr(bodySize, kDigestHeader.size()) != kDigestHeader) {
    return false;
  }
  const Digest digest = DigestOf(aBytes.substr(0, bodySize), aKey);
  const char* received = aBytes.data() + bodySize + kDigestHeader.size();
  return CRYPTO_memcmp(digest.data(), received, digest.size()) == 0;
}

/// Adds entries that peers accept, as far as the datagram's limits allow.
/// \param aSize size of the datagram; increased by the added entries
template <class Entry, class Field>
void AddEntries(const std::vector<Entry>& aEntries, Field* aField,
                size_t& aSize) {
  constexpr size_t kMaxEntryOverhead = 4;  // tag and length of an entry
  for (const Entry& entry : aEntries) {
    if (aField->size() == kMaxGossipEntries) {
      return;
    }
    if (!FitsWire(entry)) {
      continue;
    }
    auto message = ToWire(entry);
    const size_t size = message.ByteSizeLong() + kMaxEntryOverhead;
    if (aSize + size > kMaxGossipBytes) {
      continue;
    }
    aSize += size;
    *aField->Add() = std::move(message);
  }
}

/// Disables the protobuf log. It writes a line to standard error for each
/// string that is not UTF-8, so anyone who can send datagrams could fill the
/// host's logs. The Result reports the error instead.
void SilenceProtobufLog() {
  static std::once_flag sOnce;
  std::call_once(sOnce, [] { google::protobuf::SetLogHandler(nullptr); });
}

Error Malformed(std::string aDetail) {
  return Error(ErrorKind::BadRequest, std::move(aDetail));
}

Result<GossipMessage> MessageFrom(const wire::Gossip& aGossip) {
  if (aGossip.kind() > kLastKind) {
    return Malformed("A datagram has an unknown kind.");
  }
  if (aGossip.from().empty() || !FitsWire(aGossip.from()) ||
      !FitsWire(aGossip.target())) {
    return Malformed("A datagram's sender or target is not valid.");
  }
  if (aGossip.members_size() > kMaxGossipEntries ||
      aGossip.facts_size() > kMaxGossipEntries) {
    return Malformed("A datagram holds too many members or facts.");
  }
  GossipMessage out;
  out.mKind = static_cast<GossipKind>(aGossip.kind());
  out.mFrom = aGossip.from();
  out.mTarget = aGossip.target();
  out.mSequence = aGossip.sequence();
  for (const wire::Member& each : aGossip.members()) {
    Result<Member> member = FromWire(each);
    if (!member) {
      return member.error();
    }
    out.mMembers.push_back(std::move(*member));
  }
  for (const wire::Fact& each : aGossip.facts()) {
    Result<Fact> fact = FromWire(each);
    if (!fact) {
      return fact.error();
    }
    out.mFacts.push_back(std::move(*fact));
  }
  return out;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& aMessage, std::string_view aKey) {
  wire::Gossip gossip;
  gossip.set_kind(static_cast<uint32_t>(aMessage.mKind));
  gossip.set_from(aMessage.mFrom);
  gossip.set_target(aMessage.mTarget);
  gossip.set_sequence(aMessage.mSequence);
  size_t size = gossip.ByteSizeLong() + kTrailerBytes;
  AddEntries(aMessage.mMembers, gossip.mutable_members(), size);
  AddEntries(aMessage.mFacts, gossip.mutable_facts(), size);
  std::string out = gossip.SerializeAsString();
  if (!aKey.empty()) {
    const Digest digest = DigestOf(out, aKey);
    out.append(kDigestHeader);
    out.append(digest.begin(), digest.end());
  }
  return out;
}

Result<GossipMessage> DecodeGossip(std::string_view aBytes,
                                   std::string_view aKey,
                                   std::string_view aOtherKey) {
  if (aBytes.size() > kMaxGossipBytes) {
    return Malformed("A datagram is too large.");
  }
  const bool digestRequired = !aKey.empty() || !aOtherKey.empty();
  if (digestRequired && !HasValidDigest(aBytes, aKey) &&
      !HasValidDigest(aBytes, aOtherKey)) {
    return Error(ErrorKind::Unauthorized,
                 "A datagram is not signed with the fleet's shared key.");
  }
  SilenceProtobufLog();
  wire::Gossip gossip;
  if (!gossip.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return Malformed("A datagram is not a gossip message.");
  }
  return MessageFrom(gossip);
}

}  // namespace rillwall
