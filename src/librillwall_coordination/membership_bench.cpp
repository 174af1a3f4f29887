/// \file
/// Cost of the membership at 9, 90 and 370 nodes: processor time of its steps,
/// bytes of datagrams, and the time until deaths and facts are known. The times
/// in the counters that end in _ms are simulated.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>
#include <vector>

#include "membership_test_network.h"
#include "membership_updates.h"

namespace rillwall {

namespace {

// Bytes of the IP and UDP headers.
constexpr size_t kPacketHeaders = 28;
// Bytes of the tags, lengths, numbers and digest of a datagram without updates.
constexpr size_t kGossipOverhead = 50;
constexpr Millis kSecond{1000};
constexpr Millis kSettle{30000};
constexpr Millis kLimit{600000};
constexpr size_t kDuties = 1024;

size_t EstimateBytes(const GossipMessage& aMessage) {
  size_t bytes = kPacketHeaders + kGossipOverhead + aMessage.mFrom.size() +
                 aMessage.mTarget.size();
  for (const Member& member : aMessage.mMembers) {
    bytes += EstimateBytes(member);
  }
  for (const Fact& fact : aMessage.mFacts) {
    bytes += EstimateBytes(fact);
  }
  return bytes;
}

Member Node(size_t aIndex) {
  const std::string address = TestNetwork::Address(aIndex);
  return {TestNetwork::Id(aIndex), "zone-1", address, address, address, 1};
}

GossipState Fleet(size_t aCount) {
  GossipState state;
  for (size_t index = 1; index < aCount; ++index) {
    state.mMembers.push_back(Node(index));
  }
  return state;
}

/// One node that knows a fleet whose members all answer its pings.
class LoneNode {
 public:
  explicit LoneNode(size_t aCount)
      : mMembership(Node(0), {}, GossipLimits{}, 1) {
    mMembership.Merge(Fleet(aCount), mNow);
    for (Millis end = mNow + kSettle; mNow < end;) {
      Tick();
    }
  }
  void Tick() {
    mNow += TestNetwork::kTick;
    for (const GossipDatagram& datagram : mMembership.Tick(mNow).mDatagrams) {
      if (datagram.mMessage.mKind == GossipKind::Ping) {
        const GossipMessage ack{GossipKind::Ack, datagram.mMessage.mTarget,
                                datagram.mMessage.mTarget,
                                datagram.mMessage.mSequence};
        mMembership.Receive(ack, datagram.mTo, mNow);
      }
    }
  }
  Membership& Get() { return mMembership; }
  Millis Now() const { return mNow; }

 private:
  Membership mMembership;
  Millis mNow = TestNetwork::kStart;
};

TestNetwork Settled(size_t aCount) {
  TestNetwork net(aCount, GossipLimits{}, 1);
  net.RunUntil(kLimit, [&] { return net.AllSee(aCount); });
  net.Run(kSettle);
  return net;
}

void Tick(benchmark::State& aState) {
  LoneNode node(aState.range(0));
  for (auto _ : aState) {
    node.Tick();
  }
}

void ReceivePing(benchmark::State& aState) {
  LoneNode node(aState.range(0));
  GossipMessage ping{GossipKind::Ping, TestNetwork::Id(1), TestNetwork::Id(0),
                     1};
  ping.mMembers = Fleet(9).mMembers;
  uint64_t revision = 0;
  for (auto _ : aState) {
    ping.mFacts = {{"version/letters", ++revision, "v"}};
    benchmark::DoNotOptimize(
        node.Get().Receive(ping, TestNetwork::Address(1), node.Now()));
  }
}

void MergeWhole(benchmark::State& aState) {
  LoneNode node(aState.range(0));
  const GossipState state = Fleet(aState.range(0));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(node.Get().Merge(state, node.Now()));
    benchmark::DoNotOptimize(node.Get().Snapshot());
  }
}

void Owners(benchmark::State& aState) {
  const auto live = Fleet(aState.range(0) + 1).mMembers;
  std::vector<std::string> duties;
  for (size_t duty = 0; duty < kDuties; ++duty) {
    duties.push_back("step/letters/" + std::to_string(duty));
  }
  size_t next = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
        DutyOwners(live, duties[next++ % kDuties], aState.range(1)));
  }
}

/// One simulated second of a whole fleet, with aState.range(1) facts published
/// per minute. The time includes all nodes and the test network.
void FleetSecond(benchmark::State& aState) {
  const size_t count = aState.range(0);
  TestNetwork net = Settled(count);
  size_t bytes = 0;
  size_t seconds = 0;
  size_t facts = 0;
  net.Watch([&](size_t, const GossipActions& aActions) {
    for (const GossipDatagram& datagram : aActions.mDatagrams) {
      bytes += EstimateBytes(datagram.mMessage);
    }
  });
  for (auto _ : aState) {
    ++seconds;
    for (; facts < seconds * aState.range(1) / 60; ++facts) {
      const size_t node = facts % count;
      net.CarryOut(node, net.At(node).SetFact(
                             {"version/letters", facts + 1, "v"}, net.Now()));
    }
    net.Run(kSecond);
  }
  const auto nodeSeconds = static_cast<double>(seconds * count);
  aState.counters["sent_Bps_node"] = static_cast<double>(bytes) / nodeSeconds;
  aState.counters["cpu_node"] = benchmark::Counter(
      nodeSeconds, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

void Report(benchmark::State& aState, std::vector<int64_t> aTimes) {
  std::sort(aTimes.begin(), aTimes.end());
  aState.counters["median_ms"] = static_cast<double>(aTimes[aTimes.size() / 2]);
  aState.counters["max_ms"] = static_cast<double>(aTimes.back());
}

/// Time from a crash until all other nodes have detected it.
void Detection(benchmark::State& aState) {
  const size_t count = aState.range(0);
  TestNetwork net = Settled(count);
  std::vector<int64_t> times;
  uint64_t incarnation = 1;
  for (auto _ : aState) {
    net.Crash(count - 1);
    times.push_back(
        net.RunUntil(kLimit, [&] { return net.AllSee(count - 1); }).Count());
    net.Restart(count - 1, ++incarnation);
    net.RunUntil(kLimit, [&] { return net.AllSee(count); });
    net.Run(kSettle);
  }
  Report(aState, std::move(times));
}

/// Time from the publication of a fact until all nodes know it, at 1 % loss.
void FactSpread(benchmark::State& aState) {
  const size_t count = aState.range(0);
  TestNetwork net = Settled(count);
  net.SetLoss(0.01);
  std::vector<int64_t> times;
  uint64_t revision = 0;
  for (auto _ : aState) {
    net.CarryOut(0, net.At(0).SetFact({"key", ++revision, "v"}, net.Now()));
    const Millis took = net.RunUntil(kLimit, [&] {
      return net.Count([&](const Membership& aNode) {
        const Fact* fact = aNode.FindFact("key");
        return fact != nullptr && fact->mRevision == revision;
      }) == count;
    });
    times.push_back(took.Count());
    net.Run(kSecond * 5);
  }
  Report(aState, std::move(times));
}

/// Time from the end of a partition into halves until all nodes see each other,
/// and the false deaths in that time.
void Healing(benchmark::State& aState) {
  const size_t count = aState.range(0);
  TestNetwork net = Settled(count);
  std::vector<int64_t> times;
  size_t deaths = 0;
  for (auto _ : aState) {
    for (size_t index = 0; index < count / 2; ++index) {
      net.SetPartition(index, 1);
    }
    net.Run(kSecond * 60);
    deaths -= net.FalseDeaths();
    for (size_t index = 0; index < count / 2; ++index) {
      net.SetPartition(index, 0);
    }
    times.push_back(
        net.RunUntil(kLimit, [&] { return net.AllSee(count); }).Count());
    net.Run(kSettle);
    deaths += net.FalseDeaths();
  }
  aState.counters["false_deaths"] = static_cast<double>(deaths);
  Report(aState, std::move(times));
}

/// False deaths during freezes of 2 s, one node at a time, at 1 % loss.
void Freezes(benchmark::State& aState) {
  const size_t count = aState.range(0);
  TestNetwork net = Settled(count);
  net.SetLoss(0.01);
  std::mt19937_64 random(1);
  size_t freezes = 0;
  for (auto _ : aState) {
    for (int freeze = 0; freeze < 1000; ++freeze) {
      net.Freeze(random() % count, kSecond * 2);
      net.Run(kSecond * 5);
      ++freezes;
    }
  }
  aState.counters["freezes"] = static_cast<double>(freezes);
  aState.counters["false_deaths"] = static_cast<double>(net.FalseDeaths());
}

BENCHMARK(Tick)->Arg(9)->Arg(90)->Arg(370);
BENCHMARK(ReceivePing)->Arg(9)->Arg(90)->Arg(370);
BENCHMARK(MergeWhole)->Arg(9)->Arg(90)->Arg(370);
BENCHMARK(Owners)->ArgsProduct({{9, 90, 370}, {1, 3}});
BENCHMARK(FleetSecond)
    ->ArgsProduct({{9, 90, 370}, {0, 6, 60}})
    ->Iterations(60)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(Detection)->Arg(9)->Arg(90)->Arg(370)->Iterations(5);
BENCHMARK(FactSpread)->Arg(9)->Arg(90)->Arg(370)->Iterations(10);
BENCHMARK(Freezes)->Arg(9)->Arg(90)->Iterations(2);
BENCHMARK(Healing)->Arg(9)->Arg(90)->Arg(370)->Iterations(1);

}  // namespace

}  // namespace rillwall

BENCHMARK_MAIN();
