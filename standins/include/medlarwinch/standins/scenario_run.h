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

/// Options of a scenario run.
struct ScenarioRunOptions {
  /// Directory of the executables.
  std::string program_folder;
  /// Directory of the scenario file; document paths are relative to it.
  std::string scenario_folder;
  /// Existing directory for settings and logs.
  std::string folder;
  uint64_t seed = 1;
  /// Second octet of the loopback addresses.
  uint32_t net = 77;
  /// Set by a signal handler to abort the run.
  const std::atomic<bool>* interrupted = nullptr;
};

/// One run of a scenario: starts all processes, executes the steps, stops the
/// processes and checks the invariants on their logs.
class ScenarioRun {
 public:
  ScenarioRun(const Scenario& scenario, const ScenarioRunOptions& options);

  /// Kills all processes that are still running.
  ~ScenarioRun();
  ScenarioRun(const ScenarioRun&) = delete;
  ScenarioRun& operator=(const ScenarioRun&) = delete;

  /// Fails with kUnavailable if a process does not start, and with
  /// kInvalidInput if a step refers to an unknown name.
  Result<RunSummary> Run();

 private:
  /// Polling interval of waits and of the step loop.
  static constexpr std::chrono::milliseconds kPollInterval{10};
  /// Timeout of requests to control servers.
  static constexpr Millis kControlTimeout{2'000};

  static Error UnknownName(const std::string& name);

  using Clock = std::chrono::steady_clock;

  struct BalancerInstance {
    std::unique_ptr<ChildProcess> process;
    std::unique_ptr<BalancerMonitor> monitor;
    bool is_stopping = false;
  };

  // A host with its upstream and the agent next to it.
  struct HostInstance {
    std::string name;
    size_t home_service = 0;
    uint32_t host_number = 0;
    // Index of the service that the host currently serves.
    size_t service = 0;
    std::unique_ptr<ChildProcess> upstream;
    std::unique_ptr<ChildProcess> agent;
    bool is_stopping = false;
    bool restart_after_exit = false;
  };

  struct ScheduledAction {
    int64_t at_ms = 0;
    int line = 0;
    std::function<Result<Ok>()> action;
  };

  Result<Ok> StartProcesses();
  /// Waits until a stand-in responds at its control address.
  Result<Ok> WaitForControl(const std::string& name, const Endpoint& control);
  Result<Ok> StartPlatform();
  /// Sets a service's document in the operator simulator, with its addresses
  /// mapped to this run's loopback network.
  Result<Ok> SetDocument(const std::string& service, const std::string& file);
  Result<Ok> WriteDocuments();
  Result<Ok> StartFabric();
  Result<Ok> StartLoadGenerators();
  void SleepFor(std::chrono::milliseconds time) const;
  Result<Ok> StartBalancer(uint32_t number);
  Result<Ok> StartUpstream(HostInstance& host);
  Result<Ok> StartAgent(HostInstance& host);
  Result<Ok> WaitUntilReady();
  // Name of a daemon or upstream that exited by itself; empty if there is none.
  std::string FindExitedDaemon() const;
  Result<Ok> WaitFor(const std::string& what, std::chrono::milliseconds timeout,
                     const std::function<bool()>& is_done);
  void ScheduleSteps();
  void ScheduleStep(const ScenarioStep& step);
  void ScheduleBalancerReplacement(const ScenarioStep& step);
  void ScheduleUpstreamReplacement(const ScenarioStep& step);
  Result<Ok> RunSteps();
  void RestartStoppedHosts();
  Result<Ok> ExecuteStep(const ScenarioStep& step, bool is_revert);
  Result<Ok> ExecuteBalancerStep(const std::string& verb,
                                 const std::string& name, bool is_revert);
  Result<Ok> ExecuteAgentStep(const std::string& verb, HostInstance& host,
                              bool is_revert);
  Result<Ok> ExecuteUpstreamStep(const ScenarioStep& step, HostInstance& host);
  Result<Ok> ExecuteDocumentStep(const ScenarioStep& step);
  Result<Ok> ExecuteFaultStep(const ScenarioStep& step, bool is_revert);
  Result<Ok> StopAgent(HostInstance& host);
  void KillHostProcesses(HostInstance& host, bool with_upstream);
  void StopProcesses();
  Result<RunSummary> CheckInvariants();
  void ReadCounters(const Endpoint& server, const std::string& prefix,
                    std::map<std::string, uint64_t>& counters);
  Result<std::unique_ptr<ChildProcess>> Spawn(const std::string& program,
                                              const std::string& name,
                                              const std::string& settings,
                                              const std::string& role = "");
  Result<Ok> Post(const Endpoint& server, const std::string& target);
  void RunInBackground(std::function<void()> task);
  HostInstance* FindHost(const std::string& name);
  std::vector<Endpoint> SelectPeers(uint32_t number) const;
  void LogUpstreamEvent(std::string_view event, const HostInstance& host,
                        int64_t limit_ms);
  bool IsInterrupted() const;

  Scenario scenario_;
  ScenarioRunOptions options_;
  Topology topology_;
  SettingsWriter writer_;
  std::unique_ptr<EventLog> log_;
  std::unique_ptr<OperatorSimulator> operators_;
  std::unique_ptr<ChildProcess> platform_;
  std::unique_ptr<ChildProcess> fabric_;
  std::vector<std::unique_ptr<ChildProcess>> load_generators_;
  std::map<uint32_t, BalancerInstance> balancers_;
  std::map<std::string, HostInstance> hosts_;
  std::vector<std::thread> background_threads_;
  std::vector<ScheduledAction> actions_;
  std::map<std::string, uint64_t> fabric_counters_;
  std::map<std::string, uint64_t> platform_counters_;
  uint32_t next_balancer_ = 1;
};

}  // namespace medlarwinch
