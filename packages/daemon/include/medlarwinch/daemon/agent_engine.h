#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "medlarwinch/coordination/agent_drain.h"
#include "medlarwinch/coordination/mean_trend.h"
#include "medlarwinch/daemon/agent_shared_state.h"
#include "medlarwinch/daemon/control_view.h"
#include "medlarwinch/daemon/decision_coalescer.h"
#include "medlarwinch/daemon/request_executor.h"
#include "medlarwinch/daemon/transport_mux.h"
#include "medlarwinch/daemon/upstream_client.h"
#include "medlarwinch/transport/metrics.h"

namespace medlarwinch {

/// What an AgentEngine is made with.
struct AgentEngineOptions {
  AgentIdentity identity;
  Endpoint upstream;
  uint32_t slots = 1;
  FleetKey fleet_key{};
  /// Seed of the first flow number.
  uint32_t seed = 1;
  /// Time within which every agent learns of a change of the roster: a
  /// heartbeat interval of the agent and one of the changed member, and a
  /// margin.
  Millis roster_settling_time{2'500};
  /// Certificate and key for HTTP/3 in PEM form; empty for none.
  CertificatePair certificate;
};

/// How an AgentEngine reaches its surroundings; the functions return at once
/// and do not call the engine.
struct AgentEngineCallbacks {
  /// Sends one datagram from the data socket.
  std::function<void(const Endpoint& to, ByteView datagram)> send;
  /// Announces a later phase of the agent.
  std::function<void(MemberPhase phase)> set_phase;
  /// Takes a record of a decision.
  std::function<void(AccountEntry entry)> record_account_entry;
};

/// The agent without its sockets, actors and signals: flows, requests, keys and
/// drain behind one lock. All functions may be called from any thread.
class AgentEngine {
 public:
  /// `context` runs on one thread and has stopped before the engine ends;
  /// `metrics` outlives the engine.
  AgentEngine(const AgentEngineOptions& options, AgentEngineCallbacks callbacks,
              boost::asio::io_context& context, Metrics& metrics);
  AgentEngine(const AgentEngine&) = delete;
  AgentEngine& operator=(const AgentEngine&) = delete;

  /// Takes one datagram of the data address.
  void OnDatagram(const Endpoint& from, ByteView datagram);

  /// Takes the newest view of the control plane.
  void OnView(const ControlView& view);

  /// Tries to connect to the upstream; a success marks the agent as ready.
  void ProbeUpstream();

  /// Marks the upstream as able to take requests; slow start begins.
  void SetReady();

  /// True from SetReady() on.
  bool IsReady() const;

  /// Asks for a drain.
  void DrainBySignal();
  void DrainByUpstream();

  /// Does what is due; called every 20 ms.
  void Tick();

  /// True once the drain is over and the process may end.
  bool HasLeft() const;

  /// Load for the next heartbeat.
  UpstreamLoad CollectLoad();

  /// Phase, flows, requests, ledger, drain progress and document version as a
  /// JSON object; `control` is another JSON object to include.
  std::string StatusJson(const std::string& control) const;

 private:
  FlowDecision DecideFlow(const ForwardedPacket& packet);
  TransportCallbacks MakeTransportCallbacks();
  std::unique_ptr<QuicTransport> MakeQuicTransport();
  void ReportDecision(const char* action, const std::string& subject,
                      const Reason& reason);
  void Emit(AccountEntry entry);
  void SetReadyAgents(std::vector<Endpoint> ready);
  void UpdateRosterSettled(TimePoint now);
  void RunDrainStep(TimePoint now);
  void RunOutlierDetection(TimePoint now);
  void UpdateGauges();
  ServiceSlots SlotsOfService() const;

  AgentEngineOptions options_;
  AgentEngineCallbacks callbacks_;
  Metrics& metrics_;
  SipKey seal_key_;
  mutable std::mutex mutex_;
  AgentSharedState shared_state_;
  std::vector<RosterEntry> roster_;
  /// When the first roster arrived; negative before.
  TimePoint first_roster_at_{-1};
  /// Times of the latest arrivals and departures of ready agents.
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
