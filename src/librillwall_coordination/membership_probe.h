/// \file
/// The failure detector's probes: whom to probe, what to send, what failed.

#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "membership_composer.h"
#include "membership_table.h"
#include "rillwall/membership.h"

namespace rillwall {

/// How well this node itself keeps up, after Lifeguard: a node that misses
/// answers doubts itself first and gives the others more time.
class LocalHealth {
 public:
  void Improve();
  void Worsen(int aBy);
  /// \return the factor for spans of time, 1 for a healthy node
  int Factor() const { return mScore + 1; }

 private:
  int mScore = 0;
};

/// Whom to probe next: all others in a random order, each once a round.
class ProbeOrder {
 public:
  /// \return the next member that is not dead, or nullptr if there is none
  const Member* Next(const MemberTable& aTable, std::mt19937_64& aRandom);
  /// Adds a new member at a random place of the present round.
  void Add(const std::string& aId, std::mt19937_64& aRandom);

 private:
  const Member* NextOfRound(const MemberTable& aTable);

  std::vector<std::string> mRound;
  size_t mPlace = 0;
};

/// What a step of the detector gives.
struct ProbeStep {
  std::vector<GossipHead> mDatagrams;
  std::string mFailed;  ///< id of a member that answered nobody; or empty
};

/// Probes one member a period: directly, then through others. Also probes on
/// behalf of others (relays).
class Prober {
 public:
  explicit Prober(const GossipLimits& aLimits);

  ProbeStep Tick(const MemberTable& aTable, std::mt19937_64& aRandom,
                 Millis aNow);
  /// Another node asks for a probe of aMessage.mTarget.
  ProbeStep Relay(const GossipMessage& aMessage, std::string_view aFrom,
                  const MemberTable& aTable, Millis aNow);
  ProbeStep Ack(const GossipMessage& aMessage);
  void Nack(const GossipMessage& aMessage);
  /// Forgets what is outstanding, after a stall of this node.
  void Discard(Millis aNow);

  void AddMember(const std::string& aId, std::mt19937_64& aRandom) {
    mOrder.Add(aId, aRandom);
  }
  LocalHealth& Health() { return mHealth; }
  const LocalHealth& Health() const { return mHealth; }
  uint64_t NextSequence() { return ++mSequence; }

 private:
  /// The probe of this period.
  struct Outstanding {
    std::string mTarget;
    uint64_t mSequence = 0;
    Millis mIndirectAt;
    Millis mFailsAt;
    bool mIndirect = false;
    int mNacksMissing = 0;
  };
  /// A probe on behalf of another node.
  struct RelayedProbe {
    std::string mTarget;
    std::string mOrigin;  ///< "ip:port"
    uint64_t mOriginSequence = 0;
    Millis mFailsAt;
  };

  void Start(const MemberTable& aTable, std::mt19937_64& aRandom, Millis aNow,
             ProbeStep& aStep);
  void GoIndirect(const MemberTable& aTable, std::mt19937_64& aRandom,
                  ProbeStep& aStep);
  void Fail(ProbeStep& aStep);
  void ExpireRelays(Millis aNow, ProbeStep& aStep);

  GossipLimits mLimits;
  ProbeOrder mOrder;
  LocalHealth mHealth;
  std::optional<Outstanding> mOutstanding;
  std::map<uint64_t, RelayedProbe> mRelays;  ///< by our sequence
  uint64_t mSequence = 0;
  std::optional<Millis> mNextStart;
};

}  // namespace rillwall
