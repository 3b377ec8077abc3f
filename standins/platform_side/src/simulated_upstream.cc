#include "medlarwinch/platform_side/simulated_upstream.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "medlarwinch/platform/packet_format.h"
#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// A new flow later than this after an acknowledged drain violates the
// platform's bound.
constexpr Millis kMaxOpenDelayAfterDrain{3'000};
// Number of requests that an upstream queues beyond its slots before it bounces
// new flows.
constexpr uint32_t kQueueCapacity = 16;
// The platform's bound on the openings of a cold upstream within a second, as a
// multiple of its limit plus a number of openings.
constexpr double kColdExcessFactor = 1.5;
constexpr double kColdExcessOpenings = 5;
constexpr uint8_t kBouncedFlag = 32;
constexpr size_t kFlagsOffset = 26;

}  // namespace

SimulatedUpstream::SimulatedUpstream(boost::asio::io_context& loop,
                                     SimulatedUpstreamSettings settings,
                                     std::set<Endpoint> allowed_routes,
                                     uint32_t incarnation,
                                     ViolationHandler on_violation,
                                     OpeningHandler on_opening,
                                     ForeignPacketHandler on_foreign_packet)
    : loop_(loop),
      settings_(std::move(settings)),
      allowed_routes_(std::move(allowed_routes)),
      incarnation_(incarnation),
      on_violation_(std::move(on_violation)),
      on_opening_(std::move(on_opening)),
      on_foreign_packet_(std::move(on_foreign_packet)),
      id_("i-" + std::to_string(incarnation)),
      heartbeat_client_(loop, Endpoint{settings_.ip, kAgentControlPort}),
      heartbeat_timer_(loop) {}

SimulatedUpstream::~SimulatedUpstream() { *alive_ = false; }

Result<Ok> SimulatedUpstream::Start() {
  started_ = MonotonicNow();
  started_unix_ms_ = WallNow().value;
  const Endpoint address{settings_.ip, kUpstreamPacketPort};
  const Result<Ok> socket_opened = AsyncUdpSocket::OpenInto(
      socket_, loop_, address,
      [this](const Endpoint& /*from*/, std::span<uint8_t> datagram) {
        HandlePacket(datagram);
      });
  if (!IsOk(socket_opened)) return socket_opened;
  Result<std::unique_ptr<AsyncHttpServer>> server = AsyncHttpServer::Listen(
      loop_, address,
      [this](const HttpRequest& /*request*/) { return HandleStatusCheck(); });
  if (!IsOk(server)) return ErrorOf(server);
  status_server_ = TakeValue(std::move(server));
  if (settings_.first_heartbeat_delay > Millis{0}) {
    ScheduleHeartbeat(settings_.first_heartbeat_delay);
  } else {
    SendHeartbeat();
  }
  return Ok{};
}

void SimulatedUpstream::Drain() { is_draining_ = true; }

std::optional<OpenFlow> SimulatedUpstream::FindOpenFlow(
    const FlowTuple& flow) const {
  const auto found = flows_.find(flow);
  if (found == flows_.end() || !found->second.is_open) return std::nullopt;
  return OpenFlow{found->second.opened_at, found->second.last_packet_at};
}

HttpResponse SimulatedUpstream::HandleStatusCheck() const {
  HttpResponse response;
  response.status = is_draining_ ? 503 : 200;
  response.content_type = "text/plain";
  return response;
}

void SimulatedUpstream::ReportForeign(const FlowTuple& flow) {
  if (on_foreign_packet_) on_foreign_packet_(flow);
}

void SimulatedUpstream::CheckColdOpening() {
  const TimePoint now = MonotonicNow();
  const double limit = settings_.cold_openings_per_second;
  if (limit <= 0 || now - started_ >= settings_.cold_time) return;
  cold_openings_.push_back(now);
  while (now - cold_openings_.front() >= Millis{1'000}) {
    cold_openings_.pop_front();
  }
  if (static_cast<double>(cold_openings_.size()) <=
      limit * kColdExcessFactor + kColdExcessOpenings) {
    return;
  }
  on_violation_("a cold upstream received " +
                std::to_string(cold_openings_.size()) +
                " openings within a second");
}

void SimulatedUpstream::Bounce(std::span<uint8_t> datagram) {
  datagram[kFlagsOffset] |= kBouncedFlag;
  socket_->Send(Endpoint{settings_.ip, kOutboundPort}, datagram);
}

void SimulatedUpstream::HandlePacket(std::span<uint8_t> datagram) {
  const std::optional<FlowPacket> packet = platform::DecodePacket(datagram);
  if (!packet.has_value() || packet->is_bounced ||
      !HasValidChecksum(datagram)) {
    on_violation_(
        "an upstream received a malformed or bounced packet or a wrong "
        "checksum");
    return;
  }
  const FlowTuple flow = FlowFromCaller(*packet);
  const auto found = flows_.find(flow);
  if (packet->is_syn) {
    ReportForeign(flow);
    CheckColdOpening();
    if (allowed_routes_.count(packet->destination) == 0) {
      on_violation_(
          "a flow was opened at an upstream of a service that its route "
          "excludes");
    }
    const bool is_late =
        is_drain_acknowledged_ &&
        MonotonicNow() - drain_acknowledged_at_ > kMaxOpenDelayAfterDrain;
    if (is_late)
      on_violation_("a flow was opened too long after an acknowledged drain");
    if (running_requests_ >= settings_.slots + kQueueCapacity) {
      Bounce(datagram);
      return;
    }
    on_opening_(flow);
    Flow& state = flows_[flow];
    if (state.initial_sequence == 0) {
      // A sequence number that no other incarnation uses for this flow.
      state.initial_sequence =
          1'000'000 * incarnation_ + packet->sequence % 100'000 + 1;
      state.next_sequence = state.initial_sequence + 1;
      state.expected_sequence = packet->sequence + 1;
    }
    SendToCaller(flow, state, true, state.initial_sequence, {});
    return;
  }
  const bool owns_flow =
      found != flows_.end() &&
      packet->acknowledged - found->second.initial_sequence <=
          found->second.next_sequence - found->second.initial_sequence;
  if (!owns_flow) {
    if (!packet->is_reset) ReportForeign(flow);
    Bounce(datagram);
    return;
  }
  Flow& state = found->second;
  if (packet->is_reset) {
    flows_.erase(found);
    return;
  }
  state.last_packet_at = MonotonicNow();
  if (!state.is_open) state.opened_at = state.last_packet_at;
  state.is_open = true;
  const std::string_view data = DataOf(datagram);
  if (data.empty() || state.is_running) return;
  if (packet->sequence != state.expected_sequence) {
    // The request was retransmitted because its response was lost.
    SendToCaller(
        flow, state, false,
        state.next_sequence - static_cast<uint32_t>(state.response.size()),
        state.response);
    return;
  }
  state.expected_sequence += static_cast<uint32_t>(data.size());
  state.is_running = true;
  RunRequest(flow, std::string(data));
}

void SimulatedUpstream::RunRequest(const FlowTuple& flow,
                                   const std::string& request) {
  ++running_requests_;
  const int64_t duration_factor = running_requests_ > settings_.slots
                                      ? running_requests_ / settings_.slots
                                      : 1;
  auto timer = std::make_shared<boost::asio::steady_timer>(
      loop_, std::chrono::milliseconds(settings_.request_duration.value *
                                       duration_factor));
  timer->async_wait([this, timer, flow, request,
                     alive = alive_](boost::system::error_code error) {
    if (error || !*alive) return;
    --running_requests_;
    const auto found = flows_.find(flow);
    if (found == flows_.end()) return;
    Flow& state = found->second;
    state.is_running = false;
    state.response = "answer to " + request;
    const uint32_t sequence = state.next_sequence;
    state.next_sequence += static_cast<uint32_t>(state.response.size());
    ++completed_requests_;
    SendToCaller(flow, state, false, sequence, state.response);
  });
}

void SimulatedUpstream::SendToCaller(const FlowTuple& flow, const Flow& state,
                                     bool is_syn, uint32_t sequence,
                                     std::string_view data) {
  FlowPacket packet;
  packet.source = flow.service_address;
  packet.destination = flow.caller;
  packet.is_syn = is_syn;
  packet.is_ack = true;
  packet.sequence = sequence;
  packet.acknowledged = state.expected_sequence;
  socket_->Send(Endpoint{settings_.ip, kOutboundPort},
                EncodePacket(packet, data));
}

void SimulatedUpstream::ScheduleHeartbeat(Millis delay) {
  heartbeat_timer_.expires_after(std::chrono::milliseconds(delay.value));
  heartbeat_timer_.async_wait(
      [this, alive = alive_](boost::system::error_code error) {
        if (!error && *alive) SendHeartbeat();
      });
}

void SimulatedUpstream::SendHeartbeat() {
  ScheduleHeartbeat(settings_.heartbeat_interval);
  if (heartbeat_client_.is_busy()) return;
  const bool reports_draining = is_draining_;
  const Millis cold_left =
      std::max(Millis{0}, settings_.cold_time - (MonotonicNow() - started_));
  const nlohmann::json body = {
      {"service", settings_.service},
      {"address", ToString(Endpoint{settings_.ip, kUpstreamPacketPort})},
      {"zone", settings_.failure_domain},
      {"version", "v1"},
      {"slots", settings_.slots},
      {"state", reports_draining ? "draining" : "ready"},
      {"cold_left_ms", cold_left.value},
      {"sequence", ++heartbeat_sequence_},
      {"born", started_unix_ms_}};
  HttpRequest request;
  request.method = "POST";
  request.target = "/Instances.Heartbeat/" + id_;
  request.body = body.dump();
  heartbeat_client_.Send(
      std::move(request), Millis{500}, Millis{1'000},
      [this, reports_draining](const Result<HttpResponse>& result) {
        const bool is_acknowledged =
            IsOk(result) && ValueOf(result).status == 200;
        if (!is_acknowledged || !reports_draining) return;
        if (is_drain_acknowledged_) return;
        is_drain_acknowledged_ = true;
        drain_acknowledged_at_ = MonotonicNow();
      });
}

void SimulatedUpstream::Deregister(std::function<void()> done) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/Instances.Deregister/" + id_;
  heartbeat_timer_.cancel();
  auto client = std::make_shared<AsyncHttpClient>(
      loop_, Endpoint{settings_.ip, kAgentControlPort});
  client->Send(std::move(request), Millis{500}, Millis{1'000},
               [client, done = std::move(done)](const Result<HttpResponse>&) {
                 done();
               });
}

}  // namespace medlarwinch
