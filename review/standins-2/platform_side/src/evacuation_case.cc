// EVAC: connections to the store over which nothing has passed for some seconds
// go silent. Later, when all machines are in touch again, the operator
// evacuates a zone.
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

constexpr const char* kService = "noticeboard";
constexpr const char* kEvacuatedZone = "zone-b";
const Endpoint kRoute{0xc6120001, 8'080};
constexpr uint32_t kHosts = 4;
constexpr Millis kHeartbeatInterval{1'200};
constexpr Millis kBetweenFlows{50};
// The bounds of the deployments that have evacuations.
constexpr Millis kStabilityWindow{5'000};
constexpr Millis kEvacuateBound{5'000};
constexpr Millis kBeforeSilence{9'000};
// Idle connections that a middlebox has forgotten.
constexpr int64_t kIdleMs = 6'000;
constexpr Millis kAfterStability{500};
constexpr Millis kObserved{20'000};

// Connections go silent that were idle for this long; 0 for all connections.
Millis Idle() {
  const char* text = std::getenv("IDLE_MS");
  return Millis{text == nullptr ? kIdleMs : std::atol(text)};
}

nlohmann::json Configuration() {
  return {{"version", 7},
          {"routes",
           {{{"name", "r-notices"},
             {"host", "198.18.0.1"},
             {"path_prefix", "/8080/"},
             {"route_kind", "safe"},
             {"timeout_ms", 3'000},
             {"target_latency_ms", 300},
             {"priority", 2},
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
  options.contracts = {"base",   "drain", "config", "cost",     "recover",
                       "health", "flows", "places", "pressure", "platform"};
  options.bounds = {{"drain_ms", 5'000},
                    {"grace_s", 6},
                    {"stability_window_ms", kStabilityWindow.value},
                    {"ack_ms", 8'000},
                    {"config_apply_ms", 5'000},
                    {"evacuate_ms", kEvacuateBound.value},
                    {"reorder_ms", 2'000},
                    {"flow_ttl_s", 60}};
  Site site(options, record);
  site.store().Put("config", "main", Configuration());
  site.AddDaemon("front-1", "balancer", site.IpOf(2), "zone-a", "");
  site.AddDaemon("front-2", "balancer", site.IpOf(3), "zone-b", "");

  TimePoint acknowledged_at;
  size_t openings = 0;
  size_t late_openings = 0;
  Millis latest{0};
  std::vector<std::unique_ptr<Host>> hosts;
  for (uint32_t number = 1; number <= kHosts; ++number) {
    const std::string zone = number % 2 == 0 ? "zone-a" : "zone-b";
    const uint32_t ip = site.IpOf(10 + number);
    site.AddDaemon("side-" + std::to_string(number), "agent", ip, zone,
                   kService);
    HostOptions host;
    host.id = "h-" + std::to_string(number);
    host.service = kService;
    host.zone = zone;
    host.ip = ip;
    host.heartbeat_interval = kHeartbeatInterval;
    hosts.push_back(std::make_unique<Host>(
        site.loop(), host, [](const std::string& /*line*/) {},
        [&, zone](const FlowTuple& flow) {
          ++openings;
          if (zone != kEvacuatedZone || acknowledged_at == TimePoint{}) return;
          const Millis since = MonotonicNow() - acknowledged_at;
          if (since <= kEvacuateBound) return;
          ++late_openings;
          latest = since;
          record.Write("an opening from port " +
                       std::to_string(flow.caller.port) +
                       " reaches a host of " + kEvacuatedZone + " " +
                       std::to_string(since.value) + " ms after the ack");
        }));
  }
  site.Run(Millis{500});
  for (const std::unique_ptr<Host>& host : hosts) host->Start();
  if (!site.AwaitReady()) {
    record.Write("the balancers are not ready");
    return kExitNotRun;
  }
  Callers callers(site, site.IpOf(4), record);
  const auto run_with_openings = [&](Millis duration) {
    const TimePoint end = MonotonicNow() + duration;
    while (MonotonicNow() < end) {
      callers.Open(kRoute);
      site.Run(kBetweenFlows);
    }
  };
  run_with_openings(kBeforeSilence);
  if (has_trouble) {
    const size_t silenced = site.proxy().SilenceIdle(Idle());
    record.Write(std::to_string(silenced) +
                 " idle connections to the store go silent");
    if (silenced == 0) return kExitNotRun;
  }
  run_with_openings(kStabilityWindow + kAfterStability);
  const size_t openings_before = openings;
  site.store().Put("evacuations", kEvacuatedZone, nlohmann::json::object());
  acknowledged_at = MonotonicNow();
  record.Write(std::string("the store acknowledges the evacuation of ") +
               kEvacuatedZone);
  run_with_openings(kObserved);
  record.Write(std::to_string(openings) + " openings reached hosts, " +
               std::to_string(openings - openings_before) +
               " of them after the ack");
  record.Write(std::to_string(late_openings) + " reached hosts of " +
               kEvacuatedZone + " later than " +
               std::to_string(kEvacuateBound.value) +
               " ms after the ack, the last one " +
               std::to_string(latest.value) + " ms after it");
  if (openings == openings_before) return kExitNotRun;
  const bool is_broken = late_openings > 0;
  record.Write(is_broken ? "EVAC is broken" : "EVAC holds");
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
