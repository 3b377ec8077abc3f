#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "medlarwinch/platform_side/metadata_service.h"
#include "medlarwinch/platform_side/simulated_callers.h"
#include "medlarwinch/platform_side/simulated_upstream.h"
#include "medlarwinch/standins/child_process.h"

namespace medlarwinch {

struct SoakSettings {
  std::string daemon_program;
  /// Folder for settings files and logs of the daemons.
  std::string output_folder;
  uint64_t seed = 1;
  int duration_seconds = 20;
  int balancers = 3;
  int hub_upstreams = 4;
  int desk_upstreams = 2;
  int users = 40;
  /// Spreads the daemons over three failure domains and evacuates them, with
  /// upstreams that are cold after their start and limit their openings.
  bool evacuations = false;
  /// Adds series of faults and of planned work, which overlap with each other
  /// and with single faults.
  bool series = false;
  /// Only series of planned work, with no faults. No broken flow of a running
  /// upstream is excused.
  bool planned = false;
  /// Also counts a flow as broken whose packets reach other upstreams only for
  /// a moment, but after a pause in which none reached its own.
  bool counts_pauses = false;
};

struct SoakSeries;

/// Runs real daemon processes against a simulated metadata store and simulated
/// routers, callers and upstreams, injects faults from outside, and checks what
/// callers and upstreams observe. The seed determines the faults and their
/// times.
class SoakRun {
 public:
  SoakRun(boost::asio::io_context& loop, SoakSettings settings);

  /// Starts all daemons, upstreams and callers. Fails with kUnavailable if a
  /// program cannot be started or an address cannot be bound.
  Result<Ok> Start();

  /// Violated guarantees in the order of detection.
  const std::vector<std::string>& violations() const { return violations_; }
  CallerCounts Counts() const;
  /// Number of flows whose packets reached several other upstreams after a
  /// pause.
  uint64_t misdirected_after_pause() const { return misdirected_after_pause_; }

 private:
  struct Daemon {
    std::string name;
    uint32_t ip = 0;
    bool is_agent = false;
    std::string settings_file;
    std::unique_ptr<ChildProcess> process;
    std::unique_ptr<AsyncHttpServer> store_server;
    std::unique_ptr<AsyncHttpClient> readiness_client;
    StoreFault fault = StoreFault::kNone;
    TimePoint disrupted_at;
    TimePoint restart_at;
    int missed_probes = 2;
    bool is_paused = false;
  };
  /// A release of the upstream on a VM: it drains, leaves, and a new one
  /// starts.
  struct Release {
    TimePoint leaves_at;
    /// How long the VM has no upstream.
    Millis down{0};
    bool is_acknowledged = false;
    bool is_leaving = false;
  };
  /// An agent and the upstream on the same VM.
  struct UpstreamVm {
    size_t daemon = 0;
    std::unique_ptr<SimulatedUpstream> upstream;
    SimulatedUpstreamSettings upstream_settings;
    TimePoint upstream_started;
    TimePoint upstream_restart_at;
    std::optional<Release> release;
  };
  /// One step of a series. `target` is the index of a balancer or of a VM.
  struct SeriesStep {
    TimePoint at;
    const SoakSeries* series = nullptr;
    unsigned target_kind = 0;
    size_t target = 0;
    /// How long the target is down.
    Millis down{0};
  };
  /// Packets of an open flow that reached other upstreams since the last one
  /// that reached its own.
  struct Misdirection {
    std::deque<TimePoint> times;
    bool is_reported = false;
  };

  /// An evacuation that the store has acknowledged.
  struct Evacuation {
    TimePoint acknowledged_at;
    TimePoint ends_at;
  };

  Result<Ok> AddDaemon(const std::string& name, uint32_t ip, bool is_agent,
                       const std::string& service,
                       const std::string& failure_domain);
  /// Passes a call to the store after the store's delay.
  void CallStore(const HttpRequest& request, const Daemon& daemon,
                 AsyncHttpServer::Responder respond);
  Result<Ok> StartProcess(Daemon& daemon);
  Result<Ok> StartUpstream(UpstreamVm& vm);
  void RecordDisruption(Daemon& daemon);
  void Tick();
  void RestartStopped(TimePoint now);
  void CheckFinalRequests();
  void ProbeReadiness();
  void InjectFault();
  void InjectDaemonFault(Daemon& daemon);
  void InjectUpstreamFault(UpstreamVm& vm);
  void InjectStoreFault();
  void ChangeConfiguration();
  void WriteConfiguration();
  void EndFaults();
  Endpoint BalancerOf(const FlowTuple& flow) const;
  const Daemon& BalancerDaemonOf(const FlowTuple& flow) const;
  UpstreamVm* OwnerOf(const FlowTuple& flow) const;
  bool IsFlowJudged(const UpstreamVm& owner, const FlowTuple& flow,
                    TimePoint now) const;
  /// Returns true if a configuration has removed the route of an open flow, or
  /// had done so shortly before the flow was opened.
  bool IsRouteRemoved(const FlowTuple& flow, const UpstreamVm& owner) const;
  bool IsDaemonStable(const Daemon& daemon, TimePoint now) const;
  void CheckReset(const FlowTuple& flow, uint32_t sender);
  void RecordForeignPacket(const FlowTuple& flow, const UpstreamVm& receiver);
  std::string DescribeMisdirection(const FlowTuple& flow,
                                   const UpstreamVm& owner) const;
  void CheckMisdirections(TimePoint now);
  void CheckOpening(const std::string& service, const FlowTuple& flow);
  bool has_series() const { return settings_.series || settings_.planned; }
  /// Draws the conditions of a run with series, which do not change in it.
  void DrawConditions();
  void TickSeries(TimePoint now);
  void StartSeries(const SoakSeries& series, TimePoint start);
  std::vector<size_t> DrawSeriesTargets(const SoakSeries& series,
                                        unsigned target_kind);
  void TakeStep(const SeriesStep& step, TimePoint now);
  void StopDaemon(Daemon& daemon, const SeriesStep& step, TimePoint now);
  void TickRelease(UpstreamVm& vm, TimePoint now);
  int64_t DrawSeriesMs(int64_t shortest, int64_t longest);
  std::string FailureDomainOf(int index) const;
  void Evacuate(const std::string& failure_domain, Millis duration);
  void TickEvacuations(TimePoint now);
  void RewriteEvacuations();
  /// Returns true if each service has an upstream outside of the domain that
  /// is not draining.
  bool CanServeWithout(const std::string& failure_domain) const;
  void BeginFinalEvacuation();
  void CheckEvacuation(const UpstreamVm& vm);
  void LogEvent(const std::string& event);
  void ReportViolation(const std::string& what);
  double ElapsedSeconds() const;

  boost::asio::io_context& loop_;
  SoakSettings settings_;
  std::mt19937_64 random_;
  std::mt19937_64 evacuation_random_;
  std::mt19937_64 series_random_;
  /// First address of the loopback network that this run uses.
  uint32_t network_;
  MetadataService store_;
  Millis store_delay_{0};
  Millis heartbeat_interval_{500};
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<std::unique_ptr<UpstreamVm>> vms_;
  std::vector<std::unique_ptr<SimulatedCallers>> callers_;
  boost::asio::steady_timer timer_;
  TimePoint started_;
  TimePoint next_fault_;
  TimePoint next_evacuation_;
  TimePoint next_series_;
  std::vector<SeriesStep> series_steps_;
  std::map<FlowTuple, Misdirection> misdirections_;
  uint64_t misdirected_after_pause_ = 0;
  /// By failure domain.
  std::map<std::string, Evacuation> evacuations_;
  TimePoint next_readiness_probe_;
  TimePoint store_disrupted_at_;
  TimePoint configuration_changed_at_;
  /// When a configuration last removed the route of an address.
  std::map<Endpoint, TimePoint> route_removed_at_;
  CallerCounts final_check_baseline_;
  uint32_t last_incarnation_ = 0;
  uint64_t configuration_version_ = 1;
  bool faults_ended_ = false;
  bool has_final_check_baseline_ = false;
  std::vector<std::string> violations_;
};

}  // namespace medlarwinch
