/// \file
/// Who is in the fleet, and the small facts that all nodes share.
///
/// A SWIM failure detector with infection-style spread: every period a node
/// probes one member, directly and then through others; a member that answers
/// nobody is suspected and, unless it refutes with a higher incarnation, dead.
/// Facts are registers keyed by name in which the greatest revision wins, so
/// that they can be merged in any order; the newest weight version, the policy
/// revision and leaving upstreams travel this way.
///
/// Sans-IO and single-threaded: events and a time go in, datagrams and changes
/// come out. The owner sends the datagrams and carries out a full exchange
/// (Snapshot and Merge) with a random peer every few seconds to repair losses.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/millis.h"

namespace rillwall {

/// A member's state in the order in which it overrides at equal incarnation.
enum class MemberState { Alive, Suspect, Leaving, Dead };

/// One node as its peers know it.
struct Member {
  std::string mId;      ///< unique and kept over the process's life
  std::string mZone;    ///< availability zone
  std::string mGossip;  ///< "ip:port" for datagrams
  std::string mRpc;     ///< "ip:port" for calls between nodes
  std::string mHttp;    ///< "ip:port" for callers
  uint64_t mIncarnation = 0;
  MemberState mState = MemberState::Alive;
  bool operator==(const Member&) const = default;
};

/// A shared register: the greatest revision wins, then the greatest value.
struct Fact {
  std::string mKey;
  uint64_t mRevision = 0;
  std::string mValue;
  bool operator==(const Fact&) const = default;
};

/// An Ack of sequence 0 answers nothing; it only carries news.
enum class GossipKind { Ping, PingRequest, Ack, Nack };

/// What one datagram says.
struct GossipMessage {
  GossipKind mKind = GossipKind::Ping;
  std::string mFrom;    ///< sender's id
  std::string mTarget;  ///< id of the member probed
  uint64_t mSequence = 0;
  std::vector<Member> mMembers;  ///< news about members
  std::vector<Fact> mFacts;      ///< news about facts
  bool operator==(const GossipMessage&) const = default;
};

/// A datagram to send.
struct GossipDatagram {
  std::string mTo;  ///< "ip:port"
  GossipMessage mMessage;
};

/// What one step asks its owner to do and tells it.
struct GossipActions {
  std::vector<GossipDatagram> mDatagrams;
  /// Members that joined or changed state. This node itself is among them when
  /// it learns that it was taken for dead, so that its duties went to others.
  std::vector<Member> mChangedMembers;
  std::vector<Fact> mUpdatedFacts;  ///< facts with a new revision
};

/// Everything a node knows, for a full exchange.
struct GossipState {
  std::vector<Member> mMembers;
  std::vector<Fact> mFacts;
};

struct GossipLimits {
  Millis mProbePeriod{500};
  Millis mProbeTimeout{200};  ///< until indirect probes are asked for
  Millis mSuspicion{2500};    ///< least time from suspect to dead
  Millis mForgetDead{60000};  ///< how long a dead member is remembered
  size_t mIndirectProbes = 3;
  size_t mMaxNewsBytes = 1000;  ///< estimated bytes of news in a datagram
  Millis mSpreadPeriod{250};    ///< between rounds of news, if there is any
  size_t mSpreadFanout = 2;     ///< members told in a round
};

class Membership {
 public:
  /// \param aSelf this node; its incarnation must exceed that of earlier lives
  /// \param aSeeds gossip addresses ("ip:port") to join through
  /// \param aSeed start of the random engine
  Membership(Member aSelf, std::vector<std::string> aSeeds,
             GossipLimits aLimits, uint64_t aSeed);
  ~Membership();

  /// Call at least every 50 ms.
  GossipActions Tick(Millis aNow);
  /// A datagram has arrived.
  /// \param aFrom the sender's "ip:port"
  GossipActions Receive(const GossipMessage& aMessage, std::string_view aFrom,
                        Millis aNow);
  /// A peer's full state has arrived.
  GossipActions Merge(const GossipState& aState, Millis aNow);
  GossipState Snapshot() const;
  /// \return a digest of the members not dead and the facts. Nodes that know
  /// the same have the same one, so that they can omit a full exchange.
  uint64_t Digest() const;
  /// Publishes a fact; ignored unless newer than the one known.
  GossipActions SetFact(Fact aFact, Millis aNow);
  /// Says that this node is leaving; its duties go to others at once.
  GossipActions Leave(Millis aNow);

  const Member& Self() const;
  /// \return members that hold duties: alive or suspect, itself included
  /// unless leaving, ordered by id
  std::vector<Member> Live() const;
  /// \return all members known, dead ones included, ordered by id
  std::vector<Member> All() const;
  const Fact* FindFact(std::string_view aKey) const;
  /// \return facts whose key starts with aPrefix, ordered by key
  std::vector<Fact> FactsWithPrefix(std::string_view aPrefix) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// Rendezvous hashing: the owner of a duty among the live members. A change of
/// membership moves only the duties of the members that changed.
/// \param aDuty the duty's name, such as "step/letters/7"
/// \return up to aCount members, the owner first; empty if there is none
std::vector<Member> DutyOwners(const std::vector<Member>& aLive,
                               std::string_view aDuty, size_t aCount);

}  // namespace rillwall
