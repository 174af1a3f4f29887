/// \file
/// Benchmarks of the decisions on steps, weights and claims at design size, and
/// of simulated steps. A simulated step reports its duration and the number of
/// group runs, of which at least 256 are needed.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include "rillwall/claim.h"
#include "rillwall/step.h"
#include "rillwall/swap_plan.h"

namespace rillwall {

namespace {

constexpr size_t kSamples = 2048;
constexpr size_t kNodes = 370;
constexpr Millis kStart{1000};

StepSpec SpecOf(size_t aGroups) {
  StepSpec spec{{"letters", 7}, 1, 1024, {}, 1};
  std::mt19937_64 random(1);
  for (size_t group = 0; group < aGroups; ++group) {
    spec.mPrompts.emplace_back(1 + random() % 2048, 'p');
  }
  return spec;
}

std::vector<RunnerCapacity> Capacities(size_t aNodes, int64_t aCapacity) {
  std::vector<RunnerCapacity> capacities;
  for (size_t node = 0; node < aNodes; ++node) {
    capacities.push_back({"node-" + std::to_string(node), aCapacity});
  }
  return capacities;
}

GroupSummary Done(const GroupOrder& aOrder) {
  return {aOrder.mGroup, aOrder.mRunner, aOrder.mAttempt, 5, Millis(0), 500};
}

/// A tick that orders all 2,048 groups, of one sample each.
void TickOrders(benchmark::State& aState) {
  const StepSpec spec = SpecOf(kSamples);
  const std::vector<RunnerCapacity> capacities = Capacities(kNodes, 6);
  for (auto _ : aState) {
    aState.PauseTiming();
    StepTracker tracker(spec, TrainerRule(), false, kStart);
    aState.ResumeTiming();
    benchmark::DoNotOptimize(tracker.Tick(capacities, 5, kStart));
  }
}
BENCHMARK(TickOrders)->Unit(benchmark::kMicrosecond);

/// A tick without actions, as all groups are running.
void TickIdle(benchmark::State& aState) {
  StepTracker tracker(SpecOf(kSamples), TrainerRule(), false, kStart);
  const std::vector<RunnerCapacity> capacities = Capacities(kNodes, 6);
  tracker.Tick(capacities, 5, kStart);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(tracker.Tick(capacities, 5, kStart));
  }
}
BENCHMARK(TickIdle)->Unit(benchmark::kMicrosecond);

/// A pull that plans 64 groups while all groups are held.
void PlanHeld(benchmark::State& aState) {
  StepTracker tracker(SpecOf(kSamples), TrainerRule(), false, kStart);
  for (const GroupOrder& order :
       tracker.Tick(Capacities(kNodes, 6), 5, kStart).mRun) {
    tracker.Finished(Done(order), kStart);
  }
  const Receipt receipt(tracker.Spec().mId, kSamples);
  StepActions actions;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(tracker.Plan(receipt, 5, 64, kStart, actions));
  }
}
BENCHMARK(PlanHeld)->Unit(benchmark::kMicrosecond);

/// Formats and parses a receipt that names up to half of the groups.
void ReceiptText(benchmark::State& aState) {
  const StepId step{"letters", 7};
  Receipt receipt(step, kSamples);
  std::mt19937_64 random(1);
  for (size_t group = 0; group < kSamples / 2; ++group) {
    receipt.Add(random() % kSamples);
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(Receipt::Parse(receipt.Text(), step, kSamples));
  }
  aState.counters["bytes"] = static_cast<double>(receipt.Text().size());
}
BENCHMARK(ReceiptText)->Unit(benchmark::kMicrosecond);

/// A takeover with the inventories of 370 nodes.
void Rebuild(benchmark::State& aState) {
  const StepSpec spec = SpecOf(kSamples);
  StepTracker before(spec, TrainerRule(), false, kStart);
  std::map<std::string, std::vector<GroupSummary>> held;
  for (const GroupOrder& order :
       before.Tick(Capacities(kNodes, 6), 5, kStart).mRun) {
    held[order.mRunner].push_back(Done(order));
  }
  for (auto _ : aState) {
    StepTracker tracker(spec, TrainerRule(), true, kStart);
    for (const auto& [runner, groups] : held) {
      tracker.Inventory(runner, groups, {}, kStart);
    }
    tracker.Rebuilt(kStart);
    benchmark::DoNotOptimize(tracker.Held());
  }
}
BENCHMARK(Rebuild)->Unit(benchmark::kMillisecond);

/// Whether the length of a prompt hints at the length of the output.
enum class Prompts { HintLength, NoHint };

/// Whether some engines are slow: one runner in 16 runs at a third of the
/// speed, one run in 50 at a fifth.
enum class Engines { Alike, Uneven };

struct Scenario {
  bool mHedge = false;
  Prompts mPrompts = Prompts::HintLength;
  Engines mEngines = Engines::Alike;
  Millis mVersionEvery{0};      ///< 0: no new versions
  bool mIntervalKnown = false;  ///< the interval is known beforehand
  int64_t mCapacity = 4;        ///< concurrent groups per runner
};

/// Simulates one step of 256 groups of 8 samples on 32 runners with a capacity
/// of 4 groups (or 1) each. The length of a group is the longest of 8
/// log-normal lengths. The trainer accepts finished groups immediately.
class SimulatedStep {
 public:
  SimulatedStep(uint64_t aSeed, const Scenario& aScenario)
      : mRandom(aSeed),
        mScenario(aScenario),
        mTracker(MakeSpec(), MakeRule(), false, kStart),
        mReceipt(mTracker.Spec().mId, kGroups) {
    if (mScenario.mIntervalKnown) {
      mTracker.SetVersionInterval(mScenario.mVersionEvery);
    }
  }

  /// \return seconds until the trainer has all groups
  double Run() {
    constexpr Millis kTick{50};
    while (!mReceipt.Complete()) {
      const StepActions actions =
          mTracker.Tick(FreeCapacities(), Newest(), mNow);
      Cancel(actions);
      for (const GroupOrder& order : actions.mRun) {
        Begin(order);
      }
      mNow += kTick;
      Finish();
      Pull();
    }
    constexpr double kMillisPerSecond = 1000;
    return static_cast<double>((mNow - kStart).Count()) / kMillisPerSecond;
  }

  double Runs() const { return static_cast<double>(mRuns); }

 private:
  static constexpr size_t kGroups = 256;
  static constexpr size_t kGroupSize = 8;
  static constexpr size_t kRunners = 32;

  TrainerRule MakeRule() const {
    TrainerRule rule;
    rule.mHedge = mScenario.mHedge;
    const bool versions = mScenario.mVersionEvery > Millis(0);
    rule.mStaleness.mVersions = versions ? 0 : 1;
    return rule;
  }

  StepSpec MakeSpec() {
    StepSpec spec{{"letters", 7}, kGroupSize, 1024, {}, 1};
    std::normal_distribution<double> scale(0, 0.8);
    std::normal_distribution<double> spread(0, 0.4);
    for (size_t group = 0; group < kGroups; ++group) {
      const double typical = 200 * std::exp(scale(mRandom));
      double longest = 0;
      for (size_t each = 0; each < kGroupSize; ++each) {
        longest = std::max(longest, typical * std::exp(spread(mRandom)));
      }
      mTokens.push_back(std::min<double>(longest, spec.mMaxTokens));
      const bool hint = mScenario.mPrompts == Prompts::HintLength;
      spec.mPrompts.emplace_back(hint ? static_cast<size_t>(typical) : 100,
                                 'p');
    }
    return spec;
  }

  std::vector<RunnerCapacity> FreeCapacities() const {
    std::vector<RunnerCapacity> capacities =
        Capacities(kRunners, mScenario.mCapacity);
    for (const auto& [finish, run] : mRunning) {
      --capacities[std::stoul(run.mOrder.mRunner.substr(5))].mCapacity;
    }
    return capacities;
  }

  int64_t Newest() const {
    const Millis every = mScenario.mVersionEvery;
    return every == Millis(0) ? 1 : 1 + mNow.Count() / every.Count();
  }

  void Begin(const GroupOrder& aOrder) {
    constexpr double kMillisPerToken = 25;
    const bool uneven = mScenario.mEngines == Engines::Uneven;
    const bool slowRunner =
        uneven && std::stoul(aOrder.mRunner.substr(5)) % 16 == 7;
    const bool slowEngine = uneven && mRandom() % 50 == 0;
    const double slowness = (slowRunner ? 3 : 1) * (slowEngine ? 5 : 1);
    const double millis = mTokens[aOrder.mGroup] * kMillisPerToken * slowness;
    const Millis finish = mNow + Millis(static_cast<int64_t>(millis));
    mRunning.emplace(finish, GroupRun{aOrder, Newest(), mNow});
    ++mRuns;
  }

  void Finish() {
    while (!mRunning.empty() && mRunning.begin()->first <= mNow) {
      const GroupRun run = mRunning.begin()->second;
      mRunning.erase(mRunning.begin());
      GroupSummary summary = Done(run.mOrder);
      summary.mTokens = static_cast<int64_t>(mTokens[run.mOrder.mGroup]);
      summary.mOldestVersion = run.mVersion;
      summary.mAge = mNow - run.mStartedAt;
      Cancel(mTracker.Finished(summary, mNow));
    }
  }

  void Cancel(const StepActions& aActions) {
    for (const GroupOrder& cancelled : aActions.mCancel) {
      std::erase_if(mRunning, [&](const auto& aEntry) {
        return aEntry.second.mOrder == cancelled;
      });
    }
  }

  void Pull() {
    StepActions actions;
    const PullPlan plan =
        mTracker.Plan(mReceipt, Newest(), kGroups, mNow, actions);
    for (const GroupSummary& taken : plan.mGroups) {
      mReceipt.Add(taken.mGroup);
    }
    Cancel(actions);
  }

  struct GroupRun {
    GroupOrder mOrder;
    int64_t mVersion = 0;
    Millis mStartedAt;
  };

  std::mt19937_64 mRandom;
  Scenario mScenario;
  std::vector<double> mTokens;
  StepTracker mTracker;
  Receipt mReceipt;
  Millis mNow = kStart;
  std::multimap<Millis, GroupRun> mRunning;
  size_t mRuns = 0;
};

void StepLength(benchmark::State& aState, const Scenario& aScenario) {
  constexpr uint64_t kSeeds = 100;
  std::vector<double> seconds;
  double runs = 0;
  for (auto _ : aState) {
    for (uint64_t seed = 0; seed < kSeeds; ++seed) {
      SimulatedStep step(seed, aScenario);
      seconds.push_back(step.Run());
      runs += step.Runs();
    }
  }
  std::sort(seconds.begin(), seconds.end());
  aState.counters["p50_s"] = seconds[seconds.size() / 2];
  aState.counters["p95_s"] = seconds[seconds.size() * 95 / 100];
  aState.counters["runs"] = runs / static_cast<double>(seconds.size());
}

#define RILLWALL_STEP(aName, ...) \
  BENCHMARK_CAPTURE(StepLength, aName, Scenario{__VA_ARGS__})->Iterations(1)

RILLWALL_STEP(AlikePlain, false, Prompts::NoHint);
RILLWALL_STEP(AlikeLongestFirst, false, Prompts::HintLength);
RILLWALL_STEP(AlikeLongestFirstHedged, true, Prompts::HintLength);
RILLWALL_STEP(UnevenPlain, false, Prompts::NoHint, Engines::Uneven);
RILLWALL_STEP(UnevenLongestFirst, false, Prompts::HintLength, Engines::Uneven);
RILLWALL_STEP(UnevenHedged, true, Prompts::NoHint, Engines::Uneven);
RILLWALL_STEP(UnevenLongestFirstHedged, true, Prompts::HintLength,
              Engines::Uneven);
// New versions appear every 40 s in a step of 100 s, and the staleness bound is
// 0 versions.
RILLWALL_STEP(OnPolicy, true, Prompts::HintLength, Engines::Alike,
              Millis(40000), false, 1);
RILLWALL_STEP(OnPolicyLookAhead, true, Prompts::HintLength, Engines::Alike,
              Millis(40000), true, 1);

/// A tick of a controller of two engines, in a list of 600 engines.
void SwapTick(benchmark::State& aState) {
  constexpr size_t kEngines = 600;
  SwapInputs inputs;
  inputs.mNewest = {5, 1000, kStart};
  for (size_t each = 0; each < kEngines; ++each) {
    SwapEngine engine;
    engine.mId = "engine-" + std::to_string(each);
    engine.mIsController = each < 2;
    engine.mFence = 1;
    engine.mReport = LoadReport();
    engine.mReport->mVersion = 5;
    inputs.mEngines.push_back(engine);
  }
  SwapPlan plan;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(plan.Tick(inputs, kStart));
  }
}
BENCHMARK(SwapTick)->Unit(benchmark::kMicrosecond);

/// The decisions of a non-idempotent call, from the claim to the record.
void ClaimLife(benchmark::State& aState) {
  const ClaimAnswer answer{201, {}, std::string(200, 'a')};
  for (auto _ : aState) {
    ClaimCall call({"house", "ledger", "key"}, "digest", "nonce");
    call.Start();
    call.Applied(7);
    call.Answered(answer);
    benchmark::DoNotOptimize(call.Applied(8));
  }
}
BENCHMARK(ClaimLife)->Unit(benchmark::kMicrosecond);

}  // namespace

}  // namespace rillwall

BENCHMARK_MAIN();
