#include "medlarwinch/node/agent_node.h"

#include <algorithm>
#include <utility>

#include "medlarwinch/node/node_metrics.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// A balancer that has not polled for this long gets no unasked reports: four
// polls.
constexpr Millis kBalancerForgottenAfter{1'000};
// An upstream that is silent for this long is taken out of the store.
constexpr Millis kWithdrawAfter{10'000};
// How long a stopping agent lives on, so that every balancer hears of it at its
// next poll and sends new flows elsewhere.
constexpr Millis kStopDelay{350};
// An agent whose upstream is gone ends as soon as its entry is withdrawn, or
// after this time.
constexpr Millis kWithdrawLimit{1'500};
constexpr double kOrdinaryLinesPerSecond = 10;
constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;

DirectoryEntry OwnEntry(const NodeSettings& settings) {
  return DirectoryEntry{settings.datagrams, MakeServiceId(settings.service),
                        settings.failure_domain, 0};
}

}  // namespace

AgentNode::AgentNode(boost::asio::io_context& loop,
                     const NodeSettings& settings, PlatformPorts ports,
                     uint64_t seed)
    : loop_(loop),
      settings_(settings),
      ports_(std::move(ports)),
      boot_(seed),
      entry_(loop, ports_.open_store(), AgentEntryName(settings.datagrams),
             EncodeAgentEntry(OwnEntry(settings), settings.service), seed),
      runtime_(loop, settings_, ports_) {
  relay_.service = MakeServiceId(settings.service);
  relay_.started = MonotonicNow();
  relay_.beat_interval = settings.beat_interval;
  relay_.flows.integrated = relay_.started;
  relay_.flows.averaged = relay_.started;
}

Result<Ok> AgentNode::Start() {
  const Result<Ok> relay_port_opened = AsyncUdpSocket::OpenInto(
      relay_port_, loop_, settings_.datagrams,
      [this](const Endpoint& from, std::span<uint8_t> datagram) {
        HandleMessage(from, datagram);
      });
  if (!IsOk(relay_port_opened)) return relay_port_opened;
  const Result<Ok> upstream_port_opened = AsyncUdpSocket::OpenInto(
      upstream_port_, loop_, settings_.upstream_packets,
      [this](const Endpoint& /*from*/, std::span<uint8_t> datagram) {
        HandleFromUpstream(datagram);
      });
  if (!IsOk(upstream_port_opened)) return upstream_port_opened;
  Result<std::unique_ptr<AsyncHttpServer>> beats = AsyncHttpServer::Listen(
      loop_, settings_.upstream_beats,
      [this](const HttpRequest& request) { return HandleNotice(request); });
  if (!IsOk(beats)) return ErrorOf(beats);
  beats_ = TakeValue(std::move(beats));
  const Result<Ok> started = runtime_.Start(
      NodeCallbacks{[this] { return !relay_.is_stopping; },
                    [this] { return RenderMetrics(); }, [this] { Tick(); },
                    [this] { BeginStop(); }});
  if (!IsOk(started)) return started;
  Log(LogLevel::kInfo, "start",
      {{"role", "agent"},
       {"service", settings_.service},
       {"failure_domain", settings_.failure_domain},
       {"relay", ToString(settings_.datagrams)},
       {"upstream", ToString(settings_.upstream)}});
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
    HandleRelayed(*relayed);
    return;
  }
  if (const FlowQuestion* question = std::get_if<FlowQuestion>(&message)) {
    actions_.clear();
    HandleQuestion(relay_, from, *question, MonotonicNow(), actions_);
    Carry(actions_, {});
    return;
  }
  if (const AgentPoll* poll = std::get_if<AgentPoll>(&message)) {
    HandlePoll(from, *poll);
    return;
  }
  ++malformed_messages_;
}

void AgentNode::HandleRelayed(const RelayedPacket& message) {
  const std::optional<FlowPacket> packet = ports_.decode_packet(message.packet);
  if (!packet.has_value()) {
    ++malformed_;
    return;
  }
  actions_.clear();
  HandleRelayedPacket(relay_, message.header, *packet, MonotonicNow(),
                      actions_);
  Carry(actions_, message.packet);
}

void AgentNode::HandlePoll(const Endpoint& from, const AgentPoll& poll) {
  const TimePoint now = MonotonicNow();
  balancers_.insert_or_assign(from, now);
  configuration_revision_ =
      std::max(configuration_revision_, poll.configuration_revision);
  SendStatus(from);
  entry_.NotePoll(from, poll.is_listed, now);
}

void AgentNode::HandleFromUpstream(std::span<uint8_t> datagram) {
  const std::optional<FlowPacket> packet = ports_.decode_packet(datagram);
  if (!packet.has_value()) {
    ++malformed_;
    return;
  }
  if (packet->is_bounced) ports_.restore_bounced(datagram);
  actions_.clear();
  const UpstreamPacketEffect effect =
      HandleUpstreamPacket(relay_, *packet, MonotonicNow(), actions_);
  Carry(actions_, datagram);
  if (effect.begins_answer) {
    metrics_.Observe("medlarwinch_upstream_answer_ms",
                     {{"service", settings_.service}},
                     static_cast<double>(effect.answer_time.value));
  }
}

HttpResponse AgentNode::HandleNotice(const HttpRequest& request) {
  HttpResponse response;
  response.content_type = "application/json";
  response.body = "{}";
  const Result<UpstreamNotice> notice = ports_.decode_notice(request);
  if (!IsOk(notice)) {
    ++refused_notices_;
    const bool is_unknown = ErrorOf(notice).code == ErrorCode::kNotFound;
    response.status = is_unknown ? kHttpNotFound : kHttpBadRequest;
    if (log_budget_.Allows("notice_refused", kOrdinaryLinesPerSecond,
                           MonotonicNow())) {
      Log(LogLevel::kWarning, "notice_refused",
          {{"target", request.target}, {"message", ErrorOf(notice).message}});
    }
    return response;
  }
  response.status = kHttpOk;
  if (const UpstreamBeat* beat = std::get_if<UpstreamBeat>(&ValueOf(notice))) {
    if (beat->service != settings_.service ||
        beat->address != settings_.upstream) {
      ++refused_notices_;
      Log(LogLevel::kWarning, "beat_refused",
          {{"upstream", beat->id},
           {"service", beat->service},
           {"address", ToString(beat->address)}});
      return response;
    }
    HandleBeatNotice(*beat);
    return response;
  }
  const std::string& id = std::get<UpstreamDeregistration>(ValueOf(notice)).id;
  const bool is_current = HandleDeregistration(relay_, id, MonotonicNow());
  Log(LogLevel::kInfo, "upstream_deregistered",
      {{"upstream", id}, {"current", is_current ? "true" : "false"}});
  if (is_current) AnnouncePhase("deregistered");
  return response;
}

void AgentNode::HandleBeatNotice(const UpstreamBeat& beat) {
  actions_.clear();
  const BeatEffect effect = HandleBeat(relay_, beat, MonotonicNow(), actions_);
  Carry(actions_, {});
  switch (effect) {
    case BeatEffect::kIgnored:
      Log(LogLevel::kInfo, "beat_ignored",
          {{"upstream", beat.id},
           {"sequence", static_cast<int64_t>(beat.sequence)},
           {"current", relay_.host.id},
           {"current_sequence", static_cast<int64_t>(relay_.host.sequence)}});
      return;
    case BeatEffect::kUnchanged:
      return;
    case BeatEffect::kFirst:
      AnnouncePhase("first_beat");
      break;
    case BeatEffect::kNewIncarnation:
      AnnouncePhase("new_incarnation");
      break;
    case BeatEffect::kDraining:
      AnnouncePhase("draining");
      break;
  }
  is_withdrawn_ = false;
  if (!entry_.is_published()) entry_.Publish();
}

void AgentNode::Carry(const RelayActions& actions, ByteView packet) {
  for (const RelayAction& action : actions) {
    if (std::holds_alternative<DeliverToUpstream>(action)) {
      upstream_port_->Send(settings_.upstream, packet);
      continue;
    }
    if (const DeliverToCaller* deliver =
            std::get_if<DeliverToCaller>(&action)) {
      relay_port_->Send(ports_.caller_gateway(deliver->caller), packet);
      continue;
    }
    if (const RelayToAgent* relayed = std::get_if<RelayToAgent>(&action)) {
      relay_port_->Send(relayed->to, relayed_.Encode(relayed->header, packet));
      if (log_budget_.Allows("flow_passed_on", kFailureLinesPerSecond,
                             MonotonicNow())) {
        Log(LogLevel::kInfo, "flow_passed_on",
            {{"flow", FlowText(FlowFromCaller(*ports_.decode_packet(packet)))},
             {"to", ToString(relayed->to)},
             {"reason", RefusalReasonName(
                            relayed->refusal.value_or(RefusalReason::kBusy))},
             {"hops", static_cast<int64_t>(relayed->header.hops)},
             {"phase", UpstreamPhaseName(relay_.host.phase)},
             {"outstanding", static_cast<int64_t>(relay_.flows.outstanding)}});
      }
      continue;
    }
    if (const TellOwnership* tell = std::get_if<TellOwnership>(&action)) {
      FlowOwnershipReply answer{tell->flow, tell->ownership, {}};
      if (tell->returns_packet) {
        answer.packet.assign(packet.begin(), packet.end());
      }
      EncodeRelayMessage(answer, message_);
      relay_port_->Send(tell->balancer, message_);
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

void AgentNode::SendReset(const ResetCaller& reset) {
  SendResetPacket(*relay_port_, ports_, reset);
  if (!AllowsResetLine(log_budget_, MonotonicNow())) return;
  Log(LogLevel::kWarning, "flow_reset",
      {{"flow", FlowText(reset.flow)},
       {"reason", FlowResetReasonName(reset.reason)},
       {"sequence", static_cast<int64_t>(reset.sequence)},
       {"upstream", relay_.host.id},
       {"beat_age_ms", (MonotonicNow() - relay_.host.last_beat).value}});
}

void AgentNode::SendStatus(const Endpoint& balancer) {
  const TimePoint now = MonotonicNow();
  AgentReport report;
  report.service = relay_.service;
  report.agent_boot = boot_;
  report.sequence = ++report_sequence_;
  report.phase = ReportedPhase(relay_, now);
  report.slots = relay_.host.slots;
  report.flows = relay_.flows.open;
  report.busy = relay_.flows.busy;
  report.outstanding = relay_.flows.outstanding;
  report.is_cold = now < relay_.host.cold_until;
  EncodeRelayMessage(AgentStatus{report, configuration_revision_}, message_);
  relay_port_->Send(balancer, message_);
}

void AgentNode::AnnouncePhase(const char* cause) {
  const TimePoint now = MonotonicNow();
  const UpstreamPhase phase = ReportedPhase(relay_, now);
  Log(LogLevel::kInfo, "upstream_phase",
      {{"upstream", relay_.host.id},
       {"phase", UpstreamPhaseName(phase)},
       {"before", UpstreamPhaseName(announced_)},
       {"cause", cause},
       {"sequence", static_cast<int64_t>(relay_.host.sequence)},
       {"started_ms", relay_.host.started_ms},
       {"slots", static_cast<int64_t>(relay_.host.slots)},
       {"knows_all_flows", relay_.knows_all_flows ? "true" : "false"},
       {"flows", static_cast<int64_t>(relay_.flows.open)}});
  announced_ = phase;
  for (const auto& [balancer, polled] : balancers_) {
    if (now - polled > kBalancerForgottenAfter) continue;
    SendStatus(balancer);
  }
}

void AgentNode::Tick() {
  const TimePoint now = MonotonicNow();
  relay_.beat_interval = settings_.beat_interval;
  actions_.clear();
  HandleAgentTick(relay_, now, actions_);
  Carry(actions_, {});
  std::erase_if(balancers_, [&](const auto& entry) {
    return now - entry.second > kBalancerForgottenAfter;
  });
  if (ReportedPhase(relay_, now) != announced_) AnnouncePhase("liveness");
  const bool has_left = relay_.host.deregistered.has_value();
  const bool is_absent = relay_.host.phase == UpstreamPhase::kAbsent;
  const bool is_gone_for_long =
      now - relay_.upstream_heard.value_or(relay_.started) >= kWithdrawAfter;
  if (is_absent && (has_left || is_gone_for_long) && !is_withdrawn_) {
    is_withdrawn_ = true;
    entry_.Withdraw();
  }
  entry_.Review(now);
  LogSuppressed(log_budget_);
  if (!relay_.is_stopping) return;
  const Millis stopping_for = now - stop_requested_;
  const bool is_withdrawn = is_absent && entry_.is_settled();
  const Millis limit = is_absent || has_left ? kWithdrawLimit : kStopDelay;
  const bool may_exit = is_withdrawn || stopping_for >= limit;
  if (!may_exit) return;
  Log(LogLevel::kInfo, "stop",
      {{"role", "agent"},
       {"after_ms", stopping_for.value},
       {"flows", static_cast<int64_t>(relay_.flows.open)}});
  loop_.stop();
}

void AgentNode::BeginStop() {
  if (relay_.is_stopping) return;
  relay_.is_stopping = true;
  stop_requested_ = MonotonicNow();
  AnnouncePhase("stopping");
}

std::string AgentNode::RenderMetrics() {
  SetAgentMetrics(relay_, settings_.service, metrics_);
  const MetricLabels labels = {{"service", settings_.service}};
  metrics_.SetTotal("medlarwinch_agent_packets_malformed_total", labels,
                    static_cast<double>(malformed_));
  metrics_.SetTotal("medlarwinch_agent_messages_malformed_total", labels,
                    static_cast<double>(malformed_messages_));
  metrics_.SetTotal("medlarwinch_agent_notices_refused_total", labels,
                    static_cast<double>(refused_notices_));
  return metrics_.Render();
}

}  // namespace medlarwinch
