/// \file
/// All replicas that the registry lists, as a host that reads it keeps them,
/// and the choice of those that one host needs to know.
///
/// A host needs replicas by its demand, not by how many there are. So of a
/// service with many replicas each host is told a subset: some of its own
/// availability zone and fewer of the others, beginning at a place on a ring of
/// hashes that its name decides. Subsets of different hosts overlap little, so
/// that each replica has about as many hosts; a replica that comes or goes
/// changes the subsets of its neighbours on the ring only. Owners of steps all
/// use the replicas that come first on the ring: a new owner finds the weights
/// where the one before it had them loaded.
///
/// With R replicas, a change costs log R, a subset of K costs K + log R, and
/// nothing is kept for a host that asks.
/// Pure: no I/O and no clock.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/replica_pool.h"

namespace rillwall {

/// One entry of the registry as it was read.
struct RegistryEntry {
  std::string mId;
  int64_t mRevision = 0;
  /// Nothing: it names no replica to use.
  std::optional<Replica> mReplica;
  bool operator==(const RegistryEntry&) const = default;
};

/// Who asks for a subset.
struct SubsetQuestion {
  std::string mHost;  ///< its name or address; the same each time
  std::string mZone;  ///< availability zone
  bool operator==(const SubsetQuestion&) const = default;
};

class RegistryTable {
 public:
  /// Replicas of one service that every host may know.
  static constexpr size_t kFullListLimit = 128;
  /// Replicas of a larger service that a host is told: enough for the texts or
  /// requests of one host many times over, and for the loss of its zone.
  static constexpr size_t kDefaultSubset = 32;

  RegistryTable() = default;
  RegistryTable(const RegistryTable&) = delete;
  RegistryTable& operator=(const RegistryTable&) = delete;

  /// Takes in a whole listing.
  /// \param aKeepMissing entries that it lacks are kept for now, since the
  /// registry has just come back and live replicas register again
  void ReplaceAll(std::vector<RegistryEntry> aEntries, bool aKeepMissing);
  /// Takes in an entry that was written. An older revision changes nothing.
  void Put(RegistryEntry aEntry);
  /// Takes in that an entry was removed.
  /// \param aRevision of the removal; one that was written since stays
  void Remove(const std::string& aId, int64_t aRevision, bool aKeepMissing);
  /// Entries that were kept although they are missing go now.
  void DropMissing();
  void Clear();

  /// \return the entry as it is known, or null
  const RegistryEntry* Find(const std::string& aId) const;
  /// \return entries, those that name no replica among them
  size_t Size() const { return mEntries.size(); }
  /// \return a number that grows with each change of a replica
  uint64_t Changes() const { return mChanges; }
  /// \return whether some service has more replicas than every host may know
  bool Large() const;
  std::vector<Replica> All() const;

  /// \return what a host is told: services that are small enough whole, of the
  /// others its subset without replicas that leave
  std::vector<Replica> SubsetFor(const SubsetQuestion& aQuestion) const;
  /// \return the replicas that owners of steps use: the first of each service
  /// on the ring, without those that leave
  /// \param aWanted by service; of one that is not named the usual subset
  std::vector<Replica> WorkingSet(
      const std::map<std::string, size_t>& aWanted) const;

 private:
  using Ring = std::map<uint64_t, const Replica*>;
  struct Service {
    Ring mAll;
    std::map<std::string, Ring> mZones;
  };
  void Link(const Replica& aReplica);
  void Unlink(const Replica& aReplica);
  void Erase(std::map<std::string, RegistryEntry>::iterator aAt);
  static void TakeFrom(const Ring& aRing, uint64_t aFrom, size_t aWanted,
                       std::vector<Replica>& aTaken);
  static void AddSubset(const Service& aService,
                        const SubsetQuestion& aQuestion,
                        std::vector<Replica>& aTaken);

  std::map<std::string, RegistryEntry> mEntries;  ///< by id
  std::map<std::string, Service> mServices;
  std::set<std::string> mMissing;  ///< kept although they are not listed
  uint64_t mChanges = 0;
};

}  // namespace rillwall
