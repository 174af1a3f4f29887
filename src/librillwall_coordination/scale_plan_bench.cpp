/// \file
/// Cost of one plan for ordered replicas, by the number of replicas and zones.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "rillwall/scale_plan.h"

namespace rillwall {

namespace {

constexpr int64_t kTexts = 400;

void PlanReplicas(benchmark::State& aState) {
  const int64_t replicas = aState.range(0);
  const int64_t zones = aState.range(1);
  ScalingSpec spec{1, replicas / zones, Millis(4000), 0.18, {}};
  std::vector<ScaleReplica> registered;
  for (int64_t i = 0; i < replicas; ++i) {
    const std::string zone = "zone" + std::to_string(i % zones);
    spec.mZonePrices[zone] = 0.5 + static_cast<double>(i % zones) / 10;
    registered.push_back({{zone, i % 3 != 0}, 6, false, false, i % 2 == 0});
  }
  ScalePlanner planner("letters-llm", spec);
  planner.StartFrom(registered);
  std::vector<StepDemand> steps;
  for (int64_t i = 0; i < 5; ++i) {
    steps.push_back(
        {std::to_string(i), kTexts, 1000 * kTexts, 7000, Millis(7500)});
  }
  Millis now;
  for (auto _ : aState) {
    now += Millis(250);
    planner.Demand().Observe(steps, 0, now);
    benchmark::DoNotOptimize(planner.Plan(registered, {}, now));
  }
}
BENCHMARK(PlanReplicas)->Args({80, 4})->Args({600, 12});

}  // namespace

}  // namespace rillwall

BENCHMARK_MAIN();
