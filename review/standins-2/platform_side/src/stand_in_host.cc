#include "stand_in_host.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "medlarwinch/platform/packet_format.h"
#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/transport/system_clock.h"
#include "stand_in_site.h"

namespace medlarwinch::review {
namespace {

constexpr uint8_t kBouncedFlag = 32;
constexpr size_t kFlagsOffset = 26;
constexpr uint32_t kInitialSequenceStep = 100'003;
constexpr Millis kHeartbeatTimeout{1'000};

}  // namespace

Host::Host(boost::asio::io_context& loop, HostOptions options, LogFunction log,
           OpeningFunction on_opening, PacketFunction on_packet)
    : loop_(loop),
      options_(std::move(options)),
      log_(std::move(log)),
      on_opening_(std::move(on_opening)),
      on_packet_(std::move(on_packet)),
      heartbeat_client_(loop, Endpoint{options_.ip, kControlPort}),
      heartbeat_timer_(loop),
      next_heartbeat_(options_.first_sequence) {}

void Host::Start() {
  born_ms_ = WallNow().value;
  const Endpoint app{options_.ip, kAppPort};
  const Result<Ok> opened = AsyncUdpSocket::OpenInto(
      socket_, loop_, app,
      [this](const Endpoint& /*from*/, std::span<uint8_t> datagram) {
        HandlePacket(datagram);
      });
  if (!IsOk(opened)) throw std::runtime_error(ErrorOf(opened).message);
  Result<std::unique_ptr<AsyncHttpServer>> listening =
      AsyncHttpServer::Listen(loop_, app, [](const HttpRequest& /*request*/) {
        HttpResponse response;
        response.status = 200;
        return response;
      });
  if (!IsOk(listening)) throw std::runtime_error(ErrorOf(listening).message);
  status_server_ = TakeValue(std::move(listening));
  log_("host " + options_.id + " starts");
  SendHeartbeat();
}

void Host::Crash() {
  log_("host " + options_.id + " is lost");
  heartbeat_timer_.cancel();
  socket_.reset();
  status_server_.reset();
  flows_.clear();
}

void Host::BecomeCold(Millis duration) {
  cold_until_ = MonotonicNow() + duration;
  log_("host " + options_.id + " becomes cold");
}

bool Host::IsCold() const { return MonotonicNow() < cold_until_; }

bool Host::HoldsOpenFlow(const FlowTuple& flow) const {
  const auto found = flows_.find(flow);
  return found != flows_.end() && found->second.is_open;
}

void Host::HandlePacket(std::span<uint8_t> datagram) {
  const std::optional<FlowPacket> packet = platform::DecodePacket(datagram);
  if (!packet.has_value() || !HasValidChecksum(datagram)) {
    log_("host " + options_.id + " got a packet that nobody wrote so");
    return;
  }
  if (packet->is_syn) return HandleOpening(*packet);
  const FlowTuple flow = FlowFromCaller(*packet);
  const auto found = flows_.find(flow);
  const bool is_held =
      found != flows_.end() &&
      packet->acknowledged - found->second.initial_sequence <=
          found->second.next_sequence - found->second.initial_sequence;
  if (on_packet_ && !packet->is_reset) on_packet_(flow, is_held);
  if (!is_held) {
    datagram[kFlagsOffset] |= kBouncedFlag;
    socket_->Send(Endpoint{options_.ip, kOutboundPort}, datagram);
    return;
  }
  if (packet->is_reset) {
    flows_.erase(found);
    return;
  }
  Flow& state = found->second;
  if (!state.is_open) {
    state.is_open = true;
    log_("flow from port " + std::to_string(flow.caller.port) +
         " opens at host " + options_.id);
  }
  const std::string_view data = DataOf(datagram);
  if (data.empty() || state.is_running) return;
  if (packet->sequence != state.expected_sequence) {
    // A copy of a request whose response was lost.
    const uint32_t sequence =
        state.next_sequence - static_cast<uint32_t>(state.response.size());
    Send(flow, state, false, sequence, state.response);
    return;
  }
  state.expected_sequence += static_cast<uint32_t>(data.size());
  state.is_running = true;
  RunRequest(flow, std::string(data));
}

void Host::HandleOpening(const FlowPacket& packet) {
  const FlowTuple flow = FlowFromCaller(packet);
  Flow& state = flows_[flow];
  if (state.initial_sequence == 0) {
    next_initial_sequence_ += kInitialSequenceStep;
    state.initial_sequence = next_initial_sequence_;
    state.next_sequence = state.initial_sequence + 1;
    state.expected_sequence = packet.sequence + 1;
    on_opening_(flow);
  }
  Send(flow, state, true, state.initial_sequence, {});
}

void Host::RunRequest(const FlowTuple& flow, const std::string& request) {
  ++requests_run_;
  log_("host " + options_.id + " runs " + request);
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      loop_, std::chrono::milliseconds(options_.work.value));
  timer->async_wait(
      [this, timer, flow, request](boost::system::error_code error) {
        const auto found = flows_.find(flow);
        if (error || found == flows_.end()) return;
        Flow& state = found->second;
        state.is_running = false;
        state.response = "answer to " + request;
        const uint32_t sequence = state.next_sequence;
        state.next_sequence += static_cast<uint32_t>(state.response.size());
        Send(flow, state, false, sequence, state.response);
      });
}

void Host::Send(const FlowTuple& flow, const Flow& state, bool is_syn,
                uint32_t sequence, std::string_view data) {
  FlowPacket packet;
  packet.source = flow.service_address;
  packet.destination = flow.caller;
  packet.is_syn = is_syn;
  packet.is_ack = true;
  packet.sequence = sequence;
  packet.acknowledged = state.expected_sequence;
  socket_->Send(Endpoint{options_.ip, kOutboundPort},
                EncodePacket(packet, data));
}

void Host::SendHeartbeat() {
  heartbeat_timer_.expires_after(
      std::chrono::milliseconds(options_.heartbeat_interval.value));
  heartbeat_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) SendHeartbeat();
  });
  if (heartbeat_client_.is_busy()) return;
  const uint64_t sequence = next_heartbeat_++;
  const Millis cold_left = std::max(Millis{0}, cold_until_ - MonotonicNow());
  const nlohmann::json body = {
      {"service", options_.service},
      {"address", ToString(Endpoint{options_.ip, kAppPort})},
      {"zone", options_.zone},
      {"version", "v1"},
      {"slots", options_.slots},
      {"state", "ready"},
      {"cold_left_ms", cold_left.value},
      {"sequence", sequence},
      {"born", born_ms_}};
  HttpRequest request;
  request.method = "POST";
  request.target = "/Instances.Heartbeat/" + options_.id;
  request.body = body.dump();
  heartbeat_client_.Send(
      std::move(request), kHeartbeatTimeout, kHeartbeatTimeout,
      [this, sequence](const Result<HttpResponse>& result) {
        const bool is_acknowledged =
            IsOk(result) && ValueOf(result).status / 100 == 2;
        log_("heartbeat " + std::to_string(sequence) + " of host " +
             options_.id +
             (is_acknowledged ? " acknowledged" : " not acknowledged"));
      });
}

}  // namespace medlarwinch::review
