#include "medlarwinch/standins/scenario_run.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "medlarwinch/standins/process_main.h"
#include "medlarwinch/transport/http_client.h"

namespace medlarwinch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLoadGeneratorStopTimeout{9'000};
constexpr milliseconds kDaemonStopTimeout{4'000};
// Maximum number of peers in the settings of a new daemon.
constexpr size_t kMaxPeers = 3;
constexpr int kHttpOk = 200;

}  // namespace

ScenarioRun::ScenarioRun(const Scenario& scenario,
                         const ScenarioRunOptions& options)
    : scenario_(scenario),
      options_(options),
      topology_(MakeTopology(scenario, options.net)),
      writer_(scenario_, topology_, options.folder, options.seed) {}

Error ScenarioRun::UnknownName(const std::string& name) {
  return Error{ErrorCode::kInvalidInput, "unknown name '" + name + "'"};
}

ScenarioRun::~ScenarioRun() {
  if (operators_ != nullptr) operators_->Stop();
  for (std::thread& thread : background_threads_) thread.join();
}

Result<RunSummary> ScenarioRun::Run() {
  Result<std::unique_ptr<EventLog>> log =
      EventLog::Open(options_.folder + "/steps.log");
  if (!IsOk(log)) return ErrorOf(log);
  log_ = TakeValue(std::move(log));
  operators_ = std::make_unique<OperatorSimulator>(topology_.PlatformApi(),
                                                   *log_, options_.seed);
  Result<Ok> done = StartProcesses();
  if (IsOk(done)) done = RunSteps();
  StopProcesses();
  if (!IsOk(done)) return ErrorOf(done);
  return CheckInvariants();
}

void ScenarioRun::StopProcesses() {
  log_->Write("load_ends", {});
  for (const std::unique_ptr<ChildProcess>& load_generator : load_generators_) {
    load_generator->Signal(SIGTERM);
  }
  const auto all_exited = [](const auto& processes) {
    return std::all_of(
        processes.begin(), processes.end(),
        [](const auto& process) { return process->HasExited(); });
  };
  const auto load_generator_deadline = Clock::now() + kLoadGeneratorStopTimeout;
  while (!all_exited(load_generators_) &&
         Clock::now() < load_generator_deadline) {
    std::this_thread::sleep_for(kPollInterval);
  }
  ReadCounters(topology_.FabricControl(), "fabric_", fabric_counters_);
  ReadCounters(topology_.PlatformControl(), "platform_", platform_counters_);
  operators_->Stop();
  for (std::thread& thread : background_threads_) thread.join();
  background_threads_.clear();
  for (auto& [number, instance] : balancers_) instance.monitor.reset();
  std::vector<ChildProcess*> daemons;
  for (auto& [name, host] : hosts_) {
    if (host.agent != nullptr) daemons.push_back(host.agent.get());
  }
  for (auto& [number, instance] : balancers_) {
    if (instance.process != nullptr) daemons.push_back(instance.process.get());
  }
  for (ChildProcess* daemon : daemons) {
    daemon->Signal(SIGCONT);
    daemon->Signal(SIGTERM);
  }
  const auto daemon_deadline = Clock::now() + kDaemonStopTimeout;
  while (!all_exited(daemons) && Clock::now() < daemon_deadline) {
    std::this_thread::sleep_for(kPollInterval);
  }
  load_generators_.clear();
  hosts_.clear();
  balancers_.clear();
  fabric_.reset();
  platform_.reset();
}

Result<RunSummary> ScenarioRun::CheckInvariants() {
  RunLogs logs;
  logs.fabric = fabric_counters_;
  const auto misdelivered = fabric_counters_.find("fabric_misdelivered");
  if (misdelivered != fabric_counters_.end()) {
    logs.fabric["misdelivered"] = misdelivered->second;
  }
  const auto append = [](const std::string& file,
                         std::vector<EventRecord>& records) {
    Result<std::vector<EventRecord>> read = ReadEventFile(file);
    if (!IsOk(read)) return;
    std::vector<EventRecord> lines = TakeValue(std::move(read));
    records.insert(records.end(), std::make_move_iterator(lines.begin()),
                   std::make_move_iterator(lines.end()));
  };
  append(options_.folder + "/steps.log", logs.steps);
  for (size_t home_service = 0; home_service < topology_.services.size();
       ++home_service) {
    const TopologyService& service = topology_.services[home_service];
    append(options_.folder + "/caller-" + service.name + ".log", logs.callers);
    const uint32_t hosts = static_cast<uint32_t>(service.hosts);
    for (uint32_t host = 1; host <= hosts; ++host) {
      append(options_.folder + "/upstream-" +
                 ToFileName(writer_.UpstreamName(home_service, host)) + ".log",
             logs.upstreams);
    }
  }
  if (logs.callers.empty()) {
    return Error{ErrorCode::kUnavailable,
                 "the load generators logged no events"};
  }
  RunSummary summary = Summarize(logs, scenario_.config_limit_ms);
  for (const auto& [name, count] : fabric_counters_) {
    summary.metrics[name] = static_cast<double>(count);
  }
  for (const auto& [name, count] : platform_counters_) {
    summary.metrics[name] = static_cast<double>(count);
  }
  return summary;
}

void ScenarioRun::ReadCounters(const Endpoint& server,
                               const std::string& prefix,
                               std::map<std::string, uint64_t>& counters) {
  const Result<HttpResponse> response = SendHttpRequest(
      server, HttpRequest{"GET", "/control/stats", "", {}}, kControlTimeout);
  if (!IsOk(response)) return;
  const nlohmann::json json =
      nlohmann::json::parse(ValueOf(response).body, nullptr, false);
  if (!json.is_object()) return;
  for (const auto& [name, value] : json.items()) {
    if (value.is_number_unsigned()) {
      counters[prefix + name] = value.get<uint64_t>();
    }
  }
}

Result<std::unique_ptr<ChildProcess>> ScenarioRun::Spawn(
    const std::string& program, const std::string& name,
    const std::string& settings, const std::string& role) {
  const std::string file = options_.folder + "/" + name + ".yaml";
  std::ofstream stream(file);
  stream << settings;
  stream.close();
  if (!stream) {
    return Error{ErrorCode::kUnavailable, file + ": cannot be written"};
  }
  std::vector<std::string> arguments;
  if (!role.empty()) arguments.push_back(role);
  arguments.insert(arguments.end(), {"--settings", file});
  return ChildProcess::Spawn(options_.program_folder + "/" + program, arguments,
                             options_.folder + "/" + name + ".out");
}

Result<Ok> ScenarioRun::Post(const Endpoint& server,
                             const std::string& target) {
  const Result<HttpResponse> response = SendHttpRequest(
      server, HttpRequest{"POST", target, "", {}}, kControlTimeout);
  if (!IsOk(response)) return ErrorOf(response);
  if (ValueOf(response).status != kHttpOk) {
    return Error{ErrorCode::kInvalidInput, ValueOf(response).body};
  }
  return Ok{};
}

void ScenarioRun::RunInBackground(std::function<void()> task) {
  background_threads_.emplace_back(std::move(task));
}

ScenarioRun::HostInstance* ScenarioRun::FindHost(const std::string& name) {
  const auto found = hosts_.find(name);
  return found == hosts_.end() ? nullptr : &found->second;
}

std::vector<Endpoint> ScenarioRun::SelectPeers(uint32_t number) const {
  std::vector<Endpoint> peers;
  // The initial balancers start together and are configured as each other's
  // peers.
  if (balancers_.size() < static_cast<size_t>(scenario_.balancers)) {
    for (uint32_t other = 1; other <= scenario_.balancers; ++other) {
      if (other == number || peers.size() >= kMaxPeers) continue;
      peers.push_back(topology_.BalancerAddress(other, kControlPort));
    }
    return peers;
  }
  for (const auto& [other, instance] : balancers_) {
    if (other == number || instance.is_stopping || peers.size() >= kMaxPeers) {
      continue;
    }
    peers.push_back(topology_.BalancerAddress(other, kControlPort));
  }
  return peers;
}

void ScenarioRun::LogUpstreamEvent(std::string_view event,
                                   const HostInstance& host, int64_t limit_ms) {
  const TopologyService& service = topology_.services[host.service];
  log_->Write(event,
              {{"service", service.name},
               {"upstream", host.name},
               {"agent", ToString(topology_.HostAddress(
                             host.home_service, host.host_number, kDataPort))},
               {"slots", std::to_string(service.slots)},
               {"limit_ms", std::to_string(limit_ms)}});
}

bool ScenarioRun::IsInterrupted() const {
  return options_.interrupted != nullptr && *options_.interrupted;
}

}  // namespace medlarwinch
