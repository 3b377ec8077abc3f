#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "medlarwinch/coordination/control_plane/mean_trend.h"
#include "medlarwinch/coordination/request_path/agent_drain.h"
#include "medlarwinch/daemon/agent_shared_state.h"
#include "medlarwinch/daemon/control_view.h"
#include "medlarwinch/daemon/decision_coalescer.h"
#include "medlarwinch/daemon/request_executor.h"
#include "medlarwinch/daemon/transport_mux.h"
#include "medlarwinch/daemon/upstream_client.h"
#include "medlarwinch/transport/metrics.h"

namespace medlarwinch {

/// Configuration of an AgentEngine.
struct AgentEngineOptions {
  AgentIdentity identity;
  Endpoint upstream;
  uint32_t slots = 1;
  FleetKey fleet_key{};
  /// Seed of the first flow number.
  uint32_t seed = 1;
  /// Time within which every agent learns of a roster change: one heartbeat
  /// interval of the agent, one of the changed member, and a margin.
  Millis roster_settling_time{2'500};
  /// Certificate and key for HTTP/3 in PEM form; when empty, HTTP/3 is off.
  CertificatePair certificate;
};

/// Functions that an AgentEngine calls. They must return at once and must not
/// call the engine.
struct AgentEngineCallbacks {
  /// Sends one datagram from the data socket.
  std::function<void(const Endpoint& to, ByteView datagram)> send;
  /// Announces that the agent has entered a later phase.
  std::function<void(MemberPhase phase)> set_phase;
  /// Records a decision in the account.
  std::function<void(AccountEntry entry)> record_account_entry;
};

/// Protocol logic of an agent without its sockets, actors and signals: flows,
/// requests, keys and drain behind one lock. All functions may be called from
/// any thread.
class AgentEngine {
 public:
  /// `context` must run on one thread and must have stopped before the engine
  /// is destroyed; `metrics` must outlive the engine.
  AgentEngine(const AgentEngineOptions& options, AgentEngineCallbacks callbacks,
              boost::asio::io_context& context, Metrics& metrics);
  AgentEngine(const AgentEngine&) = delete;
  AgentEngine& operator=(const AgentEngine&) = delete;

  /// Handles one datagram received at the data address.
  void OnDatagram(const Endpoint& from, ByteView datagram);

  /// Applies the newest view of the control plane.
  void OnView(const ControlView& view);

  /// Tries to connect to the upstream; on success the agent is marked as ready.
  void ProbeUpstream();

  /// Marks the agent as ready to take requests and begins slow start.
  void SetReady();

  /// Returns true once SetReady() was called.
  bool IsReady() const;

  /// Request a drain because of a termination signal or on behalf of the
  /// upstream.
  void DrainBySignal();
  void DrainByUpstream();

  /// Performs all timed work; must be called every 20 ms.
  void Tick();

  /// Returns true once the drain is complete and the process may exit.
  bool HasLeft() const;

  /// Returns the load for the next heartbeat and resets its counters.
  UpstreamLoad CollectLoad();

  /// Returns phase, flows, requests, ledger, drain progress and document
  /// version as a JSON object, with the JSON object `control` embedded in it.
  std::string StatusJson(const std::string& control) const;

 private:
  FlowDecision DecideFlow(const ForwardedPacket& packet);
  TransportCallbacks MakeTransportCallbacks();
  std::unique_ptr<QuicTransport> MakeQuicTransport();
  void ReportDecision(const char* action, const std::string& subject,
                      const Reason& reason);
  void EmitAccountEntry(AccountEntry entry);
  void SetReadyAgents(std::vector<Endpoint> ready);
  void UpdateRosterSettled(TimePoint now);
  void RunDrainStep(TimePoint now);
  void RunOutlierDetection(TimePoint now);
  void UpdateGauges();
  ServiceSlots CountServiceSlots() const;

  AgentEngineOptions options_;
  AgentEngineCallbacks callbacks_;
  Metrics& metrics_;
  SipKey mac_key_;
  mutable std::mutex mutex_;
  AgentSharedState shared_state_;
  std::vector<RosterEntry> roster_;
  /// Time at which the first roster arrived; negative before that.
  TimePoint first_roster_at_{-1};
  /// Times at which agents recently became ready or stopped being ready.
  std::deque<TimePoint> roster_change_times_;
  MeanTrend mean_trend_;
  TimePoint slow_start_began_;
  MemberPhase phase_ = MemberPhase::kStarting;
  DrainState drain_;
  bool termination_signal_received_ = false;
  bool upstream_requested_drain_ = false;
  TimePoint next_periodic_work_;
  DecisionCoalescer decision_coalescer_;
  UpstreamClient upstream_;
  RequestExecutor executor_;
  TransportMux transport_;
};

}  // namespace medlarwinch
