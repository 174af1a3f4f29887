/// \file
/// What reading a snapshot costs with several threads, against the standard
/// library's atomic pointer, and what taking in a policy costs.

#include <benchmark/benchmark.h>

#include <atomic>
#include <memory>

#include "rillwall/policy.h"
#include "rillwall/rcu.h"

namespace rillwall {

namespace {

constexpr int kMaxThreads = 8;

void ReadCell(benchmark::State& aState) {
  static RcuCell<int> sCell(std::make_shared<const int>(1));
  for ([[maybe_unused]] auto unused : aState) {
    benchmark::DoNotOptimize(*sCell.Read());
  }
}
BENCHMARK(ReadCell)->ThreadRange(1, kMaxThreads)->UseRealTime();

void ReadAtomicPointer(benchmark::State& aState) {
  static std::atomic<std::shared_ptr<const int>> sCell(
      std::make_shared<const int>(1));
  for ([[maybe_unused]] auto unused : aState) {
    benchmark::DoNotOptimize(*sCell.load());
  }
}
BENCHMARK(ReadAtomicPointer)->ThreadRange(1, kMaxThreads)->UseRealTime();

// One change to a set that has so many policies already.
void PutPolicy(benchmark::State& aState) {
  std::vector<PolicySource> sources;
  for (int64_t i = 0; i < aState.range(0); ++i) {
    const std::string name = "p" + std::to_string(i);
    sources.push_back({name, "house{ name='" + name + "' }", 1, "bench"});
  }
  const PolicySet set = *PolicySet::Make(1, sources);
  for ([[maybe_unused]] auto unused : aState) {
    benchmark::DoNotOptimize(set.With(sources[0]));
  }
}
BENCHMARK(PutPolicy)->Arg(1)->Arg(100)->Unit(benchmark::kMicrosecond);

}  // namespace

}  // namespace rillwall

BENCHMARK_MAIN();
