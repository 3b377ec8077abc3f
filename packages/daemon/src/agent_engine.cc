#include "medlarwinch/daemon/agent_engine.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "medlarwinch/daemon/flow_forwarding.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

constexpr Millis kPeriodicWorkInterval{1'000};
// Each change replaces at most one of a key's three home agents, so rosters
// that differ by two changes still have a home in common.
constexpr size_t kToleratedRosterChanges = 2;

const char* DrainTriggerName(DrainTrigger trigger) {
  switch (trigger) {
    case DrainTrigger::kDocument:
      return "document";
    case DrainTrigger::kSignal:
      return "signal";
    case DrainTrigger::kUpstream:
      return "upstream";
  }
  return "";
}

}  // namespace

AgentEngine::AgentEngine(const AgentEngineOptions& options,
                         AgentEngineCallbacks callbacks,
                         boost::asio::io_context& context, Metrics& metrics)
    : options_(options),
      callbacks_(std::move(callbacks)),
      metrics_(metrics),
      mac_key_(KeySet(options.fleet_key, KeyRing{}).mac_key()),
      slow_start_began_(MonotonicNow()),
      decision_coalescer_(
          options.identity.service,
          [this](AccountEntry entry) { EmitAccountEntry(std::move(entry)); }),
      upstream_(context, options.upstream),
      executor_(options.identity, shared_state_, upstream_,
                RequestExecutorCallbacks{
                    [this](const Endpoint& to, const DataMessage& message) {
                      callbacks_.send(to, EncodeDataMessage(mac_key_, message));
                    },
                    [this](const std::function<void()>& function) {
                      const std::lock_guard<std::mutex> lock(mutex_);
                      function();
                    },
                    MonotonicNow,
                    [this](const char* action, const std::string& subject,
                           const Reason& reason) {
                      ReportDecision(action, subject, reason);
                    }},
                metrics),
      transport_(std::make_unique<ThinTransport>(
                     options.identity, options.seed & ~kQuicFlowBit,
                     MakeTransportCallbacks(), executor_, metrics),
                 MakeQuicTransport(), options.identity,
                 [this] { return shared_state_.keys; }) {
  shared_state_.context.document.service = options.identity.service;
  shared_state_.keys =
      std::make_shared<const KeySet>(options.fleet_key, KeyRing{});
  shared_state_.ready_agents = {options.identity.data};
  shared_state_.slots = options.slots;
  executor_.SetTransport(&transport_);
}

TransportCallbacks AgentEngine::MakeTransportCallbacks() {
  return TransportCallbacks{
      callbacks_.send, [this] { return shared_state_.keys; },
      [this](const ForwardedPacket& packet) { return DecideFlow(packet); }};
}

std::unique_ptr<QuicTransport> AgentEngine::MakeQuicTransport() {
  const CertificatePair& certificate = options_.certificate;
  if (certificate.certificate_pem.empty()) return nullptr;
  Result<std::unique_ptr<TlsCredentials>> credentials =
      TlsCredentials::ForServer(certificate.certificate_pem,
                                certificate.private_key_pem);
  if (!IsOk(credentials)) {
    Log(LogLevel::kError, "certificate_refused",
        {{"error", ErrorOf(credentials).message}});
    return nullptr;
  }
  return std::make_unique<QuicTransport>(
      options_.identity, options_.seed, TakeValue(std::move(credentials)),
      MakeTransportCallbacks(), executor_, metrics_);
}

void AgentEngine::OnDatagram(const Endpoint& from, ByteView datagram) {
  Result<DataMessage> message = DecodeDataMessage(mac_key_, datagram);
  if (!IsOk(message)) {
    metrics_.Add("medlarwinch_malformed_packets_total",
                 {{"reason", ErrorCodeName(ErrorOf(message).code)}});
    return;
  }
  DataMessage content = TakeValue(std::move(message));
  const TimePoint now = MonotonicNow();
  const std::lock_guard<std::mutex> lock(mutex_);
  if (ForwardedPacket* packet = std::get_if<ForwardedPacket>(&content)) {
    transport_.OnPacket(std::move(*packet), now);
    return;
  }
  executor_.key_service().OnMessage(from, content, now);
}

FlowDecision AgentEngine::DecideFlow(const ForwardedPacket& packet) {
  AcceptanceState state;
  state.flows = static_cast<uint32_t>(transport_.flow_count());
  state.slots = options_.slots;
  const double mean = EstimateMean(mean_trend_, MonotonicNow());
  state.mean_flows_per_slot = mean >= 0 ? mean : packet.mean_flows_per_slot;
  const OutlierState& outlier = executor_.outlier_state();
  TimePoint slow_start_began = slow_start_began_;
  if (outlier.returned_at.has_value()) {
    slow_start_began = std::max(slow_start_began, *outlier.returned_at);
  }
  state.time_since_ready = MonotonicNow() - slow_start_began;
  state.draining = shared_state_.draining;
  state.ejected = outlier.ejected;
  FlowDecision decision =
      DecideNewFlow(state, CandidatePositionOf(packet), shared_state_.context);
  if (decision.action == FlowAction::kAccept) {
    metrics_.Add("medlarwinch_flows_accepted_total", {});
  } else if (decision.action == FlowAction::kReturn) {
    metrics_.Add("medlarwinch_flows_returned_total", {});
  } else if (decision.action == FlowAction::kForward) {
    metrics_.Add("medlarwinch_flows_passed_on_total",
                 {{"reason", decision.reason.rule}});
  } else {
    metrics_.Add("medlarwinch_flows_shed_total",
                 {{"reason", decision.reason.rule}});
    ReportDecision("shed_flow", ToString(packet.caller), decision.reason);
  }
  return decision;
}

void AgentEngine::OnView(const ControlView& view) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string& service = options_.identity.service;
  const auto document = view.documents.find(service);
  if (document != view.documents.end() &&
      document->second.version > shared_state_.context.version) {
    shared_state_.context.document = document->second.document;
    shared_state_.context.version = document->second.version;
  }
  if (view.keys != nullptr) shared_state_.keys = view.keys;
  const auto mean = view.mean_flows_per_slot.find(service);
  mean_trend_ = ObserveMean(
      mean_trend_, mean == view.mean_flows_per_slot.end() ? -1 : mean->second,
      MonotonicNow());
  roster_ = view.roster;
  if (!roster_.empty() && first_roster_at_.value < 0) {
    first_roster_at_ = MonotonicNow();
  }
  std::vector<Endpoint> ready;
  for (const RosterEntry& entry : roster_) {
    const bool is_self = entry.data == options_.identity.data;
    if (entry.phase != MemberPhase::kReady || is_self) continue;
    ready.push_back(entry.data);
  }
  if (!shared_state_.draining) ready.push_back(options_.identity.data);
  SetReadyAgents(std::move(ready));
}

void AgentEngine::SetReadyAgents(std::vector<Endpoint> ready) {
  std::sort(ready.begin(), ready.end());
  if (ready == shared_state_.ready_agents) return;
  const std::vector<Endpoint> before =
      std::exchange(shared_state_.ready_agents, std::move(ready));
  const TimePoint now = MonotonicNow();
  std::vector<Endpoint> changed;
  std::set_symmetric_difference(
      before.begin(), before.end(), shared_state_.ready_agents.begin(),
      shared_state_.ready_agents.end(), std::back_inserter(changed));
  roster_change_times_.insert(roster_change_times_.end(), changed.size(), now);
  UpdateRosterSettled(now);
  executor_.key_service().OnReadyChanged(before, shared_state_.ready_agents,
                                         now);
}

void AgentEngine::UpdateRosterSettled(TimePoint now) {
  const Millis settling_time = options_.roster_settling_time;
  while (!roster_change_times_.empty() &&
         now - roster_change_times_.front() >= settling_time) {
    roster_change_times_.pop_front();
  }
  shared_state_.is_roster_settled =
      first_roster_at_.value >= 0 && now - first_roster_at_ >= settling_time &&
      roster_change_times_.size() <= kToleratedRosterChanges;
}

void AgentEngine::ProbeUpstream() {
  upstream_.Probe([this](bool is_accepting) {
    if (is_accepting) SetReady();
  });
}

bool AgentEngine::IsReady() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return phase_ != MemberPhase::kStarting;
}

void AgentEngine::SetReady() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (phase_ != MemberPhase::kStarting) return;
  phase_ = MemberPhase::kReady;
  slow_start_began_ = MonotonicNow();
  callbacks_.set_phase(phase_);
  Log(LogLevel::kInfo, "agent_ready",
      {{"upstream", ToString(options_.upstream)}});
}

void AgentEngine::DrainBySignal() {
  const std::lock_guard<std::mutex> lock(mutex_);
  termination_signal_received_ = true;
}

void AgentEngine::DrainByUpstream() {
  const std::lock_guard<std::mutex> lock(mutex_);
  upstream_requested_drain_ = true;
}

void AgentEngine::Tick() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const TimePoint now = MonotonicNow();
  transport_.Tick(now);
  UpdateRosterSettled(now);
  executor_.Tick(now);
  RunDrainStep(now);
  if (now < next_periodic_work_) return;
  next_periodic_work_ = now + kPeriodicWorkInterval;
  RunOutlierDetection(now);
  decision_coalescer_.Flush(now);
  UpdateGauges();
}

void AgentEngine::RunDrainStep(TimePoint now) {
  DrainInput input;
  input.upstream = options_.upstream;
  input.termination_signal = termination_signal_received_;
  input.upstream_drains = upstream_requested_drain_;
  input.in_progress = executor_.requests_in_progress() +
                      transport_.unacknowledged_response_count();
  input.is_announced = drain_.phase == DrainPhase::kDraining &&
                       input.in_progress == 0 && transport_.IsDrained() &&
                       executor_.key_service().pending_transfer_count() == 0;
  DrainStep step = StepDrain(drain_, input, shared_state_.context, now);
  drain_ = step.state;
  const std::string subject = ToString(options_.upstream);
  for (const DrainDecision& decision : step.actions) {
    switch (decision.action) {
      case DrainAction::kStart: {
        ReportDecision("start_drain", subject, decision.reason);
        phase_ = MemberPhase::kDraining;
        callbacks_.set_phase(phase_);
        shared_state_.draining = true;
        std::vector<Endpoint> ready = shared_state_.ready_agents;
        std::erase(ready, options_.identity.data);
        SetReadyAgents(std::move(ready));
        transport_.StartDrain(now);
        break;
      }
      case DrainAction::kAbort:
        executor_.AbortAll(decision.reason);
        break;
      case DrainAction::kLeave:
        ReportDecision("leave", subject, decision.reason);
        phase_ = MemberPhase::kLeft;
        callbacks_.set_phase(phase_);
        break;
    }
  }
}

ServiceSlots AgentEngine::CountServiceSlots() const {
  ServiceSlots slots;
  slots.own = options_.slots;
  slots.total = options_.slots;
  for (const RosterEntry& entry : roster_) {
    if (entry.data == options_.identity.data) continue;
    // An upstream that has left is no longer part of the service.
    if (entry.phase == MemberPhase::kLeft) continue;
    slots.total += entry.slots;
    if (entry.phase != MemberPhase::kReady) slots.withdrawn += entry.slots;
  }
  return slots;
}

void AgentEngine::RunOutlierDetection(TimePoint now) {
  OutlierStep step =
      StepOutlier(std::move(executor_.outlier_state()), CountServiceSlots(),
                  shared_state_.context, now);
  executor_.outlier_state() = std::move(step.state);
  const std::string subject = ToString(options_.upstream);
  switch (step.action) {
    case OutlierAction::kNone:
      return;
    case OutlierAction::kEject:
      ReportDecision("eject_upstream", subject, step.reason);
      return;
    case OutlierAction::kRefuseEjection:
      ReportDecision("refuse_ejection", subject, step.reason);
      return;
    case OutlierAction::kReturn:
      ReportDecision("return_upstream", subject, step.reason);
      return;
  }
}

void AgentEngine::ReportDecision(const char* action, const std::string& subject,
                                 const Reason& reason) {
  decision_coalescer_.Record(action, subject, reason, MonotonicNow());
}

void AgentEngine::EmitAccountEntry(AccountEntry entry) {
  std::string facts;
  for (const auto& [name, value] : entry.reason.facts) {
    facts += (facts.empty() ? "" : ",") + name + ":" + value;
  }
  Log(LogLevel::kInfo, entry.action,
      {{"service", entry.service},
       {"subject", entry.subject},
       {"rule", entry.reason.rule},
       {"document_version",
        static_cast<int64_t>(entry.reason.document_version)},
       {"path", entry.reason.path},
       {"facts", facts}});
  callbacks_.record_account_entry(std::move(entry));
}

void AgentEngine::UpdateGauges() {
  metrics_.Set("medlarwinch_flows", {},
               static_cast<double>(transport_.flow_count()));
  metrics_.Set("medlarwinch_requests_in_progress", {},
               static_cast<double>(executor_.requests_in_progress()));
  metrics_.Set("medlarwinch_ledger_keys", {},
               static_cast<double>(executor_.key_service().ledger_size()));
  metrics_.Set(
      "medlarwinch_key_home_records", {},
      static_cast<double>(executor_.key_service().home_record_count()));
}

bool AgentEngine::HasLeft() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return drain_.phase == DrainPhase::kLeft;
}

UpstreamLoad AgentEngine::CollectLoad() {
  const std::lock_guard<std::mutex> lock(mutex_);
  UpstreamLoad load = executor_.CollectLoad();
  load.flows = static_cast<uint32_t>(transport_.flow_count());
  return load;
}

std::string AgentEngine::StatusJson(const std::string& control) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  nlohmann::json status;
  status["service"] = options_.identity.service;
  status["phase"] = MemberPhaseName(phase_);
  status["flows"] = transport_.flow_count();
  status["requests_in_flight"] = executor_.requests_in_progress();
  status["responses_unacknowledged"] =
      transport_.unacknowledged_response_count();
  status["ledger_keys"] = executor_.key_service().ledger_size();
  status["key_home_records"] = executor_.key_service().home_record_count();
  status["document_version"] = shared_state_.context.version;
  status["mean_flows_per_slot"] = mean_trend_.mean;
  status["drain"]["active"] = shared_state_.draining;
  if (shared_state_.draining) {
    status["drain"]["trigger"] = DrainTriggerName(drain_.trigger);
    status["drain"]["elapsed_ms"] = (MonotonicNow() - drain_.started).value;
    status["drain"]["open_key_transfers"] =
        executor_.key_service().pending_transfer_count();
  }
  status["control"] =
      nlohmann::json::parse(control.empty() ? "{}" : control, nullptr, false);
  return status.dump();
}

}  // namespace medlarwinch
