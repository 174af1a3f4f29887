/// \file
/// Processor time of the dispatcher's steps at 600 engines.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "dispatcher_fakes.h"

namespace rillwall {

namespace {

constexpr size_t kEngines = 600;
constexpr size_t kZones = 12;
constexpr int64_t kSlots = 64;

/// Node that knows 600 engines in 12 zones, half used by other nodes.
struct LargePool {
  LargePool() : mDispatcher("zone0", DispatcherLimits(), 1) {
    std::vector<Upstream> engines;
    for (size_t index = 0; index < kEngines; ++index) {
      engines.push_back({.mId = "engine-" + std::to_string(index),
                         .mName = fakes::kModel,
                         .mZone = "zone" + std::to_string(index % kZones),
                         .mGeneration = 1});
    }
    mDispatcher.Configure(engines, PolicyRules(), mNow);
    for (size_t index = 0; index < kEngines; ++index) {
      mDispatcher.Report(engines[index].mId,
                         {.mRunning = kSlots / 2,
                          .mSlots = kSlots,
                          .mVersion = index % 20 == 0 ? 8 : 7,
                          .mAt = mNow});
    }
    mDispatcher.Tick(mNow);
  }

  CallSpec Spec() {
    return {.mTicket = ++mTicket,
            .mTenant = "house-" + std::to_string(mTicket % 8),
            .mModel = fakes::kModel,
            .mExpectedTokens = 100};
  }

  /// Submits, streams and ends one call without a tick. At 3,300 calls/s over
  /// 370 nodes and one tick per 20 ms, a node handles a fifth of a call per
  /// tick.
  void Cycle(const CallSpec& aSpec) {
    const auto decisions = mDispatcher.Submit(aSpec, mNow);
    benchmark::DoNotOptimize(decisions.data());
    mDispatcher.FirstToken(aSpec.mTicket, mNow);
    mDispatcher.Finish(aSpec.mTicket, CallOutcome::Done, mNow);
  }

  Dispatcher mDispatcher;
  Millis mNow{1000000};
  uint64_t mTicket = 0;
};

void DecisionPlain(benchmark::State& aState) {
  LargePool pool;
  for (auto _ : aState) {
    pool.Cycle(pool.Spec());
  }
}
BENCHMARK(DecisionPlain);

void DecisionPrefix(benchmark::State& aState) {
  LargePool pool;
  for (auto _ : aState) {
    CallSpec spec = pool.Spec();
    spec.mPrefixHash = 1 + spec.mTicket * 7919 % 5000;
    pool.Cycle(spec);
  }
}
BENCHMARK(DecisionPrefix);

/// One engine in twenty has the version, so random draws rarely find one.
void DecisionMinVersion(benchmark::State& aState) {
  LargePool pool;
  for (auto _ : aState) {
    CallSpec spec = pool.Spec();
    spec.mMinVersion = 8;
    pool.Cycle(spec);
  }
}
BENCHMARK(DecisionMinVersion);

void DecisionZonesAndAvoid(benchmark::State& aState) {
  LargePool pool;
  for (auto _ : aState) {
    CallSpec spec = pool.Spec();
    spec.mZones = {"zone3", "zone7"};
    spec.mAvoid = {"engine-3"};
    pool.Cycle(spec);
  }
}
BENCHMARK(DecisionZonesAndAvoid);

/// All slots are in use: calls are queued or refused at once.
void DecisionOverloaded(benchmark::State& aState) {
  LargePool pool;
  for (size_t call = 0; call < kEngines * kSlots; ++call) {
    pool.mDispatcher.Submit(pool.Spec(), pool.mNow);
  }
  for (auto _ : aState) {
    const CallSpec spec = pool.Spec();
    benchmark::DoNotOptimize(pool.mDispatcher.Submit(spec, pool.mNow));
    pool.mDispatcher.Withdraw(spec.mTicket, pool.mNow);
  }
}
BENCHMARK(DecisionOverloaded);

void Tick(benchmark::State& aState) {
  LargePool pool;
  for (auto _ : aState) {
    pool.mNow += Millis(20);
    benchmark::DoNotOptimize(pool.mDispatcher.Tick(pool.mNow));
  }
}
BENCHMARK(Tick);

void Report(benchmark::State& aState) {
  LargePool pool;
  uint64_t next = 0;
  for (auto _ : aState) {
    const std::string id = "engine-" + std::to_string(next++ % kEngines);
    pool.mDispatcher.Report(
        id, {.mRunning = 32, .mSlots = kSlots, .mAt = pool.mNow});
  }
}
BENCHMARK(Report);

}  // namespace

}  // namespace rillwall

BENCHMARK_MAIN();
