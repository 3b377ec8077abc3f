// FAILBACK: a zone is evacuated and taken back, and its hosts became cold
// shortly before.
#include <algorithm>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
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
constexpr uint32_t kHosts = 6;
constexpr Millis kHeartbeatInterval{1'200};
// The heartbeats of the hosts are not in step.
constexpr Millis kBetweenStarts{370};
constexpr Millis kBetweenFlows{7};
constexpr double kColdPerSecond = 4;
constexpr double kColdOver = 1.5;
constexpr double kColdSlack = 5;
constexpr Millis kColdTime{2'000};
constexpr Millis kEvacuated{7'000};
// The hosts become cold this long before the zone is taken back.
constexpr int64_t kColdLeadMs = 100;
constexpr Millis kObserved{4'000};

Millis ColdLead() {
  const char* text = std::getenv("COLD_LEAD_MS");
  return Millis{text == nullptr ? kColdLeadMs : std::atol(text)};
}

nlohmann::json Configuration() {
  return {{"version", 7},
          {"routes",
           {{{"name", "r-packs"},
             {"host", "198.18.0.1"},
             {"path_prefix", "/8080/"},
             {"route_kind", "download"},
             {"timeout_ms", 10'000},
             {"target_latency_ms", 800},
             {"priority", 2},
             {"service", kService},
             {"max_attempts", 2}}}},
          {"services",
           {{{"name", kService},
             {"health_path", "/health"},
             {"cold_start_s", 2.0},
             {"cold_per_s", kColdPerSecond}}}},
          {"limits", {{"idle_timeout_ms", 15'000}}}};
}

// The openings that a cold host took in any span of a second.
struct ColdOpenings {
  std::deque<TimePoint> last_second;
  size_t most = 0;
};

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
                    {"stability_window_ms", 5'000},
                    {"ack_ms", 8'000},
                    {"config_apply_ms", 5'000},
                    {"cold_over", kColdOver},
                    {"cold_slack", kColdSlack},
                    {"evacuate_ms", 5'000},
                    {"reorder_ms", 2'000},
                    {"flow_ttl_s", 60}};
  Site site(options, record);
  site.store().Put("config", "main", Configuration());
  site.AddDaemon("front-1", "balancer", site.IpOf(2), "zone-a", "");
  site.AddDaemon("front-2", "balancer", site.IpOf(3), "zone-b", "");

  size_t openings = 0;
  std::map<std::string, ColdOpenings> cold_openings;
  std::vector<std::unique_ptr<Host>> hosts;
  for (uint32_t number = 1; number <= kHosts; ++number) {
    HostOptions host;
    host.id = "h-" + std::to_string(number);
    host.service = kService;
    host.zone = number % 2 == 0 ? "zone-a" : "zone-b";
    host.ip = site.IpOf(10 + number);
    host.heartbeat_interval = kHeartbeatInterval;
    site.AddDaemon("side-" + std::to_string(number), "agent", host.ip,
                   host.zone, kService);
    hosts.push_back(std::make_unique<Host>(
        site.loop(), host, [&](const std::string& line) { record.Write(line); },
        [&, index = hosts.size()](const FlowTuple& /*flow*/) {
          ++openings;
          const Host& taker = *hosts[index];
          if (!taker.IsCold()) return;
          ColdOpenings& taken = cold_openings[taker.options().id];
          const TimePoint now = MonotonicNow();
          taken.last_second.push_back(now);
          while (now - taken.last_second.front() >= Millis{1'000}) {
            taken.last_second.pop_front();
          }
          taken.most = std::max(taken.most, taken.last_second.size());
        }));
  }
  site.Run(Millis{500});
  for (const std::unique_ptr<Host>& host : hosts) {
    host->Start();
    site.Run(kBetweenStarts);
  }
  if (!site.AwaitReady()) {
    record.Write("the balancers are not ready");
    return kExitNotRun;
  }
  Callers callers(site, site.IpOf(4), record);
  const auto run_with_openings = [&](Millis duration) {
    const TimePoint end = MonotonicNow() + duration;
    TimePoint next_flow = MonotonicNow();
    while (MonotonicNow() < end) {
      while (MonotonicNow() >= next_flow) {
        callers.Open(kRoute);
        next_flow = next_flow + kBetweenFlows;
      }
      site.Run(Millis{1});
    }
  };
  run_with_openings(Millis{6'000});
  if (has_trouble) {
    site.store().Put("evacuations", kEvacuatedZone, nlohmann::json::object());
    record.Write(std::string("the operator evacuates ") + kEvacuatedZone);
    run_with_openings(kEvacuated - ColdLead());
    for (const std::unique_ptr<Host>& host : hosts) {
      if (host->options().zone == kEvacuatedZone) host->BecomeCold(kColdTime);
    }
    run_with_openings(ColdLead());
    site.store().Remove("evacuations", kEvacuatedZone);
    record.Write(std::string("the operator takes ") + kEvacuatedZone + " back");
  }
  run_with_openings(kObserved);

  const double bound = kColdPerSecond * kColdOver + kColdSlack;
  bool is_broken = false;
  for (const auto& [id, taken] : cold_openings) {
    record.Write("cold host " + id + " took at most " +
                 std::to_string(taken.most) + " openings in a second; bound " +
                 std::to_string(static_cast<int>(bound)));
    is_broken = is_broken || static_cast<double>(taken.most) > bound;
  }
  record.Write(std::to_string(openings) + " openings reached hosts");
  if (openings == 0) return kExitNotRun;
  record.Write(is_broken ? "FAILBACK is broken" : "FAILBACK holds");
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
