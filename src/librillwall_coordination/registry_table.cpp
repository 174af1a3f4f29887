#include "rillwall/registry_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace rillwall {

namespace {

/// kOwnZoneParts of kParts of a subset are in the host's own availability zone.
constexpr size_t kOwnZoneParts = 3;
constexpr size_t kParts = 4;

uint64_t HashOf(std::string_view aText) {
  return XXH64(aText.data(), aText.size(), 0);
}

}  // namespace

void RegistryTable::ReplaceAll(std::vector<RegistryEntry> aEntries,
                               MissingEntries aMissing) {
  std::set<std::string> listed;
  for (RegistryEntry& entry : aEntries) {
    listed.insert(entry.mId);
    Put(std::move(entry));
  }
  std::vector<std::string> gone;
  for (const auto& [id, entry] : mEntries) {
    if (!listed.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    Remove(id, mEntries.at(id).mRevision, aMissing);
  }
}

void RegistryTable::Put(RegistryEntry aEntry) {
  mMissing.erase(aEntry.mId);
  const auto [at, added] = mEntries.try_emplace(aEntry.mId);
  RegistryEntry& known = at->second;
  if (!added && aEntry.mRevision < known.mRevision) {
    return;
  }
  const bool same = !added && known.mReplica == aEntry.mReplica;
  if (same) {
    known.mRevision = aEntry.mRevision;
    return;
  }
  if (known.mReplica) {
    RemoveFromRing(*known.mReplica);
  }
  known = std::move(aEntry);
  if (known.mReplica) {
    AddToRing(*known.mReplica);
  }
  ++mChanges;
}

void RegistryTable::Remove(const std::string& aId, int64_t aRevision,
                           MissingEntries aMissing) {
  const auto at = mEntries.find(aId);
  if (at == mEntries.end() || at->second.mRevision > aRevision) {
    return;
  }
  const bool keep = aMissing == MissingEntries::Keep ||
                    (aMissing == MissingEntries::KeepKnown && IsMissing(aId));
  if (keep) {
    mMissing.insert(aId);
    if (at->second.mReplica && !at->second.mReplica->mLapsed) {
      at->second.mReplica->mLapsed = true;
      ++mChanges;
    }
  } else {
    Erase(at);
  }
}

void RegistryTable::DropMissing() {
  for (const std::string& id : std::exchange(mMissing, {})) {
    const auto at = mEntries.find(id);
    if (at != mEntries.end()) {
      Erase(at);
    }
  }
}

void RegistryTable::Erase(std::map<std::string, RegistryEntry>::iterator aAt) {
  if (aAt->second.mReplica) {
    RemoveFromRing(*aAt->second.mReplica);
    ++mChanges;
  }
  mMissing.erase(aAt->first);
  mEntries.erase(aAt);
}

void RegistryTable::AddToRing(const Replica& aReplica) {
  Service& service = mServices[aReplica.mService];
  const uint64_t position = HashOf(aReplica.mId);
  service.mAll[position] = &aReplica;
  service.mZones[aReplica.mZone][position] = &aReplica;
}

void RegistryTable::RemoveFromRing(const Replica& aReplica) {
  const auto found = mServices.find(aReplica.mService);
  if (found == mServices.end()) {
    return;
  }
  Service& service = found->second;
  const uint64_t position = HashOf(aReplica.mId);
  service.mAll.erase(position);
  Ring& zone = service.mZones[aReplica.mZone];
  zone.erase(position);
  if (zone.empty()) {
    service.mZones.erase(aReplica.mZone);
  }
  if (service.mAll.empty()) {
    mServices.erase(found);
  }
}

void RegistryTable::Clear() {
  mServices.clear();
  mEntries.clear();
  mMissing.clear();
  ++mChanges;
}

const RegistryEntry* RegistryTable::Find(const std::string& aId) const {
  const auto found = mEntries.find(aId);
  return found == mEntries.end() ? nullptr : &found->second;
}

bool RegistryTable::Large() const {
  return std::any_of(mServices.begin(), mServices.end(),
                     [](const auto& aService) {
                       return aService.second.mAll.size() > kFullListLimit;
                     });
}

std::vector<Replica> RegistryTable::All() const {
  std::vector<Replica> all;
  for (const auto& [id, entry] : mEntries) {
    if (entry.mReplica) {
      all.push_back(*entry.mReplica);
    }
  }
  return all;
}

void RegistryTable::AppendFromRing(const Ring& aRing, uint64_t aFrom,
                                   size_t aWanted,
                                   std::vector<Replica>& aSelected) {
  auto at = aRing.lower_bound(aFrom);
  for (size_t seen = 0, selected = 0; seen < aRing.size() && selected < aWanted;
       ++seen) {
    if (at == aRing.end()) {
      at = aRing.begin();
    }
    if (!at->second->mDraining) {
      aSelected.push_back(*at->second);
      ++selected;
    }
    ++at;
  }
}

void RegistryTable::AppendSubset(const Service& aService,
                                 const SubsetRequest& aRequest,
                                 std::vector<Replica>& aSelected) {
  const size_t wanted = kDefaultSubset;
  const auto own = aService.mZones.find(aRequest.mZone);
  const size_t others =
      aService.mZones.size() - (own == aService.mZones.end() ? 0 : 1);
  const size_t before = aSelected.size();
  if (own != aService.mZones.end()) {
    const size_t near = others == 0 ? wanted : wanted * kOwnZoneParts / kParts;
    AppendFromRing(own->second, HashOf(aRequest.mHost), near, aSelected);
  }
  size_t left = wanted - std::min(wanted, aSelected.size() - before);
  size_t zones = others;
  for (const auto& [zone, ring] : aService.mZones) {
    if (zone == aRequest.mZone || left == 0) {
      continue;
    }
    const size_t part = (left + zones - 1) / zones;
    const size_t had = aSelected.size();
    AppendFromRing(ring, HashOf(aRequest.mHost + '\n' + zone), part, aSelected);
    left -= std::min(left, aSelected.size() - had);
    --zones;
  }
}

std::vector<Replica> RegistryTable::SubsetFor(
    const SubsetRequest& aRequest) const {
  std::vector<Replica> selected;
  for (const auto& [name, service] : mServices) {
    if (service.mAll.size() > kFullListLimit) {
      AppendSubset(service, aRequest, selected);
      continue;
    }
    for (const auto& [position, replica] : service.mAll) {
      selected.push_back(*replica);
    }
  }
  return selected;
}

std::vector<Replica> RegistryTable::WorkingSet(
    const std::map<std::string, size_t>& aWanted) const {
  std::vector<Replica> selected;
  for (const auto& [name, service] : mServices) {
    const auto wanted = aWanted.find(name);
    const size_t limit =
        std::max(wanted == aWanted.end() ? kDefaultSubset : wanted->second,
                 kFullListLimit);
    if (service.mAll.size() <= limit) {
      for (const auto& [position, replica] : service.mAll) {
        selected.push_back(*replica);
      }
    } else {
      AppendFromRing(service.mAll, 0, limit, selected);
    }
  }
  return selected;
}

}  // namespace rillwall
