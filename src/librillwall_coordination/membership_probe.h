/// \file
/// Probes of the failure detector: which member to probe, which datagrams to
/// send, and which probe failed.

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

/// Local health of this node, after Lifeguard: a node that misses answers
/// assumes that it is slow itself and gives the other members more time.
class LocalHealth {
 public:
  void Improve();
  void Worsen(int aBy);
  /// \return factor for timeouts, 1 for a healthy node
  int Factor() const { return mScore + 1; }

 private:
  int mScore = 0;
};

/// Order of probes: all other members in random order, each once per round.
class ProbeOrder {
 public:
  /// \return the next member that is not dead, or nullptr if there is none
  const Member* Next(const MemberTable& aTable, std::mt19937_64& aRandom);
  /// Adds a new member at a random position in the current round.
  void Add(const std::string& aId, std::mt19937_64& aRandom);

 private:
  const Member* NextOfRound(const MemberTable& aTable);

  std::vector<std::string> mRound;
  size_t mPosition = 0;
};

/// Result of a step of the failure detector.
struct ProbeStep {
  std::vector<GossipHeader> mDatagrams;  ///< to send
  std::string mFailed;  ///< ID of the member whose probe failed, or empty
};

/// Probes one member per period, directly and then through other members. Also
/// probes on behalf of other nodes (relays).
class Prober {
 public:
  explicit Prober(const GossipLimits& aLimits);

  ProbeStep Tick(const MemberTable& aTable, std::mt19937_64& aRandom,
                 Millis aNow);
  /// Starts the probe of aMessage.mTarget that another node requests.
  ProbeStep Relay(const GossipMessage& aMessage, std::string_view aFrom,
                  const MemberTable& aTable, Millis aNow);
  /// Handles the answer to this node's own probe or to a relayed one.
  ProbeStep HandleAck(const GossipMessage& aMessage);
  /// Records that a relay works although its probe got no answer.
  void HandleNack(const GossipMessage& aMessage);
  /// Drops all outstanding probes, after a stall of this node.
  void Discard(Millis aNow);

  void AddMember(const std::string& aId, std::mt19937_64& aRandom) {
    mOrder.Add(aId, aRandom);
  }
  LocalHealth& Health() { return mHealth; }
  const LocalHealth& Health() const { return mHealth; }
  uint64_t NextSequence() { return ++mSequence; }

 private:
  /// This node's own probe of the current period.
  struct Outstanding {
    std::string mTarget;
    uint64_t mSequence = 0;
    Millis mIndirectAt;
    Millis mFailsAt;
    bool mIndirect = false;
    int mNacksMissing = 0;
  };
  /// Probe on behalf of another node.
  struct RelayedProbe {
    std::string mTarget;
    std::string mOrigin;  ///< "ip:port"
    uint64_t mOriginSequence = 0;
    Millis mFailsAt;
  };

  void StartProbe(const MemberTable& aTable, std::mt19937_64& aRandom,
                  Millis aNow, ProbeStep& aStep);
  void SendIndirectProbes(const MemberTable& aTable, std::mt19937_64& aRandom,
                          ProbeStep& aStep);
  void FailProbe(ProbeStep& aStep);
  void ExpireRelays(Millis aNow, ProbeStep& aStep);

  GossipLimits mLimits;
  ProbeOrder mOrder;
  LocalHealth mHealth;
  std::optional<Outstanding> mOutstanding;
  std::map<uint64_t, RelayedProbe> mRelays;  ///< by the sequence of this node
  uint64_t mSequence = 0;
  std::optional<Millis> mNextStart;
};

}  // namespace rillwall
