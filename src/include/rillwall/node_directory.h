/// \file
/// The other nodes that this node knows of.
///
/// Nodes regularly ask the lead, the elected host, for updates. The lead
/// therefore knows which nodes exist, and advertises some of them to each node.
/// The list is not a membership: nothing relies on a listed node being alive.
/// It is used to find nodes that relay calls to the store, and to find the
/// candidates for the lead while there is none. A dozen nodes are enough for
/// both. The size of the advertised list therefore does not grow with the
/// number of nodes, and it is sent again only when one of the listed nodes is
/// added or removed.
///
/// With H nodes, a contact of a known node costs a lookup and one of a new node
/// O(log H). Silent nodes are removed once a second, in O(H). Pure: the current
/// time is an argument.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rillwall/millis.h"

namespace rillwall {

/// One node.
struct NodeEntry {
  std::string mAddress;  ///< address for other nodes, ip:port
  /// It is an entry host, which accepts client requests; otherwise it is a
  /// candidate for the lead.
  bool mTakesClients = false;
  std::string mZone;  ///< availability zone; empty if unknown
  bool operator==(const NodeEntry&) const = default;
};

/// Nodes known to this node, and the subset that it advertises to others.
class NodeDirectory {
 public:
  /// Records that a node has contacted this one.
  void RecordContact(const NodeEntry& aNode, Millis aNow);
  /// Replaces the list with that of another node.
  void Adopt(const std::vector<NodeEntry>& aNodes, Millis aNow);
  /// \return known nodes by address, without nodes that were silent while
  /// others made contact
  std::vector<NodeEntry> List() const;
  /// \return the nodes that are advertised to other nodes: all of them, or a
  /// fixed subset of each kind if there are many
  std::vector<NodeEntry> Advertised() const;
  /// \return number of known hosts that take clients, rounded up so that it
  /// rarely changes
  size_t EntryHostCount() const;
  /// \return whether List() contains the node
  bool Knows(const std::string& aAddress) const;
  /// \return a hash of the nodes that Advertised() returns
  uint64_t Tag() const { return mTag; }
  /// \param aSelf address to leave out
  /// \return addresses of nodes that can relay calls. Entry hosts come first,
  /// because a host with a disk that cannot reach this node usually cannot
  /// reach the other hosts with a disk either
  std::vector<std::string> Relays(const std::string& aSelf) const;
  /// \return addresses of the candidates for the lead
  std::vector<std::string> Candidates(const std::string& aSelf) const;
  /// \return addresses of the candidates in an availability zone
  std::vector<std::string> CandidatesIn(const std::string& aZone,
                                        const std::string& aSelf) const;
  /// Adds candidates that another node named. Other known nodes are kept.
  void AddCandidates(const std::vector<NodeEntry>& aNodes, Millis aNow);

 private:
  struct State {
    bool mTakesClients = false;
    std::string mZone;
    Millis mLastContact;
  };
  /// Nodes ordered by the hash of their address. The hash spreads the selected
  /// nodes over the availability zones, and every node selects the same ones.
  using NodesByHash = std::map<uint64_t, NodeEntry>;

  /// Adds a node to the advertised ones, if its hash is among the lowest.
  void AdvertiseIfSelected(const NodeEntry& aNode);
  /// Removes nodes that have become silent.
  void ForgetSilent();
  void Rebuild();
  void UpdateTag();

  std::map<std::string, State> mNodes;  ///< by address
  size_t mEntryHostCount = 0;           ///< hosts in mNodes that take clients
  NodesByHash mAdvertisedEntryHosts;    ///< hosts that take clients
  NodesByHash mAdvertisedCandidates;
  uint64_t mTag = 0;
  Millis mNewestContact;  ///< time of the latest contact of any node
  Millis mLastSweep;      ///< last time silent nodes were removed
};

}  // namespace rillwall
