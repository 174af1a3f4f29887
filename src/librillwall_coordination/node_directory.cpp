#include "rillwall/node_directory.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rillwall {

namespace {

/// A node that has not asked for so long is gone, or can't reach this one: some
/// five questions missed, and a change of the lead.
constexpr Millis kForgetAfter{8000};

}  // namespace

void NodeDirectory::Heard(const NodeEntry& aNode, Millis aNow) {
  mNodes[aNode.mAddress] = {aNode.mTakesClients, aNow};
}

void NodeDirectory::Adopt(const std::vector<NodeEntry>& aNodes, Millis aNow) {
  mNodes.clear();
  for (const NodeEntry& node : aNodes) {
    Heard(node, aNow);
  }
}

std::vector<NodeEntry> NodeDirectory::List(Millis aNow) const {
  std::vector<NodeEntry> nodes;
  for (const auto& [address, state] : mNodes) {
    if (aNow - state.mHeardAt < kForgetAfter) {
      nodes.push_back({address, state.mTakesClients});
    }
  }
  return nodes;
}

uint64_t NodeDirectory::Tag(Millis aNow) const {
  std::string text;
  for (const NodeEntry& node : List(aNow)) {
    text += node.mAddress;
    text += node.mTakesClients ? '+' : '-';
  }
  return XXH64(text.data(), text.size(), 0);
}

std::vector<std::string> NodeDirectory::Relays(const std::string& aSelf,
                                               Millis aNow) const {
  std::vector<std::string> relays;
  for (const NodeEntry& node : List(aNow)) {
    if (node.mTakesClients && node.mAddress != aSelf) {
      relays.push_back(node.mAddress);
    }
  }
  const std::vector<std::string> others = Candidates(aSelf, aNow);
  relays.insert(relays.end(), others.begin(), others.end());
  return relays;
}

std::vector<std::string> NodeDirectory::Candidates(const std::string& aSelf,
                                                   Millis aNow) const {
  std::vector<std::string> candidates;
  for (const NodeEntry& node : List(aNow)) {
    if (!node.mTakesClients && node.mAddress != aSelf) {
      candidates.push_back(node.mAddress);
    }
  }
  return candidates;
}

}  // namespace rillwall
