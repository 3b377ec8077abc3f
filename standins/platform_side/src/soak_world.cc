#include "medlarwinch/platform_side/soak_world.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <utility>

#include "medlarwinch/coordination/relay_types.h"
#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr Millis kReadinessInterval{500};
// Faults begin after this time and end this long before the end of the run:
// the platform's bound for recovery, 12 s, is checked against the rest.
constexpr Millis kCalmStart{3'000};
constexpr Millis kCalmEnd{7'000};
// The last part of the calm end in which nearly all requests have to succeed.
constexpr Millis kJudgedEnd{3'000};
constexpr double kServedAtEnd = 0.9;
// For this long after a disturbance a daemon's resets are not judged.
constexpr Millis kStabilityWindow{4'000};
// 127.80.0.0 to 127.179.0.0, by the seed, so that runs don't meet.
constexpr uint32_t kFirstNet = 0x7f500000;
constexpr uint32_t kNetSize = 0x10000;
constexpr uint64_t kNets = 100;
constexpr uint16_t kReadinessPort = 8167;
constexpr uint16_t kStorePort = 8169;
constexpr uint16_t kRelayPort = 7'720;
constexpr const char* kHub = "probe-hub";
constexpr const char* kDesk = "report-desk";
const Endpoint kHubRoute{0xc6120001, 8'080};
const Endpoint kSplitRoute{0xc6120001, 8'443};
const Endpoint kDeskRoute{0xc6120002, 8'443};

std::string IpText(uint32_t ip) {
  const std::string text = ToString(Endpoint{ip, 1});
  return text.substr(0, text.find(':'));
}

Json RouteOf(const char* name, const Endpoint& address) {
  return {{"name", name},
          {"host", IpText(address.ip)},
          {"path_prefix", "/" + std::to_string(address.port) + "/"},
          {"route_kind", "safe"},
          {"timeout_ms", 1'500}};
}

Json ConfigurationOf(uint64_t version) {
  Json hub = RouteOf("hub", kHubRoute);
  hub["service"] = kHub;
  Json split = RouteOf("split", kSplitRoute);
  split["traffic_split"] = {{{"service", kHub}, {"weight", 90}},
                            {{"service", kDesk}, {"weight", 10}}};
  Json desk = RouteOf("desk", kDeskRoute);
  desk["service"] = kDesk;
  return {{"version", version},
          {"routes", {hub, split, desk}},
          {"limits", {{"idle_timeout_ms", 15'000}}}};
}

std::set<Endpoint> RoutesOf(const std::string& service) {
  if (service == kHub) return {kHubRoute, kSplitRoute};
  return {kDeskRoute, kSplitRoute};
}

}  // namespace

SoakWorld::SoakWorld(boost::asio::io_context& loop, SoakSettings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      random_(settings_.seed),
      net_(kFirstNet +
           static_cast<uint32_t>(settings_.seed % kNets) * kNetSize),
      timer_(loop) {}

double SoakWorld::Second() const {
  return static_cast<double>((MonotonicNow() - started_).value) / 1'000;
}

void SoakWorld::Note(const std::string& event) {
  std::cout << Second() << " " << event << "\n" << std::flush;
}

void SoakWorld::Violate(const std::string& what) {
  violations_.push_back(std::to_string(Second()) + " " + what);
  Note("VIOLATION " + what);
}

Result<Ok> SoakWorld::Start() {
  started_ = MonotonicNow();
  next_fault_ = started_ + kCalmStart;
  store_.Put("config", "main", ConfigurationOf(version_));
  for (int index = 0; index < settings_.balancers; ++index) {
    const Result<Ok> added =
        AddDaemon("front-" + std::to_string(index + 1),
                  net_ + 0x100 + static_cast<uint32_t>(index + 1), false, "");
    if (!IsOk(added)) return added;
  }
  const int hosts = settings_.hub_hosts + settings_.desk_hosts;
  for (int index = 0; index < hosts; ++index) {
    const std::string service = index < settings_.hub_hosts ? kHub : kDesk;
    const uint32_t ip = net_ + 0x200 + static_cast<uint32_t>(index + 1);
    const Result<Ok> added =
        AddDaemon("side-" + std::to_string(index + 1), ip, true, service);
    if (!IsOk(added)) return added;
    auto machine = std::make_unique<Machine>();
    machine->daemon = daemons_.size() - 1;
    machine->host_settings.service = service;
    machine->host_settings.failure_domain = "d1";
    machine->host_settings.ip = ip;
    const Result<Ok> started = StartHost(*machine);
    if (!IsOk(started)) return started;
    machines_.push_back(std::move(machine));
  }
  SimulatedCallers::Hooks hooks;
  hooks.balancer_of = [this](const FlowTuple& flow) {
    return BalancerOf(flow);
  };
  hooks.on_reset = [this](const FlowTuple& flow, uint32_t sender) {
    CheckReset(flow, sender);
  };
  hooks.on_violation = [this](const std::string& what) { Violate(what); };
  callers_.push_back(std::make_unique<SimulatedCallers>(
      loop_, net_ + 0x301, settings_.users,
      std::vector<Endpoint>{kHubRoute, kSplitRoute, kSplitRoute, kDeskRoute},
      random_(), hooks));
  for (const std::unique_ptr<SimulatedCallers>& callers : callers_) {
    const Result<Ok> started = callers->Start();
    if (!IsOk(started)) return started;
  }
  Tick();
  return Ok{};
}

Result<Ok> SoakWorld::AddDaemon(const std::string& name, uint32_t ip,
                                bool is_agent, const std::string& service) {
  auto daemon = std::make_unique<Daemon>();
  daemon->name = name;
  daemon->ip = ip;
  daemon->is_agent = is_agent;
  daemon->settings_file = settings_.folder + "/" + name + ".json";
  // Every daemon reaches the store at an address of its own, so that faults
  // between the two are its own as well.
  const Endpoint store{ip, kStorePort};
  const auto at = [&](uint16_t port) { return ToString(Endpoint{ip, port}); };
  Json listen = {{"datagram_addr", at(kPacketPort)},
                 {"readiness_addr", at(kReadinessPort)}};
  if (is_agent) {
    listen["outbound"] = at(kOutboundPort);
    listen["control"] = at(kControlPort);
  }
  const Json file = {{"node_name", name},
                     {"zone", "d1"},
                     {"listen", listen},
                     {"internal_port_range", {kRelayPort, kRelayPort + 15}},
                     {"heartbeat_ms", 500},
                     {"bounds", {{"grace_s", 6}}},
                     {"app", at(kUpstreamPacketPort)},
                     {"service", service},
                     {"platform", {{"address", ToString(store)}}}};
  std::ofstream(daemon->settings_file) << file.dump();
  Daemon* raw = daemon.get();
  Result<std::unique_ptr<LoopHttpServer>> server =
      LoopHttpServer::ListenDeferred(
          loop_, store,
          [this, raw](const HttpRequest& request,
                      LoopHttpServer::Responder respond) {
            store_.Handle(request, raw->fault, MonotonicNow(),
                          std::move(respond));
          });
  if (!IsOk(server)) return ErrorOf(server);
  daemon->store = TakeValue(std::move(server));
  daemon->readiness =
      std::make_unique<LoopHttpClient>(loop_, Endpoint{ip, kReadinessPort});
  daemons_.push_back(std::move(daemon));
  return StartProcess(*raw);
}

Result<Ok> SoakWorld::StartProcess(Daemon& daemon) {
  setenv("MEDLARWINCH_BOOT", daemon.settings_file.c_str(), 1);
  Result<std::unique_ptr<ChildProcess>> process = ChildProcess::Spawn(
      settings_.daemon_program, {daemon.is_agent ? "agent" : "balancer"},
      settings_.folder + "/" + daemon.name + ".log");
  if (!IsOk(process)) return ErrorOf(process);
  daemon.process = TakeValue(std::move(process));
  daemon.is_paused = false;
  Disturb(daemon);
  return Ok{};
}

Result<Ok> SoakWorld::StartHost(Machine& machine) {
  machine.host_started = MonotonicNow();
  machine.host = std::make_unique<SimulatedUpstream>(
      loop_, machine.host_settings, RoutesOf(machine.host_settings.service),
      ++incarnations_, [this](const std::string& what) { Violate(what); });
  return machine.host->Start();
}

void SoakWorld::Disturb(Daemon& daemon) { daemon.disturbed = MonotonicNow(); }

// The platform's routers: a hash over the balancers in rotation, or over all
// when fewer than half are.
Endpoint SoakWorld::BalancerOf(const FlowTuple& flow) const {
  std::vector<uint32_t> ready;
  std::vector<uint32_t> all;
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    if (daemon->is_agent) continue;
    all.push_back(daemon->ip);
    if (daemon->misses < 2) ready.push_back(daemon->ip);
  }
  const std::vector<uint32_t>& used =
      ready.size() * 2 < all.size() ? all : ready;
  return Endpoint{used[HashFlow(flow) % used.size()], kPacketPort};
}

void SoakWorld::CheckReset(const FlowTuple& flow, uint32_t sender) {
  const TimePoint now = MonotonicNow();
  const auto is_calm = [&](const Daemon& daemon) {
    return now - daemon.disturbed >= kStabilityWindow;
  };
  for (const std::unique_ptr<Machine>& machine : machines_) {
    if (machine->host == nullptr || !machine->host->HasOpenFlow(flow)) continue;
    const bool is_judged = is_calm(*daemons_[machine->daemon]) &&
                           now - store_disturbed_ >= kStabilityWindow;
    for (const std::unique_ptr<Daemon>& daemon : daemons_) {
      if (daemon->ip != sender || !is_judged || !is_calm(*daemon)) continue;
      Violate("an open flow was reset by " + daemon->name +
              " while its host lives");
    }
  }
}

void SoakWorld::CheckReadiness() {
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    if (daemon->is_agent || daemon->readiness->is_busy()) continue;
    HttpRequest request;
    request.method = "GET";
    request.target = "/readiness";
    Daemon* raw = daemon.get();
    daemon->readiness->Send(std::move(request), Millis{300}, Millis{400},
                            [raw](const Result<HttpResponse>& result) {
                              const bool is_ready =
                                  IsOk(result) && ValueOf(result).status == 200;
                              raw->misses = is_ready ? 0 : raw->misses + 1;
                            });
  }
}

void SoakWorld::Tick() {
  const TimePoint now = MonotonicNow();
  const TimePoint end = started_ + Millis{settings_.seconds * 1'000LL};
  store_.Tick(now);
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    if (!daemon->process->HasEnded()) continue;
    if (daemon->restart_at == TimePoint{}) {
      const bool was_disturbed = now - daemon->disturbed < Millis{8'000};
      if (!was_disturbed) Violate(daemon->name + " ended by itself");
      daemon->restart_at = now + Millis{300};
    }
    if (now < daemon->restart_at) continue;
    daemon->restart_at = TimePoint{};
    if (!IsOk(StartProcess(*daemon))) Violate("a daemon does not start");
  }
  for (const std::unique_ptr<Machine>& machine : machines_) {
    if (machine->host != nullptr || now < machine->host_restart_at) continue;
    if (!IsOk(StartHost(*machine))) Violate("a host does not start");
  }
  if (now >= next_readiness_) {
    next_readiness_ = now + kReadinessInterval;
    CheckReadiness();
  }
  if (now >= end - kCalmEnd) {
    EndFaults();
  } else if (now >= next_fault_) {
    next_fault_ = now + Millis{static_cast<int64_t>(200 + random_() % 1'200)};
    InjectFault();
  }
  if (now >= end - kJudgedEnd && !counts_taken_) {
    counts_taken_ = true;
    before_end_ = Stats();
  }
  if (now >= end) {
    const CallerStats stats = Stats();
    const double answered =
        static_cast<double>(stats.answered - before_end_.answered);
    const double failed =
        static_cast<double>(stats.failed - before_end_.failed);
    if (answered < kServedAtEnd * (answered + failed) || answered == 0) {
      Violate("after the faults only " + std::to_string(answered) + " of " +
              std::to_string(answered + failed) + " requests succeed");
    }
    for (const std::unique_ptr<Daemon>& daemon : daemons_) {
      daemon->process->Signal(SIGKILL);
    }
    loop_.stop();
    return;
  }
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Tick();
  });
}

void SoakWorld::ChangeConfiguration() {
  Note("configuration " + std::to_string(version_ + 1));
  store_.Put("config", "main", ConfigurationOf(++version_));
}

void SoakWorld::EndFaults() {
  if (faults_ended_) return;
  faults_ended_ = true;
  Note("end of the faults");
  store_disturbed_ = MonotonicNow();
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    daemon->fault = StoreFault::kNone;
    if (!daemon->is_paused) continue;
    Disturb(*daemon);
    daemon->process->Signal(SIGCONT);
    daemon->is_paused = false;
  }
}

CallerStats SoakWorld::Stats() const {
  CallerStats total;
  for (const std::unique_ptr<SimulatedCallers>& callers : callers_) {
    total.requests += callers->stats().requests;
    total.answered += callers->stats().answered;
    total.failed += callers->stats().failed;
    total.flows += callers->stats().flows;
  }
  return total;
}

}  // namespace medlarwinch
