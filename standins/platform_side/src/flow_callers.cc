#include "medlarwinch/platform_side/flow_callers.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "medlarwinch/platform/packet_format.h"
#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

constexpr std::chrono::milliseconds kTickInterval{10};
// The platform's intervals: copies of an opening after 200 and 600 ms, its end
// after 1.4 s; retransmissions after 200 ms, doubling up to 1.6 s.
constexpr Millis kFirstInterval{200};
constexpr Millis kLongestInterval{1'600};
constexpr Millis kOpeningLimit{1'400};
constexpr Millis kRequestLimit{2'500};
constexpr uint32_t kOpeningCopies = 2;
constexpr int kRequestsOfFlow = 60;
// Longest pause of a user between two requests.
constexpr uint64_t kMaxPauseMs = 250;

}  // namespace

FlowCallers::FlowCallers(boost::asio::io_context& loop, uint32_t ip, int users,
                         std::vector<Endpoint> routes, uint64_t seed,
                         Hooks hooks)
    : loop_(loop),
      ip_(ip),
      routes_(std::move(routes)),
      random_(seed),
      hooks_(std::move(hooks)),
      timer_(loop),
      users_(static_cast<size_t>(users)) {}

Result<Ok> FlowCallers::Start() {
  const Result<Ok> port_opened = AsyncUdpSocket::OpenInto(
      port_, loop_, Endpoint{ip_, kDatagramPort},
      [this](const Endpoint& from, std::span<uint8_t> datagram) {
        HandlePacket(from, datagram);
      });
  if (!IsOk(port_opened)) return port_opened;
  Tick();
  return Ok{};
}

void FlowCallers::Tick() {
  const TimePoint now = MonotonicNow();
  for (User& user : users_) {
    if (now < user.next) continue;
    if (user.is_asking && now >= user.deadline) {
      EndRequest(user, false, now);
    } else if (user.is_asking) {
      Resend(user, now);
    } else if (user.flow.caller.port == 0 || user.requests_left == 0) {
      OpenFlow(user, now);
    } else {
      Ask(user, now);
    }
  }
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Tick();
  });
}

void FlowCallers::OpenFlow(User& user, TimePoint now) {
  if (user.is_open) Send(user, false, true, {});
  by_port_.erase(user.flow.caller.port);
  const size_t index = static_cast<size_t>(&user - users_.data());
  user = User{};
  user.flow =
      FlowTuple{Endpoint{ip_, next_port_}, routes_[random_() % routes_.size()]};
  by_port_[next_port_] = index;
  next_port_ = next_port_ == UINT16_MAX ? 1'024 : next_port_ + 1;
  user.sent = static_cast<uint32_t>(random_());
  user.requests_left = kRequestsOfFlow;
  ++counts_.flows;
  ++counts_.asked;
  user.is_asking = true;
  user.deadline = now + kOpeningLimit;
  user.interval = kFirstInterval;
  user.next = now + user.interval;
  Send(user, true, false, {});
}

void FlowCallers::Ask(User& user, TimePoint now) {
  user.request =
      "request " + std::to_string(ip_) + "-" + std::to_string(next_request_++);
  if (!user.is_asking) ++counts_.asked;
  user.is_asking = true;
  user.deadline = now + kRequestLimit;
  user.interval = kFirstInterval;
  user.next = now + user.interval;
  Send(user, false, false, user.request);
}

void FlowCallers::Resend(User& user, TimePoint now) {
  if (user.is_open) {
    user.interval = std::min(user.interval * 2, kLongestInterval);
    Send(user, false, false, user.request);
  } else if (user.copies < kOpeningCopies) {
    ++user.copies;
    user.interval = user.interval * 2;
    Send(user, true, false, {});
  }
  user.next = now + user.interval;
}

void FlowCallers::EndRequest(User& user, bool is_answered, TimePoint now) {
  ++(is_answered ? counts_.answered : counts_.failed);
  user.is_asking = false;
  --user.requests_left;
  if (!is_answered) user.requests_left = 0;
  user.next = now + Millis{static_cast<int64_t>(random_() % kMaxPauseMs)};
}

void FlowCallers::Send(const User& user, bool is_syn, bool is_reset,
                       std::string_view data) {
  FlowPacket packet;
  packet.source = user.flow.caller;
  packet.destination = user.flow.service_address;
  packet.is_syn = is_syn;
  packet.is_ack = !is_syn;
  packet.is_reset = is_reset;
  packet.sequence = is_syn ? user.sent : user.sent + 1;
  packet.acknowledged = is_syn ? user.copies : user.received;
  const Endpoint balancer = hooks_.balancer_of(user.flow);
  if (balancer.port == 0) return;
  port_->Send(balancer, EncodePacket(packet, data));
}

void FlowCallers::HandlePacket(const Endpoint& from,
                               std::span<uint8_t> datagram) {
  const std::optional<FlowPacket> packet = platform::DecodePacket(datagram);
  if (!packet.has_value()) {
    hooks_.report("a caller got bytes that are no packet");
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
    if (user.is_asking) EndRequest(user, false, now);
    user.requests_left = 0;
    return;
  }
  if (!HasValidSum(datagram)) {
    hooks_.report("a caller got a packet that its sender did not write so");
    return;
  }
  if (packet->is_syn) {
    if (user.is_open || !user.is_asking) return;
    user.is_open = true;
    user.received = packet->sequence + 1;
    Ask(user, now);
    return;
  }
  const std::string_view data = DataOf(datagram);
  if (!user.is_asking || data.empty()) return;
  if (packet->sequence != user.received) return;
  if (data != "answer to " + user.request) {
    hooks_.report("a caller got the answer to another request");
  }
  user.received += static_cast<uint32_t>(data.size());
  user.sent += static_cast<uint32_t>(user.request.size());
  EndRequest(user, true, now);
}

}  // namespace medlarwinch
