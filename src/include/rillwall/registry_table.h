/// \file
/// All replicas of the registry, as kept by a host that reads the registry, and
/// the selection of those that one host needs to know.
///
/// The number of replicas that a host needs depends on its own load, not on the
/// size of the service. Of a service with many replicas, each host is therefore
/// sent a subset: some replicas of its own availability zone and fewer of the
/// others, starting at a position on a hash ring that is derived from the name
/// of the host. Subsets of different hosts overlap little, so that each replica
/// is used by about the same number of hosts. A replica that is added or
/// removed changes only the subsets that include its neighbors on the ring.
/// Owners of steps all use the first replicas of the ring, so that a new owner
/// finds the weights loaded where its predecessor had them.
///
/// With R replicas, a change costs O(log R) and a subset of K replicas O(K +
/// log R). No state is kept per requesting host. Pure: no I/O and no clock.

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

/// One entry of the registry.
struct RegistryEntry {
  std::string mId;
  int64_t mRevision = 0;
  /// Unset if the entry names no usable replica.
  std::optional<Replica> mReplica;
  bool operator==(const RegistryEntry&) const = default;
};

/// What becomes of a known entry that a reading of the registry lacks. Entries
/// may lapse while the store is away, and are written again once it is back.
enum class MissingEntries {
  Remove,
  Keep,       ///< the first reading after the store was away
  KeepKnown,  ///< keep those that were kept before; others are gone for good
};

/// Identifies the host that requests a subset.
struct SubsetRequest {
  /// Name or address of the host; must not change between requests.
  std::string mHost;
  std::string mZone;  ///< availability zone of the host
  bool operator==(const SubsetRequest&) const = default;
};

/// Registry entries, and the subsets of their replicas for single hosts.
class RegistryTable {
 public:
  /// Largest service of which every host is sent all replicas.
  static constexpr size_t kFullListLimit = 128;
  /// Replicas of a larger service that a host is sent: many times what the
  /// texts or requests of one host need, also after the loss of its zone.
  static constexpr size_t kDefaultSubset = 32;

  RegistryTable() = default;
  RegistryTable(const RegistryTable&) = delete;
  RegistryTable& operator=(const RegistryTable&) = delete;

  /// Replaces all entries with a complete listing.
  /// \param aMissing what becomes of the entries that the listing lacks
  void ReplaceAll(std::vector<RegistryEntry> aEntries, MissingEntries aMissing);
  /// Adds or updates an entry. An older revision is ignored.
  void Put(RegistryEntry aEntry);
  /// Handles the removal of an entry.
  /// \param aRevision revision of the removal; an entry that was written later
  /// stays
  /// \param aMissing what becomes of the entry; a kept one stays until
  /// DropMissing()
  void Remove(const std::string& aId, int64_t aRevision,
              MissingEntries aMissing);
  /// \return whether an entry is kept although it is missing
  bool IsMissing(const std::string& aId) const {
    return mMissing.contains(aId);
  }
  /// \return whether any entry is kept although it is missing
  bool KeepsMissing() const { return !mMissing.empty(); }
  /// Removes the entries that were kept although they are missing.
  void DropMissing();
  void Clear();

  /// \return the entry with an id, or null
  const RegistryEntry* Find(const std::string& aId) const;
  /// \return number of entries, including those that name no replica
  size_t Size() const { return mEntries.size(); }
  /// \return a counter that increases with each change of a replica
  uint64_t Changes() const { return mChanges; }
  /// \return whether any service is too large to be sent to every host in full
  bool Large() const;
  std::vector<Replica> All() const;

  /// \return the replicas that a host is sent: small services in full, and a
  /// subset without draining replicas of the others
  std::vector<Replica> SubsetFor(const SubsetRequest& aRequest) const;
  /// \param aWanted number of replicas by service; at least kFullListLimit
  /// replicas of each service are used
  /// \return the replicas that owners of steps use: the first replicas of each
  /// service on the ring, without draining ones
  std::vector<Replica> WorkingSet(
      const std::map<std::string, size_t>& aWanted) const;

 private:
  using Ring = std::map<uint64_t, const Replica*>;
  struct Service {
    Ring mAll;
    std::map<std::string, Ring> mZones;
  };
  void AddToRing(const Replica& aReplica);
  void RemoveFromRing(const Replica& aReplica);
  void Erase(std::map<std::string, RegistryEntry>::iterator aAt);
  static void AppendFromRing(const Ring& aRing, uint64_t aFrom, size_t aWanted,
                             std::vector<Replica>& aSelected);
  static void AppendSubset(const Service& aService,
                           const SubsetRequest& aRequest,
                           std::vector<Replica>& aSelected);

  std::map<std::string, RegistryEntry> mEntries;  ///< by id
  std::map<std::string, Service> mServices;
  /// Ids of entries that are kept although they are missing.
  std::set<std::string> mMissing;
  uint64_t mChanges = 0;
};

}  // namespace rillwall
