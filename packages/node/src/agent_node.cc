#include "medlarwinch/node/agent_node.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "medlarwinch/coordination/packet_path/flow_ownership.h"
#include "medlarwinch/coordination/packet_path/upstream_liveness.h"
#include "medlarwinch/node/admission_report.h"
#include "medlarwinch/node/node_metrics.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// A balancer that has not polled for this long, four poll intervals, gets no
// more unsolicited reports.
constexpr Millis kBalancerExpiry{1'000};
// The entry of an upstream that has sent nothing for this long is removed from
// the store.
constexpr Millis kLostUpstreamWithdrawDelay{10'000};
// A stopping agent keeps running for this long, so that every balancer learns
// of it at its next poll and places new flows elsewhere.
constexpr Millis kStopPropagationDelay{350};
// A stopping agent whose upstream is absent or deregistered exits once its
// entry is withdrawn, or after this time.
constexpr Millis kWithdrawTimeout{1'500};

DirectoryEntry MakeOwnEntry(const NodeSettings& settings) {
  return DirectoryEntry{settings.datagram_address,
                        MakeServiceId(settings.service),
                        settings.failure_domain,
                        {}};
}

}  // namespace

AgentNode::AgentNode(boost::asio::io_context& loop,
                     const NodeSettings& settings, PlatformAdapter platform,
                     uint64_t seed)
    : loop_(loop),
      settings_(settings),
      platform_(std::move(platform)),
      boot_id_(seed),
      registration_(loop, platform_.open_store(),
                    AgentEntryName(settings.datagram_address),
                    EncodeAgentEntry(MakeOwnEntry(settings), settings.service),
                    seed),
      upstream_check_timer_(loop),
      held_packets_(loop,
                    [this](const HeldPacket& held) {
                      SendToCaller(held.flow.caller, held.bytes);
                    }),
      runtime_(loop, settings_, platform_) {
  relay_.service = MakeServiceId(settings.service);
  relay_.started = MonotonicNow();
  relay_.flow_history.seen_since = relay_.started;
  relay_.heartbeat_interval = settings.heartbeat_interval;
  relay_.gate.requires_evacuations = settings.features.evacuations;
  relay_.gate.failure_domain = settings.failure_domain;
  relay_.admits_by_class = settings.features.admission_by_class;
  relay_.flow_tracker.integrated_until = relay_.started;
  relay_.flow_tracker.averaged_until = relay_.started;
}

Result<Ok> AgentNode::Start() {
  const Result<Ok> relay_socket_opened = AsyncUdpSocket::OpenInto(
      relay_socket_, loop_, settings_.datagram_address,
      [this](const Endpoint& from, std::span<uint8_t> datagram) {
        HandleMessage(from, datagram);
      });
  if (!IsOk(relay_socket_opened)) return relay_socket_opened;
  const Result<Ok> upstream_socket_opened = AsyncUdpSocket::OpenInto(
      upstream_socket_, loop_, settings_.upstream_packet_address,
      [this](const Endpoint& /*from*/, std::span<uint8_t> datagram) {
        HandleUpstreamDatagram(datagram);
      });
  if (!IsOk(upstream_socket_opened)) return upstream_socket_opened;
  Result<std::unique_ptr<AsyncHttpServer>> notice_server =
      AsyncHttpServer::Listen(
          loop_, settings_.notice_address,
          [this](const HttpRequest& request) { return HandleNotice(request); });
  if (!IsOk(notice_server)) return ErrorOf(notice_server);
  notice_server_ = TakeValue(std::move(notice_server));
  const Result<Ok> started = runtime_.Start(
      NodeCallbacks{[this] { return !relay_.is_stopping; },
                    [this] { return RenderMetrics(); }, [this] { Tick(); },
                    [this] { BeginStop(); }});
  if (!IsOk(started)) return started;
  CheckUpstream();
  Log(LogLevel::kInfo, "start",
      {{"role", "agent"},
       {"service", settings_.service},
       {"failure_domain", settings_.failure_domain},
       {"relay", ToString(settings_.datagram_address)},
       {"upstream", ToString(settings_.upstream_address)}});
  return Ok{};
}

void AgentNode::HandleMessage(const Endpoint& from, ByteView datagram) {
  Result<RelayMessage> decoded = DecodeRelayMessage(datagram);
  if (!IsOk(decoded)) {
    ++malformed_messages_;
    return;
  }
  const RelayMessage message = TakeValue(std::move(decoded));
  if (const RelayedPacket* relayed = std::get_if<RelayedPacket>(&message)) {
    HandleRelayedBytes(relayed->header, std::nullopt, relayed->packet);
    return;
  }
  if (const RelayedOpening* opening = std::get_if<RelayedOpening>(&message)) {
    HandleRelayedBytes(opening->header, opening->context, opening->packet);
    return;
  }
  if (const OwnershipQuery* query = std::get_if<OwnershipQuery>(&message)) {
    actions_.clear();
    HandleOwnershipQuery(relay_, from, *query, MonotonicNow(), actions_);
    ExecuteActions(actions_, {});
    return;
  }
  if (const OwnershipBatchQuery* query =
          std::get_if<OwnershipBatchQuery>(&message)) {
    actions_.clear();
    HandleOwnershipBatchQuery(relay_, from, *query, MonotonicNow(), actions_);
    ExecuteActions(actions_, {});
    return;
  }
  if (const AgentPoll* poll = std::get_if<AgentPoll>(&message)) {
    HandlePoll(from, *poll);
    return;
  }
  if (const ExtendedPoll* poll = std::get_if<ExtendedPoll>(&message)) {
    HandleExtendedPoll(from, *poll);
    return;
  }
  if (RecordNamedByBalancer(from, message)) return;
  ++malformed_messages_;
}

void AgentNode::HandleRelayedBytes(const RelayHeader& header,
                                   const std::optional<OpeningContext>& context,
                                   ByteView bytes) {
  const std::optional<FlowPacket> packet = platform_.decode_packet(bytes);
  if (!packet.has_value()) {
    ++malformed_packets_;
    return;
  }
  relay_.is_entry_removed = registration_.is_removed();
  actions_.clear();
  const Millis waited =
      packet->is_syn ? arrivals_.MaxDelay(*relay_socket_) : Millis{0};
  HandleRelayedPacket(relay_, header, context, *packet, waited, MonotonicNow(),
                      actions_);
  ExecuteActions(actions_, bytes);
}

void AgentNode::HandleUpstreamDatagram(std::span<uint8_t> datagram) {
  const std::optional<FlowPacket> packet = platform_.decode_packet(datagram);
  if (!packet.has_value()) {
    ++malformed_packets_;
    return;
  }
  if (packet->is_bounced) platform_.restore_bounced_packet(datagram);
  actions_.clear();
  const UpstreamPacketEffect effect =
      HandleUpstreamPacket(relay_, *packet, MonotonicNow(), actions_);
  ExecuteActions(actions_, datagram);
  if (effect.starts_response) {
    metrics_.Observe("medlarwinch_upstream_answer_ms",
                     {{"service", settings_.service}},
                     static_cast<double>(effect.response_time.value));
  }
}

void AgentNode::ExecuteActions(const RelayActions& actions, ByteView packet) {
  for (const RelayAction& action : actions) {
    if (std::holds_alternative<DeliverToUpstream>(action)) {
      upstream_socket_->Send(settings_.upstream_address, packet);
      continue;
    }
    if (const DeliverToCaller* deliver =
            std::get_if<DeliverToCaller>(&action)) {
      SendToCaller(deliver->caller, packet);
      continue;
    }
    if (ExecutePacingAction(action, packet)) continue;
    if (const RelayToAgent* relayed = std::get_if<RelayToAgent>(&action)) {
      relay_socket_->Send(
          relayed->to,
          packet_encoder_.Encode(relayed->header, relayed->context, packet));
      if (log_limiter_.AllowLine("flow_passed_on", kFailureLogLinesPerSecond,
                                 MonotonicNow())) {
        Log(LogLevel::kInfo, "flow_passed_on",
            {{"flow",
              FormatFlow(FlowFromCaller(*platform_.decode_packet(packet)))},
             {"to", ToString(relayed->to)},
             {"reason", RefusalReasonName(
                            relayed->refusal.value_or(RefusalReason::kBusy))},
             {"hops", static_cast<int64_t>(relayed->header.hops)},
             {"phase", UpstreamPhaseName(relay_.upstream.phase)},
             {"outstanding",
              static_cast<int64_t>(relay_.flow_tracker.outstanding)}});
      }
      continue;
    }
    if (const SendOwnershipReply* reply =
            std::get_if<SendOwnershipReply>(&action)) {
      FlowOwnershipReply message{reply->flow, reply->ownership, {}};
      if (reply->returns_packet) {
        message.packet.assign(packet.begin(), packet.end());
      }
      EncodeRelayMessage(message, message_buffer_);
      relay_socket_->Send(reply->balancer, message_buffer_);
      continue;
    }
    if (const SendOwnershipBatchReply* reply =
            std::get_if<SendOwnershipBatchReply>(&action)) {
      EncodeRelayMessage(OwnershipBatchReply{reply->flows}, message_buffer_);
      relay_socket_->Send(reply->balancer, message_buffer_);
      continue;
    }
    if (const SendOpeningRefused* refused =
            std::get_if<SendOpeningRefused>(&action)) {
      EncodeRelayMessage(OpeningRefused{refused->flow, refused->context},
                         message_buffer_);
      relay_socket_->Send(refused->balancer, message_buffer_);
      continue;
    }
    if (const SendOpeningDeclined* declined =
            std::get_if<SendOpeningDeclined>(&action)) {
      EncodeRelayMessage(OpeningDeclined{declined->flow, declined->copy},
                         message_buffer_);
      relay_socket_->Send(declined->balancer, message_buffer_);
      continue;
    }
    if (const DropPackets* drop = std::get_if<DropPackets>(&action)) {
      LogDroppedPackets(log_limiter_, *drop, MonotonicNow());
      continue;
    }
    if (const ReportOpeningDecision* report =
            std::get_if<ReportOpeningDecision>(&action)) {
      LogOpeningDecision(log_limiter_, *report, MonotonicNow());
      continue;
    }
    if (const ResetCaller* reset = std::get_if<ResetCaller>(&action)) {
      SendReset(*reset);
    }
  }
}

void AgentNode::SendReset(const ResetCaller& reset) {
  held_packets_.Discard(reset.flow);
  SendResetPacket(*relay_socket_, platform_, reset);
  if (!AllowResetLogLine(log_limiter_, MonotonicNow())) return;
  Log(LogLevel::kWarning, "flow_reset",
      {{"flow", FormatFlow(reset.flow)},
       {"reason", FlowResetReasonName(reset.reason)},
       {"sequence", static_cast<int64_t>(reset.sequence)},
       {"upstream", relay_.upstream.id},
       {"beat_age_ms",
        (MonotonicNow() - relay_.upstream.last_heartbeat).value}});
}

AgentStatus AgentNode::MakeStatus() {
  const TimePoint now = MonotonicNow();
  AgentReport report;
  report.service = relay_.service;
  report.agent_boot = boot_id_;
  report.sequence = ++report_sequence_;
  report.phase = ReportedPhase(relay_, now);
  report.slots = relay_.upstream.slots;
  report.flows = relay_.flow_tracker.open;
  report.mean_outstanding = relay_.flow_tracker.mean_outstanding;
  report.outstanding = relay_.flow_tracker.outstanding;
  report.is_cold = now < relay_.upstream.cold_until;
  return AgentStatus{report, configuration_version_};
}

void AgentNode::SendStatus(const Endpoint& balancer) {
  EncodeRelayMessage(MakeStatus(), message_buffer_);
  relay_socket_->Send(balancer, message_buffer_);
}

void AgentNode::AnnouncePhase(const char* cause) {
  const TimePoint now = MonotonicNow();
  const UpstreamPhase phase = ReportedPhase(relay_, now);
  Log(LogLevel::kInfo, "upstream_phase",
      {{"upstream", relay_.upstream.id},
       {"phase", UpstreamPhaseName(phase)},
       {"before", UpstreamPhaseName(announced_phase_)},
       {"cause", cause},
       {"sequence", static_cast<int64_t>(relay_.upstream.sequence)},
       {"started_ms", relay_.upstream.started_ms},
       {"slots", static_cast<int64_t>(relay_.upstream.slots)},
       {"knows_all_flows",
        KnowsAllFlows(relay_.flow_history, now) ? "true" : "false"},
       {"flows", static_cast<int64_t>(relay_.flow_tracker.open)}});
  announced_phase_ = phase;
  for (const auto& [balancer, polls] : polls_by_balancer_) {
    if (now - polls.last_poll > kBalancerExpiry) continue;
    SendStatus(balancer);
  }
}

void AgentNode::Tick() {
  const TimePoint now = MonotonicNow();
  relay_.heartbeat_interval = settings_.heartbeat_interval;
  const Millis tick_delay = last_tick_at_ == TimePoint{}
                                ? Millis{0}
                                : now - last_tick_at_ - kTickInterval;
  last_tick_at_ = now;
  HandleAgentTick(relay_, tick_delay, now);
  arrivals_.HandleTick(*relay_socket_);
  RefreshPacing(now);
  std::erase_if(polls_by_balancer_, [&](const auto& entry) {
    return now - entry.second.last_poll > kBalancerExpiry;
  });
  CheckUpstream();
  if (ReportedPhase(relay_, now) != announced_phase_) AnnouncePhase("liveness");
  const bool is_deregistered = relay_.upstream.deregistered_at.has_value();
  const bool is_absent = relay_.upstream.phase == UpstreamPhase::kAbsent;
  const bool is_contact_lost =
      now - relay_.upstream_last_contact.value_or(relay_.started) >=
      kLostUpstreamWithdrawDelay;
  const bool has_left =
      is_deregistered || relay_.upstream.exited_at.has_value();
  if (is_absent && (has_left || is_contact_lost) && !is_withdraw_requested_) {
    is_withdraw_requested_ = true;
    if (relay_.is_stopping) {
      registration_.WithdrawEarlierEntry();
    } else {
      registration_.Withdraw();
    }
  }
  registration_.RepublishIfUnpolled(now);
  LogSuppressedLines(log_limiter_);
  if (!relay_.is_stopping) return;
  const Millis stop_elapsed = now - stop_requested_at_;
  const bool is_withdraw_complete = is_absent && registration_.is_in_sync();
  const Millis exit_delay =
      is_absent || has_left ? kWithdrawTimeout : kStopPropagationDelay;
  const bool may_exit = is_withdraw_complete || stop_elapsed >= exit_delay;
  if (!may_exit) return;
  Log(LogLevel::kInfo, "stop",
      {{"role", "agent"},
       {"after_ms", stop_elapsed.value},
       {"flows", static_cast<int64_t>(relay_.flow_tracker.open)}});
  loop_.stop();
}

void AgentNode::BeginStop() {
  if (relay_.is_stopping) return;
  BeginAgentStop(relay_);
  stop_requested_at_ = MonotonicNow();
  // An entry of an earlier process would name an agent that never replies.
  if (!registration_.is_published()) is_withdraw_requested_ = false;
  held_packets_.ReleaseAll();
  AnnouncePhase("stopping");
  CheckUpstream();
}

std::string AgentNode::RenderMetrics() {
  SetAgentMetrics(relay_, settings_.service, metrics_);
  metrics_.Set("medlarwinch_agent_packets_held",
               {{"service", settings_.service}},
               static_cast<double>(held_packets_.size()));
  const MetricLabels labels = {{"service", settings_.service}};
  metrics_.SetTotal("medlarwinch_agent_packets_malformed_total", labels,
                    static_cast<double>(malformed_packets_));
  metrics_.SetTotal("medlarwinch_agent_messages_malformed_total", labels,
                    static_cast<double>(malformed_messages_));
  metrics_.SetTotal("medlarwinch_agent_notices_refused_total", labels,
                    static_cast<double>(refused_notices_));
  return metrics_.Render();
}

}  // namespace medlarwinch
