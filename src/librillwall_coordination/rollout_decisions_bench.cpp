/// \file
/// Cost of an owner's decisions about replicas, by the number of replicas and
/// of running texts.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "rillwall/load_plan.h"
#include "rillwall/replica_pool.h"
#include "rillwall/step_order.h"

namespace rillwall {

namespace {

constexpr int64_t kSlots = 6;
constexpr int kModels = 6;
constexpr int64_t kVersion = 9;
constexpr size_t kZones = 6;

std::string ModelName(int aModel) { return "model-" + std::to_string(aModel); }

/// Replicas of one service that serve all models. A third of them is slower.
struct Fleet {
  explicit Fleet(size_t aReplicas) {
    std::vector<Replica> replicas;
    for (size_t i = 0; i < aReplicas; ++i) {
      Replica replica;
      replica.mId = "letters-llm-" + std::to_string(i);
      replica.mService = "letters-llm";
      replica.mZone = "zone" + std::to_string(i % kZones);
      replica.mSlots = kSlots;
      for (int model = 0; model < kModels; ++model) {
        const bool newest = (i + static_cast<size_t>(model)) % 3 == 0;
        replica.mModels.push_back(
            {ModelName(model), newest ? kVersion : kVersion - 1});
      }
      replicas.push_back(std::move(replica));
    }
    mPool.Update(replicas, false);
    for (size_t i = 0; i < aReplicas; ++i) {
      mPool.ObservePace(replicas[i].mId, i % 3 == 0 ? 52 : 40, mNow);
    }
  }

  /// Starts aTaken texts on each replica.
  void Fill(size_t aReplicas, int64_t aTaken) {
    for (size_t i = 0; i < aReplicas; ++i) {
      for (int64_t slot = 0; slot < aTaken; ++slot) {
        mPool.Start("letters-llm-" + std::to_string(i), ModelName(0));
      }
    }
  }

  ReplicaRequirements Requirements(int aModel) const {
    ReplicaRequirements requirements;
    requirements.mService = "letters-llm";
    requirements.mZone = "zone0";
    requirements.mModel = ModelName(aModel);
    requirements.mMinVersion = kVersion - 1;
    requirements.mNeedsFreeSlot = true;
    return requirements;
  }

  ReplicaPool mPool;
  Millis mNow{1000000};
};

/// A text is placed and ends 1 ms later.
void PlaceText(benchmark::State& aState) {
  const auto replicas = static_cast<size_t>(aState.range(0));
  Fleet fleet(replicas);
  fleet.Fill(replicas, kSlots / 2);
  const ReplicaRequirements requirements = fleet.Requirements(1);
  for (auto _ : aState) {
    const std::optional<std::string> chosen =
        fleet.mPool.Choose(requirements, fleet.mNow);
    fleet.mPool.Start(*chosen, requirements.mModel);
    fleet.mNow += Millis(1);
    fleet.mPool.End(*chosen, ReplicaOutcome::Served, Millis(0), fleet.mNow,
                    requirements.mModel);
  }
}
BENCHMARK(PlaceText)->Arg(12)->Arg(102)->Arg(165)->Arg(600);

/// A step asks for a slot while all slots are taken.
void FindNoSlot(benchmark::State& aState) {
  const auto replicas = static_cast<size_t>(aState.range(0));
  Fleet fleet(replicas);
  fleet.Fill(replicas, kSlots);
  const ReplicaRequirements requirements = fleet.Requirements(1);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(fleet.mPool.Choose(requirements, fleet.mNow));
  }
}
BENCHMARK(FindNoSlot)->Arg(12)->Arg(102)->Arg(165)->Arg(600);

/// Queries the relative pace of all replicas, as a load plan does.
void PacesForLoads(benchmark::State& aState) {
  const auto replicas = static_cast<size_t>(aState.range(0));
  Fleet fleet(replicas);
  for (auto _ : aState) {
    fleet.mNow += Millis(50);
    for (const Replica* replica : fleet.mPool.OfService("letters-llm")) {
      benchmark::DoNotOptimize(
          fleet.mPool.RelativePace(replica->mId, fleet.mNow));
    }
  }
}
BENCHMARK(PacesForLoads)->Arg(12)->Arg(102)->Arg(165)->Arg(600);

/// Plans loads for all models when there is none to start.
void PlanOfLoads(benchmark::State& aState) {
  std::vector<LoadCandidate> candidates;
  for (int64_t i = 0; i < aState.range(0); ++i) {
    LoadCandidate candidate;
    candidate.mId = "letters-llm-" + std::to_string(i);
    candidate.mSlots = kSlots;
    candidate.mInFlight = kSlots;
    for (int model = 0; model < kModels; ++model) {
      candidate.mVersions.push_back({ModelName(model), kVersion});
    }
    candidates.push_back(std::move(candidate));
  }
  std::vector<LoadTarget> targets;
  for (int model = 0; model < kModels; ++model) {
    targets.push_back({ModelName(model), kVersion, 1.0, true, 1});
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(PlanLoads(candidates, targets, 8));
  }
}
BENCHMARK(PlanOfLoads)->Arg(12)->Arg(102)->Arg(165)->Arg(600);

/// Orders the waiting items of three steps with groups of 16.
void OrderOfSteps(benchmark::State& aState) {
  constexpr size_t kGroup = 16;
  std::vector<StepState> steps(3);
  for (StepState& step : steps) {
    step.mDueAt = Millis(7500);
    step.mGiveUpAt = Millis(12000);
    step.mSlots = 38 * kSlots;
    step.mGroups.resize(static_cast<size_t>(aState.range(0)) / kGroup / 3);
    size_t item = 0;
    for (OpenGroup& group : step.mGroups) {
      for (size_t i = 0; i < kGroup; ++i, ++item) {
        const auto events = static_cast<int64_t>(item * 37 % 129);
        group.mItems.push_back({item, events, events, true});
      }
    }
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(OrderSteps(steps, Millis(0)));
  }
}
BENCHMARK(OrderOfSteps)->Arg(416)->Arg(10240);

}  // namespace

}  // namespace rillwall

BENCHMARK_MAIN();
