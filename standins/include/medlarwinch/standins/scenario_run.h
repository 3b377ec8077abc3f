#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "medlarwinch/standins/balancer_monitor.h"
#include "medlarwinch/standins/child_process.h"
#include "medlarwinch/standins/invariant_checks.h"
#include "medlarwinch/standins/operator_simulator.h"
#include "medlarwinch/standins/scenario.h"
#include "medlarwinch/standins/settings_writer.h"
#include "medlarwinch/standins/topology.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Options of one run.
struct RunOptions {
  /// Folder of the programs.
  std::string programs;
  /// Folder of the scenario file; documents are named relative to it.
  std::string scenarios;
  /// Folder for settings and logs; it exists.
  std::string folder;
  uint64_t seed = 1;
  /// Second byte of the loopback addresses.
  uint32_t net = 77;
  /// Set by a signal handler to end the run early.
  const std::atomic<bool>* interrupted = nullptr;
};

/// One run of a scenario: starts all processes, carries out the steps, stops
/// the processes, and checks what they left behind.
class ScenarioRun {
 public:
  ScenarioRun(const Scenario& scenario, const RunOptions& options);

  /// Kills whatever still runs.
  ~ScenarioRun();
  ScenarioRun(const ScenarioRun&) = delete;
  ScenarioRun& operator=(const ScenarioRun&) = delete;

  /// Fails with kUnavailable when a process does not start, and with
  /// kInvalidInput for a step that names something unknown.
  Result<RunSummary> Run();

 private:
  /// Time between two looks at what a run waits for.
  static constexpr std::chrono::milliseconds kTick{10};
  /// Time that a daemon's admin address may take for an answer.
  static constexpr Millis kControlTimeout{2'000};

  static Error UnknownName(const std::string& name);

  using Clock = std::chrono::steady_clock;

  struct BalancerUnit {
    std::unique_ptr<ChildProcess> process;
    std::unique_ptr<BalancerMonitor> monitor;
    bool is_leaving = false;
  };

  // A host with its upstream and the agent beside it.
  struct HostUnit {
    std::string name;
    size_t home = 0;
    uint32_t host = 0;
    // Index of the service that the host serves now.
    size_t service = 0;
    std::unique_ptr<ChildProcess> upstream;
    std::unique_ptr<ChildProcess> agent;
    bool is_leaving = false;
    bool restart_when_gone = false;
  };

  struct TimedAction {
    int64_t at_ms = 0;
    int line = 0;
    std::function<Result<Ok>()> action;
  };

  Result<Ok> StartAll();
  /// Waits until a stand-in answers at its control address.
  Result<Ok> WaitForControl(const std::string& name, const Endpoint& control);
  Result<Ok> StartPlatform();
  /// Gives the desk a service's document, with its addresses in this run's net.
  Result<Ok> SetDocument(const std::string& service, const std::string& file);
  Result<Ok> WriteDocuments();
  Result<Ok> StartFabric();
  Result<Ok> StartCallers();
  void Pause(std::chrono::milliseconds time) const;
  Result<Ok> StartBalancer(uint32_t number);
  Result<Ok> StartUpstream(HostUnit& host);
  Result<Ok> StartAgent(HostUnit& host);
  Result<Ok> WaitUntilReady();
  // A daemon or upstream that ended by itself; empty when there is none.
  std::string NameOfEndedDaemon() const;
  Result<Ok> WaitFor(const std::string& what, std::chrono::milliseconds limit,
                     const std::function<bool()>& is_done);
  void PlanSteps();
  void Plan(const ScenarioStep& step);
  void PlanReplaceBalancers(const ScenarioStep& step);
  void PlanReplaceUpstreams(const ScenarioStep& step);
  Result<Ok> RunSteps();
  void TendHosts();
  Result<Ok> Do(const ScenarioStep& step, bool is_undone);
  Result<Ok> DoBalancerStep(const std::string& verb, const std::string& name,
                            bool is_undone);
  Result<Ok> DoAgentStep(const std::string& verb, HostUnit& host,
                         bool is_undone);
  Result<Ok> DoUpstreamStep(const ScenarioStep& step, HostUnit& host);
  Result<Ok> DoDocumentStep(const ScenarioStep& step);
  Result<Ok> DoFaultStep(const ScenarioStep& step, bool is_undone);
  Result<Ok> StopAgent(HostUnit& host);
  void KillHost(HostUnit& host, bool with_upstream);
  void StopAll();
  Result<RunSummary> Check();
  void ReadCounts(const Endpoint& server, const std::string& prefix,
                  std::map<std::string, uint64_t>& counts);
  Result<std::unique_ptr<ChildProcess>> Spawn(const std::string& program,
                                              const std::string& name,
                                              const std::string& settings,
                                              const std::string& role = "");
  Result<Ok> Post(const Endpoint& server, const std::string& target);
  void RunAside(std::function<void()> task);
  HostUnit* FindHost(const std::string& name);
  std::vector<Endpoint> PeersFor(uint32_t number) const;
  void LogStep(std::string_view event, const HostUnit& host, int64_t limit_ms);
  bool IsInterrupted() const;

  Scenario scenario_;
  RunOptions options_;
  Topology topology_;
  SettingsWriter writer_;
  std::unique_ptr<EventLog> log_;
  std::unique_ptr<OperatorSimulator> operators_;
  std::unique_ptr<ChildProcess> platform_;
  std::unique_ptr<ChildProcess> fabric_;
  std::vector<std::unique_ptr<ChildProcess>> callers_;
  std::map<uint32_t, BalancerUnit> balancers_;
  std::map<std::string, HostUnit> hosts_;
  std::vector<std::thread> asides_;
  std::vector<TimedAction> actions_;
  std::map<std::string, uint64_t> fabric_counts_;
  std::map<std::string, uint64_t> platform_counts_;
  uint32_t next_balancer_ = 1;
};

}  // namespace medlarwinch
