// FLOW: the daemons are stopped and started in turn, while callers have idle
// flows, and then the callers go on.
//
// "rounds": the daemons beside the hosts are stopped and started once more, and
// the callers go on during this second round.
// "loss": some seconds before, 4 of 9 machines with their hosts were lost.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <list>
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

constexpr const char* kService = "order-desk";
const Endpoint kRoute{0xc6120001, 8'080};
constexpr Millis kHeartbeatInterval{1'200};
constexpr int kFlows = 160;
constexpr Millis kReorder{2'000};
constexpr size_t kForeignPackets = 3;
// One machine at a time, each gap_s.
constexpr Millis kGap{1'300};
constexpr Millis kFrontGap{2'400};
// Shorter than idle_timeout_ms together with the first round.
constexpr Millis kBetweenRounds{1'800};
// The first daemon of the second round has just ended.
constexpr Millis kResume{480};
constexpr Millis kObserved{12'000};
// Longer than stability_window_ms.
constexpr Millis kAfterLoss{7'000};

struct Plan {
  uint32_t hosts = 6;
  uint32_t lost_hosts = 0;
  bool is_after_loss = false;
  int rounds = 2;
  Millis restart_delay{1'400};
};

// A daemon that is stopped and started once.
struct Restart {
  SiteDaemon* daemon = nullptr;
  TimePoint stop_at;
  TimePoint start_at;
  bool is_stopped = false;
  bool has_ended = false;
};

// The packets of an open flow since its host got the last one.
struct Direction {
  std::vector<TimePoint> foreign;
  bool is_reported = false;
};

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

// Carries out the steps that are due. Returns true while some are left.
bool TickRestarts(Site& site, std::list<Restart>& restarts,
                  Millis restart_delay, Record& record) {
  bool is_busy = false;
  const TimePoint now = MonotonicNow();
  for (Restart& restart : restarts) {
    if (!restart.is_stopped && now >= restart.stop_at) {
      record.Write("SIGTERM to " + restart.daemon->name);
      restart.daemon->process->Signal(SIGTERM);
      restart.is_stopped = true;
    }
    if (restart.is_stopped && !restart.has_ended &&
        restart.daemon->process->HasExited()) {
      record.Write(restart.daemon->name + " has ended");
      restart.has_ended = true;
      restart.start_at = now + restart_delay;
    }
    if (restart.has_ended && now >= restart.start_at) {
      site.StartProcess(*restart.daemon);
      restart.daemon = nullptr;
    }
    is_busy = is_busy || restart.daemon != nullptr;
  }
  std::erase_if(restarts, [](const Restart& restart) {
    return restart.daemon == nullptr;
  });
  return is_busy;
}

int Run(const std::string& daemon_program, const std::string& folder,
        const std::string& record_file, const Plan& plan) {
  const bool is_after_loss = plan.is_after_loss;
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
                    {"reorder_ms", kReorder.value},
                    {"flow_ttl_s", 60}};
  Site site(options, record);
  site.store().Put("config", "main", Configuration());
  std::vector<SiteDaemon*> fronts = {
      &site.AddDaemon("front-1", "balancer", site.IpOf(2), "zone-a", ""),
      &site.AddDaemon("front-2", "balancer", site.IpOf(3), "zone-b", "")};
  std::vector<SiteDaemon*> sides;
  std::vector<std::unique_ptr<Host>> hosts;
  std::map<FlowTuple, Direction> directions;
  bool is_broken = false;
  const auto judge = [&](const FlowTuple& flow) {
    Direction& direction = directions[flow];
    const std::vector<TimePoint>& foreign = direction.foreign;
    if (direction.is_reported || foreign.size() < kForeignPackets) return;
    const TimePoint first = foreign.front();
    const bool is_over = foreign[kForeignPackets - 1] - first <= kReorder &&
                         MonotonicNow() - first >= kReorder;
    if (!is_over) return;
    direction.is_reported = true;
    is_broken = true;
    record.Write("flow from port " + std::to_string(flow.caller.port) + ": " +
                 std::to_string(foreign.size()) +
                 " packets have reached other hosts, and none its own for " +
                 std::to_string((MonotonicNow() - first).value) + " ms");
  };
  for (uint32_t number = 1; number <= plan.hosts; ++number) {
    HostOptions host;
    host.id = "h-" + std::to_string(number);
    host.service = kService;
    host.zone = number % 2 == 0 ? "zone-a" : "zone-b";
    host.ip = site.IpOf(10 + number);
    host.heartbeat_interval = kHeartbeatInterval;
    sides.push_back(&site.AddDaemon("side-" + std::to_string(number), "agent",
                                    host.ip, host.zone, kService));
    hosts.push_back(std::make_unique<Host>(
        site.loop(), host, [&](const std::string& line) { record.Write(line); },
        [](const FlowTuple& /*flow*/) {},
        [&](const FlowTuple& flow, bool is_held) {
          if (is_held) {
            judge(flow);
            directions[flow].foreign.clear();
            return;
          }
          for (const std::unique_ptr<Host>& other : hosts) {
            if (!other->HoldsOpenFlow(flow)) continue;
            directions[flow].foreign.push_back(MonotonicNow());
          }
        }));
  }
  site.Run(Millis{500});
  for (const std::unique_ptr<Host>& host : hosts) host->Start();
  if (!site.AwaitReady()) {
    record.Write("the balancers are not ready");
    return kExitNotRun;
  }
  site.Run(Millis{1'500});
  for (uint32_t count = 0; count < plan.lost_hosts; ++count) {
    record.Write(sides.back()->name + " is lost");
    sides.back()->process->Signal(SIGKILL);
    sides.pop_back();
    hosts[sides.size()]->Crash();
  }
  if (is_after_loss) site.Run(kAfterLoss);
  Callers callers(site, site.IpOf(4), record);
  for (int count = 0; count < kFlows; ++count) {
    callers.Open(kRoute);
    if (count % 4 == 0) site.Run(Millis{5});
  }
  site.Run(Millis{200});
  for (auto& [port, flow] : callers.flows()) {
    if (flow.is_open) callers.SendRequest(flow);
  }
  site.Run(Millis{800});

  std::list<Restart> restarts;
  const auto schedule = [&](const std::vector<SiteDaemon*>& daemons, Millis gap,
                            TimePoint at) {
    for (SiteDaemon* daemon : daemons) {
      restarts.push_back(Restart{daemon, at, {}, false, false});
      at = at + gap;
    }
  };
  if (plan.rounds >= 1) {
    record.Write("first round");
    const TimePoint now = MonotonicNow();
    schedule(sides, kGap, now);
    schedule(
        fronts, kFrontGap,
        is_after_loss ? now + kGap * static_cast<int64_t>(sides.size()) : now);
  }
  while (TickRestarts(site, restarts, plan.restart_delay, record))
    site.Run(Millis{5});
  if (!is_after_loss) site.Run(kBetweenRounds);
  if (plan.rounds >= 2) {
    record.Write("second round, of the daemons beside the hosts");
    schedule(sides, kGap, MonotonicNow());
  }
  // After a loss the callers go on while the last balancer joins the rotation.
  const TimePoint resume =
      MonotonicNow() + (is_after_loss ? Millis{0} : kResume);
  const TimePoint end = resume + kObserved;
  bool has_resumed = false;
  while (MonotonicNow() < end) {
    TickRestarts(site, restarts, plan.restart_delay, record);
    if (!has_resumed && MonotonicNow() >= resume) {
      has_resumed = true;
      record.Write("the callers go on");
      for (auto& [port, flow] : callers.flows()) {
        if (flow.is_open && !flow.is_reset) callers.SendRequest(flow);
      }
    }
    site.Run(Millis{5});
    for (const auto& [flow, direction] : directions) {
      if (!direction.foreign.empty()) judge(flow);
    }
  }

  size_t open = 0;
  size_t reset = 0;
  size_t unanswered = 0;
  size_t misdirected = 0;
  for (const auto& [port, flow] : callers.flows()) {
    if (!flow.is_open) continue;
    ++open;
    if (flow.is_reset) ++reset;
    if (!flow.request.empty()) ++unanswered;
    if (directions[flow.tuple].is_reported) ++misdirected;
  }
  record.Write(std::to_string(open) + " flows were open, " +
               std::to_string(misdirected) + " were misdirected for " +
               std::to_string(kReorder.value) + " ms, " +
               std::to_string(reset) + " reset, " + std::to_string(unanswered) +
               " without an answer at the end");
  if (open < kFlows / 2) return kExitNotRun;
  record.Write(is_broken ? "FLOW (b) is broken" : "FLOW (b) holds");
  return is_broken ? kExitBroken : kExitHeld;
}

}  // namespace
}  // namespace medlarwinch::review

// Arguments: the daemon program, a folder for settings and logs, the file of
// the record, and "rounds" or "loss".
int main(int argc, char** argv) {
  using medlarwinch::review::kExitNotRun;
  if (argc != 5) return kExitNotRun;
  medlarwinch::review::Plan plan;
  if (std::string(argv[4]) == "loss")
    plan = {9, 4, true, 1, medlarwinch::Millis{500}};
  const char* rounds = std::getenv("ROUNDS");
  if (rounds != nullptr) plan.rounds = std::atoi(rounds);
  const char* lost = std::getenv("LOST");
  if (lost != nullptr) plan.lost_hosts = std::strtoul(lost, nullptr, 10);
  const char* trouble = std::getenv("TROUBLE");
  if (trouble != nullptr && std::string(trouble) == "0") {
    plan.rounds = 0;
    plan.lost_hosts = 0;
  }
  try {
    return medlarwinch::review::Run(argv[1], argv[2], argv[3], plan);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kExitNotRun;
  }
}
