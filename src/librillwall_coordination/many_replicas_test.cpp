/// \file
/// Load test: thousands of idle replicas and few requests. What a host knows
/// and is sent must depend on its requests, not on the number of replicas.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "rillwall/registry_table.h"

namespace rillwall {

namespace {

constexpr size_t kZones = 6;
constexpr int64_t kSlots = 6;

std::string ZoneName(size_t aIndex) {
  return "zone" + std::to_string(aIndex % kZones);
}

Replica ReplicaAt(size_t aIndex) {
  Replica replica;
  replica.mId = "i-" + std::to_string(aIndex);
  replica.mService = "s";
  replica.mAddress = "10.0.0.1:80";
  replica.mZone = ZoneName(aIndex);
  replica.mSlots = kSlots;
  return replica;
}

void Fill(RegistryTable& aTable, size_t aReplicas) {
  std::vector<RegistryEntry> entries;
  for (size_t i = 0; i < aReplicas; ++i) {
    const Replica replica = ReplicaAt(i);
    entries.push_back({replica.mId, 1, replica});
  }
  aTable.ReplaceAll(std::move(entries), MissingEntries::Remove);
}

SubsetRequest HostAt(size_t aIndex) {
  return {"10.1." + std::to_string(aIndex) + ".1:7720", ZoneName(aIndex)};
}

std::set<std::string> IdsOf(const std::vector<Replica>& aReplicas) {
  std::set<std::string> ids;
  for (const Replica& replica : aReplicas) {
    ids.insert(replica.mId);
  }
  return ids;
}

}  // namespace

class ManyReplicasTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManyReplicasTest);
  CPPUNIT_TEST(SubsetSizeDoesNotDependOnReplicaCount);
  CPPUNIT_TEST(SmallServiceIsListedInFull);
  CPPUNIT_TEST(SubsetsSpreadHostsOverReplicas);
  CPPUNIT_TEST(ChangeAffectsFewSubsets);
  CPPUNIT_TEST(DrainingReplicaIsReplaced);
  CPPUNIT_TEST(LossOfAZoneLeavesReplicas);
  CPPUNIT_TEST(HostInAZoneWithoutReplicasGetsOtherZones);
  CPPUNIT_TEST(OwnersShareOneWorkingSet);
  CPPUNIT_TEST(IncompleteListingKeepsMissingEntries);
  CPPUNIT_TEST(MissingEntriesAreKeptUntilDropped);
  CPPUNIT_TEST(EntriesRemovedLaterAreNotKept);
  CPPUNIT_TEST(OlderRevisionsChangeNothing);
  CPPUNIT_TEST(UnreadableEntriesNameNoReplica);
  CPPUNIT_TEST(DemandDoublesTheWantedReplicas);
  CPPUNIT_TEST_SUITE_END();

  void SubsetSizeDoesNotDependOnReplicaCount() {
    for (const size_t replicas : {1000, 10000}) {
      RegistryTable table;
      Fill(table, replicas);
      CPPUNIT_ASSERT(table.Large());
      const std::vector<Replica> subset = table.SubsetFor(HostAt(1));
      CPPUNIT_ASSERT_EQUAL(RegistryTable::kDefaultSubset, subset.size());
      const auto near = std::count_if(
          subset.begin(), subset.end(),
          [](const Replica& aOne) { return aOne.mZone == ZoneName(1); });
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{24}, near);
      CPPUNIT_ASSERT(subset == table.SubsetFor(HostAt(1)));
    }
  }

  void SmallServiceIsListedInFull() {
    RegistryTable table;
    Fill(table, 100);
    CPPUNIT_ASSERT(!table.Large());
    CPPUNIT_ASSERT_EQUAL(size_t{100}, table.SubsetFor(HostAt(1)).size());
    CPPUNIT_ASSERT_EQUAL(size_t{100}, table.WorkingSet({}).size());
  }

  void SubsetsSpreadHostsOverReplicas() {
    RegistryTable table;
    Fill(table, 1000);
    constexpr size_t kHosts = 985;
    std::map<std::string, size_t> hosts;
    for (size_t i = 0; i < kHosts; ++i) {
      for (const Replica& replica : table.SubsetFor(HostAt(i))) {
        ++hosts[replica.mId];
      }
    }
    // The average is 32.
    size_t maxHosts = 0;
    for (const auto& [id, count] : hosts) {
      maxHosts = std::max(maxHosts, count);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(maxHosts), maxHosts < 32 * 4);
    CPPUNIT_ASSERT(hosts.size() > 950);
  }

  void ChangeAffectsFewSubsets() {
    RegistryTable table;
    Fill(table, 10000);
    constexpr size_t kHosts = 985;
    std::vector<std::vector<Replica>> before;
    for (size_t i = 0; i < kHosts; ++i) {
      before.push_back(table.SubsetFor(HostAt(i)));
    }
    Replica leaving = ReplicaAt(77);
    leaving.mDraining = true;
    table.Put({leaving.mId, 2, leaving});
    size_t changed = 0;
    for (size_t i = 0; i < kHosts; ++i) {
      const bool knew = IdsOf(before[i]).contains(leaving.mId);
      const bool differs = before[i] != table.SubsetFor(HostAt(i));
      CPPUNIT_ASSERT_EQUAL(knew, differs);
      changed += differs ? 1 : 0;
    }
    // On average three hosts know a replica.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(changed), changed < 30);
  }

  void DrainingReplicaIsReplaced() {
    RegistryTable table;
    Fill(table, 1000);
    const std::vector<Replica> before = table.SubsetFor(HostAt(2));
    Replica leaving = before.front();
    leaving.mDraining = true;
    table.Put({leaving.mId, 2, leaving});
    const std::set<std::string> after = IdsOf(table.SubsetFor(HostAt(2)));
    CPPUNIT_ASSERT_EQUAL(before.size(), after.size());
    CPPUNIT_ASSERT(!after.contains(leaving.mId));
    table.Remove(leaving.mId, 3, MissingEntries::Remove);
    CPPUNIT_ASSERT(after == IdsOf(table.SubsetFor(HostAt(2))));
  }

  void LossOfAZoneLeavesReplicas() {
    RegistryTable table;
    Fill(table, 1000);
    for (size_t i = 1; i < 1000; i += kZones) {
      table.Remove(ReplicaAt(i).mId, 2, MissingEntries::Remove);
    }
    CPPUNIT_ASSERT_EQUAL(RegistryTable::kDefaultSubset,
                         table.SubsetFor(HostAt(1)).size());
  }

  void HostInAZoneWithoutReplicasGetsOtherZones() {
    RegistryTable table;
    Fill(table, 1000);
    const SubsetRequest unknown{"10.9.9.9:1", "elsewhere"};
    const std::vector<Replica> subset = table.SubsetFor(unknown);
    CPPUNIT_ASSERT_EQUAL(RegistryTable::kDefaultSubset, subset.size());
    std::set<std::string> zones;
    for (const Replica& replica : subset) {
      zones.insert(replica.mZone);
    }
    CPPUNIT_ASSERT_EQUAL(kZones, zones.size());
  }

  void OwnersShareOneWorkingSet() {
    RegistryTable one;
    Fill(one, 10000);
    RegistryTable other;
    Fill(other, 10000);
    const std::vector<Replica> set = one.WorkingSet({{"s", 500}});
    CPPUNIT_ASSERT_EQUAL(size_t{500}, set.size());
    CPPUNIT_ASSERT(set == other.WorkingSet({{"s", 500}}));
    // A larger set includes the smaller one.
    const std::set<std::string> more = IdsOf(one.WorkingSet({{"s", 600}}));
    for (const Replica& replica : set) {
      CPPUNIT_ASSERT(more.contains(replica.mId));
    }
    // Draining one replica changes nothing else in the set.
    Replica leaving = set.front();
    leaving.mDraining = true;
    one.Put({leaving.mId, 2, leaving});
    const std::set<std::string> without = IdsOf(one.WorkingSet({{"s", 500}}));
    size_t same = 0;
    for (const Replica& replica : set) {
      same += without.contains(replica.mId) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(size_t{499}, same);
  }

  // A truncated listing is a read error and never reaches the table. A complete
  // listing that lacks entries because the registry is still recovering does
  // not remove them.
  void IncompleteListingKeepsMissingEntries() {
    RegistryTable table;
    Fill(table, 1000);
    std::vector<RegistryEntry> half;
    for (size_t i = 0; i < 500; ++i) {
      half.push_back({ReplicaAt(i).mId, 1, ReplicaAt(i)});
    }
    table.ReplaceAll(half, MissingEntries::Keep);
    CPPUNIT_ASSERT_EQUAL(size_t{1000}, table.Size());
  }

  void MissingEntriesAreKeptUntilDropped() {
    RegistryTable table;
    Fill(table, 1000);
    table.Remove("i-5", 7, MissingEntries::Keep);
    table.Remove("i-6", 8, MissingEntries::Keep);
    CPPUNIT_ASSERT_EQUAL(size_t{1000}, table.Size());
    table.Put({"i-5", 9, ReplicaAt(5)});
    table.DropMissing();
    CPPUNIT_ASSERT(table.Find("i-5") != nullptr);
    CPPUNIT_ASSERT(table.Find("i-6") == nullptr);
  }

  // Guards against replicas that leave right after the store is back and are
  // kept like those whose entries lapsed while it was away.
  void EntriesRemovedLaterAreNotKept() {
    RegistryTable table;
    Fill(table, 1000);
    table.Remove("i-5", 7, MissingEntries::Keep);
    table.Remove("i-6", 8, MissingEntries::KeepKnown);
    CPPUNIT_ASSERT(table.IsMissing("i-5"));
    CPPUNIT_ASSERT(table.Find("i-5")->mReplica->mLapsed);
    CPPUNIT_ASSERT(table.Find("i-6") == nullptr);
    std::vector<RegistryEntry> half;
    for (size_t i = 500; i < 1000; ++i) {
      half.push_back({ReplicaAt(i).mId, 9, ReplicaAt(i)});
    }
    table.ReplaceAll(half, MissingEntries::KeepKnown);
    CPPUNIT_ASSERT_EQUAL(size_t{501}, table.Size());
    CPPUNIT_ASSERT(table.Find("i-5") != nullptr);
  }

  void OlderRevisionsChangeNothing() {
    RegistryTable table;
    Fill(table, 200);
    Replica moved = ReplicaAt(5);
    moved.mAddress = "10.0.0.9:80";
    table.Put({"i-5", 9, moved});
    table.Put({"i-5", 4, ReplicaAt(5)});
    table.Remove("i-5", 8, MissingEntries::Remove);
    CPPUNIT_ASSERT(table.Find("i-5")->mReplica == moved);
    const uint64_t changes = table.Changes();
    // A heartbeat changes only the revision.
    table.Put({"i-5", 10, moved});
    CPPUNIT_ASSERT_EQUAL(changes, table.Changes());
  }

  void UnreadableEntriesNameNoReplica() {
    RegistryTable table;
    Fill(table, 200);
    for (size_t i = 0; i < 10000; ++i) {
      table.Put({"x-" + std::to_string(i), 5, std::nullopt});
    }
    CPPUNIT_ASSERT_EQUAL(size_t{200}, table.All().size());
    CPPUNIT_ASSERT_EQUAL(size_t{10200}, table.Size());
    // An entry that can no longer be read names no replica.
    table.Put({"i-5", 6, std::nullopt});
    CPPUNIT_ASSERT_EQUAL(size_t{199}, table.All().size());
  }

  void DemandDoublesTheWantedReplicas() {
    ReplicaDemand demand;
    CPPUNIT_ASSERT(!demand.Observe({{"s", {32, 192, 96}}}));
    CPPUNIT_ASSERT(demand.Observe({{"s", {32, 192, 97}}}));
    CPPUNIT_ASSERT(!demand.Observe({{"s", {32, 192, 97}}}));
    std::map<std::string, size_t> wanted{{"s", 20}, {"t", 7}};
    demand.Raise(wanted);
    CPPUNIT_ASSERT_EQUAL(size_t{64}, wanted["s"]);
    CPPUNIT_ASSERT_EQUAL(size_t{7}, wanted["t"]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManyReplicasTest);

}  // namespace rillwall
