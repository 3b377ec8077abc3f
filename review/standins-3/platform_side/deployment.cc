#include "deployment.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "medlarwinch/coordination/packet_path/relay_types.h"
#include "medlarwinch/platform/packet_format.h"
#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/platform_side/soak_configuration.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch::review {
namespace {

using Json = nlohmann::json;

constexpr const char* kProgram = "target/bin/medlarwinch_platformd";
constexpr uint16_t kReadinessPort = 8167;
constexpr uint16_t kStorePort = 8169;
constexpr uint16_t kRelayPort = 7'720;
// As the pages say: two checks a second, out of rotation after two misses.
constexpr Millis kProbeInterval{500};
constexpr int kMissesOutOfRotation = 2;
constexpr int kHttpOk = 200;
constexpr Millis kHeartbeatInterval{770};
constexpr std::chrono::milliseconds kStep{5};
// Flows beyond this age or idle time do not count, as the rule says.
constexpr Millis kFlowTtl{60'000};
constexpr Millis kFlowIdleTimeout{15'000};
constexpr Millis kReorderTime{2'000};
constexpr size_t kForeignPackets = 3;
// Processes of one machine may run the case several times at once.
constexpr uint32_t kLoopbackNetwork = 0x7f000000;
constexpr uint32_t kNetworkShift = 16;
constexpr uint32_t kFirstNetwork = 32;
constexpr uint32_t kNetworkCount = 180;
constexpr uint32_t kBalancerHosts = 0x100;
constexpr uint32_t kAgentHosts = 0x200;
constexpr uint32_t kConsumerHost = 0x301;
constexpr uint32_t kStoreHost = 0x401;

}  // namespace

Deployment::Deployment(boost::asio::io_context& loop,
                       const std::string& record_file)
    : loop_(loop),
      record_(record_file),
      folder_(std::filesystem::temp_directory_path() /
              ("medlarwinch-review-" + std::to_string(getpid()))),
      network_(kLoopbackNetwork |
               (kFirstNetwork + static_cast<uint32_t>(getpid()) % kNetworkCount)
                   << kNetworkShift),
      started_(MonotonicNow()) {
  std::filesystem::create_directories(folder_);
}

Deployment::~Deployment() {
  daemons_.clear();
  std::filesystem::remove_all(folder_);
}

void Deployment::Record(const std::string& line) {
  std::ostringstream text;
  text.setf(std::ios::fixed);
  text.precision(3);
  text << static_cast<double>((MonotonicNow() - started_).value) / 1'000 << " "
       << line << "\n";
  record_ << text.str() << std::flush;
}

bool Deployment::Spawn(Daemon& daemon) {
  const auto at = [&daemon](uint16_t port) {
    return ToString(Endpoint{daemon.ip, port});
  };
  const std::string file = folder_ + "/" + daemon.name + ".json";
  Json settings = {
      {"node_name", daemon.name},
      {"role", daemon.role},
      {"machine_class", daemon.role == "agent" ? "side" : "front"},
      {"serves", {daemon.role == "agent" ? "side" : "front"}},
      {"ip", ToString(Endpoint{daemon.ip, 0})},
      {"zone", daemon.zone},
      {"region", "r1"},
      {"zones", {{"z1", "r1"}, {"z2", "r1"}, {"z3", "r1"}}},
      {"listen",
       {{"datagram_addr", at(kDatagramPort)},
        {"readiness_addr", at(kReadinessPort)}}},
      {"internal_port_range", {kRelayPort, kRelayPort + 15}},
      {"seeds", Json::array()},
      {"bootstrap", false},
      {"heartbeat_ms", kHeartbeatInterval.value},
      {"contracts",
       {"base", "drain", "config", "cost", "recover", "flows", "platform"}},
      {"bounds",
       {{"stability_window_ms", 4'000},
        {"ack_ms", 5'000},
        {"drain_ms", 3'000},
        {"grace_s", 6},
        {"config_apply_ms", 3'000},
        {"reorder_ms", 2'000},
        {"flow_ttl_s", 60}}},
      {"limits", {{"link_mbps", 1'000.0}, {"memory_mb", 260}}},
      {"flow_hash", "mod"},
      {"deploy_mode", "agent"},
      {"platform",
       {{"address", ToString(Endpoint{network_ + kStoreHost, kStorePort})},
        {"deploy_mode", "objects"},
        {"writes_per_s", 400},
        {"reads_per_s", 2'000},
        {"history_s", 20}}}};
  if (daemon.role == "agent") {
    settings["listen"]["outbound"] = at(kOutboundPort);
    settings["listen"]["control"] = at(kAgentControlPort);
    settings["app"] = at(kUpstreamPacketPort);
    settings["service"] = daemon.service;
  }
  std::ofstream(file) << settings;
  setenv("MEDLARWINCH_BOOT", file.c_str(), 1);
  Result<std::unique_ptr<ChildProcess>> process = ChildProcess::Spawn(
      kProgram, {daemon.role}, folder_ + "/" + daemon.name + ".log");
  if (!IsOk(process)) return false;
  daemon.process = TakeValue(std::move(process));
  Record(daemon.name + " started, process " +
         std::to_string(daemon.process->pid()));
  return true;
}

bool Deployment::Start(int balancers,
                       const std::vector<std::string>& services) {
  Result<std::unique_ptr<AsyncHttpServer>> listening =
      AsyncHttpServer::ListenDeferred(
          loop_, Endpoint{network_ + kStoreHost, kStorePort},
          [this](const HttpRequest& request,
                 const AsyncHttpServer::Responder& respond) {
            HandleStoreCall(request, respond);
          });
  if (!IsOk(listening)) return false;
  store_server_ = TakeValue(std::move(listening));
  store_.Put("config", "main", SoakConfiguration(1, 0));
  const auto zone_of = [](size_t index) {
    return "z" + std::to_string(index % 3 + 1);
  };
  for (int index = 0; index < balancers; ++index) {
    auto daemon = std::make_unique<Daemon>();
    daemon->name = "front-" + std::to_string(index + 1);
    daemon->role = "balancer";
    daemon->ip = network_ + kBalancerHosts + static_cast<uint32_t>(index) + 1;
    daemon->zone = zone_of(static_cast<size_t>(index));
    daemon->probe = std::make_unique<AsyncHttpClient>(
        loop_, Endpoint{daemon->ip, kReadinessPort});
    if (!Spawn(*daemon)) return false;
    daemons_.push_back(std::move(daemon));
  }
  for (size_t index = 0; index < services.size(); ++index) {
    auto daemon = std::make_unique<Daemon>();
    daemon->name = "side-" + std::to_string(index + 1);
    daemon->role = "agent";
    daemon->ip = network_ + kAgentHosts + static_cast<uint32_t>(index) + 1;
    daemon->zone = zone_of(index);
    daemon->service = services[index];
    if (!Spawn(*daemon)) return false;
    if (!StartHost(*daemon, static_cast<uint32_t>(index) + 1)) return false;
    daemons_.push_back(std::move(daemon));
  }
  return RunUntil(
      [this] {
        for (const std::unique_ptr<Daemon>& daemon : daemons_) {
          if (daemon->probe != nullptr && !daemon->is_in_rotation) return false;
        }
        return true;
      },
      Millis{15'000});
}

void Deployment::HandleStoreCall(const HttpRequest& request,
                                 const AsyncHttpServer::Responder& respond) {
  if (loses_next_removal_ && request.method == "DELETE") {
    loses_next_removal_ = false;
    late_removal_ = request;
    // Keeps the connection open.
    silent_calls_.push_back(respond);
    Record("store: answer to DELETE " + request.target + " is lost");
    return;
  }
  // Reads of a single object are recorded too, lists and watches are not.
  const bool is_object_read =
      request.method == "GET" &&
      request.target.find("-agents/") != std::string::npos;
  if (request.method != "GET" || is_object_read) {
    Record("store: " + request.method + " " + request.target);
  }
  store_.Handle(request, StoreFault::kNone, MonotonicNow(),
                [respond](std::optional<HttpResponse> response) {
                  // Not a header of the platform's store.
                  if (response.has_value()) {
                    response->headers.erase("store-era");
                  }
                  respond(std::move(response));
                });
}

void Deployment::ExecuteLateRemoval() {
  store_.Handle(*late_removal_, StoreFault::kNone, MonotonicNow(),
                [this](const std::optional<HttpResponse>& response) {
                  Record("store: late DELETE " + late_removal_->target +
                         " executed, status " +
                         std::to_string(response->status));
                });
}

bool Deployment::StartHost(const Daemon& daemon, uint32_t incarnation) {
  SimulatedUpstreamSettings host;
  host.service = daemon.service;
  host.failure_domain = daemon.zone;
  host.ip = daemon.ip;
  host.heartbeat_interval = kHeartbeatInterval;
  auto upstream = std::make_unique<SimulatedUpstream>(
      loop_, host, RouteAddresses(host.service), incarnation,
      [this](const std::string& what) { Record("host: " + what); },
      [](const FlowTuple& /*flow*/) {},
      [this, name = daemon.name](const FlowTuple& flow) {
        HandleForeignPacket(name, flow);
      });
  born_[incarnation] = WallNow().value;
  if (!IsOk(upstream->Start())) return false;
  Record("host i-" + std::to_string(incarnation) + " beside " + daemon.name +
         " started");
  hosts_[daemon.name] = std::move(upstream);
  return true;
}

bool Deployment::StartHost(const std::string& agent, uint32_t incarnation) {
  return StartHost(Find(agent), incarnation);
}

void Deployment::CrashHost(const std::string& agent) {
  Record("host beside " + agent + " crashes");
  hosts_.erase(agent);
}

int Deployment::DeliverLateHeartbeat(const std::string& agent,
                                     uint32_t incarnation, uint64_t sequence) {
  const Daemon& daemon = Find(agent);
  const std::string id = "i-" + std::to_string(incarnation);
  HttpRequest request;
  request.method = "POST";
  request.target = "/Instances.Heartbeat/" + id;
  request.body =
      Json{{"service", daemon.service},
           {"address", ToString(Endpoint{daemon.ip, kUpstreamPacketPort})},
           {"zone", daemon.zone},
           {"version", "v1"},
           {"slots", 4},
           {"state", "ready"},
           {"cold_left_ms", 0},
           {"sequence", sequence},
           {"born", born_.at(incarnation)}}
          .dump();
  AsyncHttpClient client(loop_, Endpoint{daemon.ip, kAgentControlPort});
  int status = 0;
  bool is_done = false;
  client.Send(std::move(request), kProbeInterval, kProbeInterval,
              [&](const Result<HttpResponse>& result) {
                is_done = true;
                if (IsOk(result)) status = ValueOf(result).status;
              });
  RunUntil([&] { return is_done; }, kProbeInterval * 3);
  if (status != 0) {
    Record("late heartbeat " + std::to_string(sequence) + " of " + id +
           " reaches " + agent + ", answer " + std::to_string(status));
  }
  return status;
}

void Deployment::SendFlowPacket(const std::string& balancer, bool is_syn,
                                const std::string& data) {
  FlowPacket packet;
  packet.source = single_.flow.caller;
  packet.destination = single_.flow.service_address;
  packet.is_syn = is_syn;
  packet.is_ack = !is_syn;
  packet.sequence = single_.sequence;
  packet.acknowledged = is_syn ? 0 : single_.expected_sequence;
  consumer_->Send(Endpoint{Find(balancer).ip, kDatagramPort},
                  EncodePacket(packet, data));
}

void Deployment::HandleFlowPacket(const Endpoint& from,
                                  std::span<uint8_t> datagram) {
  const std::optional<FlowPacket> packet = platform::DecodePacket(datagram);
  if (!packet.has_value() || FlowFromUpstream(*packet) != single_.flow) return;
  if (packet->is_reset) {
    single_.is_reset = true;
    HandleReset(single_.flow, from.ip);
    return;
  }
  if (packet->is_syn) {
    if (single_.is_open) return;
    single_.is_open = true;
    ++single_.sequence;
    single_.expected_sequence = packet->sequence + 1;
    return;
  }
  const std::string_view data = DataOf(datagram);
  if (data.empty() || packet->sequence != single_.expected_sequence) return;
  single_.expected_sequence += static_cast<uint32_t>(data.size());
  single_.is_answered = true;
}

bool Deployment::OpenConsumerSocket() {
  if (consumer_ != nullptr) return true;
  return IsOk(AsyncUdpSocket::OpenInto(
      consumer_, loop_, Endpoint{network_ + kConsumerHost, kDatagramPort},
      [this](const Endpoint& from, std::span<uint8_t> datagram) {
        HandleFlowPacket(from, datagram);
      }));
}

void Deployment::SendOpening(const std::string& balancer) {
  constexpr uint32_t kFirstSequence = 70'000;
  if (!OpenConsumerSocket()) return;
  single_ = SingleFlow{};
  single_.flow = FlowTuple{Endpoint{network_ + kConsumerHost, next_port_++},
                           *RouteAddresses(kHubService).begin()};
  single_.sequence = kFirstSequence;
  SendFlowPacket(balancer, true, {});
}

bool Deployment::OpenSingleFlow(const std::string& balancer) {
  SendOpening(balancer);
  if (!RunUntil([this] { return single_.is_open; }, Millis{1'400})) {
    return false;
  }
  Record("flow " + ToString(single_.flow.caller) + " opens through " +
         balancer);
  return SendRequest(balancer, Millis{2'000});
}

bool Deployment::SendRequest(const std::string& balancer, Millis timeout) {
  constexpr Millis kFirstInterval{200};
  constexpr Millis kLongestInterval{1'600};
  const TimePoint deadline = MonotonicNow() + timeout;
  const std::string data =
      "request single-" + std::to_string(++single_.requests);
  single_.is_answered = false;
  Millis interval = kFirstInterval;
  while (!single_.is_answered && !single_.is_reset &&
         MonotonicNow() < deadline) {
    SendFlowPacket(balancer, false, data);
    RunUntil([this] { return single_.is_answered || single_.is_reset; },
             interval);
    interval = std::min(interval * 2, kLongestInterval);
  }
  Record(data + " through " + balancer + ": " +
         (single_.is_answered ? "answered"
          : single_.is_reset  ? "flow reset"
                              : "no answer"));
  single_.sequence += static_cast<uint32_t>(data.size());
  return single_.is_answered;
}

std::string Deployment::OwnerOfFlow() const {
  for (const auto& [agent, host] : hosts_) {
    if (host->FindOpenFlow(single_.flow).has_value()) return agent;
  }
  return "";
}

bool Deployment::StartConsumers(int users) {
  SimulatedCallers::Hooks hooks;
  hooks.balancer_of = [this](const FlowTuple& flow) { return RouteOf(flow); };
  hooks.on_reset = [this](const FlowTuple& flow, uint32_t sender) {
    HandleReset(flow, sender);
  };
  hooks.on_violation = [this](const std::string& what) {
    Record("consumer: " + what);
  };
  hooks.is_flow_held = [this](const FlowTuple& flow) {
    for (const auto& [agent, host] : hosts_) {
      if (host->FindOpenFlow(flow).has_value()) return true;
    }
    return false;
  };
  consumers_ = std::make_unique<SimulatedCallers>(
      loop_, network_ + kConsumerHost, users, SoakRoutes(), 1, hooks);
  return IsOk(consumers_->Start());
}

void Deployment::ProbeBalancers() {
  if (MonotonicNow() < next_probe_) return;
  next_probe_ = MonotonicNow() + kProbeInterval;
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    if (daemon->probe == nullptr || daemon->probe->is_busy()) continue;
    HttpRequest request;
    request.method = "GET";
    request.target = "/readiness";
    daemon->probe->Send(
        std::move(request), kProbeInterval, kProbeInterval,
        [this, checked = daemon.get()](const Result<HttpResponse>& result) {
          const bool is_ready =
              IsOk(result) && ValueOf(result).status == kHttpOk;
          checked->missed_probes = is_ready ? 0 : checked->missed_probes + 1;
          const bool was_in = checked->is_in_rotation;
          if (is_ready) checked->is_in_rotation = true;
          if (checked->missed_probes >= kMissesOutOfRotation) {
            checked->is_in_rotation = false;
          }
          if (was_in == checked->is_in_rotation) return;
          Record(checked->name +
                 (was_in ? " out of rotation" : " in rotation"));
        });
  }
}

// Hashes over the balancers in rotation, as flow_hash = "mod" says.
Endpoint Deployment::RouteOf(const FlowTuple& flow) const {
  std::vector<const Daemon*> targets;
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    if (daemon->is_in_rotation) targets.push_back(daemon.get());
  }
  if (targets.empty()) return {};
  const size_t hash = flow.caller.port;
  return Endpoint{targets[hash % targets.size()]->ip, kDatagramPort};
}

// FLOW (a): a reset that the flow's host did not send, while the host lives and
// has the flow. The hosts of this deployment send no resets.
void Deployment::HandleReset(const FlowTuple& flow, uint32_t sender) {
  const TimePoint now = MonotonicNow();
  for (const auto& [agent, host] : hosts_) {
    const std::optional<OpenFlow> open = host->FindOpenFlow(flow);
    if (!open.has_value()) continue;
    const std::string what =
        "reset of flow " + ToString(flow.caller) + ">" +
        ToString(flow.service_address) + " by " + NameOf(sender) +
        "; it is open at the host beside " + agent + " for " +
        std::to_string((now - open->opened_at).value) + " ms, last packet " +
        std::to_string((now - open->last_packet_at).value) + " ms ago";
    const bool counts = now - open->opened_at < kFlowTtl &&
                        now - open->last_packet_at < kFlowIdleTimeout;
    Record((counts ? "FLOW broken: " : "not counted: ") + what);
    if (counts) breaks_.push_back(what);
    return;
  }
  Record("reset of a flow that no host has, by " + NameOf(sender));
}

void Deployment::HandleForeignPacket(const std::string& host,
                                     const FlowTuple& flow) {
  for (const auto& [agent, own] : hosts_) {
    if (agent == host || !own->FindOpenFlow(flow).has_value()) continue;
    foreign_packets_[flow].push_back(MonotonicNow());
    Record("packet of flow " + ToString(flow.caller) + " of " + agent +
           " reaches " + host);
  }
}

// FLOW (b): for kReorderTime three or more of the flow's packets reach other
// hosts and none its own.
void Deployment::CheckForeignPackets() {
  const TimePoint now = MonotonicNow();
  for (auto& [flow, times] : foreign_packets_) {
    std::optional<OpenFlow> open;
    for (const auto& [agent, own] : hosts_) {
      if (!open.has_value()) open = own->FindOpenFlow(flow);
    }
    if (!open.has_value()) {
      times.clear();
      continue;
    }
    std::erase_if(times, [&](TimePoint time) {
      return time <= open->last_packet_at || now - time > kReorderTime;
    });
    if (times.size() < kForeignPackets) continue;
    if (now - times.front() < kReorderTime) continue;
    if (now - open->last_packet_at >= kFlowIdleTimeout) continue;
    const std::string what = std::to_string(times.size()) +
                             " packets of flow " + ToString(flow.caller) +
                             " reached other hosts, and none its own for " +
                             std::to_string(kReorderTime.value) + " ms";
    Record("FLOW broken: " + what);
    breaks_.push_back(what);
    times.clear();
  }
}

std::string Deployment::NameOf(uint32_t ip) const {
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    if (daemon->ip == ip) return daemon->name;
  }
  return ToString(Endpoint{ip, 0});
}

Daemon& Deployment::Find(const std::string& name) {
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    if (daemon->name == name) return *daemon;
  }
  std::abort();
}

void Deployment::Run(Millis duration) {
  RunUntil([] { return false; }, duration);
}

bool Deployment::RunUntil(const std::function<bool()>& condition,
                          Millis timeout) {
  const TimePoint deadline = MonotonicNow() + timeout;
  while (!condition()) {
    if (MonotonicNow() >= deadline) return false;
    loop_.restart();
    loop_.run_for(kStep);
    store_.Tick(MonotonicNow());
    ProbeBalancers();
    CheckForeignPackets();
  }
  return true;
}

void Deployment::Kill(const std::string& daemon) {
  Record(daemon + " gets SIGKILL");
  Find(daemon).process->Signal(SIGKILL);
}

void Deployment::Stop(const std::string& daemon) {
  Record(daemon + " gets SIGTERM");
  Find(daemon).process->Signal(SIGTERM);
}

bool Deployment::StartAgain(const std::string& daemon) {
  return Spawn(Find(daemon));
}

bool Deployment::HasExited(const std::string& daemon) {
  return Find(daemon).process->HasExited();
}

}  // namespace medlarwinch::review
