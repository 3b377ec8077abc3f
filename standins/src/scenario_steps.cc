// Steps of a ScenarioRun: scheduling and execution.
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <utility>

#include "medlarwinch/standins/scenario_run.h"
#include "medlarwinch/transport/http_client.h"

namespace medlarwinch {
namespace {

using std::chrono::milliseconds;

// Time after a drain announcement during which work may still start on the
// upstream.
constexpr int64_t kNewWorkLimitMs = 2'000;
// A drain ordered by a document takes effect once the document is in force.
constexpr int64_t kDocumentDrainLimitMs = 3'000;
// Time between the start of a new balancer and the stop of the one it replaces.
constexpr int64_t kReplacementOverlapMs = 1'500;

// Parses "b12" as 12; returns 0 for anything else.
uint32_t BalancerNumber(const std::string& name) {
  if (name.size() < 2 || name[0] != 'b') return 0;
  return static_cast<uint32_t>(std::strtoul(name.c_str() + 1, nullptr, 10));
}

}  // namespace

void ScenarioRun::ScheduleSteps() {
  for (const ScenarioStep& step : scenario_.steps) {
    if (step.words[0] == "replace" && step.words[1] == "balancers") {
      ScheduleBalancerReplacement(step);
    } else if (step.words[0] == "replace") {
      ScheduleUpstreamReplacement(step);
    } else {
      ScheduleStep(step);
    }
  }
  std::stable_sort(actions_.begin(), actions_.end(),
                   [](const ScheduledAction& a, const ScheduledAction& b) {
                     return a.at_ms < b.at_ms;
                   });
}

void ScenarioRun::ScheduleStep(const ScenarioStep& step) {
  actions_.push_back(ScheduledAction{step.at_ms, step.line, [this, step] {
                                       return ExecuteStep(step, false);
                                     }});
  if (step.for_ms == 0) return;
  actions_.push_back(
      ScheduledAction{step.at_ms + step.for_ms, step.line,
                      [this, step] { return ExecuteStep(step, true); }});
}

void ScenarioRun::ScheduleBalancerReplacement(const ScenarioStep& step) {
  const int64_t count = std::max<int64_t>(1, scenario_.balancers);
  for (int64_t index = 0; index < scenario_.balancers; ++index) {
    const int64_t at = step.at_ms + step.for_ms * index / count;
    const std::string new_balancer = "b" + std::to_string(next_balancer_++);
    const std::string replaced_balancer = "b" + std::to_string(index + 1);
    ScheduleStep(
        ScenarioStep{step.line, at, 0, {"start", "balancer", new_balancer}});
    ScheduleStep(ScenarioStep{step.line,
                              at + kReplacementOverlapMs,
                              0,
                              {"stop", "balancer", replaced_balancer}});
  }
}

void ScenarioRun::ScheduleUpstreamReplacement(const ScenarioStep& step) {
  const size_t service = topology_.ServiceIndex(step.words[2]);
  if (service == topology_.services.size()) return;
  const int64_t hosts = topology_.services[service].hosts;
  for (int64_t index = 0; index < hosts; ++index) {
    const std::string name =
        writer_.UpstreamName(service, static_cast<uint32_t>(index) + 1);
    const int64_t at = step.at_ms + step.for_ms * index / hosts;
    actions_.push_back(
        ScheduledAction{at, step.line, [this, name]() -> Result<Ok> {
                          HostInstance* host = FindHost(name);
                          if (host == nullptr) {
                            return UnknownName(name);
                          }
                          host->restart_after_exit = true;
                          return StopAgent(*host);
                        }});
  }
}

Result<Ok> ScenarioRun::RunSteps() {
  ScheduleSteps();
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
    RestartStoppedHosts();
    std::this_thread::sleep_for(kPollInterval);
  }
  return Error{ErrorCode::kUnavailable, "interrupted"};
}

void ScenarioRun::RestartStoppedHosts() {
  for (auto& [name, host] : hosts_) {
    const bool has_exited = host.agent != nullptr && host.agent->HasExited();
    if (!has_exited || !host.restart_after_exit) continue;
    host.restart_after_exit = false;
    log_->Write(
        "agent_ended",
        {{"upstream", name}, {"status", std::to_string(host.agent->status())}});
    StartAgent(host);
  }
}

Result<Ok> ScenarioRun::ExecuteStep(const ScenarioStep& step, bool is_revert) {
  const std::vector<std::string>& words = step.words;
  std::string text = is_revert ? "undo" : "do";
  for (const std::string& word : words) text += "_" + word;
  log_->Write("step", {{"text", text}});
  if (words[0] == "platform" || words[0] == "fabric" || words[0] == "cut") {
    return ExecuteFaultStep(step, is_revert);
  }
  if (words[0] == "apply" || words[0] == "race" || words[0] == "rotate") {
    return ExecuteDocumentStep(step);
  }
  if (words[1] == "balancer") {
    return ExecuteBalancerStep(words[0], words[2], is_revert);
  }
  HostInstance* host = FindHost(words[2]);
  if (host == nullptr) return UnknownName(words[2]);
  if (words[1] == "agent") return ExecuteAgentStep(words[0], *host, is_revert);
  return ExecuteUpstreamStep(step, *host);
}

Result<Ok> ScenarioRun::ExecuteBalancerStep(const std::string& verb,
                                            const std::string& name,
                                            bool is_revert) {
  const uint32_t number = BalancerNumber(name);
  if (verb == "start") return StartBalancer(number);
  const auto found = balancers_.find(number);
  if (found == balancers_.end()) return UnknownName(name);
  BalancerInstance& instance = found->second;
  if (verb == "freeze") {
    log_->Write(is_revert ? "balancer_thawed" : "balancer_frozen",
                {{"balancer", name}});
    instance.process->Signal(is_revert ? SIGCONT : SIGSTOP);
    return Ok{};
  }
  instance.is_stopping = true;
  log_->Write("balancer_gone", {{"balancer", name}, {"by", verb}});
  instance.process->Signal(verb == "kill" ? SIGKILL : SIGTERM);
  return Ok{};
}

Result<Ok> ScenarioRun::ExecuteAgentStep(const std::string& verb,
                                         HostInstance& host, bool is_revert) {
  if (verb == "kill") {
    KillHostProcesses(host, false);
    return Ok{};
  }
  if (verb == "stop") return StopAgent(host);
  if (verb == "start") return StartAgent(host);
  if (!is_revert) LogUpstreamEvent("upstream_frozen", host, 0);
  host.agent->Signal(is_revert ? SIGCONT : SIGSTOP);
  return Ok{};
}

Result<Ok> ScenarioRun::ExecuteUpstreamStep(const ScenarioStep& step,
                                            HostInstance& host) {
  const std::string& verb = step.words[0];
  const std::string service = topology_.services[host.service].name;
  const Endpoint listener =
      topology_.HostAddress(host.home_service, host.host_number, kUpstreamPort);
  if (verb == "set") {
    return Post(listener,
                "/control/set?" + step.words[3] + "=" + step.words[4]);
  }
  if (verb == "drain" || verb == "restore") {
    const bool is_draining = verb == "drain";
    operators_->SetDraining(service, listener, is_draining);
    if (is_draining) host.is_stopping = true;
    LogUpstreamEvent(is_draining ? "upstream_leaving" : "upstream_restored",
                     host, kDocumentDrainLimitMs);
    RunInBackground([this, service] { operators_->Apply(service); });
    return Ok{};
  }
  if (verb == "kill") {
    KillHostProcesses(host, true);
    return Ok{};
  }
  if (verb == "reassign") {
    const size_t target = topology_.ServiceIndex(step.words[3]);
    if (target == topology_.services.size()) return UnknownName(step.words[3]);
    KillHostProcesses(host, true);
    host.service = target;
  }
  const Result<Ok> started = StartUpstream(host);
  if (!IsOk(started)) return started;
  return StartAgent(host);
}

Result<Ok> ScenarioRun::ExecuteDocumentStep(const ScenarioStep& step) {
  const std::vector<std::string>& words = step.words;
  if (words[0] == "rotate") {
    RunInBackground([this] { operators_->RotateKeys(); });
    return Ok{};
  }
  if (words[0] == "race") {
    const int writers = std::atoi(words[3].c_str());
    RunInBackground([this, service = words[2], writers] {
      operators_->ApplyConcurrently(service, writers);
    });
    return Ok{};
  }
  const Result<Ok> set = SetDocument(words[1], words[2]);
  if (!IsOk(set)) return set;
  RunInBackground([this, service = words[1]] { operators_->Apply(service); });
  return Ok{};
}

Result<Ok> ScenarioRun::ExecuteFaultStep(const ScenarioStep& step,
                                         bool is_revert) {
  const std::vector<std::string>& words = step.words;
  const std::string on = is_revert ? "on=0" : "on=1";
  if (words[0] == "cut") {
    return Post(topology_.FabricControl(),
                "/control/cut?balancer=" + words[2] + "&" + on);
  }
  if (words[0] == "fabric") {
    const double percent = std::strtod(words[2].c_str(), nullptr);
    return Post(topology_.FabricControl(),
                "/control/fault?kind=" + words[1] +
                    "&percent=" + (is_revert ? "0" : std::to_string(percent)));
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

Result<Ok> ScenarioRun::StopAgent(HostInstance& host) {
  host.is_stopping = true;
  LogUpstreamEvent("upstream_leaving", host, kNewWorkLimitMs);
  host.agent->Signal(SIGTERM);
  return Ok{};
}

void ScenarioRun::KillHostProcesses(HostInstance& host, bool with_upstream) {
  LogUpstreamEvent("upstream_killed", host, 0);
  host.agent.reset();
  if (with_upstream) host.upstream.reset();
}

}  // namespace medlarwinch
