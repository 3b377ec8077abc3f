// Measures the time of one balancer's control decisions, and its control
// traffic by number of agents.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include "medlarwinch/bench/control_fixture.h"
#include "medlarwinch/bench/loop_fixture.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

template <size_t (ControlFixture::*Handle)()>
void RunDecision(benchmark::State& state) {
  ControlFixture fixture(kRegionBalancers, kRegionAgents, 0);
  size_t messages = 0;
  for (auto _ : state) messages += (fixture.*Handle)();
  state.counters["messages"] = benchmark::Counter(
      static_cast<double>(messages), benchmark::Counter::kAvgIterations);
}

BENCHMARK(RunDecision<&ControlFixture::HandleMonitoredHeartbeat>)
    ->Name("kept_heartbeat");
BENCHMARK(RunDecision<&ControlFixture::HandleNewAgent>)
    ->Name("delta_new_agent")
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(RunDecision<&ControlFixture::HandleBalancerChange>)
    ->Name("delta_balancer_change")
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(RunDecision<&ControlFixture::HandleMatchingDigest>)
    ->Name("equal_digest")
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(RunDecision<&ControlFixture::RunTick>)
    ->Name("heartbeat_tick")
    ->Unit(benchmark::kMicrosecond);

// Measures the simulation of a steady state over kSeconds + 1 seconds; the
// counters are per second.
void RunTraffic(benchmark::State& state) {
  const uint32_t agents = static_cast<uint32_t>(state.range(0));
  ControlFixture fixture(kRegionBalancers, agents, 0);
  ControlTraffic traffic;
  constexpr uint32_t kSeconds = 6;
  for (auto _ : state) traffic = fixture.RunSteadyState(kSeconds);
  const auto per_second = [](uint64_t count) {
    return static_cast<double>(count) / kSeconds;
  };
  state.counters["kept"] =
      static_cast<double>(fixture.state().monitored.size());
  state.counters["sent_messages"] = per_second(traffic.sent_messages);
  state.counters["sent_bytes"] = per_second(traffic.sent_bytes);
  state.counters["received_messages"] = per_second(traffic.received_messages);
  state.counters["received_bytes"] = per_second(traffic.received_bytes);
}

BENCHMARK(RunTraffic)
    ->Name("steady_six_seconds")
    ->Arg(120)
    ->Arg(1'200)
    ->Arg(kRegionAgents)
    ->Arg(8'600)
    ->Unit(benchmark::kMillisecond);

// Measures publishing a view after the change of one agent. `heap_mb` is the
// heap memory of the loop with two live views: the newest and the previous one,
// which readers may still use.
void RunPublish(benchmark::State& state) {
  const size_t before = mallinfo2().uordblks;
  LoopFixture fixture(static_cast<uint32_t>(state.range(0)));
  fixture.PublishChange();
  const size_t after = mallinfo2().uordblks;
  for (auto _ : state) fixture.PublishChange();
  state.counters["members"] =
      static_cast<double>(fixture.view().members.size());
  state.counters["documents"] =
      static_cast<double>(fixture.view().documents.size());
  state.counters["heap_mb"] = static_cast<double>(after - before) / 1'000'000;
}

BENCHMARK(RunPublish)
    ->Name("publish_view")
    ->Arg(620)
    ->Arg(6'800)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace medlarwinch

int main(int argc, char** argv) {
  medlarwinch::InitLog(medlarwinch::LogLevel::kError, "bench");
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
