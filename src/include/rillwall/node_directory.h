/// \file
/// The other nodes, as far as this one has heard of them.
///
/// Nodes ask the lead what is new, several times within a second each; so it
/// knows which nodes there are, and tells each of them some of these. The list
/// is no membership: nobody counts on a node that it names. It serves to find
/// nodes that pass calls on to the store, and the candidates for the lead while
/// there is none, for both of which a dozen is enough. So what is told does not
/// grow with the number of nodes, and is told again only when one of those
/// named comes or goes.
///
/// With H nodes, one that asks again costs a lookup, a new one log H; nodes
/// that went silent are looked for once a second, in H.
/// Pure: the instant is an argument.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rillwall/millis.h"

namespace rillwall {

/// One node.
struct NodeEntry {
  std::string mAddress;  ///< where it answers other nodes, ip:port
  bool mTakesClients = false;
  std::string mZone;  ///< availability zone; empty: not told
  bool operator==(const NodeEntry&) const = default;
};

class NodeDirectory {
 public:
  /// A node has asked this one.
  void RecordContact(const NodeEntry& aNode, Millis aNow);
  /// Takes over another node's list, in place of this one's.
  void Adopt(const std::vector<NodeEntry>& aNodes, Millis aNow);
  /// \return nodes in the order of their addresses, without those that were
  /// silent while others were heard
  std::vector<NodeEntry> List() const;
  /// \return the nodes that others are told: all of them, or a fixed choice
  /// among many, of each kind
  std::vector<NodeEntry> Told() const;
  /// \return hosts that take clients among those heard of, rounded up so that
  /// it seldom changes
  size_t Hosts() const;
  /// \return whether List() names it
  bool Knows(const std::string& aAddress) const;
  /// \return a number that differs if Told() does
  uint64_t Tag() const { return mTag; }
  /// \param aSelf left out
  /// \return addresses to pass calls through: entry hosts first, since a host
  /// with a disk that is cut off is most often cut off from the others too
  std::vector<std::string> Relays(const std::string& aSelf) const;
  /// \return addresses of the candidates for the lead
  std::vector<std::string> Candidates(const std::string& aSelf) const;
  /// \return those of them in an availability zone
  std::vector<std::string> CandidatesIn(const std::string& aZone,
                                        const std::string& aSelf) const;
  /// Candidates that another node names; what is known of others stays.
  void AddCandidates(const std::vector<NodeEntry>& aNodes, Millis aNow);

 private:
  struct State {
    bool mTakesClients = false;
    std::string mZone;
    Millis mHeardAt;
  };
  /// Chosen by the hash of their addresses, which spreads them over the
  /// availability zones and stays the same whoever chooses.
  using Choice = std::map<uint64_t, NodeEntry>;

  /// Names a node to others if it comes before those named so far.
  void Consider(const NodeEntry& aNode);
  /// Removes the nodes that have gone silent.
  void ForgetSilent();
  void Rebuild();
  void UpdateTag();

  std::map<std::string, State> mNodes;  ///< by address
  size_t mHosts = 0;                    ///< of these, those that take clients
  Choice mToldEntries;                  ///< hosts that take clients
  Choice mToldOthers;
  uint64_t mTag = 0;
  Millis mNewest;   ///< when the last node was heard of
  Millis mSweptAt;  ///< when silent ones were looked for
};

}  // namespace rillwall
