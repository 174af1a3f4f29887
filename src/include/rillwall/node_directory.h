/// \file
/// The other nodes, as far as this one has heard of them.
///
/// Nodes ask the lead what is new, several times within a second each; so it
/// knows which nodes there are, and tells them all. The list is no membership:
/// nobody counts on a node that it names. It serves to find nodes that pass
/// calls on to the store, and the candidates for the lead while there is none.
/// Pure: the instant is an argument.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "rillwall/millis.h"

namespace rillwall {

/// One node.
struct NodeEntry {
  std::string mAddress;  ///< where it answers other nodes, ip:port
  bool mTakesClients = false;
  bool operator==(const NodeEntry&) const = default;
};

class NodeDirectory {
 public:
  /// A node has asked this one.
  void Heard(const NodeEntry& aNode, Millis aNow);
  /// Takes over another node's list, in place of this one's.
  void Adopt(const std::vector<NodeEntry>& aNodes, Millis aNow);
  /// \return nodes in the order of their addresses, without those that were
  /// silent while others were heard
  std::vector<NodeEntry> List() const;
  /// \return whether List() names it
  bool Knows(const std::string& aAddress) const;
  /// \return a number that differs if the list does
  uint64_t Tag() const;
  /// \param aSelf left out
  /// \return addresses to pass calls through: entry hosts first, since a host
  /// with a disk that is cut off is most often cut off from the others too
  std::vector<std::string> Relays(const std::string& aSelf) const;
  /// \return addresses of the candidates for the lead
  std::vector<std::string> Candidates(const std::string& aSelf) const;

 private:
  struct State {
    bool mTakesClients = false;
    Millis mHeardAt;
  };
  std::map<std::string, State> mNodes;  ///< by address
  Millis mNewest;                       ///< when the last node was heard of
};

}  // namespace rillwall
