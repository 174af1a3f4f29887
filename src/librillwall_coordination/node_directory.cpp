#include "rillwall/node_directory.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace rillwall {

namespace {

/// Silence after which a node is removed, measured while other nodes make
/// contact. It covers some five missed requests and a change of the lead; a
/// node that is silent longer is gone or cannot reach this one.
constexpr Millis kForgetAfter{8000};
constexpr Millis kSweepInterval{1000};
/// Nodes of each kind that are advertised to others. A node tries two or three
/// of them; with a dozen, enough remain after the loss of an availability zone
/// and a quarter of the others.
constexpr size_t kMaxAdvertisedPerKind = 12;
/// The number of hosts is rounded up to a multiple of this.
constexpr size_t kHostCountStep = 16;

uint64_t HashOf(const std::string& aAddress) {
  return XXH64(aAddress.data(), aAddress.size(), 0);
}

}  // namespace

void NodeDirectory::RecordContact(const NodeEntry& aNode, Millis aNow) {
  mNewestContact = std::max(mNewestContact, aNow);
  auto [at, added] = mNodes.try_emplace(aNode.mAddress);
  const bool changed = at->second.mTakesClients != aNode.mTakesClients ||
                       at->second.mZone != aNode.mZone;
  at->second = {aNode.mTakesClients, aNode.mZone, aNow};
  if (added) {
    mEntryHostCount += aNode.mTakesClients ? 1 : 0;
    AdvertiseIfSelected(aNode);
  } else if (changed) {
    Rebuild();
  }
  if (mNewestContact - mLastSweep >= kSweepInterval) {
    mLastSweep = mNewestContact;
    ForgetSilent();
  }
}

void NodeDirectory::AdvertiseIfSelected(const NodeEntry& aNode) {
  NodesByHash& advertised =
      aNode.mTakesClients ? mAdvertisedEntryHosts : mAdvertisedCandidates;
  const uint64_t hash = HashOf(aNode.mAddress);
  const bool full = advertised.size() >= kMaxAdvertisedPerKind;
  if (full && hash > advertised.rbegin()->first) {
    return;
  }
  advertised.emplace(hash, aNode);
  if (advertised.size() > kMaxAdvertisedPerKind) {
    advertised.erase(std::prev(advertised.end()));
  }
  UpdateTag();
}

void NodeDirectory::ForgetSilent() {
  const size_t gone = std::erase_if(mNodes, [this](const auto& aEntry) {
    return mNewestContact - aEntry.second.mLastContact >= kForgetAfter;
  });
  if (gone > 0) {
    Rebuild();
  }
}

void NodeDirectory::Rebuild() {
  mAdvertisedEntryHosts.clear();
  mAdvertisedCandidates.clear();
  mEntryHostCount = 0;
  UpdateTag();
  for (const auto& [address, state] : mNodes) {
    mEntryHostCount += state.mTakesClients ? 1 : 0;
    AdvertiseIfSelected({address, state.mTakesClients, state.mZone});
  }
}

void NodeDirectory::UpdateTag() {
  std::string text;
  for (const NodeEntry& node : Advertised()) {
    text += node.mAddress;
    text += node.mTakesClients ? '+' : '-';
    text += node.mZone;
  }
  mTag = XXH64(text.data(), text.size(), 0);
}

void NodeDirectory::Adopt(const std::vector<NodeEntry>& aNodes, Millis aNow) {
  mNodes.clear();
  for (const NodeEntry& node : aNodes) {
    mNodes[node.mAddress] = {node.mTakesClients, node.mZone, aNow};
  }
  mNewestContact = std::max(mNewestContact, aNow);
  Rebuild();
}

std::vector<NodeEntry> NodeDirectory::List() const {
  std::vector<NodeEntry> nodes;
  for (const auto& [address, state] : mNodes) {
    if (mNewestContact - state.mLastContact < kForgetAfter) {
      nodes.push_back({address, state.mTakesClients, state.mZone});
    }
  }
  return nodes;
}

std::vector<NodeEntry> NodeDirectory::Advertised() const {
  std::vector<NodeEntry> nodes;
  for (const NodesByHash* choice :
       {&mAdvertisedEntryHosts, &mAdvertisedCandidates}) {
    for (const auto& [hash, node] : *choice) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

size_t NodeDirectory::EntryHostCount() const {
  return (mEntryHostCount + kHostCountStep - 1) / kHostCountStep *
         kHostCountStep;
}

bool NodeDirectory::Knows(const std::string& aAddress) const {
  const auto found = mNodes.find(aAddress);
  return found != mNodes.end() &&
         mNewestContact - found->second.mLastContact < kForgetAfter;
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

void NodeDirectory::AddCandidates(const std::vector<NodeEntry>& aNodes,
                                  Millis aNow) {
  for (const NodeEntry& node : aNodes) {
    if (!node.mTakesClients) {
      RecordContact(node, aNow);
    }
  }
}

std::vector<std::string> NodeDirectory::CandidatesIn(
    const std::string& aZone, const std::string& aSelf) const {
  std::vector<std::string> candidates;
  for (const NodeEntry& node : List()) {
    if (!node.mTakesClients && node.mZone == aZone && node.mAddress != aSelf) {
      candidates.push_back(node.mAddress);
    }
  }
  return candidates;
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
