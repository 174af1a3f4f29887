/// \file
/// Cost of storing very many replicas and of choosing among them, by their
/// number.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "rillwall/load_plan.h"
#include "rillwall/registry_table.h"

namespace rillwall {

namespace {

constexpr size_t kZones = 6;
constexpr int64_t kSlots = 6;
constexpr int kModels = 6;

Replica ReplicaAt(size_t aIndex, int64_t aVersion) {
  Replica replica;
  replica.mId = "i-" + std::to_string(aIndex);
  replica.mService = "letters-llm";
  replica.mAddress = "10.0.0.1:80";
  replica.mZone = "zone" + std::to_string(aIndex % kZones);
  replica.mSlots = kSlots;
  for (int model = 0; model < kModels; ++model) {
    replica.mModels.push_back({"model-" + std::to_string(model), aVersion});
  }
  return replica;
}

void Fill(RegistryTable& aTable, size_t aReplicas) {
  for (size_t i = 0; i < aReplicas; ++i) {
    const Replica replica = ReplicaAt(i, 1);
    aTable.Put({replica.mId, 1, replica});
  }
}

/// 2,000 entries are written again, and every tenth of them has changed.
void TakeChanges(benchmark::State& aState) {
  constexpr size_t kWritten = 2000;
  RegistryTable table;
  Fill(table, static_cast<size_t>(aState.range(0)));
  int64_t revision = 2;
  for (auto _ : aState) {
    for (size_t i = 0; i < kWritten; ++i) {
      const Replica replica = ReplicaAt(i, i % 10 == 0 ? revision : 1);
      table.Put({replica.mId, revision, replica});
    }
    ++revision;
  }
}
BENCHMARK(TakeChanges)->Arg(2000)->Arg(10000)->Arg(20000);

void SubsetOfAHost(benchmark::State& aState) {
  RegistryTable table;
  Fill(table, static_cast<size_t>(aState.range(0)));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.SubsetFor({"10.1.0.1:7720", "zone1"}));
  }
}
BENCHMARK(SubsetOfAHost)->Arg(1000)->Arg(10000)->Arg(20000);

/// An owner chooses the replica of a text from its working set.
void ChoiceOfAnOwner(benchmark::State& aState) {
  RegistryTable table;
  Fill(table, static_cast<size_t>(aState.range(0)));
  ReplicaPool pool;
  pool.Update(table.WorkingSet({{"letters-llm", 600}}), false);
  ReplicaRequirements requirements;
  requirements.mService = "letters-llm";
  requirements.mModel = "model-1";
  requirements.mMinVersion = 1;
  requirements.mNeedsFreeSlot = true;
  const Millis now(1000);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(pool.Choose(requirements, now));
  }
}
BENCHMARK(ChoiceOfAnOwner)->Arg(1000)->Arg(10000)->Arg(20000);

/// An owner plans the loads of the next version of one of six models.
void PlanOfAnOwner(benchmark::State& aState) {
  RegistryTable table;
  Fill(table, static_cast<size_t>(aState.range(0)));
  std::vector<LoadCandidate> candidates;
  for (const Replica& replica : table.WorkingSet({{"letters-llm", 600}})) {
    LoadCandidate candidate;
    candidate.mId = replica.mId;
    candidate.mVersions = replica.mModels;
    candidate.mSlots = replica.mSlots;
    candidates.push_back(std::move(candidate));
  }
  std::vector<LoadTarget> targets;
  for (int model = 0; model < kModels; ++model) {
    const int64_t version = model == 0 ? 3 : 1;
    targets.push_back(
        {"model-" + std::to_string(model), version, 100, true, 1, 192});
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(PlanLoads(candidates, targets, 120));
  }
}
BENCHMARK(PlanOfAnOwner)->Arg(1000)->Arg(10000)->Arg(20000);

}  // namespace

}  // namespace rillwall

BENCHMARK_MAIN();
