#include "deployment.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <utility>

#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch::review {
namespace {

using Json = nlohmann::json;

constexpr uint16_t kReadinessPort = 8167;
constexpr uint16_t kStorePort = 8169;
constexpr int kFirstInternalPort = 7'720;
constexpr int kLastInternalPort = 7'735;
constexpr Millis kLinkDelay{3};
constexpr Millis kProbeInterval{500};
constexpr Millis kRestartDelay{500};
constexpr std::chrono::milliseconds kTick{20};
// Networks 127.190.0.0/16 to 127.249.0.0/16, which no other test uses.
constexpr uint32_t kFirstNetwork = 0x7fbe0000;
constexpr uint32_t kNetworkSize = 0x10000;
constexpr uint32_t kNetworks = 60;
constexpr uint32_t kFrontOffset = 0x100;
constexpr uint32_t kSideOffset = 0x200;
constexpr uint32_t kConsumerOffset = 0x301;
constexpr uint32_t kRouterOffset = 0x401;
constexpr int kIdleTimeoutMs = 12'000;

}  // namespace

Deployment::Deployment(boost::asio::io_context& loop, std::string program,
                       std::string folder, Record& record)
    : loop_(loop),
      program_(std::move(program)),
      folder_(std::move(folder)),
      record_(record),
      timer_(loop) {}

Result<Ok> Deployment::Start() {
  const uint32_t first = static_cast<uint32_t>(getpid()) % kNetworks;
  for (uint32_t index = 0; index < kNetworks; ++index) {
    network_ = kFirstNetwork + (first + index) % kNetworks * kNetworkSize;
    const Result<Ok> opened = AsyncUdpSocket::OpenInto(
        router_, loop_, Endpoint{network_ + kRouterOffset, kDatagramPort},
        [](const Endpoint& /*from*/, std::span<uint8_t> /*datagram*/) {});
    if (IsOk(opened)) break;
  }
  if (router_ == nullptr) {
    return Error{ErrorCode::kUnavailable, "no loopback network is free"};
  }
  Consumers::Hooks hooks;
  hooks.route = [this](const FlowTuple& flow, Bytes packet) {
    Route(flow, std::move(packet));
  };
  hooks.on_reset = [this](const FlowTuple& flow, const std::string& request,
                          bool is_unsafe, uint32_t from) {
    if (on_reset) on_reset(flow, request, is_unsafe, from);
  };
  consumers_ = std::make_unique<Consumers>(loop_, network_ + kConsumerOffset, 1,
                                           record_, std::move(hooks));
  const Result<Ok> started = consumers_->Start();
  if (!IsOk(started)) return started;
  Tick();
  return Ok{};
}

Result<Ok> Deployment::AddFront(const std::string& name,
                                const std::string& zone) {
  auto daemon = std::make_unique<Daemon>();
  daemon->name = name;
  daemon->role = "balancer";
  daemon->zone = zone;
  daemon->ip =
      network_ + kFrontOffset + static_cast<uint32_t>(fronts_.size() + 1);
  fronts_.push_back(std::move(daemon));
  return AddDaemon(*fronts_.back(), zone, "");
}

Result<size_t> Deployment::AddSide(const std::string& name,
                                   const std::string& zone,
                                   const std::string& service) {
  auto daemon = std::make_unique<Daemon>();
  daemon->name = name;
  daemon->role = "agent";
  daemon->zone = zone;
  daemon->ip =
      network_ + kSideOffset + static_cast<uint32_t>(sides_.size() + 1);
  HostSettings settings;
  settings.service = service;
  settings.zone = zone;
  settings.ip = daemon->ip;
  settings.heartbeat_interval = site_.heartbeat_interval;
  settings.work = site_.work;
  settings.cold_time = site_.cold_time;
  settings.cold_delay = site_.cold_delay;
  settings.cold_work = site_.cold_work;
  const auto delay = site_.link_delays.find(zone);
  if (delay != site_.link_delays.end()) settings.receive_delay = delay->second;
  host_settings_.push_back(settings);
  hosts_.push_back(nullptr);
  sides_.push_back(std::move(daemon));
  const Result<Ok> added = AddDaemon(*sides_.back(), zone, service);
  if (!IsOk(added)) return ErrorOf(added);
  return sides_.size() - 1;
}

Result<Ok> Deployment::AddDaemon(Daemon& daemon, const std::string& zone,
                                 const std::string& service) {
  const auto at = [&](uint16_t port) {
    return ToString(Endpoint{daemon.ip, port});
  };
  const bool is_front = daemon.role == "balancer";
  Json listen = {{"datagram_addr", at(kDatagramPort)},
                 {"readiness_addr", at(kReadinessPort)}};
  if (!is_front) {
    listen["outbound"] = at(kOutboundPort);
    listen["control"] = at(kControlPort);
  }
  Json zones = Json::object();
  for (const std::string& name : site_.zones) zones[name] = "bagmati";
  Json settings = {
      {"node_name", daemon.name},
      {"role", daemon.role},
      {"machine_class", is_front ? "front" : "side"},
      {"serves", Json::array({is_front ? "front" : "side"})},
      {"zone", zone},
      {"region", "bagmati"},
      {"zones", zones},
      {"listen", listen},
      {"internal_port_range", {kFirstInternalPort, kLastInternalPort}},
      {"seeds", Json::array()},
      {"bootstrap", true},
      {"heartbeat_ms", site_.heartbeat_interval.value},
      {"bounds",
       {{"drain_ms", 3000},
        {"grace_s", 6},
        {"stability_window_ms", 4000},
        {"config_apply_ms", 3000},
        {"flow_ttl_s", 60}}},
      {"flow_hash", "mod"},
      {"deploy_mode", "agent"},
      {"platform",
       {{"address", at(kStorePort)},
        {"deploy_mode", "objects"},
        {"writes_per_s", 400},
        {"reads_per_s", 2000},
        {"history_s", 20}}}};
  if (!is_front) {
    settings["service"] = service;
    settings["app"] = at(kAppPort);
  }
  daemon.settings_file = folder_ + "/" + daemon.name + ".json";
  std::ofstream(daemon.settings_file) << settings.dump(2);
  Result<std::unique_ptr<AsyncHttpServer>> server =
      AsyncHttpServer::ListenDeferred(
          loop_, Endpoint{daemon.ip, kStorePort},
          [this, raw = &daemon](const HttpRequest& request,
                                const AsyncHttpServer::Responder& respond) {
            store_.Handle(request, raw->store_fault, MonotonicNow(),
                          [respond](std::optional<HttpResponse> response) {
                            // Not a part of the users' protocol.
                            if (response.has_value())
                              response->headers.erase("store-era");
                            respond(std::move(response));
                          });
          });
  if (!IsOk(server)) return ErrorOf(server);
  daemon.store = TakeValue(std::move(server));
  daemon.readiness = std::make_unique<AsyncHttpClient>(
      loop_, Endpoint{daemon.ip, kReadinessPort});
  return StartProcess(daemon);
}

Result<Ok> Deployment::StartProcess(Daemon& daemon) {
  setenv("MEDLARWINCH_BOOT", daemon.settings_file.c_str(), 1);
  Result<std::unique_ptr<ChildProcess>> process = ChildProcess::Spawn(
      program_, {daemon.role}, folder_ + "/" + daemon.name + ".log");
  if (!IsOk(process)) return ErrorOf(process);
  daemon.process = TakeValue(std::move(process));
  daemon.started_at = MonotonicNow();
  daemon.exited_at.reset();
  daemon.restart_at.reset();
  if (on_start) on_start(daemon);
  record_.Line("daemon " + daemon.name + " starts");
  return Ok{};
}

Result<Ok> Deployment::StartHost(size_t side, const std::string& id,
                                 int64_t born) {
  HostSettings settings = host_settings_.at(side);
  settings.id = id;
  settings.born = born;
  hosts_.at(side).reset();
  hosts_.at(side) = std::make_unique<Host>(loop_, settings, record_);
  Host* host = hosts_.at(side).get();
  host->on_packet = [this, host](const FlowTuple& flow, bool is_held) {
    if (!on_packet) return;
    const auto found = last_balancers_.find(flow);
    on_packet(*host, flow, is_held,
              found == last_balancers_.end() ? nullptr : found->second);
  };
  return hosts_.at(side)->Start();
}

void Deployment::CrashHost(size_t side) {
  record_.Line("host " + hosts_.at(side)->settings().id + " crashes");
  hosts_.at(side).reset();
}

void Deployment::WriteConfiguration(uint64_t version, const Json& routes) {
  record_.Line("operator writes version " + std::to_string(version));
  Json services = Json::array();
  for (const HostSettings& settings : host_settings_) {
    const Json service = {{"name", settings.service},
                          {"health_path", "/health"}};
    if (std::find(services.begin(), services.end(), service) == services.end())
      services.push_back(service);
  }
  store_.Put("config", "main",
             Json{{"version", version},
                  {"routes", routes},
                  {"services", services},
                  {"limits", {{"idle_timeout_ms", kIdleTimeoutMs}}}});
}

void Deployment::Signal(Daemon& daemon, int signal) {
  record_.Line("signal " + std::to_string(signal) + " to " + daemon.name);
  daemon.process->Signal(signal);
}

void Deployment::KillUntil(Daemon& daemon, TimePoint restart_at) {
  daemon.restart_at = restart_at;
  Signal(daemon, SIGKILL);
}

void Deployment::Remove(Daemon& daemon) {
  daemon.is_removed = true;
  Signal(daemon, SIGTERM);
}

bool Deployment::is_all_ready() const {
  const auto is_ready = [](const std::unique_ptr<Daemon>& daemon) {
    return daemon->is_ready && !daemon->exited_at.has_value();
  };
  return std::all_of(fronts_.begin(), fronts_.end(), is_ready) &&
         std::all_of(sides_.begin(), sides_.end(), is_ready);
}

const Host* Deployment::HolderOf(const FlowTuple& flow) const {
  for (const std::unique_ptr<Host>& host : hosts_) {
    if (host != nullptr && host->HoldsOpenFlow(flow)) return host.get();
  }
  return nullptr;
}

std::string Deployment::NameOfAddress(uint32_t ip) const {
  for (const auto* daemons : {&fronts_, &sides_}) {
    for (const std::unique_ptr<Daemon>& daemon : *daemons) {
      if (daemon->ip == ip) return daemon->name;
    }
  }
  return "unknown";
}

// The balancers in rotation, or all if fewer than half are.
std::vector<Daemon*> Deployment::RotationOfZone(const std::string& zone) const {
  std::vector<Daemon*> all;
  std::vector<Daemon*> ready;
  for (const std::unique_ptr<Daemon>& front : fronts_) {
    if (!zone.empty() && front->zone != zone) continue;
    all.push_back(front.get());
    if (front->misses < 2) ready.push_back(front.get());
  }
  // The balancers of other zones take over if none of the zone is ready.
  if (!zone.empty() && ready.empty()) return {};
  return ready.size() * 2 < all.size() ? all : ready;
}

std::vector<Daemon*> Deployment::Rotation(const FlowTuple& flow) const {
  if (!site_.routes_by_zone) return RotationOfZone("");
  const std::string& zone = site_.zones[flow.caller.port % site_.zones.size()];
  const std::vector<Daemon*> local = RotationOfZone(zone);
  return local.empty() ? RotationOfZone("") : local;
}

void Deployment::Route(const FlowTuple& flow, Bytes packet) {
  const bool is_lost =
      site_.loss_percent > 0 &&
      random_() % 100 < static_cast<uint64_t>(site_.loss_percent);
  if (is_lost) return;
  const std::vector<Daemon*> ready = Rotation(flow);
  const uint32_t hash = (flow.caller.ip ^ flow.caller.port * 2'654'435'761U ^
                         flow.service_address.ip) >>
                        4;
  const Daemon* balancer = ready[hash % ready.size()];
  last_balancers_[flow] = balancer;
  const Endpoint to{balancer->ip, kDatagramPort};
  After(loop_, kLinkDelay,
        [this, to, packet = std::move(packet)] { router_->Send(to, packet); });
}

void Deployment::Probe(Daemon& daemon) {
  if (daemon.readiness->is_busy()) return;
  HttpRequest request;
  request.method = "GET";
  request.target = "/readiness";
  Daemon* raw = &daemon;
  daemon.readiness->Send(
      std::move(request), Millis{300}, Millis{400},
      [this, raw](const Result<HttpResponse>& result) {
        const bool is_ready = IsOk(result) && ValueOf(result).status == 200;
        if (is_ready != raw->is_ready) {
          record_.Line("daemon " + raw->name +
                       (is_ready ? " is ready" : " is not ready"));
        }
        raw->is_ready = is_ready;
        raw->misses = is_ready ? 0 : raw->misses + 1;
      });
}

void Deployment::Tick() {
  const TimePoint now = MonotonicNow();
  store_.Tick(now);
  const bool probes = now >= next_probe_at_;
  if (probes) next_probe_at_ = now + kProbeInterval;
  for (auto* daemons : {&fronts_, &sides_}) {
    for (const std::unique_ptr<Daemon>& daemon : *daemons) {
      if (daemon->process == nullptr) continue;
      if (daemon->process->HasExited() && !daemon->exited_at.has_value()) {
        daemon->exited_at = now;
        record_.Line("daemon " + daemon->name + " has ended with status " +
                     std::to_string(daemon->process->status()));
      }
      const bool is_start_due =
          daemon->exited_at.has_value() && !daemon->is_removed &&
          now >=
              daemon->restart_at.value_or(*daemon->exited_at + kRestartDelay);
      if (is_start_due && !IsOk(StartProcess(*daemon))) {
        record_.Invalid("daemon " + daemon->name + " can't be started");
      }
      if (probes) Probe(*daemon);
    }
  }
  timer_.expires_after(kTick);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Tick();
  });
}

}  // namespace medlarwinch::review
