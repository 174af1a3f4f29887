/// \file
/// Cost of encoding and decoding gossip datagrams and full exchanges. In a
/// fleet of 370 nodes, each node sends and receives about 10 datagrams a
/// second.

#include <benchmark/benchmark.h>

#include "rillwall/gossip_codec.h"
#include "rillwall/wire_convert.h"

namespace {

using namespace rillwall;

constexpr int kFleet = 370;
constexpr int kFleetFacts = 600;

Member NumberedMember(int aNumber) {
  const std::string number = std::to_string(aNumber);
  const std::string address = "10.0." + number + ".1:";
  return {"node-" + number, "Maslak",      address + "7001",  address + "7002",
          address + "7003", 1767225600000, MemberState::Alive};
}

Fact NumberedFact(int aNumber) {
  return {"leaving/engine-" + std::to_string(aNumber), 1767225600000, "1"};
}

GossipMessage Datagram(int aMembers) {
  GossipMessage out{GossipKind::Ping, "node-1", "node-2", 4711};
  for (int i = 0; i < aMembers; ++i) {
    out.mMembers.push_back(NumberedMember(i));
    out.mFacts.push_back(NumberedFact(i));
  }
  return out;
}

GossipState Fleet() {
  GossipState out;
  for (int i = 0; i < kFleet; ++i) {
    out.mMembers.push_back(NumberedMember(i));
  }
  for (int i = 0; i < kFleetFacts; ++i) {
    out.mFacts.push_back(NumberedFact(i));
  }
  return out;
}

const char* Key(const benchmark::State& aState) {
  return aState.range(1) != 0 ? "a shared key of the fleet" : "";
}

void Encode(benchmark::State& aState) {
  const GossipMessage message = Datagram(static_cast<int>(aState.range(0)));
  for (auto unused : aState) {
    benchmark::DoNotOptimize(EncodeGossip(message, Key(aState)));
  }
  aState.counters["bytes"] =
      static_cast<double>(EncodeGossip(message, Key(aState)).size());
}
BENCHMARK(Encode)->ArgsProduct({{0, 5, 20}, {0, 1}});

void Decode(benchmark::State& aState) {
  const std::string bytes =
      EncodeGossip(Datagram(static_cast<int>(aState.range(0))), Key(aState));
  for (auto unused : aState) {
    benchmark::DoNotOptimize(DecodeGossip(bytes, Key(aState)));
  }
}
BENCHMARK(Decode)->ArgsProduct({{0, 5, 20}, {0, 1}});

void EncodeFleet(benchmark::State& aState) {
  const GossipState state = Fleet();
  for (auto unused : aState) {
    benchmark::DoNotOptimize(ToWire(state).SerializeAsString());
  }
  aState.counters["bytes"] =
      static_cast<double>(ToWire(state).SerializeAsString().size());
}
BENCHMARK(EncodeFleet);

void DecodeFleet(benchmark::State& aState) {
  const std::string bytes = ToWire(Fleet()).SerializeAsString();
  for (auto unused : aState) {
    wire::GossipState state;
    state.ParseFromString(bytes);
    benchmark::DoNotOptimize(FromWire(state));
  }
}
BENCHMARK(DecodeFleet);

}  // namespace

BENCHMARK_MAIN();
