// Measures routing decisions and packet forwarding by number of upstreams and
// services, and counts allocations.
#include <benchmark/benchmark.h>

#include <vector>

#include "medlarwinch/bench/allocation_count.h"
#include "medlarwinch/bench/routing_fixture.h"
#include "medlarwinch/coordination/shared/rendezvous.h"
#include "medlarwinch/daemon/packet_router.h"

namespace medlarwinch {
namespace {

constexpr size_t kPackets = 1'024;
constexpr size_t kPayloadBytes = 200;

// Counts the allocations per iteration of a benchmark loop.
class AllocationMeter {
 public:
  explicit AllocationMeter(benchmark::State& state)
      : state_(state), before_(AllocationCount()) {}

  void Report() {
    const double allocations = static_cast<double>(AllocationCount() - before_);
    state_.counters["allocations"] =
        allocations / static_cast<double>(state_.iterations());
  }

 private:
  benchmark::State& state_;
  uint64_t before_;
};

void BenchmarkRouting(benchmark::State& state, const RoutingFixture& fixture,
                      const std::vector<FabricPacket>& packets) {
  size_t next = 0;
  AllocationMeter meter(state);
  for (auto iteration : state) {
    (void)iteration;
    const FabricPacket& packet = packets[next];
    next = (next + 1) % packets.size();
    benchmark::DoNotOptimize(RouteFabricPacket(fixture.tables(), fixture.keys(),
                                               packet.service_address,
                                               packet.caller, packet.payload));
  }
  meter.Report();
}

std::vector<FabricPacket> OpenPackets(const RoutingFixture& fixture) {
  std::vector<FabricPacket> packets;
  for (size_t number = 0; number < kPackets; ++number) {
    packets.push_back(fixture.OpenPacket(number));
  }
  return packets;
}

std::vector<FabricPacket> EstablishedPackets(const RoutingFixture& fixture) {
  std::vector<FabricPacket> packets;
  for (size_t number = 0; number < kPackets; ++number) {
    packets.push_back(fixture.EstablishedPacket(number, kPayloadBytes));
  }
  return packets;
}

RoutingFixture MakeFixture(const benchmark::State& state) {
  return RoutingFixture(static_cast<uint32_t>(state.range(1)),
                        static_cast<uint32_t>(state.range(0)));
}

void EstablishedDecision(benchmark::State& state) {
  const RoutingFixture fixture = MakeFixture(state);
  BenchmarkRouting(state, fixture, EstablishedPackets(fixture));
}

void NewFlowDecision(benchmark::State& state) {
  const RoutingFixture fixture = MakeFixture(state);
  BenchmarkRouting(state, fixture, OpenPackets(fixture));
}

// A previous table adds a third ranking and a weight class.
void NewFlowDecisionAfterChange(benchmark::State& state) {
  RoutingFixture fixture = MakeFixture(state);
  fixture.WithdrawOneUpstreamPerService();
  BenchmarkRouting(state, fixture, OpenPackets(fixture));
}

// All upstreams are in their slow start: twenty distinct weights.
void NewFlowDecisionInSlowStart(benchmark::State& state) {
  RoutingFixture fixture = MakeFixture(state);
  fixture.PutAllInSlowStart();
  BenchmarkRouting(state, fixture, OpenPackets(fixture));
}

// Baseline for comparison: one hash and one logarithm per upstream.
void NewFlowByFullRendezvous(benchmark::State& state) {
  std::vector<WeightedNode> nodes;
  for (uint32_t index = 0; index < state.range(0); ++index) {
    nodes.push_back(WeightedNode{Endpoint{0x0a000001 + index, 7'200}, 4});
  }
  uint64_t key = 0;
  AllocationMeter meter(state);
  for (auto iteration : state) {
    (void)iteration;
    benchmark::DoNotOptimize(ChooseByRendezvous(++key, nodes, 2));
  }
  meter.Report();
}

void ForwardEstablished(benchmark::State& state) {
  const RoutingFixture fixture(4, 7);
  const Endpoint fabric{0x7f000001, 9'000};
  std::vector<Bytes> datagrams;
  for (size_t number = 0; number < kPackets; ++number) {
    datagrams.push_back(EncodeFabricPacket(fixture.EstablishedPacket(
        number, static_cast<size_t>(state.range(0)))));
  }
  size_t next = 0;
  AllocationMeter meter(state);
  for (auto iteration : state) {
    (void)iteration;
    FabricPacket packet = TakeValue(DecodeFabricPacket(datagrams[next]));
    next = (next + 1) % datagrams.size();
    const RoutedPacket routed = RouteFabricPacket(
        fixture.tables(), fixture.keys(), packet.service_address, packet.caller,
        packet.payload);
    benchmark::DoNotOptimize(MakeForwardedDatagram(
        fixture.tables(), fixture.keys(), routed, fabric, std::move(packet)));
  }
  meter.Report();
}

// Rebuilds all tables without a change of the members, as after a changed mean.
void RebuildTables(benchmark::State& state) {
  RoutingFixture fixture = MakeFixture(state);
  AllocationMeter meter(state);
  for (auto iteration : state) {
    (void)iteration;
    fixture.Rebuild();
  }
  meter.Report();
}

void AddSizes(benchmark::internal::Benchmark* benchmark) {
  benchmark->ArgNames({"upstreams", "services"});
  for (const int64_t upstreams : {4, 7, 64, 256, 1'000, 4'096}) {
    benchmark->Args({upstreams, 1});
  }
  benchmark->Args({7, 100});
  benchmark->Args({6, 1'200});
}

BENCHMARK(EstablishedDecision)->Apply(AddSizes);
BENCHMARK(NewFlowDecision)->Apply(AddSizes);
BENCHMARK(NewFlowDecisionAfterChange)->Apply(AddSizes);
BENCHMARK(NewFlowDecisionInSlowStart)->Apply(AddSizes);
BENCHMARK(NewFlowByFullRendezvous)->ArgName("upstreams")->Arg(7)->Arg(1'000);
BENCHMARK(RebuildTables)
    ->ArgNames({"upstreams", "services"})
    ->Args({7, 4})
    ->Args({1'000, 1})
    ->Args({6, 1'200});
BENCHMARK(ForwardEstablished)->ArgName("payload")->Arg(100)->Arg(1'000);

}  // namespace
}  // namespace medlarwinch

BENCHMARK_MAIN();
