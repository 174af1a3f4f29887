/// \file
/// Cost of checking that a request is not held: its digest, and a lookup in a
/// table with the maximum number of records.

#include <benchmark/benchmark.h>

#include "rillwall/crash_table.h"

namespace rillwall {

namespace {

RequestDigest DigestOfBody(const std::string& aBody) {
  return RequestDigest(
      RequestParts{"POST", "host.example", "/path/of/a/route", "acc", aBody});
}

void WorkOutDigest(benchmark::State& aState) {
  const std::string body(static_cast<size_t>(aState.range(0)), 'x');
  for (auto _ : aState) {
    benchmark::DoNotOptimize(DigestOfBody(body));
  }
}

void LookUp(benchmark::State& aState) {
  CrashTable table;
  for (int64_t i = 0; i < aState.range(0); ++i) {
    table.Merge({{DigestOfBody(std::to_string(i)), "replica", i, false, ""}});
  }
  const RequestDigest other = DigestOfBody("other");
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.Held(other));
  }
}

BENCHMARK(WorkOutDigest)->Arg(0)->Arg(600)->Arg(100000);
BENCHMARK(LookUp)->Arg(1)->Arg(static_cast<int64_t>(CrashTable::kMaxRecords));

}  // namespace

}  // namespace rillwall

BENCHMARK_MAIN();
