#include "medlarwinch/platform_side/flow_host.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "medlarwinch/platform/packet_format.h"
#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// Bound of the platform for new flows after an acknowledged drain.
constexpr Millis kDrainBound{3'000};
// Requests beyond the slots that a host queues before it refuses flows.
constexpr uint32_t kQueue = 16;
constexpr uint8_t kBouncedFlag = 32;
constexpr size_t kFlagsAt = 26;

}  // namespace

FlowHost::FlowHost(boost::asio::io_context& loop, FlowHostSettings settings,
                   std::set<Endpoint> allowed_routes, uint32_t incarnation,
                   Report report)
    : loop_(loop),
      settings_(std::move(settings)),
      allowed_routes_(std::move(allowed_routes)),
      incarnation_(incarnation),
      report_(std::move(report)),
      id_("i-" + std::to_string(incarnation)),
      beats_(loop, Endpoint{settings_.ip, kControlPort}),
      beat_timer_(loop) {}

FlowHost::~FlowHost() { *alive_ = false; }

Result<Ok> FlowHost::Start() {
  const Result<Ok> port_opened = AsyncUdpSocket::OpenInto(
      port_, loop_, Endpoint{settings_.ip, kAppPort},
      [this](const Endpoint& /*from*/, std::span<uint8_t> datagram) {
        HandlePacket(datagram);
      });
  if (!IsOk(port_opened)) return port_opened;
  Beat();
  return Ok{};
}

void FlowHost::Drain() { is_draining_ = true; }

bool FlowHost::Holds(const FlowTuple& flow) const {
  const auto found = flows_.find(flow);
  return found != flows_.end() && found->second.is_open;
}

void FlowHost::Bounce(std::span<uint8_t> datagram) {
  datagram[kFlagsAt] |= kBouncedFlag;
  port_->Send(Endpoint{settings_.ip, kOutboundPort}, datagram);
}

void FlowHost::HandlePacket(std::span<uint8_t> datagram) {
  const std::optional<FlowPacket> packet = platform::DecodePacket(datagram);
  if (!packet.has_value() || packet->is_bounced || !HasValidSum(datagram)) {
    report_("a host got a packet that its sender did not write so");
    return;
  }
  const FlowTuple flow = FlowFromCaller(*packet);
  const auto found = flows_.find(flow);
  if (packet->is_syn) {
    if (allowed_routes_.count(packet->destination) == 0) {
      report_("a flow was opened at a service that its route does not allow");
    }
    const bool is_late =
        drain_acknowledged_ && MonotonicNow() - drain_since_ > kDrainBound;
    if (is_late) report_("a flow was opened after an acknowledged drain");
    if (running_ >= settings_.slots + kQueue) {
      Bounce(datagram);
      return;
    }
    Flow& state = flows_[flow];
    if (state.first == 0) {
      // Any number that other incarnations don't use for the flow.
      state.first = 1'000'000 * incarnation_ + packet->sequence % 100'000 + 1;
      state.sent = state.first + 1;
      state.received = packet->sequence + 1;
    }
    SendToCaller(flow, state, true, state.first, {});
    return;
  }
  const bool is_held =
      found != flows_.end() && packet->acknowledged - found->second.first <=
                                   found->second.sent - found->second.first;
  if (!is_held) {
    Bounce(datagram);
    return;
  }
  Flow& state = found->second;
  if (packet->is_reset) {
    flows_.erase(found);
    return;
  }
  state.is_open = true;
  const std::string_view data = DataOf(datagram);
  if (data.empty() || state.is_running) return;
  if (packet->sequence != state.received) {
    // A retransmission: the answer was lost.
    SendToCaller(flow, state, false,
                 state.sent - static_cast<uint32_t>(state.answer.size()),
                 state.answer);
    return;
  }
  state.received += static_cast<uint32_t>(data.size());
  state.is_running = true;
  Run(flow, std::string(data));
}

void FlowHost::Run(const FlowTuple& flow, const std::string& request) {
  ++running_;
  const int64_t queued =
      running_ > settings_.slots ? running_ / settings_.slots : 1;
  auto timer = std::make_shared<boost::asio::steady_timer>(
      loop_, std::chrono::milliseconds(settings_.work.value * queued));
  timer->async_wait([this, timer, flow, request,
                     alive = alive_](boost::system::error_code error) {
    if (error || !*alive) return;
    --running_;
    const auto found = flows_.find(flow);
    if (found == flows_.end()) return;
    Flow& state = found->second;
    state.is_running = false;
    state.answer = "answer to " + request;
    const uint32_t sequence = state.sent;
    state.sent += static_cast<uint32_t>(state.answer.size());
    ++served_;
    SendToCaller(flow, state, false, sequence, state.answer);
  });
}

void FlowHost::SendToCaller(const FlowTuple& flow, const Flow& state,
                            bool is_syn, uint32_t sequence,
                            std::string_view data) {
  FlowPacket packet;
  packet.source = flow.service_address;
  packet.destination = flow.caller;
  packet.is_syn = is_syn;
  packet.is_ack = true;
  packet.sequence = sequence;
  packet.acknowledged = state.received;
  port_->Send(Endpoint{settings_.ip, kOutboundPort},
              EncodePacket(packet, data));
}

void FlowHost::Beat() {
  beat_timer_.expires_after(
      std::chrono::milliseconds(settings_.beat_interval.value));
  beat_timer_.async_wait(
      [this, alive = alive_](boost::system::error_code error) {
        if (!error && *alive) Beat();
      });
  if (beats_.is_busy()) return;
  const bool says_draining = is_draining_;
  const nlohmann::json body = {
      {"service", settings_.service},
      {"address", ToString(Endpoint{settings_.ip, kAppPort})},
      {"zone", settings_.failure_domain},
      {"version", "v1"},
      {"slots", settings_.slots},
      {"state", says_draining ? "draining" : "ready"},
      {"cold_left_ms", 0},
      {"sequence", ++sequence_},
      {"born", incarnation_}};
  HttpRequest request;
  request.method = "POST";
  request.target = "/Instances.Heartbeat/" + id_;
  request.body = body.dump();
  beats_.Send(std::move(request), Millis{500}, Millis{1'000},
              [this, says_draining](const Result<HttpResponse>& result) {
                const bool is_acknowledged =
                    IsOk(result) && ValueOf(result).status == 200;
                if (!is_acknowledged || !says_draining) return;
                if (drain_acknowledged_) return;
                drain_acknowledged_ = true;
                drain_since_ = MonotonicNow();
              });
}

void FlowHost::Deregister(std::function<void()> done) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/Instances.Deregister/" + id_;
  beat_timer_.cancel();
  auto client = std::make_shared<AsyncHttpClient>(
      loop_, Endpoint{settings_.ip, kControlPort});
  client->Send(std::move(request), Millis{500}, Millis{1'000},
               [client, done = std::move(done)](const Result<HttpResponse>&) {
                 done();
               });
}

}  // namespace medlarwinch
