#include "medlarwinch/node/balancer_node.h"

#include <algorithm>
#include <utility>

#include "medlarwinch/node/node_metrics.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// Time between two looks for entries of lost agents, one of which is removed.
constexpr Millis kLostCheckInterval{5'000};
// After the list of agents was read, how long readiness waits for those that do
// not answer.
constexpr Millis kFirstReportsWait{100};
// Least time between two extra reads of the configuration.
constexpr Millis kRefreshInterval{500};
// The routers notice within two checks, 500 ms apart, that a balancer is not
// ready; it leaves when packets have ceased.
constexpr Millis kLeaveRotation{1'300};
constexpr Millis kQuietBeforeExit{500};
// Part of the grace period that is left for the end of the process.
constexpr Millis kExitReserve{1'000};
// Log lines per second.
constexpr double kOpenLinesPerSecond = 20;

}  // namespace

BalancerNode::BalancerNode(boost::asio::io_context& loop,
                           const NodeSettings& settings, PlatformPorts ports,
                           uint64_t seed)
    : loop_(loop),
      settings_(settings),
      ports_(std::move(ports)),
      runtime_(loop, settings_, ports_) {
  relay_.self = settings.relay;
  relay_.random.seed(seed);
  relay_.directory.own_failure_domain = settings.failure_domain;
}

Result<Ok> BalancerNode::Start() {
  const Result<Ok> agents_opened = AsyncUdpSocket::OpenInto(
      agents_, loop_, settings_.relay,
      [this](const Endpoint& from, std::span<uint8_t> datagram) {
        HandleMessage(from, datagram);
      });
  if (!IsOk(agents_opened)) return agents_opened;
  const Result<Ok> callers_opened = AsyncUdpSocket::OpenInto(
      callers_, loop_, settings_.datagrams,
      [this](const Endpoint& /*from*/, std::span<uint8_t> datagram) {
        HandleDatagram(datagram);
      });
  if (!IsOk(callers_opened)) return callers_opened;
  const Result<Ok> started = runtime_.Start(NodeCallbacks{
      [this] { return IsReady(); }, [this] { return RenderMetrics(); },
      [this] { Tick(); }, [this] { BeginStop(); }});
  if (!IsOk(started)) return started;
  FollowConfiguration();
  FollowAgents();
  poll_timer_ = std::make_unique<Periodic>(loop_, kAgentPollInterval,
                                           [this] { PollAgents(); });
  poll_timer_->Start();
  lost_timer_ = std::make_unique<Periodic>(loop_, kLostCheckInterval,
                                           [this] { RemoveLostEntry(); });
  lost_timer_->Start();
  Log(LogLevel::kInfo, "start",
      {{"role", "balancer"},
       {"failure_domain", settings_.failure_domain},
       {"datagrams", ToString(settings_.datagrams)},
       {"relay", ToString(settings_.relay)}});
  return Ok{};
}

void BalancerNode::PollAgent(const Endpoint& agent, bool is_listed) {
  EncodeRelayMessage(AgentPoll{is_listed, relay_.routes.revision}, message_);
  agents_->Send(agent, message_);
}

void BalancerNode::PollAgents() {
  for (const auto& [agent, upstream] : relay_.directory.upstreams) {
    PollAgent(agent, upstream.is_listed);
  }
}

// After a start of many VMs, agents become ready within milliseconds of each
// other; new flows go to all of them only when they are known soon.
void BalancerNode::PollStartingAgents() {
  for (const auto& [agent, upstream] : relay_.directory.upstreams) {
    if (upstream.report.phase != UpstreamPhase::kUnknown) continue;
    PollAgent(agent, upstream.is_listed);
  }
}

void BalancerNode::HandleDatagram(std::span<const uint8_t> datagram) {
  const std::optional<FlowPacket> packet = ports_.decode_packet(datagram);
  if (!packet.has_value()) {
    ++malformed_;
    return;
  }
  const TimePoint now = MonotonicNow();
  last_packet_ = now;
  actions_.clear();
  HandleCallerPacket(relay_, *packet, datagram, now, actions_);
  Carry(actions_, datagram);
}

void BalancerNode::HandleMessage(const Endpoint& from, ByteView datagram) {
  Result<RelayMessage> decoded = DecodeRelayMessage(datagram);
  if (!IsOk(decoded)) {
    ++malformed_messages_;
    return;
  }
  const RelayMessage message = TakeValue(std::move(decoded));
  const TimePoint now = MonotonicNow();
  if (const AgentStatus* status = std::get_if<AgentStatus>(&message)) {
    HandleStatus(from, *status);
    return;
  }
  const FlowOwnershipReply* answer = std::get_if<FlowOwnershipReply>(&message);
  if (answer == nullptr) {
    ++malformed_messages_;
    return;
  }
  const FlowPacket packet =
      ports_.decode_packet(answer->packet).value_or(FlowPacket{});
  actions_.clear();
  HandleOwnership(relay_,
                  OwnershipAnswer{from, answer->flow, answer->ownership},
                  packet, answer->packet, now, actions_);
  Carry(actions_, answer->packet);
}

void BalancerNode::HandleStatus(const Endpoint& from,
                                const AgentStatus& status) {
  const TimePoint now = MonotonicNow();
  const ReportEffect effect =
      TakeReport(relay_.directory, from, status.report, now);
  if (!effect.is_taken) return;
  if (effect.phase_before != status.report.phase || effect.is_new_process) {
    Log(LogLevel::kInfo, "upstream_phase",
        {{"agent", ToString(from)},
         {"phase", UpstreamPhaseName(status.report.phase)},
         {"before", UpstreamPhaseName(effect.phase_before)},
         {"new_process", effect.is_new_process ? "true" : "false"},
         {"slots", static_cast<int64_t>(status.report.slots)},
         {"flows", static_cast<int64_t>(status.report.flows)}});
  }
  const bool is_behind = status.configuration_revision > relay_.routes.revision;
  if (!is_behind || now - last_refresh_ < kRefreshInterval) return;
  last_refresh_ = now;
  Log(LogLevel::kWarning, "configuration_behind",
      {{"revision", static_cast<int64_t>(relay_.routes.revision)},
       {"known_to", ToString(from)},
       {"newer", static_cast<int64_t>(status.configuration_revision)}});
  configuration_watch_->Refresh(ports_.open_store());
}

void BalancerNode::Carry(RelayActions& actions, ByteView packet) {
  for (RelayAction& action : actions) {
    if (RelayToAgent* relayed = std::get_if<RelayToAgent>(&action)) {
      if (relayed->header.purpose == RelayPurpose::kOpen &&
          log_budget_.Allows("flow_opening", kOpenLinesPerSecond,
                             MonotonicNow())) {
        const std::optional<FlowPacket> head = ports_.decode_packet(packet);
        const KnownUpstream& chosen =
            relay_.directory.upstreams.at(relayed->to);
        Log(LogLevel::kInfo, "flow_opening",
            {{"flow", FlowText(FlowFromCaller(*head))},
             {"opening", static_cast<int64_t>(head->sequence)},
             {"copy", static_cast<int64_t>(head->acknowledged)},
             {"agent", ToString(relayed->to)},
             {"flows", static_cast<int64_t>(chosen.report.flows)},
             {"busy", std::to_string(chosen.report.busy)},
             {"report_age_ms", (MonotonicNow() - chosen.heard).value},
             {"revision", static_cast<int64_t>(relay_.routes.revision)}});
      }
      agents_->Send(relayed->to,
                    relayed_.Encode(std::move(relayed->header), packet));
      continue;
    }
    if (RelayKeptPacket* kept = std::get_if<RelayKeptPacket>(&action)) {
      agents_->Send(kept->to,
                    relayed_.Encode(std::move(kept->header), kept->packet));
      continue;
    }
    if (const AskOwnership* ask = std::get_if<AskOwnership>(&action)) {
      EncodeRelayMessage(ask->question, message_);
      agents_->Send(ask->to, message_);
      continue;
    }
    if (std::holds_alternative<ConfirmDirectory>(action)) {
      ConfirmAgents();
      continue;
    }
    if (const DropPackets* drop = std::get_if<DropPackets>(&action)) {
      LogDrop(log_budget_, *drop, MonotonicNow());
      continue;
    }
    if (const ResetCaller* reset = std::get_if<ResetCaller>(&action)) {
      SendReset(*reset);
    }
  }
}

void BalancerNode::SendReset(const ResetCaller& reset) {
  SendResetPacket(*callers_, ports_, reset);
  if (!AllowsResetLine(log_budget_, MonotonicNow())) return;
  Log(LogLevel::kWarning, "flow_reset",
      {{"flow", FlowText(reset.flow)},
       {"reason", FlowResetReasonName(reset.reason)},
       {"sequence", static_cast<int64_t>(reset.sequence)},
       {"agents", static_cast<int64_t>(relay_.directory.upstreams.size())},
       {"revision", static_cast<int64_t>(relay_.routes.revision)}});
}

void BalancerNode::Tick() {
  const TimePoint now = MonotonicNow();
  actions_.clear();
  const Millis since_tick = now - last_tick_;
  const Millis lateness =
      last_tick_ == TimePoint{} ? Millis{0} : since_tick - kTickInterval;
  last_tick_ = now;
  HandleBalancerTick(relay_, lateness, now, actions_);
  Carry(actions_, {});
  ForgetUnlisted(relay_.directory, now);
  PollStartingAgents();
  LogSuppressed(log_budget_);
  if (!is_stopping_) return;
  const Millis stopping_for = now - stop_requested_;
  const bool is_quiet =
      stopping_for >= kLeaveRotation && now - last_packet_ >= kQuietBeforeExit;
  if (is_quiet || stopping_for >= settings_.stop_grace - kExitReserve) {
    Log(LogLevel::kInfo, "stop",
        {{"role", "balancer"},
         {"after_ms", stopping_for.value},
         {"flows", static_cast<int64_t>(relay_.cache.size())}});
    loop_.stop();
  }
}

bool BalancerNode::IsReady() const {
  if (is_stopping_) return false;
  if (relay_.routes.revision == 0 || !relay_.directory.is_complete) {
    return false;
  }
  // A balancer that has lost the store and most agents is cut off itself.
  const AgentContact contact = CountContact(relay_.directory, MonotonicNow());
  const bool store_is_lost =
      !configuration_watch_->is_current() && !agent_watch_->is_current();
  if (store_is_lost && contact.heard * 2 < contact.known) return false;
  if (MonotonicNow() - listed_ >= kFirstReportsWait) return true;
  return std::all_of(
      relay_.directory.upstreams.begin(), relay_.directory.upstreams.end(),
      [](const auto& entry) { return entry.second.report.sequence != 0; });
}

void BalancerNode::BeginStop() {
  if (is_stopping_) return;
  is_stopping_ = true;
  stop_requested_ = MonotonicNow();
  Log(LogLevel::kInfo, "stopping",
      {{"role", "balancer"},
       {"flows", static_cast<int64_t>(relay_.cache.size())}});
}

std::string BalancerNode::RenderMetrics() {
  SetBalancerMetrics(relay_, malformed_, malformed_messages_, metrics_);
  return metrics_.Render();
}

}  // namespace medlarwinch
