#include "rillwall/node_directory.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace rillwall {

namespace {

/// A node that has not asked for so long, while others have, is gone or can't
/// reach this one: some five questions missed, and a change of the lead.
constexpr Millis kForgetAfter{8000};

}  // namespace

void NodeDirectory::Heard(const NodeEntry& aNode, Millis aNow) {
  mNodes[aNode.mAddress] = {aNode.mTakesClients, aNow};
  mNewest = std::max(mNewest, aNow);
}

void NodeDirectory::Adopt(const std::vector<NodeEntry>& aNodes, Millis aNow) {
  mNodes.clear();
  for (const NodeEntry& node : aNodes) {
    Heard(node, aNow);
  }
}

std::vector<NodeEntry> NodeDirectory::List() const {
  std::vector<NodeEntry> nodes;
  for (const auto& [address, state] : mNodes) {
    if (mNewest - state.mHeardAt < kForgetAfter) {
      nodes.push_back({address, state.mTakesClients});
    }
  }
  return nodes;
}

bool NodeDirectory::Knows(const std::string& aAddress) const {
  const auto found = mNodes.find(aAddress);
  return found != mNodes.end() &&
         mNewest - found->second.mHeardAt < kForgetAfter;
}

uint64_t NodeDirectory::Tag() const {
  std::string text;
  for (const NodeEntry& node : List()) {
    text += node.mAddress;
    text += node.mTakesClients ? '+' : '-';
  }
  return XXH64(text.data(), text.size(), 0);
}

std::vector<std::string> NodeDirectory::Relays(const std::string& aSelf) const {
  std::vector<std::string> relays;
  for (const NodeEntry& node : List()) {
    if (node.mTakesClients && node.mAddress != aSelf) {
      relays.push_back(node.mAddress);
    }
  }
  const std::vector<std::string> others = Candidates(aSelf);
  relays.insert(relays.end(), others.begin(), others.end());
  return relays;
}

std::vector<std::string> NodeDirectory::Candidates(
    const std::string& aSelf) const {
  std::vector<std::string> candidates;
  for (const NodeEntry& node : List()) {
    if (!node.mTakesClients && node.mAddress != aSelf) {
      candidates.push_back(node.mAddress);
    }
  }
  return candidates;
}

}  // namespace rillwall
