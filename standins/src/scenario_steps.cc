// The steps of a ScenarioRun: when they are due and what each of them does.
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <utility>

#include "medlarwinch/standins/scenario_run.h"
#include "medlarwinch/transport/http_client.h"

namespace medlarwinch {
namespace {

using std::chrono::milliseconds;

// Work may start on an upstream for this long after it announced its leave.
constexpr int64_t kNewWorkLimitMs = 2'000;
// A leave that a document orders takes effect when the document is in force.
constexpr int64_t kDocumentDrainLimitMs = 3'000;
// A replaced balancer goes this long after its successor was started.
constexpr int64_t kOverlapMs = 1'500;

// "b12" -> 12, 0 for anything else.
uint32_t BalancerNumber(const std::string& name) {
  if (name.size() < 2 || name[0] != 'b') return 0;
  return static_cast<uint32_t>(std::strtoul(name.c_str() + 1, nullptr, 10));
}

}  // namespace

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
    operators_->SetDraining(service, listener, is_draining);
    if (is_draining) host.is_leaving = true;
    LogStep(is_draining ? "upstream_leaving" : "upstream_restored", host,
            kDocumentDrainLimitMs);
    RunAside([this, service] { operators_->Apply(service); });
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
    RunAside([this] { operators_->RotateKeys(); });
    return Ok{};
  }
  if (words[0] == "race") {
    const int writers = std::atoi(words[3].c_str());
    RunAside([this, service = words[2], writers] {
      operators_->ApplyConcurrently(service, writers);
    });
    return Ok{};
  }
  const Result<Ok> set = SetDocument(words[1], words[2]);
  if (!IsOk(set)) return set;
  RunAside([this, service = words[1]] { operators_->Apply(service); });
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

}  // namespace medlarwinch
