#include "rillwall/registry_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace rillwall {

namespace {

/// Parts of a subset that lie in the host's own availability zone.
constexpr size_t kNearParts = 3;
constexpr size_t kParts = 4;

uint64_t HashOf(std::string_view aText) {
  return XXH64(aText.data(), aText.size(), 0);
}

}  // namespace

void RegistryTable::ReplaceAll(std::vector<RegistryEntry> aEntries,
                               bool aKeepMissing) {
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
    Remove(id, mEntries.at(id).mRevision, aKeepMissing);
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
    Unlink(*known.mReplica);
  }
  known = std::move(aEntry);
  if (known.mReplica) {
    Link(*known.mReplica);
  }
  ++mChanges;
}

void RegistryTable::Remove(const std::string& aId, int64_t aRevision,
                           bool aKeepMissing) {
  const auto at = mEntries.find(aId);
  if (at == mEntries.end() || at->second.mRevision > aRevision) {
    return;
  }
  if (aKeepMissing) {
    mMissing.insert(aId);
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
    Unlink(*aAt->second.mReplica);
    ++mChanges;
  }
  mMissing.erase(aAt->first);
  mEntries.erase(aAt);
}

void RegistryTable::Link(const Replica& aReplica) {
  Service& service = mServices[aReplica.mService];
  const uint64_t place = HashOf(aReplica.mId);
  service.mAll[place] = &aReplica;
  service.mZones[aReplica.mZone][place] = &aReplica;
}

void RegistryTable::Unlink(const Replica& aReplica) {
  const auto found = mServices.find(aReplica.mService);
  if (found == mServices.end()) {
    return;
  }
  Service& service = found->second;
  const uint64_t place = HashOf(aReplica.mId);
  service.mAll.erase(place);
  Ring& zone = service.mZones[aReplica.mZone];
  zone.erase(place);
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

void RegistryTable::TakeFrom(const Ring& aRing, uint64_t aFrom, size_t aWanted,
                             std::vector<Replica>& aTaken) {
  auto at = aRing.lower_bound(aFrom);
  for (size_t seen = 0, taken = 0; seen < aRing.size() && taken < aWanted;
       ++seen) {
    if (at == aRing.end()) {
      at = aRing.begin();
    }
    if (!at->second->mDraining) {
      aTaken.push_back(*at->second);
      ++taken;
    }
    ++at;
  }
}

void RegistryTable::AddSubset(const Service& aService,
                              const SubsetQuestion& aQuestion,
                              std::vector<Replica>& aTaken) {
  const size_t wanted = kDefaultSubset;
  const auto own = aService.mZones.find(aQuestion.mZone);
  const size_t others =
      aService.mZones.size() - (own == aService.mZones.end() ? 0 : 1);
  const size_t before = aTaken.size();
  if (own != aService.mZones.end()) {
    const size_t near = others == 0 ? wanted : wanted * kNearParts / kParts;
    TakeFrom(own->second, HashOf(aQuestion.mHost), near, aTaken);
  }
  size_t left = wanted - std::min(wanted, aTaken.size() - before);
  size_t zones = others;
  for (const auto& [zone, ring] : aService.mZones) {
    if (zone == aQuestion.mZone || left == 0) {
      continue;
    }
    const size_t part = (left + zones - 1) / zones;
    const size_t had = aTaken.size();
    TakeFrom(ring, HashOf(aQuestion.mHost + '\n' + zone), part, aTaken);
    left -= std::min(left, aTaken.size() - had);
    --zones;
  }
}

std::vector<Replica> RegistryTable::SubsetFor(
    const SubsetQuestion& aQuestion) const {
  std::vector<Replica> taken;
  for (const auto& [name, service] : mServices) {
    if (service.mAll.size() > kFullListLimit) {
      AddSubset(service, aQuestion, taken);
      continue;
    }
    for (const auto& [place, replica] : service.mAll) {
      taken.push_back(*replica);
    }
  }
  return taken;
}

std::vector<Replica> RegistryTable::WorkingSet(
    const std::map<std::string, size_t>& aWanted) const {
  std::vector<Replica> taken;
  for (const auto& [name, service] : mServices) {
    const auto wanted = aWanted.find(name);
    const size_t most =
        std::max(wanted == aWanted.end() ? kDefaultSubset : wanted->second,
                 kFullListLimit);
    if (service.mAll.size() <= most) {
      for (const auto& [place, replica] : service.mAll) {
        taken.push_back(*replica);
      }
    } else {
      TakeFrom(service.mAll, 0, most, taken);
    }
  }
  return taken;
}

}  // namespace rillwall
