/// \file
/// The cost of a decision, and the product's decisions against random routing
/// in small simulations (dispatcher_fakes.h). The ratios are random routing's
/// value over the product's, of the same run and seeds.

#include <benchmark/benchmark.h>

#include <random>
#include <string>
#include <vector>

#include "dispatcher_fakes.h"

namespace rillwall {

namespace {

constexpr size_t kEngines = 600;
constexpr size_t kZones = 12;
constexpr int64_t kSlots = 64;

/// A node that knows 600 engines in 12 zones, half used by others.
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

  /// Submits, streams and ends calls; every 20 ms of 3,300 calls a second
  /// over 370 nodes, a tick falls on every fifth of a call.
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

/// One engine in twenty has the version: few samples hit one.
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

/// All slots taken: calls queue or are refused at once.
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

/// Runs a scenario with both ways of routing and counts the ratios.
void Compare(benchmark::State& aState, fakes::Scenario aScenario) {
  for (auto _ : aState) {
    const fakes::Outcome product = fakes::Simulation(aScenario).Run();
    aScenario.mRouting = fakes::Routing::Random;
    const fakes::Outcome random = fakes::Simulation(aScenario).Run();
    aScenario.mRouting = fakes::Routing::Product;
    const auto ratio = [&](double aShare) {
      return random.Percentile(aShare) / product.Percentile(aShare);
    };
    const auto tokens = [](const fakes::Outcome& aOutcome) {
      return static_cast<double>(aOutcome.mInteractiveTokens +
                                 aOutcome.mTrainingTokens);
    };
    aState.counters["first_token_p50_ratio"] = ratio(0.5);
    aState.counters["first_token_p99_ratio"] = ratio(0.99);
    aState.counters["tokens_ratio"] = tokens(random) / tokens(product);
    aState.counters["refused"] = static_cast<double>(product.mRefused) /
                                 static_cast<double>(product.mCalls);
    aState.counters["attempts_per_call"] =
        static_cast<double>(product.mAttempts) /
        static_cast<double>(product.mFirstAttempts);
  }
}

void CompareEven(benchmark::State& aState) { Compare(aState, {}); }
BENCHMARK(CompareEven)->Unit(benchmark::kMillisecond)->Iterations(1);

void CompareBusy(benchmark::State& aState) {
  Compare(aState, {.mCallsPerSecond = 60});
}
BENCHMARK(CompareBusy)->Unit(benchmark::kMillisecond)->Iterations(1);

void CompareOverloaded(benchmark::State& aState) {
  Compare(aState, {.mCallsPerSecond = 120});
}
BENCHMARK(CompareOverloaded)->Unit(benchmark::kMillisecond)->Iterations(1);

void CompareUnequal(benchmark::State& aState) {
  fakes::Scenario scenario;
  scenario.mFaults = [](std::vector<fakes::FakeEngine>& aEngines, Millis) {
    for (size_t index = 0; index < aEngines.size(); ++index) {
      aEngines[index].mSlots = index % 2 == 0 ? 8 : 24;
      aEngines[index].mRealSlots = aEngines[index].mSlots;
    }
  };
  Compare(aState, scenario);
}
BENCHMARK(CompareUnequal)->Unit(benchmark::kMillisecond)->Iterations(1);

void CompareGrey(benchmark::State& aState) {
  fakes::Scenario scenario;
  scenario.mFaults = [](std::vector<fakes::FakeEngine>& aEngines, Millis) {
    aEngines[3].mSpeed = 0.1;
    aEngines[7].mSpeed = 0.1;
  };
  Compare(aState, scenario);
}
BENCHMARK(CompareGrey)->Unit(benchmark::kMillisecond)->Iterations(1);

void CompareHalfDead(benchmark::State& aState) {
  fakes::Scenario scenario;
  scenario.mWarmUp = Millis(0);
  scenario.mFaults = [](std::vector<fakes::FakeEngine>& aEngines, Millis aNow) {
    for (size_t index = 0; index < aEngines.size(); index += 2) {
      aEngines[index].mDead = aNow > Millis(20000);
    }
  };
  Compare(aState, scenario);
}
BENCHMARK(CompareHalfDead)->Unit(benchmark::kMillisecond)->Iterations(1);

}  // namespace

}  // namespace rillwall

BENCHMARK_MAIN();
