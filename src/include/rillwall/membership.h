/// \file
/// Gossip membership of the fleet, and the small facts that all nodes share.
///
/// A SWIM failure detector with infection-style dissemination. In every period
/// a node probes one member, directly and then through other members. A member
/// that does not answer is suspected and is declared dead unless it refutes the
/// suspicion with a higher incarnation.
///
/// Facts are registers keyed by name in which the greatest revision wins, so
/// that they can be merged in any order. They carry the newest weight version,
/// the policy revision and the upstreams that are leaving.
///
/// Sans-IO and single-threaded: events and a time go in, datagrams and changes
/// come out. The owner sends the datagrams. Every few seconds it also exchanges
/// the full state with a random peer (Snapshot and Merge), which repairs the
/// loss of datagrams.

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

/// State of a member. At equal incarnation a later enumerator overrides an
/// earlier one.
enum class MemberState { Alive, Suspect, Leaving, Dead };

/// Record of one node that the nodes exchange.
struct Member {
  std::string mId;            ///< unique; constant while the process runs
  std::string mZone;          ///< availability zone
  std::string mGossip;        ///< "ip:port" for gossip datagrams
  std::string mRpc;           ///< "ip:port" for RPC between nodes
  std::string mHttp;          ///< "ip:port" for client requests
  uint64_t mIncarnation = 0;  ///< raised to refute a suspicion
  MemberState mState = MemberState::Alive;
  bool operator==(const Member&) const = default;
};

/// Shared register. The greatest revision wins, then the greatest value.
struct Fact {
  std::string mKey;
  uint64_t mRevision = 0;
  std::string mValue;
  bool operator==(const Fact&) const = default;
};

/// Kind of a datagram. An Ack with sequence 0 answers no ping and only carries
/// updates.
enum class GossipKind { Ping, PingRequest, Ack, Nack };

/// Contents of one datagram.
struct GossipMessage {
  GossipKind mKind = GossipKind::Ping;
  std::string mFrom;             ///< ID of the sender
  std::string mTarget;           ///< ID of the member probed; empty: any
  uint64_t mSequence = 0;        ///< matches answers with pings
  std::vector<Member> mMembers;  ///< updates of members
  std::vector<Fact> mFacts;      ///< updates of facts
  bool operator==(const GossipMessage&) const = default;
};

/// A datagram to send.
struct GossipDatagram {
  std::string mTo;  ///< "ip:port"
  GossipMessage mMessage;
};

/// Result of one step: datagrams to send and changes to act on.
struct GossipActions {
  std::vector<GossipDatagram> mDatagrams;
  /// Members that joined or changed state. This node itself is among them when
  /// it learns that it was declared dead, because its duties then went to other
  /// nodes.
  std::vector<Member> mChangedMembers;
  std::vector<Fact> mUpdatedFacts;  ///< facts with a new revision
};

/// Full state of a node, for the exchange with a peer.
struct GossipState {
  std::vector<Member> mMembers;
  std::vector<Fact> mFacts;
};

/// Timing and size limits of the gossip protocol.
struct GossipLimits {
  Millis mProbePeriod{500};       ///< one member is probed per period
  Millis mProbeTimeout{200};      ///< from a ping to the indirect probes
  Millis mMinSuspicion{2500};     ///< minimum time from suspect to dead
  Millis mDeadRetention{60000};   ///< from death to removal of the record
  size_t mIndirectProbes = 3;     ///< members asked to probe a silent one
  size_t mMaxUpdateBytes = 1000;  ///< estimated bytes of updates in a datagram
  Millis mGossipPeriod{250};      ///< between rounds of gossip, if updates wait
  size_t mGossipFanout = 2;       ///< members that receive a round of gossip
};

/// Membership as seen by one node.
class Membership {
 public:
  /// \param aSelf this node; its incarnation must exceed that of earlier
  /// processes with this ID
  /// \param aSeeds gossip addresses ("ip:port") of nodes to join through
  /// \param aSeed seed of the random engine
  Membership(Member aSelf, std::vector<std::string> aSeeds,
             GossipLimits aLimits, uint64_t aSeed);
  ~Membership();

  /// Runs the timers: probes, suspicions, gossip. Call it at least every 50 ms.
  GossipActions Tick(Millis aNow);
  /// Handles a datagram that has arrived.
  /// \param aFrom the sender's "ip:port"
  GossipActions Receive(const GossipMessage& aMessage, std::string_view aFrom,
                        Millis aNow);
  /// Merges a peer's full state.
  GossipActions Merge(const GossipState& aState, Millis aNow);
  /// \return the full state, for a peer to merge
  GossipState Snapshot() const;
  /// \return a digest of the members that are not dead and of the facts. Nodes
  /// with equal digests can omit a full exchange.
  uint64_t Digest() const;
  /// Publishes a fact. It is ignored unless it is newer than the known one.
  GossipActions SetFact(Fact aFact, Millis aNow);
  /// Announces that this node is leaving, so that its duties go to other nodes
  /// at once.
  GossipActions Leave(Millis aNow);

  const Member& Self() const;
  /// \return members that hold duties: alive or suspect ones, ordered by ID.
  /// This node is among them unless it is leaving.
  std::vector<Member> Live() const;
  /// \return all known members, including dead ones, ordered by ID
  std::vector<Member> All() const;
  /// \return the fact with this key, or nullptr
  const Fact* FindFact(std::string_view aKey) const;
  /// \return facts whose key starts with aPrefix, ordered by key
  std::vector<Fact> FactsWithPrefix(std::string_view aPrefix) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// Selects the members responsible for a duty by rendezvous hashing. A change
/// of membership moves only the duties of the members that changed.
/// \param aDuty name of the duty, such as "step/letters/7"
/// \return up to aCount members, the owner first; empty if there are none
std::vector<Member> DutyOwners(const std::vector<Member>& aLive,
                               std::string_view aDuty, size_t aCount);

}  // namespace rillwall
