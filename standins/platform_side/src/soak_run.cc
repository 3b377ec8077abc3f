#include "medlarwinch/platform_side/soak_run.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <utility>

#include "medlarwinch/coordination/packet_path/relay_types.h"
#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/platform_side/soak_configuration.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr Millis kReadinessProbeInterval{500};
// Faults begin this long after the start of the run and stop this long before
// its end. The platform's recovery bound is 12 s; the final check is stricter
// and expects recovery within kFaultFreeEnd - kFinalCheckPeriod.
constexpr Millis kFaultFreeStart{3'000};
constexpr Millis kFaultFreeEnd{7'000};
// Last part of the fault-free end, in which at least kMinFinalSuccessRate of
// the requests must succeed.
constexpr Millis kFinalCheckPeriod{3'000};
constexpr double kMinFinalSuccessRate = 0.9;
// A new configuration must be in force after this time.
constexpr Millis kMaxConfigurationDelay{3'000};
// An opening is checked only if the balancers and the store were not disrupted
// for this long.
constexpr Millis kStabilityWindow{4'000};
// Each run uses one of the networks 127.80.0.0/16 to 127.179.0.0/16, chosen by
// its seed, so that runs in parallel use different addresses.
constexpr uint32_t kFirstNetwork = 0x7f500000;
constexpr uint32_t kNetworkSize = 0x10000;
constexpr uint64_t kNetworkCount = 100;
constexpr int64_t kEvacuationBoundMs = 5'000;
// How long upstreams are cold, and how many openings a second they get then,
// with evacuations.
constexpr Millis kColdTime{2'000};
constexpr double kColdOpeningsPerSecond = 3;
constexpr uint16_t kReadinessPort = 8167;
constexpr uint16_t kStorePort = 8169;
constexpr uint16_t kRelayPort = 7'720;
// Makes the random sequence of the series differ from the other two.
constexpr uint64_t kSeriesSeedBits = 0x5e71e5;
// Factor on the time between two single faults in runs with series.
constexpr int64_t kFaultIntervalWithSeries = 2;

}  // namespace

SoakRun::SoakRun(boost::asio::io_context& loop, SoakSettings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      random_(settings_.seed),
      evacuation_random_(~settings_.seed),
      series_random_(settings_.seed ^ kSeriesSeedBits),
      network_(kFirstNetwork +
               static_cast<uint32_t>(settings_.seed % kNetworkCount) *
                   kNetworkSize),
      timer_(loop) {}

double SoakRun::ElapsedSeconds() const {
  return static_cast<double>((MonotonicNow() - started_).value) / 1'000;
}

void SoakRun::LogEvent(const std::string& event) {
  std::cout << ElapsedSeconds() << " " << event << "\n" << std::flush;
}

void SoakRun::ReportViolation(const std::string& what) {
  violations_.push_back(std::to_string(ElapsedSeconds()) + " " + what);
  LogEvent("VIOLATION " + what);
}

Result<Ok> SoakRun::Start() {
  started_ = MonotonicNow();
  next_fault_ = started_ + kFaultFreeStart;
  next_evacuation_ = next_fault_;
  next_series_ = next_fault_;
  if (has_series()) DrawConditions();
  LogEvent("start at " + FormatTime(WallNow()));
  WriteConfiguration();
  for (int index = 0; index < settings_.balancers; ++index) {
    const Result<Ok> added =
        AddDaemon("front-" + std::to_string(index + 1),
                  network_ + 0x100 + static_cast<uint32_t>(index + 1), false,
                  "", FailureDomainOf(index));
    if (!IsOk(added)) return added;
  }
  const int upstream_count = settings_.hub_upstreams + settings_.desk_upstreams;
  for (int index = 0; index < upstream_count; ++index) {
    const std::string service =
        index < settings_.hub_upstreams ? kHubService : kDeskService;
    const uint32_t ip = network_ + 0x200 + static_cast<uint32_t>(index + 1);
    const Result<Ok> added = AddDaemon("side-" + std::to_string(index + 1), ip,
                                       true, service, FailureDomainOf(index));
    if (!IsOk(added)) return added;
    auto vm = std::make_unique<UpstreamVm>();
    vm->daemon = daemons_.size() - 1;
    vm->upstream_settings.service = service;
    vm->upstream_settings.failure_domain = FailureDomainOf(index);
    if (settings_.evacuations) {
      vm->upstream_settings.cold_time = kColdTime;
      vm->upstream_settings.cold_openings_per_second = kColdOpeningsPerSecond;
    }
    vm->upstream_settings.ip = ip;
    vm->upstream_settings.heartbeat_interval = heartbeat_interval_;
    const Result<Ok> started = StartUpstream(*vm);
    if (!IsOk(started)) return started;
    vms_.push_back(std::move(vm));
  }
  SimulatedCallers::Hooks hooks;
  hooks.balancer_of = [this](const FlowTuple& flow) {
    return BalancerOf(flow);
  };
  hooks.on_reset = [this](const FlowTuple& flow, uint32_t sender) {
    CheckReset(flow, sender);
  };
  hooks.on_violation = [this](const std::string& what) {
    ReportViolation(what);
  };
  if (has_series()) {
    hooks.is_flow_held = [this](const FlowTuple& flow) {
      return OwnerOf(flow) != nullptr;
    };
  }
  callers_.push_back(std::make_unique<SimulatedCallers>(
      loop_, network_ + 0x301, settings_.users, SoakRoutes(has_series()),
      random_(), hooks));
  for (const std::unique_ptr<SimulatedCallers>& callers : callers_) {
    const Result<Ok> started = callers->Start();
    if (!IsOk(started)) return started;
  }
  Tick();
  return Ok{};
}

Result<Ok> SoakRun::AddDaemon(const std::string& name, uint32_t ip,
                              bool is_agent, const std::string& service,
                              const std::string& failure_domain) {
  auto daemon = std::make_unique<Daemon>();
  daemon->name = name;
  daemon->ip = ip;
  daemon->is_agent = is_agent;
  daemon->settings_file = settings_.output_folder + "/" + name + ".json";
  // Each daemon reaches the store at a separate address, so that store faults
  // can be injected per daemon.
  const Endpoint store{ip, kStorePort};
  const auto at = [&](uint16_t port) { return ToString(Endpoint{ip, port}); };
  Json listen = {{"datagram_addr", at(kDatagramPort)},
                 {"readiness_addr", at(kReadinessPort)}};
  if (is_agent) {
    listen["outbound"] = at(kOutboundPort);
    listen["control"] = at(kAgentControlPort);
  }
  Json file = {{"node_name", name},
               {"zone", failure_domain},
               {"listen", listen},
               {"internal_port_range", {kRelayPort, kRelayPort + 15}},
               {"heartbeat_ms", heartbeat_interval_.value},
               {"bounds", {{"grace_s", 6}}},
               {"app", at(kUpstreamPacketPort)},
               {"service", service},
               {"platform", {{"address", ToString(store)}}}};
  if (settings_.evacuations) {
    file["bounds"]["evacuate_ms"] = kEvacuationBoundMs;
  }
  std::ofstream(daemon->settings_file) << file.dump();
  Daemon* raw = daemon.get();
  Result<std::unique_ptr<AsyncHttpServer>> server =
      AsyncHttpServer::ListenDeferred(
          loop_, store,
          [this, raw](const HttpRequest& request,
                      AsyncHttpServer::Responder respond) {
            CallStore(request, *raw, std::move(respond));
          });
  if (!IsOk(server)) return ErrorOf(server);
  daemon->store_server = TakeValue(std::move(server));
  daemon->readiness_client =
      std::make_unique<AsyncHttpClient>(loop_, Endpoint{ip, kReadinessPort});
  daemons_.push_back(std::move(daemon));
  return StartProcess(*raw);
}

void SoakRun::CallStore(const HttpRequest& request, const Daemon& daemon,
                        AsyncHttpServer::Responder respond) {
  if (store_delay_ == Millis{0}) {
    store_.Handle(request, daemon.fault, MonotonicNow(), std::move(respond));
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      loop_, std::chrono::milliseconds(store_delay_.value));
  timer->async_wait([this, timer, request, &daemon,
                     respond = std::move(respond)](
                        boost::system::error_code error) mutable {
    if (error) return;
    store_.Handle(request, daemon.fault, MonotonicNow(), std::move(respond));
  });
}

Result<Ok> SoakRun::StartProcess(Daemon& daemon) {
  setenv("MEDLARWINCH_BOOT", daemon.settings_file.c_str(), 1);
  Result<std::unique_ptr<ChildProcess>> process = ChildProcess::Spawn(
      settings_.daemon_program, {daemon.is_agent ? "agent" : "balancer"},
      settings_.output_folder + "/" + daemon.name + ".log");
  if (!IsOk(process)) return ErrorOf(process);
  daemon.process = TakeValue(std::move(process));
  daemon.is_paused = false;
  RecordDisruption(daemon);
  return Ok{};
}

Result<Ok> SoakRun::StartUpstream(UpstreamVm& vm) {
  vm.upstream_started = MonotonicNow();
  vm.release.reset();
  if (has_series()) {
    vm.upstream_settings.first_heartbeat_delay =
        Millis{DrawSeriesMs(0, heartbeat_interval_.value / 2)};
  }
  vm.upstream = std::make_unique<SimulatedUpstream>(
      loop_, vm.upstream_settings, RouteAddresses(vm.upstream_settings.service),
      ++last_incarnation_,
      [this](const std::string& what) { ReportViolation(what); },
      [this, &vm](const FlowTuple& flow) {
        CheckOpening(vm.upstream_settings.service, flow);
        CheckEvacuation(vm);
      },
      [this, &vm](const FlowTuple& flow) { RecordForeignPacket(flow, vm); });
  return vm.upstream->Start();
}

void SoakRun::RecordDisruption(Daemon& daemon) {
  daemon.disrupted_at = MonotonicNow();
}

// Routes like the platform's routers: by a hash over the ready balancers, or
// over all balancers if fewer than half are ready.
const SoakRun::Daemon& SoakRun::BalancerDaemonOf(const FlowTuple& flow) const {
  std::vector<const Daemon*> ready;
  std::vector<const Daemon*> all;
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    if (daemon->is_agent) continue;
    all.push_back(daemon.get());
    if (daemon->missed_probes < 2) ready.push_back(daemon.get());
  }
  const std::vector<const Daemon*>& candidates =
      ready.size() * 2 < all.size() ? all : ready;
  return *candidates[HashFlow(flow) % candidates.size()];
}

Endpoint SoakRun::BalancerOf(const FlowTuple& flow) const {
  return Endpoint{BalancerDaemonOf(flow).ip, kDatagramPort};
}

// Any balancer may have sent the opening, so all of them must be undisrupted.
void SoakRun::CheckOpening(const std::string& service, const FlowTuple& flow) {
  const TimePoint now = MonotonicNow();
  const bool is_allowed =
      IsRouteOf(service, flow.service_address, configuration_version_) ||
      now - configuration_changed_at_ < kMaxConfigurationDelay;
  if (is_allowed || now - store_disrupted_at_ < kStabilityWindow) return;
  const bool are_balancers_stable = std::all_of(
      daemons_.begin(), daemons_.end(),
      [now](const std::unique_ptr<Daemon>& daemon) {
        return daemon->is_agent ||
               (daemon->fault == StoreFault::kNone && !daemon->is_paused &&
                now - daemon->disrupted_at >= kStabilityWindow);
      });
  if (!are_balancers_stable) return;
  ReportViolation("a flow was opened as only a configuration before version " +
                  std::to_string(configuration_version_) + " allows");
}

void SoakRun::ProbeReadiness() {
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    if (daemon->is_agent || daemon->readiness_client->is_busy()) continue;
    HttpRequest request;
    request.method = "GET";
    request.target = "/readiness";
    Daemon* raw = daemon.get();
    daemon->readiness_client->Send(
        std::move(request), Millis{300}, Millis{400},
        [raw](const Result<HttpResponse>& result) {
          const bool is_ready = IsOk(result) && ValueOf(result).status == 200;
          raw->missed_probes = is_ready ? 0 : raw->missed_probes + 1;
        });
  }
}

void SoakRun::RestartStopped(TimePoint now) {
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    if (!daemon->process->HasExited()) continue;
    if (daemon->restart_at == TimePoint{}) {
      const bool is_disrupted = now - daemon->disrupted_at < Millis{8'000};
      if (!is_disrupted)
        ReportViolation(daemon->name + " exited without an injected fault");
      daemon->restart_at = now + Millis{300};
    }
    if (now < daemon->restart_at) continue;
    daemon->restart_at = TimePoint{};
    if (!IsOk(StartProcess(*daemon)))
      ReportViolation("a daemon could not be restarted");
  }
  for (const std::unique_ptr<UpstreamVm>& vm : vms_) {
    if (vm->upstream != nullptr || now < vm->upstream_restart_at) continue;
    if (!IsOk(StartUpstream(*vm)))
      ReportViolation("an upstream could not be restarted");
  }
}

void SoakRun::CheckFinalRequests() {
  const CallerCounts counts = Counts();
  const double answered =
      static_cast<double>(counts.answered - final_check_baseline_.answered);
  const double failed =
      static_cast<double>(counts.failed - final_check_baseline_.failed);
  if (answered < kMinFinalSuccessRate * (answered + failed) || answered == 0) {
    ReportViolation("after the last fault only " + std::to_string(answered) +
                    " of " + std::to_string(answered + failed) +
                    " requests succeeded");
  }
}

void SoakRun::Tick() {
  const TimePoint now = MonotonicNow();
  const TimePoint end = started_ + Millis{settings_.duration_seconds * 1'000LL};
  store_.Tick(now);
  RestartStopped(now);
  if (now >= next_readiness_probe_) {
    next_readiness_probe_ = now + kReadinessProbeInterval;
    ProbeReadiness();
  }
  if (settings_.evacuations && now >= started_ + kFaultFreeStart) {
    TickEvacuations(now);
  }
  if (has_series()) TickSeries(now);
  CheckMisdirections(now);
  if (now >= end - kFaultFreeEnd) {
    EndFaults();
  } else if (!settings_.planned && now >= next_fault_) {
    // Series need times at which most machines are stable, or no flow is
    // judged.
    const int64_t factor = settings_.series ? kFaultIntervalWithSeries : 1;
    next_fault_ =
        now + Millis{static_cast<int64_t>(200 + random_() % 1'200)} * factor;
    InjectFault();
  }
  if (now >= end - kFinalCheckPeriod && !has_final_check_baseline_) {
    has_final_check_baseline_ = true;
    final_check_baseline_ = Counts();
  }
  if (now >= end) {
    CheckFinalRequests();
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

void SoakRun::ChangeConfiguration() {
  LogEvent("write configuration " + std::to_string(configuration_version_ + 1));
  ++configuration_version_;
  WriteConfiguration();
  configuration_changed_at_ = MonotonicNow();
  for (const Endpoint& route : SoakRoutes(has_series())) {
    if (RemovesRoute(route, configuration_version_))
      route_removed_at_[route] = configuration_changed_at_;
  }
}

void SoakRun::WriteConfiguration() {
  const double cold_openings =
      settings_.evacuations ? kColdOpeningsPerSecond : 0;
  store_.Put(
      "config", "main",
      SoakConfiguration(configuration_version_, cold_openings, has_series()));
}

void SoakRun::EndFaults() {
  if (faults_ended_) return;
  faults_ended_ = true;
  series_steps_.clear();
  LogEvent("stop injecting faults");
  store_disrupted_at_ = MonotonicNow();
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    daemon->fault = StoreFault::kNone;
    if (!daemon->is_paused) continue;
    RecordDisruption(*daemon);
    daemon->process->Signal(SIGCONT);
    daemon->is_paused = false;
  }
  if (settings_.evacuations) BeginFinalEvacuation();
  ChangeConfiguration();
}

CallerCounts SoakRun::Counts() const {
  CallerCounts total;
  for (const std::unique_ptr<SimulatedCallers>& callers : callers_) {
    total.requests += callers->counts().requests;
    total.answered += callers->counts().answered;
    total.failed += callers->counts().failed;
    total.flows += callers->counts().flows;
  }
  return total;
}

}  // namespace medlarwinch
