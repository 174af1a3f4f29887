/// \file
/// Simulation of nodes, the owners of their calls and fake engines, for
/// measuring the dispatcher's decisions without network or threads, in
/// simulated time.

#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch_tuning.h"
#include "dispatcher_fake_engine.h"
#include "rillwall/dispatcher.h"

namespace rillwall::fakes {

inline constexpr const char* kModel = "model";

/// Product: by the dispatcher. Random: to a random engine, for comparison.
enum class Routing { Product, Random };

/// Parameters of a simulation.
struct Scenario {
  Routing mRouting = Routing::Product;
  DispatchTuning mTuning;
  DispatcherLimits mLimits;
  size_t mNodes = 10;
  size_t mEngines = 20;
  size_t mZones = 1;
  size_t mSubset = 0;  ///< engines that a node knows; 0: all
  Millis mDuration{60000};
  Millis mWarmUp{15000};
  double mCallsPerSecond = 40;  ///< interactive, all nodes together
  double mTokensPerCall = 100;
  double mFirstZoneShare = 0;    ///< share of calls through zone z0
  double mModestShare = 0;       ///< share of calls by a second account
  bool mOneQueue = false;        ///< both accounts share one queue
  double mTrainingTokens = 400;  ///< per sample; 0: no training
  size_t mPrefixes = 0;
  double mPrefillMs = 150;
  Millis mReportPeriod{1000};
  Millis mReportLag{500};
  bool mResubmit = true;  ///< owners retry failed calls
  uint64_t mSeed = 1;
  /// Injects faults or observes the engines; called in every step.
  std::function<void(std::vector<FakeEngine>&, Millis)> mFaults;
};

/// Results of a simulation, without the warm-up.
struct Outcome {
  std::vector<double> mFirstTokenMs;        ///< of interactive calls, sorted
  std::vector<double> mModestFirstTokenMs;  ///< of the second account
  std::vector<double> mCallMs;    ///< duration of interactive calls, sorted
  std::vector<double> mSampleMs;  ///< duration of training calls, sorted
  uint64_t mModestCalls = 0;
  uint64_t mModestRefused = 0;
  uint64_t mCalls = 0;
  uint64_t mRefused = 0;
  uint64_t mRefusedLate = 0;  ///< refused after more than 100 ms
  uint64_t mAttempts = 0;     ///< calls sent to an engine, of both classes
  uint64_t mFirstAttempts = 0;
  uint64_t mFailedAttempts = 0;
  uint64_t mRemote = 0;  ///< attempts outside the node's zone
  uint64_t mPreempted = 0;
  int64_t mTrainingTokens = 0;
  int64_t mInteractiveTokens = 0;
  double mEngineWaiting = 0;  ///< mean of calls waiting at an engine
  double mHitRatio = 0;

  double Percentile(double aShare) const {
    return PercentileOf(mFirstTokenMs, aShare);
  }
  double CallPercentile(double aShare) const {
    return PercentileOf(mCallMs, aShare);
  }
  double SamplePercentile(double aShare) const {
    return PercentileOf(mSampleMs, aShare);
  }
  double ModestPercentile(double aShare) const {
    return PercentileOf(mModestFirstTokenMs, aShare);
  }

 private:
  static double PercentileOf(const std::vector<double>& aSorted,
                             double aShare) {
    if (aSorted.empty()) {
      return 0;
    }
    const auto last = static_cast<double>(aSorted.size() - 1);
    return aSorted[static_cast<size_t>(aShare * last)];
  }
};

/// Nodes with the owners of their calls and one shared set of fake engines.
class Simulation {
 public:
  explicit Simulation(Scenario aScenario)
      : mScenario(std::move(aScenario)), mRandom(mScenario.mSeed) {
    std::vector<Upstream> upstreams;
    for (size_t index = 0; index < mScenario.mEngines; ++index) {
      FakeEngine engine;
      engine.mId = "e" + std::to_string(index);
      engine.mZone = Zone(index);
      upstreams.push_back({.mId = engine.mId,
                           .mName = kModel,
                           .mZone = engine.mZone,
                           .mGeneration = 1});
      mEngineIndexes[engine.mId] = index;
      mEngines.push_back(std::move(engine));
    }
    for (size_t index = 0; index < mScenario.mNodes; ++index) {
      mNodes.push_back(std::make_unique<Dispatcher>(
          Zone(index), mScenario.mLimits, mScenario.mSeed * 1000 + index,
          mScenario.mTuning));
      std::vector<Upstream> known = upstreams;
      if (mScenario.mSubset > 0) {
        std::shuffle(known.begin(), known.end(), mRandom);
        known.resize(std::min(known.size(), mScenario.mSubset));
      }
      mNodes.back()->Configure(known, PolicyRules(), mNow);
    }
  }

  Outcome Run() {
    while (mNow < mScenario.mDuration) {
      Step();
    }
    std::sort(mOutcome.mFirstTokenMs.begin(), mOutcome.mFirstTokenMs.end());
    std::sort(mOutcome.mCallMs.begin(), mOutcome.mCallMs.end());
    std::sort(mOutcome.mSampleMs.begin(), mOutcome.mSampleMs.end());
    std::sort(mOutcome.mModestFirstTokenMs.begin(),
              mOutcome.mModestFirstTokenMs.end());
    double hits = 0;
    double all = 1e-9;
    for (const FakeEngine& engine : mEngines) {
      hits += static_cast<double>(engine.mHits);
      all += static_cast<double>(engine.mHits + engine.mMisses);
    }
    mOutcome.mHitRatio = hits / all;
    mOutcome.mEngineWaiting /= static_cast<double>(std::max(mSteps, 1L));
    return mOutcome;
  }

 private:
  /// Call as its owner sees it, over all attempts.
  struct ClientCall {
    CallSpec mSpec;
    size_t mNode = 0;
    size_t mEngine = 0;
    double mTokensLeft = 0;
    Millis mArrived;
    bool mFirstToken = false;
    bool mModest = false;
  };

  std::string Zone(size_t aIndex) const {
    return "z" + std::to_string(aIndex % mScenario.mZones);
  }
  bool Counting() const { return mNow >= mScenario.mWarmUp; }

  void Step() {
    mNow += kStep;
    if (mScenario.mFaults) {
      mScenario.mFaults(mEngines, mNow);
    }
    CutDead();
    SendReports();
    Arrivals();
    std::vector<FakeEvent> events;
    for (FakeEngine& engine : mEngines) {
      engine.Step(events);
    }
    for (const FakeEvent& event : events) {
      Handle(event);
    }
    if (mNow.Count() % 20 == 0) {
      for (size_t node = 0; node < mNodes.size(); ++node) {
        CarryOut(node, mNodes[node]->Tick(mNow));
      }
    }
    if (Counting()) {
      ++mSteps;
      double waiting = 0;
      for (const FakeEngine& engine : mEngines) {
        waiting += static_cast<double>(engine.Load().mWaiting);
      }
      mOutcome.mEngineWaiting += waiting / static_cast<double>(mEngines.size());
    }
  }

  void CutDead() {
    for (FakeEngine& engine : mEngines) {
      if (!engine.mDead) {
        continue;
      }
      for (const FakeStream& stream : engine.Crash()) {
        End(stream.mTicket, CallOutcome::Failed);
      }
    }
  }

  void SendReports() {
    const int64_t period = mScenario.mReportPeriod.Count();
    for (size_t index = 0; index < mEngines.size(); ++index) {
      const auto phase = static_cast<int64_t>(index) * period /
                         static_cast<int64_t>(mEngines.size());
      const bool due =
          (mNow.Count() / kStep.Count()) % (period / kStep.Count()) ==
          phase / kStep.Count();
      if (due && !mEngines[index].mDead && !mEngines[index].mFrozen) {
        mReports.push_back(
            {mNow + mScenario.mReportLag, index, mEngines[index].Load()});
      }
    }
    while (!mReports.empty() && mReports.front().mAt <= mNow) {
      PendingReport& report = mReports.front();
      report.mReport.mAt = mNow;
      for (const auto& node : mNodes) {
        node->Report(mEngines[report.mEngine].mId, report.mReport);
      }
      mReports.pop_front();
    }
  }

  void Arrivals() {
    const double seconds = static_cast<double>(kStep.Count()) / 1000;
    std::poisson_distribution<int> calls(mScenario.mCallsPerSecond * seconds);
    for (int left = calls(mRandom); left > 0; --left) {
      std::exponential_distribution<double> tokens(1 /
                                                   mScenario.mTokensPerCall);
      std::bernoulli_distribution firstZone(mScenario.mFirstZoneShare);
      size_t node = mRandom() % mNodes.size();
      node -= firstZone(mRandom) ? node % mScenario.mZones : 0;
      Open(node, CallClass::Interactive, 1 + tokens(mRandom));
    }
    if (mScenario.mTrainingTokens <= 0 || mNow.Count() % 50 != 0) {
      return;
    }
    for (size_t node = 0; node < mNodes.size(); ++node) {
      std::exponential_distribution<double> tokens(1 /
                                                   mScenario.mTrainingTokens);
      for (int64_t freeSlots = FreeTrainingSlots(node); freeSlots > 0;
           --freeSlots) {
        Open(node, CallClass::Training, 1 + tokens(mRandom));
      }
    }
  }

  int64_t FreeTrainingSlots(size_t aNode) const {
    if (mScenario.mRouting == Routing::Product) {
      return mNodes[aNode]->FreeTrainingSlots(kModel);
    }
    // Without reports, each node uses its part of 85 % of the slots.
    const auto slots = static_cast<double>(mEngines.size()) * 16;
    const double part = slots * 0.85 / static_cast<double>(mNodes.size());
    const auto found = mTrainingOf.find(aNode);
    const int64_t running = found == mTrainingOf.end() ? 0 : found->second;
    return static_cast<int64_t>(part) - running;
  }

  void Open(size_t aNode, CallClass aClass, double aTokens) {
    ClientCall call;
    call.mNode = aNode;
    call.mTokensLeft = aTokens;
    call.mArrived = mNow;
    call.mSpec.mTicket = ++mLastTicket;
    call.mSpec.mClass = aClass;
    std::bernoulli_distribution modest(mScenario.mModestShare);
    call.mModest = aClass == CallClass::Interactive && modest(mRandom);
    const char* account =
        call.mModest && !mScenario.mOneQueue ? "modest" : "house";
    call.mSpec.mTenant = aClass == CallClass::Training ? "trainer" : account;
    call.mSpec.mModel = kModel;
    call.mSpec.mExpectedTokens = static_cast<int64_t>(aTokens);
    call.mSpec.mDeadline = mNow + Millis(600000);
    if (mScenario.mPrefixes > 0) {
      // The popularity of a prefix is proportional to 1/rank.
      std::uniform_real_distribution<double> draw(0, 1);
      const double count = static_cast<double>(mScenario.mPrefixes);
      call.mSpec.mPrefixHash =
          static_cast<uint64_t>(std::pow(count, draw(mRandom)));
    }
    if (aClass == CallClass::Training) {
      ++mTrainingOf[aNode];
    } else if (Counting()) {
      ++mOutcome.mCalls;
      mOutcome.mModestCalls += call.mModest;
    }
    Submit(std::move(call));
  }

  void Submit(ClientCall aCall) {
    const uint64_t ticket = aCall.mSpec.mTicket;
    const size_t node = aCall.mNode;
    const CallSpec spec = aCall.mSpec;
    mClientCalls.insert_or_assign(ticket, std::move(aCall));
    if (mScenario.mRouting == Routing::Random) {
      Start(ticket, mRandom() % mEngines.size());
      return;
    }
    CarryOut(node, mNodes[node]->Submit(spec, mNow));
  }

  /// Carries out the decisions of a node's dispatcher.
  void CarryOut(size_t aNode, const std::vector<CallDecision>& aDecisions) {
    for (const CallDecision& decision : aDecisions) {
      switch (decision.mAction) {
        case CallAction::Start:
          Start(decision.mTicket, mEngineIndexes.at(decision.mUpstream));
          break;
        case CallAction::Refuse:
          Refused(decision.mTicket);
          break;
        case CallAction::Preempt:
          Preempt(aNode, decision.mTicket);
          break;
      }
    }
  }

  void Start(uint64_t aTicket, size_t aEngine) {
    ClientCall& call = mClientCalls.at(aTicket);
    call.mEngine = aEngine;
    if (Counting()) {
      ++mOutcome.mAttempts;
      mOutcome.mFirstAttempts += !call.mSpec.mRetry;
      mOutcome.mRemote += mEngines[aEngine].mZone != Zone(call.mNode);
    }
    const FakeStream stream{.mTicket = aTicket,
                            .mNode = call.mNode,
                            .mClass = call.mSpec.mClass,
                            .mPrefix = call.mSpec.mPrefixHash,
                            .mPrefillMs = mScenario.mPrefillMs,
                            .mTokensLeft = call.mTokensLeft};
    FakeEngine& engine = mEngines[aEngine];
    if (!engine.Add(stream)) {
      End(aTicket, engine.mDead ? CallOutcome::Failed : CallOutcome::Refused);
    }
  }

  void Refused(uint64_t aTicket) {
    const ClientCall& call = mClientCalls.at(aTicket);
    if (call.mSpec.mClass == CallClass::Interactive && Counting()) {
      ++mOutcome.mRefused;
      mOutcome.mModestRefused += call.mModest;
      mOutcome.mRefusedLate += mNow - call.mArrived > Millis(100);
    }
    Forget(aTicket);
  }

  void Forget(uint64_t aTicket) {
    const ClientCall& call = mClientCalls.at(aTicket);
    if (call.mSpec.mClass == CallClass::Training) {
      --mTrainingOf[call.mNode];
    }
    mClientCalls.erase(aTicket);
  }

  void Preempt(size_t aNode, uint64_t aTicket) {
    mOutcome.mPreempted += Counting();
    ClientCall call = mClientCalls.at(aTicket);
    mEngines[call.mEngine].Remove(aTicket);
    mClientCalls.erase(aTicket);
    CarryOut(aNode,
             mNodes[aNode]->Finish(aTicket, CallOutcome::Cancelled, mNow));
    call.mSpec.mTicket = ++mLastTicket;
    Submit(std::move(call));
  }

  /// Handles an attempt that failed or was refused by the engine.
  void End(uint64_t aTicket, CallOutcome aOutcome) {
    ClientCall call = mClientCalls.at(aTicket);
    mOutcome.mFailedAttempts += Counting();
    const size_t node = call.mNode;
    const std::string engine = mEngines[call.mEngine].mId;
    if (mScenario.mRouting == Routing::Product) {
      CarryOut(node, mNodes[node]->Finish(aTicket, aOutcome, mNow));
    }
    constexpr size_t kMaxAttempts = 4;
    if (!mScenario.mResubmit || call.mSpec.mAvoid.size() + 1 >= kMaxAttempts) {
      Refused(aTicket);
      return;
    }
    mClientCalls.erase(aTicket);
    call.mSpec.mTicket = ++mLastTicket;
    call.mSpec.mRetry = true;
    call.mSpec.mAvoid.push_back(engine);
    Submit(std::move(call));
  }

  void Handle(const FakeEvent& aEvent) {
    const auto found = mClientCalls.find(aEvent.mTicket);
    if (found == mClientCalls.end()) {
      return;
    }
    ClientCall& call = found->second;
    call.mTokensLeft -= static_cast<double>(aEvent.mTokens);
    const bool interactive = call.mSpec.mClass == CallClass::Interactive;
    if (Counting()) {
      (interactive ? mOutcome.mInteractiveTokens : mOutcome.mTrainingTokens) +=
          aEvent.mTokens;
    }
    if (!call.mFirstToken) {
      call.mFirstToken = true;
      if (interactive && Counting()) {
        const Millis wait = mNow - call.mArrived;
        const auto waitMs = static_cast<double>(wait.Count());
        mOutcome.mFirstTokenMs.push_back(waitMs);
        if (call.mModest) {
          mOutcome.mModestFirstTokenMs.push_back(waitMs);
        }
      }
    }
    const size_t node = call.mNode;
    if (mScenario.mRouting == Routing::Product) {
      mNodes[node]->Progress(aEvent.mTicket, aEvent.mTokens, mNow);
    }
    if (!aEvent.mDone) {
      return;
    }
    if (Counting()) {
      const auto whole = static_cast<double>((mNow - call.mArrived).Count());
      (interactive ? mOutcome.mCallMs : mOutcome.mSampleMs).push_back(whole);
    }
    Forget(aEvent.mTicket);
    if (mScenario.mRouting == Routing::Product) {
      CarryOut(node,
               mNodes[node]->Finish(aEvent.mTicket, CallOutcome::Done, mNow));
    }
  }

  /// Load report that has not reached the nodes yet.
  struct PendingReport {
    Millis mAt;
    size_t mEngine = 0;
    LoadReport mReport;
  };

  Scenario mScenario;
  std::mt19937_64 mRandom;
  Millis mNow;
  std::vector<FakeEngine> mEngines;
  std::map<std::string, size_t> mEngineIndexes;
  std::vector<std::unique_ptr<Dispatcher>> mNodes;
  std::unordered_map<uint64_t, ClientCall> mClientCalls;
  std::map<size_t, int64_t> mTrainingOf;
  std::deque<PendingReport> mReports;
  uint64_t mLastTicket = 0;
  long mSteps = 0;
  Outcome mOutcome;
};

}  // namespace rillwall::fakes
