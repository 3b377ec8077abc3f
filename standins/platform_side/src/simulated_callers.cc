#include "medlarwinch/platform_side/simulated_callers.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "medlarwinch/platform/packet_format.h"
#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

constexpr std::chrono::milliseconds kTickInterval{10};
// Intervals of the platform's callers: an opening packet is retransmitted after
// 200 and 600 ms and times out after 1.4 s. A request is retransmitted after
// 200 ms, with the interval doubling up to 1.6 s.
constexpr Millis kInitialRetransmitInterval{200};
constexpr Millis kMaxRetransmitInterval{1'600};
constexpr Millis kOpenTimeout{1'400};
constexpr Millis kRequestTimeout{2'500};
constexpr uint32_t kMaxSynRetransmissions = 2;
constexpr int kRequestsPerFlow = 60;
// Maximum pause of a user between two requests.
constexpr uint64_t kMaxThinkTimeMs = 250;
// Flows that are silent during a restart are unknown to the agent after it, so
// one user in kPausingUserInterval pauses longer than a restart lasts.
constexpr uint64_t kMaxLongThinkTimeMs = 4'000;
constexpr size_t kPausingUserInterval = 4;
// The users between them open new flows after fewer requests, so that openings
// take place throughout each restart.
constexpr int kRequestsPerShortFlow = 4;
constexpr size_t kShortFlowUserOffset = 1;

}  // namespace

SimulatedCallers::SimulatedCallers(boost::asio::io_context& loop, uint32_t ip,
                                   int users, std::vector<Endpoint> routes,
                                   uint64_t seed, Hooks hooks)
    : loop_(loop),
      ip_(ip),
      routes_(std::move(routes)),
      random_(seed),
      hooks_(std::move(hooks)),
      timer_(loop),
      users_(static_cast<size_t>(users)) {}

Result<Ok> SimulatedCallers::Start() {
  const Result<Ok> socket_opened = AsyncUdpSocket::OpenInto(
      socket_, loop_, Endpoint{ip_, kDatagramPort},
      [this](const Endpoint& from, std::span<uint8_t> datagram) {
        HandlePacket(from, datagram);
      });
  if (!IsOk(socket_opened)) return socket_opened;
  Tick();
  return Ok{};
}

void SimulatedCallers::Tick() {
  const TimePoint now = MonotonicNow();
  for (User& user : users_) {
    if (now < user.next_action_at) continue;
    if (user.is_pending && now >= user.deadline) {
      HandleTimeout(user, now);
    } else if (user.is_pending) {
      Retransmit(user, now);
    } else if (user.flow.caller.port == 0 || user.requests_left == 0) {
      OpenFlow(user, now);
    } else {
      SendRequest(user, now);
    }
  }
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Tick();
  });
}

void SimulatedCallers::OpenFlow(User& user, TimePoint now) {
  if (user.is_open) Send(user, false, true, {});
  by_port_.erase(user.flow.caller.port);
  const size_t index = static_cast<size_t>(&user - users_.data());
  user = User{};
  user.flow =
      FlowTuple{Endpoint{ip_, next_port_}, routes_[random_() % routes_.size()]};
  by_port_[next_port_] = index;
  next_port_ = next_port_ == UINT16_MAX ? 1'024 : next_port_ + 1;
  user.last_sequence = static_cast<uint32_t>(random_());
  const bool has_short_flows =
      hooks_.is_flow_held &&
      index % kPausingUserInterval == kShortFlowUserOffset;
  user.requests_left =
      has_short_flows ? kRequestsPerShortFlow : kRequestsPerFlow;
  ++counts_.flows;
  ++counts_.requests;
  user.is_pending = true;
  user.deadline = now + kOpenTimeout;
  user.interval = kInitialRetransmitInterval;
  user.next_action_at = now + user.interval;
  Send(user, true, false, {});
}

void SimulatedCallers::SendRequest(User& user, TimePoint now) {
  user.request =
      "request " + std::to_string(ip_) + "-" + std::to_string(next_request_++);
  if (!user.is_pending) ++counts_.requests;
  user.is_pending = true;
  user.deadline = now + kRequestTimeout;
  user.interval = kInitialRetransmitInterval;
  user.next_action_at = now + user.interval;
  Send(user, false, false, user.request);
}

void SimulatedCallers::Retransmit(User& user, TimePoint now) {
  if (user.is_open) {
    user.interval = std::min(user.interval * 2, kMaxRetransmitInterval);
    Send(user, false, false, user.request);
  } else if (user.syn_retransmissions < kMaxSynRetransmissions) {
    ++user.syn_retransmissions;
    user.interval = user.interval * 2;
    Send(user, true, false, {});
  }
  user.next_action_at = now + user.interval;
}

void SimulatedCallers::HandleTimeout(User& user, TimePoint now) {
  const bool keeps_flow =
      user.is_open && hooks_.is_flow_held && hooks_.is_flow_held(user.flow);
  if (!keeps_flow) {
    EndRequest(user, false, now);
    return;
  }
  ++counts_.failed;
  ++counts_.requests;
  user.deadline = now + kRequestTimeout;
  Retransmit(user, now);
}

void SimulatedCallers::EndRequest(User& user, bool is_answered, TimePoint now) {
  ++(is_answered ? counts_.answered : counts_.failed);
  user.is_pending = false;
  --user.requests_left;
  if (!is_answered) user.requests_left = 0;
  const size_t index = static_cast<size_t>(&user - users_.data());
  const bool pauses = hooks_.is_flow_held && index % kPausingUserInterval == 0;
  const uint64_t longest = pauses ? kMaxLongThinkTimeMs : kMaxThinkTimeMs;
  user.next_action_at = now + Millis{static_cast<int64_t>(random_() % longest)};
}

void SimulatedCallers::Send(const User& user, bool is_syn, bool is_reset,
                            std::string_view data) {
  FlowPacket packet;
  packet.source = user.flow.caller;
  packet.destination = user.flow.service_address;
  packet.is_syn = is_syn;
  packet.is_ack = !is_syn;
  packet.is_reset = is_reset;
  packet.sequence = is_syn ? user.last_sequence : user.last_sequence + 1;
  packet.acknowledged =
      is_syn ? user.syn_retransmissions : user.expected_sequence;
  const Endpoint balancer = hooks_.balancer_of(user.flow);
  if (balancer.port == 0) return;
  socket_->Send(balancer, EncodePacket(packet, data));
}

void SimulatedCallers::HandlePacket(const Endpoint& from,
                                    std::span<uint8_t> datagram) {
  const std::optional<FlowPacket> packet = platform::DecodePacket(datagram);
  if (!packet.has_value()) {
    hooks_.on_violation("a caller received a datagram that is not a packet");
    return;
  }
  const auto found = by_port_.find(packet->destination.port);
  if (found == by_port_.end()) return;
  User& user = users_[found->second];
  if (FlowFromUpstream(*packet) != user.flow) return;
  const TimePoint now = MonotonicNow();
  if (packet->is_reset) {
    if (user.is_open) hooks_.on_reset(user.flow, from.ip);
    user.is_open = false;
    if (user.is_pending) EndRequest(user, false, now);
    user.requests_left = 0;
    return;
  }
  if (!HasValidChecksum(datagram)) {
    hooks_.on_violation("a caller received a packet with a wrong checksum");
    return;
  }
  if (packet->is_syn) {
    if (user.is_open || !user.is_pending) return;
    user.is_open = true;
    user.expected_sequence = packet->sequence + 1;
    SendRequest(user, now);
    return;
  }
  const std::string_view data = DataOf(datagram);
  if (!user.is_pending || data.empty()) return;
  if (packet->sequence != user.expected_sequence) return;
  if (data != "answer to " + user.request) {
    hooks_.on_violation(
        "a caller received the response to a different request");
  }
  user.expected_sequence += static_cast<uint32_t>(data.size());
  user.last_sequence += static_cast<uint32_t>(user.request.size());
  EndRequest(user, true, now);
}

}  // namespace medlarwinch
