/// \file
/// Implementation of Membership, which connects its parts.

#pragma once

#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "fact_table.h"
#include "membership_composer.h"
#include "membership_probe.h"
#include "membership_table.h"
#include "rillwall/membership.h"

namespace rillwall {

/// State and steps of Membership. Handling of received records is in
/// membership_receive.cpp, the rest in membership.cpp.
struct Membership::Impl {
  Impl(const Member& aSelf, std::vector<std::string> aSeeds,
       const GossipLimits& aLimits, uint64_t aSeed);

  /// How a record was received.
  enum class Source { Datagram, Exchange };

  /// Sends the prober's datagrams with the updates that their receivers need.
  void Send(const ProbeStep& aStep, GossipActions& aActions);
  void Send(const GossipHeader& aHeader,
            const std::vector<UpdateKey>& aPriority, GossipActions& aActions);
  /// \return updates that a ping carries before pending ones
  std::vector<UpdateKey> PingUpdates(const std::string& aTarget);
  /// Sends pending updates to random members.
  void GossipUpdates(Millis aNow, GossipActions& aActions);
  /// Pings a random seed: often while this node knows no other, rarely after.
  void PingSeed(Millis aNow, GossipActions& aActions);
  /// Probes a random dead member from time to time, to heal a partition.
  void ProbeDead(Millis aNow, GossipActions& aActions);

  void Receive(const GossipMessage& aMessage, std::string_view aFrom,
               Millis aNow, GossipActions& aActions);
  void OnPing(const GossipMessage& aMessage, std::string_view aFrom,
              Millis aNow, GossipActions& aActions);
  void OnPingRequest(const GossipMessage& aMessage, std::string_view aFrom,
                     Millis aNow, GossipActions& aActions);
  void OnAck(const GossipMessage& aMessage, std::string_view aFrom, Millis aNow,
             GossipActions& aActions);
  void OnNack(const GossipMessage& aMessage, std::string_view aFrom,
              Millis aNow, GossipActions& aActions);
  void MergeMember(const Member& aRecord, Source aSource, Millis aNow,
                   GossipActions& aActions);
  /// Refutes a record that claims that this node is suspect or dead.
  void MergeAboutSelf(const Member& aRecord, GossipActions& aActions);
  /// \param aForward whether to gossip a new fact
  void MergeFact(const Fact& aFact, bool aForward, GossipActions& aActions);
  /// \return the record, with an unexpected death downgraded to a suspicion
  Member DowngradeToSuspect(const Member& aRecord, Source aSource,
                            Millis aNow) const;

  /// Discards outstanding probes and restarts timers if this node has not run
  /// for a while, because it could not receive answers.
  void CheckStall(Millis aNow);
  /// Handles a member that failed its probe.
  void Suspect(const std::string& aId, Millis aNow, GossipActions& aActions);
  /// Records, gossips and reports a state that this node has concluded.
  void SetState(const std::string& aId, MemberState aState, Millis aNow,
                GossipActions& aActions);
  void ExpireSuspicions(Millis aNow, GossipActions& aActions);
  /// \return time from suspect to dead if this node is healthy
  Millis MinSuspicionTimeout() const;
  /// \return time from suspect to dead, scaled by the health of this node
  Millis SuspicionTimeout() const;
  /// \return whether this node started only recently
  bool IsNewcomer(Millis aNow) const;

  GossipLimits mLimits;
  std::vector<std::string> mSeeds;
  std::mt19937_64 mRandom;
  MemberTable mTable;
  FactTable mFacts;
  GossipComposer mComposer;
  Prober mProber;
  /// Members and facts of which the sender has outdated records.
  std::vector<UpdateKey> mCorrections;
  std::optional<Millis> mFirstTick;
  Millis mLastTick;
  Millis mIgnoreDatagramsUntil;  ///< until then, datagrams may be outdated
  Millis mNextGossip;
  Millis mNextDeadProbe;
  Millis mNextSeedPing;
};

}  // namespace rillwall
