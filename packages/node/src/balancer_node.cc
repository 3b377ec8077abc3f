#include "medlarwinch/node/balancer_node.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "medlarwinch/coordination/packet_path/balancer_search.h"
#include "medlarwinch/node/node_metrics.h"
#include "medlarwinch/node/owner_search_log.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// Interval between checks for lost agents; each removes the entry of at most
// one.
constexpr Millis kLostAgentCheckInterval{5'000};
// How long readiness waits for the first reports of the agents after their list
// was read.
constexpr Millis kInitialReportTimeout{100};
// Minimum time between two reads of the configuration outside the watch.
constexpr Millis kMinRefreshInterval{500};
// Minimum time between the stop request and the exit. Routers detect within two
// readiness checks, 500 ms apart, that a balancer is not ready; it exits once
// no packets have arrived for kExitIdleTime.
constexpr Millis kRotationRemovalDelay{1'300};
constexpr Millis kExitIdleTime{500};
// Part of the stop grace period that is reserved for the exit of the process.
constexpr Millis kExitReserve{1'000};
constexpr double kFlowOpeningLogLinesPerSecond = 20;

}  // namespace

BalancerNode::BalancerNode(boost::asio::io_context& loop,
                           const NodeSettings& settings,
                           PlatformAdapter platform, uint64_t seed)
    : loop_(loop),
      settings_(settings),
      platform_(std::move(platform)),
      flush_timer_(loop),
      held_openings_(
          loop, [this](const HeldPacket& held) { RelayHeldOpening(held); }),
      runtime_(loop, settings_, platform_) {
  relay_.self = settings.relay_address;
  relay_.random.seed(seed);
  relay_.directory.own_failure_domain = settings.failure_domain;
  relay_.directory.places_by_wait = settings.features.admission_by_class;
  relay_.directory.spills_by_domain = settings.features.domain_spill;
}

Result<Ok> BalancerNode::Start() {
  const Result<Ok> agent_socket_opened = AsyncUdpSocket::OpenInto(
      agent_socket_, loop_, settings_.relay_address,
      [this](const Endpoint& from, std::span<uint8_t> datagram) {
        HandleMessage(from, datagram);
      });
  if (!IsOk(agent_socket_opened)) return agent_socket_opened;
  const Result<Ok> caller_socket_opened = AsyncUdpSocket::OpenInto(
      caller_socket_, loop_, settings_.datagram_address,
      [this](const Endpoint& /*from*/, std::span<uint8_t> datagram) {
        HandleDatagram(datagram);
      });
  if (!IsOk(caller_socket_opened)) return caller_socket_opened;
  const Result<Ok> started = runtime_.Start(NodeCallbacks{
      [this] { return IsReady(); }, [this] { return RenderMetrics(); },
      [this] { Tick(); }, [this] { BeginStop(); }});
  if (!IsOk(started)) return started;
  WatchConfiguration();
  WatchAgents();
  WatchEvacuations();
  poll_timer_ = std::make_unique<PeriodicTimer>(loop_, kAgentPollInterval,
                                                [this] { PollPeriodically(); });
  poll_timer_->Start();
  lost_agent_timer_ = std::make_unique<PeriodicTimer>(
      loop_, kLostAgentCheckInterval, [this] { RemoveLostAgentEntry(); });
  lost_agent_timer_->Start();
  Log(LogLevel::kInfo, "start",
      {{"role", "balancer"},
       {"failure_domain", settings_.failure_domain},
       {"datagrams", ToString(settings_.datagram_address)},
       {"relay", ToString(settings_.relay_address)}});
  return Ok{};
}

void BalancerNode::HandleDatagram(std::span<const uint8_t> datagram) {
  const std::optional<FlowPacket> packet = platform_.decode_packet(datagram);
  if (!packet.has_value()) {
    ++malformed_packets_;
    return;
  }
  const TimePoint now = MonotonicNow();
  last_packet_at_ = now;
  const UploadPacketEffect upload = RecordUpload(*packet, datagram, now);
  if (upload.action != UploadPacketAction::kRelay) return;
  if (packet->is_syn)
    relay_.arrival_delay = arrivals_.MaxDelay(*caller_socket_);
  actions_.clear();
  HandleCallerPacket(relay_, *packet, datagram, now, actions_);
  ExecuteActions(actions_, datagram);
  if (upload.starts_upload) PollUploadAgent(FlowFromCaller(*packet));
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
  if (const ExtendedStatus* status = std::get_if<ExtendedStatus>(&message)) {
    HandleStatus(from, status->status);
    const auto known = relay_.directory.upstreams.find(from);
    if (known != relay_.directory.upstreams.end()) {
      ApplyAgentLoad(known->second, status->load, now);
    }
    UpdateEvacuations(status->evacuations, ToString(from));
    return;
  }
  if (std::holds_alternative<ProtocolOffer>(message)) {
    const auto known = relay_.directory.upstreams.find(from);
    if (known == relay_.directory.upstreams.end()) return;
    const bool was_offered = known->second.reads_extended;
    known->second.reads_extended =
        std::get<ProtocolOffer>(message).version >= kExtendedProtocolVersion;
    // An agent that has just started waits for what the extended poll says.
    if (!was_offered && UsesExtendedPolls()) {
      PollAgent(from, known->second.is_listed);
    }
    return;
  }
  if (const OpeningRefused* refused = std::get_if<OpeningRefused>(&message)) {
    actions_.clear();
    HandleOpeningRefused(relay_, refused->flow, refused->context.copy,
                         BootTimeNow() - refused->context.relayed_at, actions_);
    ExecuteActions(actions_, {});
    return;
  }
  if (const OpeningDeclined* declined =
          std::get_if<OpeningDeclined>(&message)) {
    HandleOpeningDeclined(relay_, declined->flow, declined->copy);
    return;
  }
  if (const BalancerCount* count = std::get_if<BalancerCount>(&message)) {
    relay_.directory.reported_balancers = count->balancers;
    return;
  }
  if (const OwnershipBatchReply* batch =
          std::get_if<OwnershipBatchReply>(&message)) {
    actions_.clear();
    for (const ReportedOwnership& reported : batch->flows) {
      HandleOwnershipReply(
          relay_, OwnershipReply{from, reported.flow, reported.ownership}, {},
          {}, now, actions_);
    }
    ExecuteActions(actions_, {});
    return;
  }
  if (HandleNamedAgents(from, message)) return;
  const FlowOwnershipReply* reply = std::get_if<FlowOwnershipReply>(&message);
  if (reply == nullptr) {
    ++malformed_messages_;
    return;
  }
  const std::optional<FlowPacket> returned =
      platform_.decode_packet(reply->packet);
  // A search with another packet than one of this flow could prove nothing.
  if (!reply->packet.empty() &&
      (!returned.has_value() || FlowFromCaller(*returned) != reply->flow)) {
    ++malformed_messages_;
    return;
  }
  const FlowPacket packet = returned.value_or(FlowPacket{});
  actions_.clear();
  HandleOwnershipReply(relay_,
                       OwnershipReply{from, reply->flow, reply->ownership},
                       packet, reply->packet, now, actions_);
  ExecuteActions(actions_, reply->packet);
}

void BalancerNode::HandleStatus(const Endpoint& from,
                                const AgentStatus& status) {
  const TimePoint now = MonotonicNow();
  const ReportEffect effect =
      ApplyAgentReport(relay_.directory, from, status.report, now);
  if (!effect.is_applied) return;
  if (effect.phase_before != status.report.phase || effect.is_new_process) {
    Log(LogLevel::kInfo, "upstream_phase",
        {{"agent", ToString(from)},
         {"phase", UpstreamPhaseName(status.report.phase)},
         {"before", UpstreamPhaseName(effect.phase_before)},
         {"new_process", effect.is_new_process ? "true" : "false"},
         {"slots", static_cast<int64_t>(status.report.slots)},
         {"flows", static_cast<int64_t>(status.report.flows)}});
  }
  const uint64_t active_version = relay_.routes.configuration.version;
  const bool is_behind = status.configuration_version > active_version;
  if (!is_behind || now - last_refresh_at_ < kMinRefreshInterval) return;
  last_refresh_at_ = now;
  Log(LogLevel::kWarning, "configuration_behind",
      {{"version", static_cast<int64_t>(active_version)},
       {"known_to", ToString(from)},
       {"newer", static_cast<int64_t>(status.configuration_version)}});
  configuration_watch_->Reconnect(platform_.open_store());
}

void BalancerNode::ExecuteActions(RelayActions& actions, ByteView packet,
                                  std::optional<TimePoint> received_at) {
  for (RelayAction& action : actions) {
    if (RelayToAgent* relayed = std::get_if<RelayToAgent>(&action)) {
      if (relayed->header.purpose == RelayPurpose::kOpen &&
          log_limiter_.AllowLine("flow_opening", kFlowOpeningLogLinesPerSecond,
                                 MonotonicNow())) {
        const std::optional<FlowPacket> opening_packet =
            platform_.decode_packet(packet);
        const KnownUpstream& chosen =
            relay_.directory.upstreams.at(relayed->to);
        Log(LogLevel::kInfo, "flow_opening",
            {{"flow", FormatFlow(FlowFromCaller(*opening_packet))},
             {"opening", static_cast<int64_t>(opening_packet->sequence)},
             {"copy", static_cast<int64_t>(opening_packet->acknowledged)},
             {"agent", ToString(relayed->to)},
             {"flows", static_cast<int64_t>(chosen.report.flows)},
             {"busy", std::to_string(chosen.report.mean_outstanding)},
             {"report_age_ms", (MonotonicNow() - chosen.last_contact).value},
             {"revision",
              static_cast<int64_t>(relay_.routes.revision.number)}});
      }
      if (relayed->context.has_value()) {
        relayed->context->relayed_at =
            received_at.value_or(BootTimeNow() - relay_.arrival_delay);
      }
      agent_socket_->Send(relayed->to,
                          packet_encoder_.Encode(std::move(relayed->header),
                                                 relayed->context, packet));
      continue;
    }
    if (RelayBufferedPacket* buffered =
            std::get_if<RelayBufferedPacket>(&action)) {
      if (buffered->header.purpose == RelayPurpose::kProbe) {
        LogProbe(log_limiter_,
                 FlowFromCaller(*platform_.decode_packet(buffered->packet)),
                 buffered->to, MonotonicNow());
      }
      agent_socket_->Send(
          buffered->to, packet_encoder_.Encode(std::move(buffered->header),
                                               std::nullopt, buffered->packet));
      continue;
    }
    if (const SendOwnershipQuery* query =
            std::get_if<SendOwnershipQuery>(&action)) {
      EncodeRelayMessage(query->query, message_buffer_);
      agent_socket_->Send(query->to, message_buffer_);
      continue;
    }
    if (const SendOwnershipBatchQuery* batch =
            std::get_if<SendOwnershipBatchQuery>(&action)) {
      EncodeRelayMessage(batch->query, message_buffer_);
      agent_socket_->Send(batch->to, message_buffer_);
      continue;
    }
    if (std::holds_alternative<ScheduleQueryFlush>(action)) {
      SchedulePendingQueries();
      continue;
    }
    if (std::holds_alternative<RefreshDirectory>(action)) {
      ConfirmAgents();
      continue;
    }
    if (const DropPackets* drop = std::get_if<DropPackets>(&action)) {
      LogDroppedPackets(log_limiter_, *drop, MonotonicNow());
      continue;
    }
    if (const ResetCaller* reset = std::get_if<ResetCaller>(&action)) {
      SendReset(*reset);
    }
  }
}

void BalancerNode::SchedulePendingQueries() {
  if (is_flush_scheduled_) return;
  is_flush_scheduled_ = true;
  flush_timer_.expires_after(std::chrono::milliseconds(kQueryBatchDelay.value));
  flush_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    is_flush_scheduled_ = false;
    RelayActions actions;
    FlushOwnershipQueries(relay_, actions);
    ExecuteActions(actions, {});
  });
}

void BalancerNode::SendReset(const ResetCaller& reset) {
  SendResetPacket(*caller_socket_, platform_, reset);
  LogBalancerReset(log_limiter_, relay_, reset, MonotonicNow());
}

void BalancerNode::Tick() {
  const TimePoint now = MonotonicNow();
  actions_.clear();
  const Millis elapsed = now - last_tick_at_;
  const Millis tick_delay =
      last_tick_at_ == TimePoint{} ? Millis{0} : elapsed - kTickInterval;
  last_tick_at_ = now;
  HandleBalancerTick(relay_, tick_delay, now, actions_);
  ExecuteActions(actions_, {});
  arrivals_.HandleTick(*caller_socket_);
  RemoveUnlistedAgents(relay_.directory, now);
  UpdateOutliers(now);
  PollStartingAgents();
  LogSuppressedLines(log_limiter_);
  if (!is_stopping_) return;
  const Millis stop_elapsed = now - stop_requested_at_;
  const bool is_idle = stop_elapsed >= kRotationRemovalDelay &&
                       now - last_packet_at_ >= kExitIdleTime;
  if (is_idle || stop_elapsed >= settings_.stop_grace_period - kExitReserve) {
    Log(LogLevel::kInfo, "stop",
        {{"role", "balancer"},
         {"after_ms", stop_elapsed.value},
         {"flows", static_cast<int64_t>(relay_.cache.size())}});
    loop_.stop();
  }
}

bool BalancerNode::IsReady() const {
  if (is_stopping_) return false;
  if (!relay_.routes.is_loaded || !relay_.directory.is_complete) {
    return false;
  }
  if (settings_.features.evacuations &&
      !relay_.directory.evacuations.is_known) {
    return false;
  }
  // A balancer that has lost the store and most agents is itself partitioned.
  const AgentReachability reachability =
      CountReachableAgents(relay_.directory, MonotonicNow());
  const bool store_is_lost =
      !configuration_watch_->is_connected() && !agent_watch_->is_connected();
  if (store_is_lost && reachability.reachable * 2 < reachability.known)
    return false;
  if (MonotonicNow() - first_listing_at_ >= kInitialReportTimeout) return true;
  return std::all_of(
      relay_.directory.upstreams.begin(), relay_.directory.upstreams.end(),
      [](const auto& entry) { return entry.second.report.sequence != 0; });
}

void BalancerNode::BeginStop() {
  if (is_stopping_) return;
  is_stopping_ = true;
  stop_requested_at_ = MonotonicNow();
  held_openings_.ReleaseAll();
  Log(LogLevel::kInfo, "stopping",
      {{"role", "balancer"},
       {"flows", static_cast<int64_t>(relay_.cache.size())}});
}

std::string BalancerNode::RenderMetrics() {
  SetBalancerMetrics(relay_, malformed_packets_, malformed_messages_, metrics_);
  return metrics_.Render();
}

}  // namespace medlarwinch
