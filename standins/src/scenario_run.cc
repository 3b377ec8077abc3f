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

constexpr milliseconds kTick{10};
constexpr milliseconds kStartLimit{20'000};
constexpr milliseconds kCallerStopLimit{9'000};
constexpr milliseconds kDaemonStopLimit{4'000};
constexpr Millis kControlTimeout{2'000};
// Work may start on an upstream for this long after it announced its leave.
constexpr int64_t kNewWorkLimitMs = 2'000;
// A leave that a document orders takes effect when the document is in force.
constexpr int64_t kDocumentDrainLimitMs = 3'000;
// A replaced balancer goes this long after its successor was started.
constexpr int64_t kOverlapMs = 1'500;
constexpr int64_t kDefaultRampMs = 2'000;
// Balancers that a newcomer is told of.
constexpr size_t kMaxPeers = 3;
// Applies that the end of the run cuts short.
constexpr int kHttpOk = 200;

Error UnknownName(const std::string& name) {
  return Error{ErrorCode::kInvalidInput, "unknown name '" + name + "'"};
}

// "b12" -> 12, 0 for anything else.
uint32_t BalancerNumber(const std::string& name) {
  if (name.size() < 2 || name[0] != 'b') return 0;
  return static_cast<uint32_t>(std::strtoul(name.c_str() + 1, nullptr, 10));
}

}  // namespace

ScenarioRun::ScenarioRun(const Scenario& scenario, const RunOptions& options)
    : scenario_(scenario),
      options_(options),
      topology_(MakeTopology(scenario, options.net)),
      writer_(scenario_, topology_, options.folder, options.seed) {}

ScenarioRun::~ScenarioRun() {
  if (desk_ != nullptr) desk_->Stop();
  for (std::thread& aside : asides_) aside.join();
}

Result<RunSummary> ScenarioRun::Run() {
  Result<std::unique_ptr<LineLog>> log =
      LineLog::Open(options_.folder + "/steps.log");
  if (!IsOk(log)) return ErrorOf(log);
  log_ = TakeValue(std::move(log));
  desk_ = std::make_unique<OperatorDesk>(topology_.PlatformApi(), *log_,
                                         options_.seed);
  Result<Ok> done = StartAll();
  if (IsOk(done)) done = RunSteps();
  StopAll();
  if (!IsOk(done)) return ErrorOf(done);
  return Check();
}

Result<Ok> ScenarioRun::StartAll() {
  Result<Ok> done = StartPlatform();
  if (IsOk(done)) done = WriteDocuments();
  if (IsOk(done)) done = StartFabric();
  next_balancer_ = static_cast<uint32_t>(scenario_.balancers) + 1;
  for (uint32_t number = 1; IsOk(done) && number < next_balancer_; ++number) {
    done = StartBalancer(number);
  }
  for (size_t home = 0; home < topology_.services.size(); ++home) {
    const uint32_t hosts =
        static_cast<uint32_t>(topology_.services[home].hosts);
    for (uint32_t host = 1; IsOk(done) && host <= hosts; ++host) {
      HostUnit unit;
      unit.name = writer_.UpstreamName(home, host);
      unit.home = home;
      unit.host = host;
      unit.service = home;
      HostUnit& placed = hosts_[unit.name];
      placed = std::move(unit);
      done = StartUpstream(placed);
      if (IsOk(done)) done = StartAgent(placed);
    }
  }
  if (IsOk(done)) done = WaitUntilReady();
  if (IsOk(done)) {
    Pause(milliseconds(scenario_.warmup_ms));
    done = StartCallers();
  }
  return done;
}

Result<Ok> ScenarioRun::WaitForControl(const std::string& name,
                                       const Endpoint& control) {
  return WaitFor(name, kStartLimit, [&control] {
    return IsOk(SendHttpRequest(control,
                                HttpRequest{"GET", "/control/stats", "", {}},
                                kControlTimeout));
  });
}

Result<Ok> ScenarioRun::StartPlatform() {
  Result<std::unique_ptr<ChildProcess>> process =
      Spawn("standin_platform", "platform", writer_.Platform());
  if (!IsOk(process)) return ErrorOf(process);
  platform_ = TakeValue(std::move(process));
  return WaitForControl("the platform", topology_.PlatformControl());
}

Result<Ok> ScenarioRun::WriteDocuments() {
  for (const TopologyService& service : topology_.services) {
    const std::string file =
        options_.scenarios + "/documents/" + service.name + ".yaml";
    const ScenarioStep step{0, 0, 0, {"apply", service.name, file}};
    const Result<std::string> text = ReadTextFile(file);
    if (!IsOk(text)) return ErrorOf(text);
    std::string adapted = ValueOf(text);
    const std::string base = "127.0.";
    const std::string net = "127." + std::to_string(options_.net) + ".";
    for (size_t at = adapted.find(base); at != std::string::npos;
         at = adapted.find(base, at + net.size())) {
      adapted.replace(at, base.size(), net);
    }
    desk_->SetDocument(service.name, adapted);
    const Result<uint64_t> version = desk_->Apply(service.name);
    if (!IsOk(version)) return ErrorOf(version);
  }
  const Result<uint64_t> keys = desk_->RotateKeys();
  if (!IsOk(keys)) return ErrorOf(keys);
  return Ok{};
}

Result<Ok> ScenarioRun::StartFabric() {
  Result<std::unique_ptr<ChildProcess>> process =
      Spawn("standin_fabric", "fabric", writer_.Fabric());
  if (!IsOk(process)) return ErrorOf(process);
  fabric_ = TakeValue(std::move(process));
  return WaitForControl("the fabric", topology_.FabricControl());
}

Result<Ok> ScenarioRun::StartCallers() {
  for (size_t service = 0; service < topology_.services.size(); ++service) {
    Result<std::unique_ptr<ChildProcess>> process =
        Spawn("standin_caller", "caller-" + topology_.services[service].name,
              writer_.Caller(service));
    if (!IsOk(process)) return ErrorOf(process);
    callers_.push_back(TakeValue(std::move(process)));
  }
  const auto ramp = scenario_.caller.find("ramp_ms");
  const int64_t ramp_ms = ramp == scenario_.caller.end()
                              ? kDefaultRampMs
                              : std::strtoll(ramp->second.c_str(), nullptr, 10);
  Pause(milliseconds(ramp_ms + scenario_.settle_ms));
  return Ok{};
}

void ScenarioRun::Pause(milliseconds time) const {
  const auto end = Clock::now() + time;
  while (Clock::now() < end && !IsInterrupted()) {
    std::this_thread::sleep_for(kTick);
  }
}

Result<Ok> ScenarioRun::StartBalancer(uint32_t number) {
  if (number == 0) return UnknownName("b0");
  const std::string name = "b" + std::to_string(number);
  Result<std::unique_ptr<ChildProcess>> process =
      Spawn("medlarwinchd", name, writer_.Balancer(number, PeersFor(number)),
            "balancer");
  if (!IsOk(process)) return ErrorOf(process);
  BalancerUnit& unit = balancers_[number];
  unit.watcher.reset();
  unit.process = TakeValue(std::move(process));
  unit.is_leaving = false;
  log_->Write("balancer_started", {{"balancer", name}});
  WatchedBalancer watched;
  watched.name = name;
  watched.admin = topology_.BalancerAddress(number, kAdminPort);
  watched.data = topology_.BalancerAddress(number, kDataPort);
  watched.domain = topology_.DomainOf(number);
  watched.fabric = topology_.FabricControl();
  watched.documents = topology_.services.size();
  unit.watcher = std::make_unique<BalancerWatcher>(watched, *log_);
  return Ok{};
}

Result<Ok> ScenarioRun::StartUpstream(HostUnit& host) {
  Result<std::unique_ptr<ChildProcess>> process =
      Spawn("standin_upstream", "upstream-" + FileNameOf(host.name),
            writer_.Upstream(host.home, host.host, host.service));
  if (!IsOk(process)) return ErrorOf(process);
  host.upstream = TakeValue(std::move(process));
  return Ok{};
}

Result<Ok> ScenarioRun::StartAgent(HostUnit& host) {
  Result<std::unique_ptr<ChildProcess>> process = Spawn(
      "medlarwinchd", "agent-" + FileNameOf(host.name),
      writer_.Agent(host.home, host.host, host.service, PeersFor(0)), "agent");
  if (!IsOk(process)) return ErrorOf(process);
  host.agent = TakeValue(std::move(process));
  host.is_leaving = false;
  LogStep("upstream_started", host, 0);
  return Ok{};
}

Result<Ok> ScenarioRun::WaitUntilReady() {
  const int agents = static_cast<int>(hosts_.size());
  const auto are_ready = [&] {
    return std::all_of(
        balancers_.begin(), balancers_.end(), [&](const auto& entry) {
          const BalancerWatcher& watcher = *entry.second.watcher;
          return watcher.is_ready() && watcher.ready_agents() >= agents;
        });
  };
  std::string ended;
  const Result<Ok> waited = WaitFor("the daemons", kStartLimit, [&] {
    ended = NameOfEndedDaemon();
    return !ended.empty() || are_ready();
  });
  if (ended.empty()) return waited;
  return Error{ErrorCode::kUnavailable, ended + " ended at its start"};
}

std::string ScenarioRun::NameOfEndedDaemon() const {
  for (const auto& [number, unit] : balancers_) {
    if (unit.process->HasEnded()) return "b" + std::to_string(number);
  }
  for (const auto& [name, host] : hosts_) {
    if (host.agent->HasEnded() || host.upstream->HasEnded()) return name;
  }
  return "";
}

Result<Ok> ScenarioRun::WaitFor(const std::string& what, milliseconds limit,
                                const std::function<bool()>& is_done) {
  const auto end = Clock::now() + limit;
  while (!is_done()) {
    if (IsInterrupted()) return Error{ErrorCode::kUnavailable, "interrupted"};
    if (Clock::now() > end) {
      return Error{ErrorCode::kUnavailable,
                   "timed out while waiting for " + what};
    }
    std::this_thread::sleep_for(kTick);
  }
  return Ok{};
}

void ScenarioRun::PlanSteps() {
  for (const ScenarioStep& step : scenario_.steps) {
    if (step.words[0] == "replace" && step.words[1] == "balancers") {
      PlanReplaceBalancers(step);
    } else if (step.words[0] == "replace") {
      PlanReplaceUpstreams(step);
    } else {
      Plan(step);
    }
  }
  std::stable_sort(actions_.begin(), actions_.end(),
                   [](const TimedAction& a, const TimedAction& b) {
                     return a.at_ms < b.at_ms;
                   });
}

void ScenarioRun::Plan(const ScenarioStep& step) {
  actions_.push_back(TimedAction{step.at_ms, step.line,
                                 [this, step] { return Do(step, false); }});
  if (step.for_ms == 0) return;
  actions_.push_back(TimedAction{step.at_ms + step.for_ms, step.line,
                                 [this, step] { return Do(step, true); }});
}

void ScenarioRun::PlanReplaceBalancers(const ScenarioStep& step) {
  const int64_t count = std::max<int64_t>(1, scenario_.balancers);
  for (int64_t index = 0; index < scenario_.balancers; ++index) {
    const int64_t at = step.at_ms + step.for_ms * index / count;
    const std::string successor = "b" + std::to_string(next_balancer_++);
    const std::string leaving = "b" + std::to_string(index + 1);
    Plan(ScenarioStep{step.line, at, 0, {"start", "balancer", successor}});
    Plan(ScenarioStep{
        step.line, at + kOverlapMs, 0, {"stop", "balancer", leaving}});
  }
}

void ScenarioRun::PlanReplaceUpstreams(const ScenarioStep& step) {
  const size_t service = topology_.ServiceIndex(step.words[2]);
  if (service == topology_.services.size()) return;
  const int64_t hosts = topology_.services[service].hosts;
  for (int64_t index = 0; index < hosts; ++index) {
    const std::string name =
        writer_.UpstreamName(service, static_cast<uint32_t>(index) + 1);
    const int64_t at = step.at_ms + step.for_ms * index / hosts;
    actions_.push_back(TimedAction{at, step.line, [this, name]() -> Result<Ok> {
                                     HostUnit* host = FindHost(name);
                                     if (host == nullptr) {
                                       return UnknownName(name);
                                     }
                                     host->restart_when_gone = true;
                                     return StopAgent(*host);
                                   }});
  }
}

Result<Ok> ScenarioRun::RunSteps() {
  PlanSteps();
  const auto start = Clock::now();
  log_->Write("load_up", {});
  size_t next = 0;
  while (!IsInterrupted()) {
    const int64_t elapsed =
        std::chrono::duration_cast<milliseconds>(Clock::now() - start).count();
    while (next < actions_.size() && actions_[next].at_ms <= elapsed) {
      const Result<Ok> done = actions_[next].action();
      if (!IsOk(done)) {
        return Error{ErrorOf(done).code,
                     "line " + std::to_string(actions_[next].line) + ": " +
                         ErrorOf(done).message};
      }
      ++next;
    }
    if (elapsed >= scenario_.duration_ms) return Ok{};
    TendHosts();
    std::this_thread::sleep_for(kTick);
  }
  return Error{ErrorCode::kUnavailable, "interrupted"};
}

void ScenarioRun::TendHosts() {
  for (auto& [name, host] : hosts_) {
    const bool is_gone = host.agent != nullptr && host.agent->HasEnded();
    if (!is_gone || !host.restart_when_gone) continue;
    host.restart_when_gone = false;
    log_->Write(
        "agent_ended",
        {{"upstream", name}, {"status", std::to_string(host.agent->status())}});
    StartAgent(host);
  }
}

Result<Ok> ScenarioRun::Do(const ScenarioStep& step, bool is_undone) {
  const std::vector<std::string>& words = step.words;
  std::string text = is_undone ? "undo" : "do";
  for (const std::string& word : words) text += "_" + word;
  log_->Write("step", {{"text", text}});
  if (words[0] == "platform" || words[0] == "fabric" || words[0] == "cut") {
    return DoFaultStep(step, is_undone);
  }
  if (words[0] == "apply" || words[0] == "race" || words[0] == "rotate") {
    return DoDocumentStep(step);
  }
  if (words[1] == "balancer") {
    return DoBalancerStep(words[0], words[2], is_undone);
  }
  HostUnit* host = FindHost(words[2]);
  if (host == nullptr) return UnknownName(words[2]);
  if (words[1] == "agent") return DoAgentStep(words[0], *host, is_undone);
  return DoUpstreamStep(step, *host);
}

Result<Ok> ScenarioRun::DoBalancerStep(const std::string& verb,
                                       const std::string& name,
                                       bool is_undone) {
  const uint32_t number = BalancerNumber(name);
  if (verb == "start") return StartBalancer(number);
  const auto found = balancers_.find(number);
  if (found == balancers_.end()) return UnknownName(name);
  BalancerUnit& unit = found->second;
  if (verb == "freeze") {
    log_->Write(is_undone ? "balancer_thawed" : "balancer_frozen",
                {{"balancer", name}});
    unit.process->Signal(is_undone ? SIGCONT : SIGSTOP);
    return Ok{};
  }
  unit.is_leaving = true;
  log_->Write("balancer_gone", {{"balancer", name}, {"by", verb}});
  unit.process->Signal(verb == "kill" ? SIGKILL : SIGTERM);
  return Ok{};
}

Result<Ok> ScenarioRun::DoAgentStep(const std::string& verb, HostUnit& host,
                                    bool is_undone) {
  if (verb == "kill") {
    KillHost(host, false);
    return Ok{};
  }
  if (verb == "stop") return StopAgent(host);
  if (verb == "start") return StartAgent(host);
  if (!is_undone) LogStep("upstream_frozen", host, 0);
  host.agent->Signal(is_undone ? SIGCONT : SIGSTOP);
  return Ok{};
}

Result<Ok> ScenarioRun::DoUpstreamStep(const ScenarioStep& step,
                                       HostUnit& host) {
  const std::string& verb = step.words[0];
  const std::string service = topology_.services[host.service].name;
  const Endpoint listener =
      topology_.HostAddress(host.home, host.host, kUpstreamPort);
  if (verb == "set") {
    return Post(listener,
                "/control/set?" + step.words[3] + "=" + step.words[4]);
  }
  if (verb == "drain" || verb == "restore") {
    const bool is_draining = verb == "drain";
    desk_->SetDraining(service, listener, is_draining);
    if (is_draining) host.is_leaving = true;
    LogStep(is_draining ? "upstream_leaving" : "upstream_restored", host,
            kDocumentDrainLimitMs);
    RunAside([this, service] { desk_->Apply(service); });
    return Ok{};
  }
  if (verb == "kill") {
    KillHost(host, true);
    return Ok{};
  }
  if (verb == "reassign") {
    const size_t target = topology_.ServiceIndex(step.words[3]);
    if (target == topology_.services.size()) return UnknownName(step.words[3]);
    KillHost(host, true);
    host.service = target;
  }
  const Result<Ok> started = StartUpstream(host);
  if (!IsOk(started)) return started;
  return StartAgent(host);
}

Result<Ok> ScenarioRun::DoDocumentStep(const ScenarioStep& step) {
  const std::vector<std::string>& words = step.words;
  if (words[0] == "rotate") {
    RunAside([this] { desk_->RotateKeys(); });
    return Ok{};
  }
  if (words[0] == "race") {
    const int writers = std::atoi(words[3].c_str());
    RunAside(
        [this, service = words[2], writers] { desk_->Race(service, writers); });
    return Ok{};
  }
  const Result<std::string> text =
      ReadTextFile(options_.scenarios + "/" + words[2]);
  if (!IsOk(text)) return ErrorOf(text);
  std::string adapted = ValueOf(text);
  const std::string base = "127.0.";
  const std::string net = "127." + std::to_string(options_.net) + ".";
  for (size_t at = adapted.find(base); at != std::string::npos;
       at = adapted.find(base, at + net.size())) {
    adapted.replace(at, base.size(), net);
  }
  desk_->SetDocument(words[1], adapted);
  RunAside([this, service = words[1]] { desk_->Apply(service); });
  return Ok{};
}

Result<Ok> ScenarioRun::DoFaultStep(const ScenarioStep& step, bool is_undone) {
  const std::vector<std::string>& words = step.words;
  const std::string on = is_undone ? "on=0" : "on=1";
  if (words[0] == "cut") {
    return Post(topology_.FabricControl(),
                "/control/cut?balancer=" + words[2] + "&" + on);
  }
  if (words[0] == "fabric") {
    const double percent = std::strtod(words[2].c_str(), nullptr);
    return Post(topology_.FabricControl(),
                "/control/fault?kind=" + words[1] +
                    "&percent=" + (is_undone ? "0" : std::to_string(percent)));
  }
  std::string target = "/control/down?" + on;
  if (words[1] == "slow") {
    target = "/control/slow?ms=" + std::to_string(ParseDuration(words[2])) +
             "&" + on;
  } else if (words[1] == "drops-answers") {
    target = "/control/drop-answers?" + on;
  }
  return Post(topology_.PlatformControl(), target);
}

Result<Ok> ScenarioRun::StopAgent(HostUnit& host) {
  host.is_leaving = true;
  LogStep("upstream_leaving", host, kNewWorkLimitMs);
  host.agent->Signal(SIGTERM);
  return Ok{};
}

void ScenarioRun::KillHost(HostUnit& host, bool with_upstream) {
  LogStep("upstream_killed", host, 0);
  host.agent.reset();
  if (with_upstream) host.upstream.reset();
}

void ScenarioRun::StopAll() {
  log_->Write("load_ends", {});
  for (const std::unique_ptr<ChildProcess>& caller : callers_) {
    caller->Signal(SIGTERM);
  }
  const auto have_ended = [](const auto& processes) {
    return std::all_of(processes.begin(), processes.end(),
                       [](const auto& process) { return process->HasEnded(); });
  };
  const auto caller_end = Clock::now() + kCallerStopLimit;
  while (!have_ended(callers_) && Clock::now() < caller_end) {
    std::this_thread::sleep_for(kTick);
  }
  ReadCounts(topology_.FabricControl(), "fabric_", fabric_counts_);
  ReadCounts(topology_.PlatformControl(), "platform_", platform_counts_);
  desk_->Stop();
  for (std::thread& aside : asides_) aside.join();
  asides_.clear();
  for (auto& [number, unit] : balancers_) unit.watcher.reset();
  std::vector<ChildProcess*> daemons;
  for (auto& [name, host] : hosts_) {
    if (host.agent != nullptr) daemons.push_back(host.agent.get());
  }
  for (auto& [number, unit] : balancers_) {
    if (unit.process != nullptr) daemons.push_back(unit.process.get());
  }
  for (ChildProcess* daemon : daemons) {
    daemon->Signal(SIGCONT);
    daemon->Signal(SIGTERM);
  }
  const auto daemon_end = Clock::now() + kDaemonStopLimit;
  while (!have_ended(daemons) && Clock::now() < daemon_end) {
    std::this_thread::sleep_for(kTick);
  }
  callers_.clear();
  hosts_.clear();
  balancers_.clear();
  fabric_.reset();
  platform_.reset();
}

Result<RunSummary> ScenarioRun::Check() {
  RunLogs logs;
  logs.fabric = fabric_counts_;
  const auto misdelivered = fabric_counts_.find("fabric_misdelivered");
  if (misdelivered != fabric_counts_.end()) {
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
  for (size_t home = 0; home < topology_.services.size(); ++home) {
    const TopologyService& service = topology_.services[home];
    append(options_.folder + "/caller-" + service.name + ".log", logs.callers);
    const uint32_t hosts = static_cast<uint32_t>(service.hosts);
    for (uint32_t host = 1; host <= hosts; ++host) {
      append(options_.folder + "/upstream-" +
                 FileNameOf(writer_.UpstreamName(home, host)) + ".log",
             logs.upstreams);
    }
  }
  if (logs.callers.empty()) {
    return Error{ErrorCode::kUnavailable, "the load tools logged nothing"};
  }
  RunSummary summary = Summarize(logs, scenario_.config_limit_ms);
  for (const auto& [name, count] : fabric_counts_) {
    summary.metrics[name] = static_cast<double>(count);
  }
  for (const auto& [name, count] : platform_counts_) {
    summary.metrics[name] = static_cast<double>(count);
  }
  return summary;
}

void ScenarioRun::ReadCounts(const Endpoint& server, const std::string& prefix,
                             std::map<std::string, uint64_t>& counts) {
  const Result<HttpResponse> answer = SendHttpRequest(
      server, HttpRequest{"GET", "/control/stats", "", {}}, kControlTimeout);
  if (!IsOk(answer)) return;
  const nlohmann::json json =
      nlohmann::json::parse(ValueOf(answer).body, nullptr, false);
  if (!json.is_object()) return;
  for (const auto& [name, value] : json.items()) {
    if (value.is_number_unsigned()) {
      counts[prefix + name] = value.get<uint64_t>();
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
    return Error{ErrorCode::kUnavailable, file + ": can't be written"};
  }
  std::vector<std::string> arguments;
  if (!role.empty()) arguments.push_back(role);
  arguments.insert(arguments.end(), {"--settings", file});
  return ChildProcess::Spawn(options_.programs + "/" + program, arguments,
                             options_.folder + "/" + name + ".out");
}

Result<Ok> ScenarioRun::Post(const Endpoint& server,
                             const std::string& target) {
  const Result<HttpResponse> answer = SendHttpRequest(
      server, HttpRequest{"POST", target, "", {}}, kControlTimeout);
  if (!IsOk(answer)) return ErrorOf(answer);
  if (ValueOf(answer).status != kHttpOk) {
    return Error{ErrorCode::kInvalidInput, ValueOf(answer).body};
  }
  return Ok{};
}

void ScenarioRun::RunAside(std::function<void()> task) {
  asides_.emplace_back(std::move(task));
}

ScenarioRun::HostUnit* ScenarioRun::FindHost(const std::string& name) {
  const auto found = hosts_.find(name);
  return found == hosts_.end() ? nullptr : &found->second;
}

std::vector<Endpoint> ScenarioRun::PeersFor(uint32_t number) const {
  std::vector<Endpoint> peers;
  // The first balancers start together and are told of each other.
  if (balancers_.size() < static_cast<size_t>(scenario_.balancers)) {
    for (uint32_t other = 1; other <= scenario_.balancers; ++other) {
      if (other == number || peers.size() >= kMaxPeers) continue;
      peers.push_back(topology_.BalancerAddress(other, kControlPort));
    }
    return peers;
  }
  for (const auto& [other, unit] : balancers_) {
    if (other == number || unit.is_leaving || peers.size() >= kMaxPeers) {
      continue;
    }
    peers.push_back(topology_.BalancerAddress(other, kControlPort));
  }
  return peers;
}

void ScenarioRun::LogStep(std::string_view event, const HostUnit& host,
                          int64_t limit_ms) {
  const TopologyService& service = topology_.services[host.service];
  log_->Write(event, {{"service", service.name},
                      {"upstream", host.name},
                      {"agent", ToString(topology_.HostAddress(
                                    host.home, host.host, kDataPort))},
                      {"slots", std::to_string(service.slots)},
                      {"limit_ms", std::to_string(limit_ms)}});
}

bool ScenarioRun::IsInterrupted() const {
  return options_.interrupted != nullptr && *options_.interrupted;
}

}  // namespace medlarwinch
