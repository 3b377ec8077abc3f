// FLOW: a host that counts its heartbeats from 0 joins, and its daemon is
// stopped and started once within the host's first heartbeat interval. Seconds
// later the callers go on with the flows that they opened before.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "medlarwinch/transport/system_clock.h"
#include "stand_in_callers.h"
#include "stand_in_host.h"
#include "stand_in_site.h"

namespace medlarwinch::review {
namespace {

constexpr const char* kService = "order-desk";
const Endpoint kRoute{0xc6120001, 8'080};
constexpr size_t kEarlierHosts = 3;
constexpr Millis kHeartbeatInterval{1'200};
// A quarter of the flows opens at the new host.
constexpr int kFlows = 40;
constexpr Millis kBetweenFlows{8};
constexpr Millis kStopAfter{400};
constexpr Millis kRestartDelay{100};
// Longer than stability_window_ms after the daemon is back, and shorter than
// idle_timeout_ms.
constexpr Millis kPause{8'000};
constexpr Millis kAnswerTime{4'000};
constexpr size_t kMinFlowsAtHost = 3;

// The number of a host's first heartbeat; 0 unless FIRST_HEARTBEAT is set.
uint64_t FirstHeartbeat() {
  const char* text = std::getenv("FIRST_HEARTBEAT");
  return text == nullptr ? 0 : std::strtoull(text, nullptr, 10);
}

nlohmann::json Configuration() {
  return {{"version", 7},
          {"routes",
           {{{"name", "r-orders"},
             {"host", "198.18.0.1"},
             {"path_prefix", "/8080/"},
             {"route_kind", "unsafe"},
             {"timeout_ms", 4'000},
             {"target_latency_ms", 300},
             {"priority", 1},
             {"service", kService},
             {"max_attempts", 2}}}},
          {"services", {{{"name", kService}, {"health_path", "/health"}}}},
          {"limits", {{"idle_timeout_ms", 15'000}}}};
}

int Run(const std::string& daemon_program, const std::string& folder,
        const std::string& record_file, bool has_trouble) {
  Record record(record_file);
  SiteOptions options;
  options.daemon_program = daemon_program;
  options.folder = folder;
  options.heartbeat_interval = kHeartbeatInterval;
  options.zones = {{"zone-a", "region-1"}, {"zone-b", "region-1"}};
  options.contracts = {"base",    "drain", "config",  "cost",
                       "recover", "flows", "platform"};
  options.bounds = {{"drain_ms", 3'000},
                    {"grace_s", 6},
                    {"stability_window_ms", 4'000},
                    {"ack_ms", 5'000},
                    {"config_apply_ms", 3'000},
                    {"reorder_ms", 2'000},
                    {"flow_ttl_s", 60}};
  Site site(options, record);
  site.store().Put("config", "main", Configuration());
  site.AddDaemon("front-1", "balancer", site.IpOf(2), "zone-a", "");
  site.AddDaemon("front-2", "balancer", site.IpOf(3), "zone-b", "");
  std::vector<std::unique_ptr<Host>> hosts;
  const auto add_host = [&](uint32_t number) {
    HostOptions host;
    host.id = "h-" + std::to_string(number);
    host.service = kService;
    host.zone = number % 2 == 0 ? "zone-a" : "zone-b";
    host.ip = site.IpOf(10 + number);
    host.heartbeat_interval = kHeartbeatInterval;
    host.first_sequence = FirstHeartbeat();
    hosts.push_back(std::make_unique<Host>(
        site.loop(), host, [&](const std::string& line) { record.Write(line); },
        [](const FlowTuple& /*flow*/) {}));
  };
  const auto add_machine = [&](uint32_t number) -> SiteDaemon& {
    return site.AddDaemon("side-" + std::to_string(number), "agent",
                          site.IpOf(10 + number),
                          number % 2 == 0 ? "zone-a" : "zone-b", kService);
  };
  for (uint32_t number = 1; number <= kEarlierHosts; ++number) {
    add_machine(number);
    add_host(number);
  }
  site.Run(Millis{500});
  for (const std::unique_ptr<Host>& host : hosts) host->Start();
  if (!site.AwaitReady()) {
    record.Write("the balancers are not ready");
    return kExitNotRun;
  }
  site.Run(Millis{5'000});
  Callers callers(site, site.IpOf(4), record);

  SiteDaemon& new_machine = add_machine(kEarlierHosts + 1);
  add_host(kEarlierHosts + 1);
  Host& new_host = *hosts.back();
  site.Run(Millis{700});
  new_host.Start();
  const TimePoint started = MonotonicNow();
  for (int count = 0; count < kFlows; ++count) {
    callers.Open(kRoute);
    site.Run(kBetweenFlows);
    for (auto& [port, flow] : callers.flows()) {
      if (flow.is_open && flow.answers == 0 && flow.request.empty()) {
        callers.SendRequest(flow);
      }
    }
  }
  site.Run(kStopAfter - (MonotonicNow() - started));
  if (has_trouble) {
    record.Write("SIGTERM to the daemon beside " + new_host.options().id);
    new_machine.process->Signal(SIGTERM);
    if (!site.AwaitExit(new_machine)) return kExitNotRun;
    record.Write("the daemon beside " + new_host.options().id + " has ended");
    site.Run(kRestartDelay);
    site.StartProcess(new_machine);
  }
  site.Run(kPause);

  size_t at_new_host = 0;
  for (auto& [port, flow] : callers.flows()) {
    if (!flow.is_open || flow.is_reset || !flow.request.empty()) continue;
    if (new_host.HoldsOpenFlow(flow.tuple)) ++at_new_host;
    callers.SendRequest(flow);
  }
  record.Write(std::to_string(at_new_host) + " flows are open at host " +
               new_host.options().id);
  if (at_new_host < kMinFlowsAtHost) return kExitNotRun;
  site.Run(kAnswerTime);

  size_t open = 0;
  size_t reset = 0;
  size_t unanswered = 0;
  for (const auto& [port, flow] : callers.flows()) {
    bool is_held = false;
    for (const std::unique_ptr<Host>& host : hosts) {
      is_held = is_held || host->HoldsOpenFlow(flow.tuple);
    }
    if (!flow.is_open || !is_held) continue;
    ++open;
    if (flow.is_reset) ++reset;
    if (!flow.request.empty()) ++unanswered;
  }
  record.Write(
      "flows open at living hosts: " + std::to_string(open) +
      ", of these reset by the system: " + std::to_string(reset) +
      ", with a request without an answer: " + std::to_string(unanswered));
  const bool is_broken = reset > 0;
  record.Write(is_broken ? "FLOW (a) is broken" : "FLOW holds");
  return is_broken ? kExitBroken : kExitHeld;
}

}  // namespace
}  // namespace medlarwinch::review

// Arguments: the daemon program, a folder for settings and logs, and the file
// of the record.
int main(int argc, char** argv) {
  using medlarwinch::review::kExitNotRun;
  if (argc != 4) return kExitNotRun;
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  try {
    return medlarwinch::review::Run(argv[1], argv[2], argv[3], has_trouble);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kExitNotRun;
  }
}
