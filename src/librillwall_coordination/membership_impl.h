/// \file
/// The parts of a node's membership, wired together.

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

/// What stands behind Membership. Receiving is in membership_receive.cpp, the
/// rest in membership.cpp.
struct Membership::Impl {
  Impl(const Member& aSelf, std::vector<std::string> aSeeds,
       const GossipLimits& aLimits, uint64_t aSeed);

  /// Where a record came from.
  enum class Source { Datagram, Exchange };

  /// Sends the prober's datagrams with what their receivers should know.
  void Send(const ProbeStep& aStep, GossipActions& aActions);
  void Send(const GossipHead& aHead, const std::vector<NewsKey>& aFirst,
            GossipActions& aActions);
  /// What a ping says before other news.
  std::vector<NewsKey> PingNews(const std::string& aTarget);
  /// Passes news on to random members.
  void Spread(Millis aNow, GossipActions& aActions);
  void TrySeeds(Millis aNow, GossipActions& aActions);
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
  void TakeMember(const Member& aRecord, Source aSource, Millis aNow,
                  GossipActions& aActions);
  void TakeAboutSelf(const Member& aRecord, GossipActions& aActions);
  void TakeFact(const Fact& aFact, bool aPassOn, GossipActions& aActions);
  /// \return a record of a death as a suspicion if it comes unexpected
  Member AsSuspicion(const Member& aRecord, Source aSource, Millis aNow) const;

  /// Doubts this node itself after it has not run for a while.
  void CheckStall(Millis aNow);
  void Suspect(const std::string& aId, Millis aNow, GossipActions& aActions);
  void Conclude(const std::string& aId, MemberState aState, Millis aNow,
                GossipActions& aActions);
  void ExpireSuspicions(Millis aNow, GossipActions& aActions);
  /// \return time from suspect to dead for a node in good health
  Millis LeastSuspicion() const;
  /// \return time from suspect to dead for this node
  Millis SuspicionSpan() const;
  bool IsNewcomer(Millis aNow) const;

  GossipLimits mLimits;
  std::vector<std::string> mSeeds;
  std::mt19937_64 mRandom;
  MemberTable mTable;
  FactTable mFacts;
  GossipComposer mComposer;
  Prober mProber;
  std::vector<NewsKey> mCorrections;  ///< what the sender holds wrongly
  std::optional<Millis> mFirstTick;
  Millis mLastTick;
  Millis mDeafUntil;  ///< datagrams that arrive before are out of date
  Millis mNextSpread;
  Millis mNextRevive;
  Millis mNextSeed;
};

}  // namespace rillwall
