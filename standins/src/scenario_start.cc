// Start-up of a ScenarioRun: processes and the wait for readiness.
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <utility>

#include "medlarwinch/standins/scenario_run.h"
#include "medlarwinch/transport/http_client.h"
#include "medlarwinch/transport/text_file.h"

namespace medlarwinch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStartTimeout{20'000};
constexpr int64_t kDefaultRampMs = 2'000;

}  // namespace

Result<Ok> ScenarioRun::StartProcesses() {
  Result<Ok> done = StartPlatform();
  if (IsOk(done)) done = WriteDocuments();
  if (IsOk(done)) done = StartFabric();
  next_balancer_ = static_cast<uint32_t>(scenario_.balancers) + 1;
  for (uint32_t number = 1; IsOk(done) && number < next_balancer_; ++number) {
    done = StartBalancer(number);
  }
  for (size_t home_service = 0; home_service < topology_.services.size();
       ++home_service) {
    const uint32_t hosts =
        static_cast<uint32_t>(topology_.services[home_service].hosts);
    for (uint32_t host = 1; IsOk(done) && host <= hosts; ++host) {
      HostInstance instance;
      instance.name = writer_.UpstreamName(home_service, host);
      instance.home_service = home_service;
      instance.host_number = host;
      instance.service = home_service;
      HostInstance& stored = hosts_[instance.name];
      stored = std::move(instance);
      done = StartUpstream(stored);
      if (IsOk(done)) done = StartAgent(stored);
    }
  }
  if (IsOk(done)) done = WaitUntilReady();
  if (IsOk(done)) {
    SleepFor(milliseconds(scenario_.warmup_ms));
    done = StartLoadGenerators();
  }
  return done;
}

Result<Ok> ScenarioRun::WaitForControl(const std::string& name,
                                       const Endpoint& control) {
  return WaitFor(name, kStartTimeout, [&control] {
    return IsOk(SendHttpRequest(control,
                                HttpRequest{"GET", "/control/stats", "", {}},
                                kControlTimeout));
  });
}

Result<Ok> ScenarioRun::StartPlatform() {
  Result<std::unique_ptr<ChildProcess>> process =
      Spawn("standin_platform", "platform", writer_.RenderPlatform());
  if (!IsOk(process)) return ErrorOf(process);
  platform_ = TakeValue(std::move(process));
  return WaitForControl("the platform", topology_.PlatformControl());
}

Result<Ok> ScenarioRun::SetDocument(const std::string& service,
                                    const std::string& file) {
  const Result<std::string> text =
      ReadTextFile(options_.scenario_folder + "/" + file);
  if (!IsOk(text)) return ErrorOf(text);
  std::string rewritten = ValueOf(text);
  const std::string original_prefix = "127.0.";
  const std::string net_prefix = "127." + std::to_string(options_.net) + ".";
  for (size_t at = rewritten.find(original_prefix); at != std::string::npos;
       at = rewritten.find(original_prefix, at + net_prefix.size())) {
    rewritten.replace(at, original_prefix.size(), net_prefix);
  }
  operators_->SetDocument(service, rewritten);
  return Ok{};
}

Result<Ok> ScenarioRun::WriteDocuments() {
  for (const TopologyService& service : topology_.services) {
    const std::string file = "documents/" + service.name + ".yaml";
    const Result<Ok> set = SetDocument(service.name, file);
    if (!IsOk(set)) return set;
    const Result<uint64_t> version = operators_->Apply(service.name);
    if (!IsOk(version)) return ErrorOf(version);
  }
  const Result<uint64_t> keys = operators_->RotateKeys();
  if (!IsOk(keys)) return ErrorOf(keys);
  return Ok{};
}

Result<Ok> ScenarioRun::StartFabric() {
  Result<std::unique_ptr<ChildProcess>> process =
      Spawn("standin_fabric", "fabric", writer_.RenderFabric());
  if (!IsOk(process)) return ErrorOf(process);
  fabric_ = TakeValue(std::move(process));
  return WaitForControl("the fabric", topology_.FabricControl());
}

Result<Ok> ScenarioRun::StartLoadGenerators() {
  for (size_t service = 0; service < topology_.services.size(); ++service) {
    Result<std::unique_ptr<ChildProcess>> process =
        Spawn("standin_caller", "caller-" + topology_.services[service].name,
              writer_.RenderLoadGenerator(service));
    if (!IsOk(process)) return ErrorOf(process);
    load_generators_.push_back(TakeValue(std::move(process)));
  }
  const auto ramp = scenario_.caller.find("ramp_ms");
  const int64_t ramp_ms = ramp == scenario_.caller.end()
                              ? kDefaultRampMs
                              : std::strtoll(ramp->second.c_str(), nullptr, 10);
  SleepFor(milliseconds(ramp_ms + scenario_.settle_ms));
  return Ok{};
}

void ScenarioRun::SleepFor(milliseconds time) const {
  const auto end = Clock::now() + time;
  while (Clock::now() < end && !IsInterrupted()) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

Result<Ok> ScenarioRun::StartBalancer(uint32_t number) {
  if (number == 0) return UnknownName("b0");
  const std::string name = "b" + std::to_string(number);
  Result<std::unique_ptr<ChildProcess>> process =
      Spawn("medlarwinchd", name,
            writer_.RenderBalancer(number, SelectPeers(number)), "balancer");
  if (!IsOk(process)) return ErrorOf(process);
  BalancerInstance& instance = balancers_[number];
  instance.monitor.reset();
  instance.process = TakeValue(std::move(process));
  instance.is_stopping = false;
  log_->Write("balancer_started", {{"balancer", name}});
  MonitoredBalancer monitored;
  monitored.name = name;
  monitored.admin = topology_.BalancerAddress(number, kAdminPort);
  monitored.data = topology_.BalancerAddress(number, kDataPort);
  monitored.domain = topology_.DomainOf(number);
  monitored.fabric = topology_.FabricControl();
  monitored.required_documents = topology_.services.size();
  instance.monitor = std::make_unique<BalancerMonitor>(monitored, *log_);
  return Ok{};
}

Result<Ok> ScenarioRun::StartUpstream(HostInstance& host) {
  Result<std::unique_ptr<ChildProcess>> process =
      Spawn("standin_upstream", "upstream-" + ToFileName(host.name),
            writer_.RenderUpstream(host.home_service, host.host_number,
                                   host.service));
  if (!IsOk(process)) return ErrorOf(process);
  host.upstream = TakeValue(std::move(process));
  return Ok{};
}

Result<Ok> ScenarioRun::StartAgent(HostInstance& host) {
  Result<std::unique_ptr<ChildProcess>> process =
      Spawn("medlarwinchd", "agent-" + ToFileName(host.name),
            writer_.RenderAgent(host.home_service, host.host_number,
                                host.service, SelectPeers(0)),
            "agent");
  if (!IsOk(process)) return ErrorOf(process);
  host.agent = TakeValue(std::move(process));
  host.is_stopping = false;
  LogUpstreamEvent("upstream_started", host, 0);
  return Ok{};
}

Result<Ok> ScenarioRun::WaitUntilReady() {
  const int agents = static_cast<int>(hosts_.size());
  const auto are_ready = [&] {
    return std::all_of(
        balancers_.begin(), balancers_.end(), [&](const auto& entry) {
          const BalancerMonitor& monitor = *entry.second.monitor;
          return monitor.is_ready() && monitor.ready_agents() >= agents;
        });
  };
  std::string exited;
  const Result<Ok> waited = WaitFor("the daemons", kStartTimeout, [&] {
    exited = FindExitedDaemon();
    return !exited.empty() || are_ready();
  });
  if (exited.empty()) return waited;
  return Error{ErrorCode::kUnavailable, exited + " exited during start-up"};
}

std::string ScenarioRun::FindExitedDaemon() const {
  for (const auto& [number, instance] : balancers_) {
    if (instance.process->HasExited()) return "b" + std::to_string(number);
  }
  for (const auto& [name, host] : hosts_) {
    if (host.agent->HasExited() || host.upstream->HasExited()) return name;
  }
  return "";
}

Result<Ok> ScenarioRun::WaitFor(const std::string& what, milliseconds timeout,
                                const std::function<bool()>& is_done) {
  const auto end = Clock::now() + timeout;
  while (!is_done()) {
    if (IsInterrupted()) return Error{ErrorCode::kUnavailable, "interrupted"};
    if (Clock::now() > end) {
      return Error{ErrorCode::kUnavailable,
                   "timed out while waiting for " + what};
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return Ok{};
}

}  // namespace medlarwinch
