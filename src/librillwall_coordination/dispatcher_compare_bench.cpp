/// \file
/// Effect of each mechanism of the dispatcher in the simulations of
/// dispatcher_fakes.h. A comparison runs the product and a variant with the
/// same seeds; the variant is random routing or the product without one
/// mechanism. Ratios are the variant's value divided by the product's.

#include <benchmark/benchmark.h>

#include <functional>
#include <string>
#include <vector>

#include "dispatcher_fakes.h"

namespace rillwall {

namespace {

using fakes::FakeEngine;
using fakes::Outcome;
using fakes::Routing;
using fakes::Scenario;
using Engines = std::vector<FakeEngine>;

/// Sums over the seeds of a comparison.
struct Sums {
  double mFirstToken50 = 0;
  double mFirstToken90 = 0;
  double mFirstToken99 = 0;
  double mLongestSample = 0;
  double mTokens = 0;
  double mRefused = 0;
  double mRefusedLate = 0;
  double mAttempts = 0;
  double mHits = 0;
  double mRemote = 0;
  double mModestRefused = 0;
};

constexpr int kSeeds = 3;

Sums RunAll(Scenario aScenario) {
  Sums sums;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    aScenario.mSeed = static_cast<uint64_t>(seed);
    const Outcome outcome = fakes::Simulation(aScenario).Run();
    const auto calls = static_cast<double>(outcome.mCalls);
    const auto attempts = static_cast<double>(outcome.mAttempts);
    const auto modest = static_cast<double>(outcome.mModestCalls);
    sums.mFirstToken50 += outcome.Percentile(0.5);
    sums.mFirstToken90 += outcome.Percentile(0.9);
    sums.mFirstToken99 += outcome.Percentile(0.99);
    sums.mLongestSample += outcome.SamplePercentile(1);
    sums.mTokens += static_cast<double>(outcome.mInteractiveTokens +
                                        outcome.mTrainingTokens);
    sums.mRefused += static_cast<double>(outcome.mRefused) / calls;
    sums.mRefusedLate += static_cast<double>(outcome.mRefusedLate) / calls;
    sums.mAttempts += attempts / static_cast<double>(outcome.mFirstAttempts);
    sums.mHits += outcome.mHitRatio;
    sums.mRemote += static_cast<double>(outcome.mRemote) / attempts;
    sums.mModestRefused +=
        modest > 0 ? static_cast<double>(outcome.mModestRefused) / modest : 0;
  }
  return sums;
}

/// A scenario and the change that makes the variant.
struct Comparison {
  const char* mName;
  Scenario mScenario;
  std::function<void(Scenario&)> mChange;
};

void Compare(benchmark::State& aState, const Comparison& aComparison) {
  for (auto _ : aState) {
    Scenario changed = aComparison.mScenario;
    aComparison.mChange(changed);
    const Sums product = RunAll(aComparison.mScenario);
    const Sums variant = RunAll(changed);
    auto& counters = aState.counters;
    counters["p50_ms"] = product.mFirstToken50 / kSeeds;
    counters["p90_ms"] = product.mFirstToken90 / kSeeds;
    counters["p99_ms"] = product.mFirstToken99 / kSeeds;
    counters["p50_ratio"] = variant.mFirstToken50 / product.mFirstToken50;
    counters["p90_ratio"] = variant.mFirstToken90 / product.mFirstToken90;
    counters["p99_ratio"] = variant.mFirstToken99 / product.mFirstToken99;
    counters["sample_max_ratio"] =
        variant.mLongestSample / std::max(product.mLongestSample, 1.0);
    counters["tokens_ratio"] = variant.mTokens / product.mTokens;
    counters["refused"] = product.mRefused / kSeeds;
    counters["refused_variant"] = variant.mRefused / kSeeds;
    counters["late"] = product.mRefusedLate / kSeeds;
    counters["late_variant"] = variant.mRefusedLate / kSeeds;
    counters["attempts"] = product.mAttempts / kSeeds;
    counters["attempts_variant"] = variant.mAttempts / kSeeds;
    counters["hits"] = product.mHits / kSeeds;
    counters["hits_variant"] = variant.mHits / kSeeds;
    counters["remote"] = product.mRemote / kSeeds;
    counters["remote_variant"] = variant.mRemote / kSeeds;
    counters["modest_refused"] = product.mModestRefused / kSeeds;
    counters["modest_refused_variant"] = variant.mModestRefused / kSeeds;
  }
}

// Scenarios.

Scenario Busy() { return {.mCallsPerSecond = 60}; }

Scenario Overloaded() { return {.mCallsPerSecond = 120}; }

Scenario OverloadedInteractive() {
  return {.mCallsPerSecond = 120, .mTrainingTokens = 0};
}

Scenario Subsets() {
  return {.mNodes = 30, .mSubset = 6, .mCallsPerSecond = 60};
}

Scenario Stale() {
  return {.mReportPeriod = Millis(3000), .mReportLag = Millis(2000)};
}

Scenario Fresh() {
  return {.mCallsPerSecond = 50,
          .mReportPeriod = Millis(250),
          .mReportLag = Millis(50)};
}

Scenario Unequal() {
  return {.mCallsPerSecond = 50, .mFaults = [](Engines& aEngines, Millis) {
            for (size_t index = 0; index < aEngines.size(); ++index) {
              aEngines[index].mSlots = index % 2 == 0 ? 24 : 8;
              aEngines[index].mRealSlots = aEngines[index].mSlots;
            }
          }};
}

Scenario ShortOfSlots(bool aHidden) {
  return {.mFaults = [aHidden](Engines& aEngines, Millis) {
    for (size_t index = 0; index < aEngines.size(); ++index) {
      aEngines[index].mRealSlots = index % 4 == 0 ? 8 : 16;
      aEngines[index].mHidesWaiting = aHidden;
    }
  }};
}

Scenario GrayFailure() {
  return {.mDuration = Millis(240000),
          .mTrainingTokens = 200,
          .mFaults = [](Engines& aEngines, Millis aNow) {
            const double speed = aNow > Millis(10000) ? 0.1 : 1;
            aEngines[3].mSpeed = speed;
            aEngines[7].mSpeed = speed;
          }};
}

Scenario HalfDead() {
  return {.mWarmUp = Millis(0), .mFaults = [](Engines& aEngines, Millis aNow) {
            for (size_t index = 0; index < aEngines.size(); index += 2) {
              aEngines[index].mDead = aNow > Millis(20000);
            }
          }};
}

Scenario Recovery() {
  return {.mFaults = [](Engines& aEngines, Millis aNow) {
    const bool dead = aNow > Millis(20000) && aNow < Millis(35000);
    for (size_t index = 0; index < aEngines.size(); index += 4) {
      aEngines[index].mDead = dead;
    }
  }};
}

Scenario Zones() { return {.mNodes = 12, .mZones = 4, .mCallsPerSecond = 50}; }

Scenario HotZone() {
  return {.mNodes = 12,
          .mZones = 4,
          .mCallsPerSecond = 50,
          .mFirstZoneShare = 0.4,
          .mTrainingTokens = 0};
}

Scenario Prefixes(size_t aCount) {
  return {.mCallsPerSecond = aCount < 10 ? 50.0 : 60.0,
          .mTrainingTokens = 0,
          .mPrefixes = aCount,
          .mPrefillMs = 600};
}

Scenario TwoAccounts() {
  return {
      .mCallsPerSecond = 120, .mModestShare = 1.0 / 11, .mTrainingTokens = 0};
}

// Changes that make a variant.

void RandomRouting(Scenario& aScenario) {
  aScenario.mRouting = Routing::Random;
}

/// \return a change of one tuning parameter
template <class Value>
std::function<void(Scenario&)> Tuned(Value DispatchTuning::*aMember,
                                     Value aValue) {
  return [aMember, aValue](Scenario& aScenario) {
    aScenario.mTuning.*aMember = aValue;
  };
}

std::vector<Comparison> AgainstRandom() {
  return {
      {"random/even", {}, RandomRouting},
      {"random/busy", Busy(), RandomRouting},
      {"random/overloaded", Overloaded(), RandomRouting},
      {"random/subsets", Subsets(), RandomRouting},
      {"random/stale", Stale(), RandomRouting},
      {"random/fresh", Fresh(), RandomRouting},
      {"random/unequal", Unequal(), RandomRouting},
      {"random/short", ShortOfSlots(false), RandomRouting},
      {"random/grey", GrayFailure(), RandomRouting},
      {"random/half_dead", HalfDead(), RandomRouting},
      {"random/come_back", Recovery(), RandomRouting},
  };
}

std::vector<Comparison> WithoutRouting() {
  using T = DispatchTuning;
  return {
      {"one_choice/fresh", Fresh(), Tuned(&T::mChoices, 1)},
      {"one_choice/unequal", Unequal(), Tuned(&T::mChoices, 1)},
      {"one_choice/no_shares",
       {.mCallsPerSecond = 50},
       [](Scenario& aScenario) {
         aScenario.mTuning.mShareSlots = false;
         aScenario.mTuning.mChoices = 1;
       }},
      {"two_choices/no_shares",
       {.mCallsPerSecond = 50},
       Tuned(&T::mShareSlots, false)},
      {"six_choices/stale", Stale(), Tuned(&T::mChoices, 6)},
      {"six_choices/busy", Busy(), Tuned(&T::mChoices, 6)},
      {"own_counted_twice/busy", Busy(), Tuned(&T::mSubtractOwnCalls, false)},
      {"report_memory_100s/stale", Stale(),
       Tuned(&T::mReportDecayTime, Millis(100000))},
      {"report_memory_0/unequal", Unequal(),
       Tuned(&T::mReportDecayTime, Millis(1))},
      {"decay_to_nothing/stale", Stale(), Tuned(&T::mDecayToPeerMean, false)},
      {"no_awaiting_weight/stale", Stale(), Tuned(&T::mAwaitingWeight, 0.0)},
      {"no_zone_penalty/zones", Zones(), Tuned(&T::mZonePenalty, 0.0)},
      {"no_zone_penalty/hot", HotZone(), Tuned(&T::mZonePenalty, 0.0)},
      {"zone_only/hot", HotZone(), Tuned(&T::mZonePenalty, 9.0)},
      {"no_prefix/300", Prefixes(300), Tuned(&T::mPrefixBonus, 0.0)},
      {"no_prefix/3000", Prefixes(3000), Tuned(&T::mPrefixBonus, 0.0)},
      {"one_home/3", Prefixes(3), Tuned(&T::mMultiplePrefixHomes, false)},
      {"unbounded/3000", Prefixes(3000),
       [](Scenario& aScenario) {
         aScenario.mTuning.mPrefixBonus = 9;
         aScenario.mTuning.mPrefixLoadBound = 100;
         aScenario.mTuning.mMultiplePrefixHomes = false;
       }},
      {"no_speed_weight/grey", GrayFailure(), Tuned(&T::mWeightBySpeed, false)},
      {"no_moving/grey", GrayFailure(), Tuned(&T::mMoveTraining, false)},
  };
}

std::vector<Comparison> WithoutLimits() {
  using T = DispatchTuning;
  return {
      {"no_slot_shares/even", {}, Tuned(&T::mShareSlots, false)},
      {"no_slot_shares/busy", Busy(), Tuned(&T::mShareSlots, false)},
      {"no_slot_shares/stale", Stale(), Tuned(&T::mShareSlots, false)},
      {"no_slot_shares/overloaded", OverloadedInteractive(),
       Tuned(&T::mShareSlots, false)},
      {"no_evening_out/overloaded", OverloadedInteractive(),
       Tuned(&T::mInteractiveRebalance, 0.0)},
      {"limit_without_reports/short", ShortOfSlots(false),
       Tuned(&T::mLimitByReports, false)},
      {"limit_without_tokens/short", ShortOfSlots(false),
       Tuned(&T::mLimitByFirstTokens, false)},
      {"fixed_limit/short", ShortOfSlots(false),
       [](Scenario& aScenario) {
         aScenario.mTuning.mLimitByReports = false;
         aScenario.mTuning.mLimitByFirstTokens = false;
       }},
      {"limit_without_tokens/hidden", ShortOfSlots(true),
       Tuned(&T::mLimitByFirstTokens, false)},
      {"no_preemption/busy", Busy(), Tuned(&T::mPreemptAfter, Millis(0))},
      {"no_preemption/subsets", Subsets(), Tuned(&T::mPreemptAfter, Millis(0))},
      {"no_early_refusal/overloaded", Overloaded(),
       Tuned(&T::mRefuseEarly, false)},
      {"one_queue/two_houses", TwoAccounts(),
       [](Scenario& aScenario) { aScenario.mOneQueue = true; }},
      {"no_retry_budget/half_dead", HalfDead(),
       [](Scenario& aScenario) { aScenario.mLimits.mRetryRatio = 10; }},
      {"no_slow_start/come_back", Recovery(), Tuned(&T::mSlowStart, Millis(1))},
  };
}

void Register(const std::vector<Comparison>& aComparisons) {
  for (const Comparison& comparison : aComparisons) {
    benchmark::RegisterBenchmark(
        comparison.mName,
        [comparison](benchmark::State& aState) { Compare(aState, comparison); })
        ->Unit(benchmark::kMillisecond)
        ->Iterations(1);
  }
}

}  // namespace

}  // namespace rillwall

int main(int aCount, char** aArgs) {
  benchmark::Initialize(&aCount, aArgs);
  rillwall::Register(rillwall::AgainstRandom());
  rillwall::Register(rillwall::WithoutRouting());
  rillwall::Register(rillwall::WithoutLimits());
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
