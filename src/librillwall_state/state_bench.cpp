/// \file
/// Cost of reading a snapshot from several threads, compared with the standard
/// library's atomic shared pointer, and cost of adding a policy.

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

// Changes one policy of a set with range(0) policies.
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
