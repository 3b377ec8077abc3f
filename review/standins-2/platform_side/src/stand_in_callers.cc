#include "stand_in_callers.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "medlarwinch/coordination/packet_path/relay_types.h"
#include "medlarwinch/platform/packet_format.h"
#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch::review {
namespace {

constexpr std::chrono::milliseconds kTick{10};
constexpr Millis kFirstInterval{200};
constexpr Millis kMaxInterval{1'600};
constexpr Millis kOpeningTimeout{1'400};
constexpr uint32_t kMaxOpeningCopies = 2;
constexpr uint32_t kResetWindow = 76'800;

bool IsInWindow(uint32_t sequence, uint32_t acknowledged) {
  const uint32_t above = sequence - acknowledged;
  const uint32_t below = acknowledged - sequence;
  return std::min(above, below) <= kResetWindow;
}

}  // namespace

Callers::Callers(Site& site, uint32_t ip, Record& record)
    : site_(site), ip_(ip), record_(record), timer_(site.loop()) {
  const Result<Ok> opened = AsyncUdpSocket::OpenInto(
      socket_, site.loop(), Endpoint{ip, kDatagramPort},
      [this](const Endpoint& /*from*/, std::span<uint8_t> datagram) {
        HandlePacket(datagram);
      });
  if (!IsOk(opened)) throw std::runtime_error(ErrorOf(opened).message);
  Tick();
}

uint16_t Callers::Open(const Endpoint& route) {
  const uint16_t port = next_port_++;
  Flow& flow = flows_[port];
  flow.tuple = FlowTuple{Endpoint{ip_, port}, route};
  flow.opened_at = MonotonicNow();
  flow.sequence = 7'000U * port;
  flow.next_copy_at = flow.opened_at + flow.interval;
  Send(flow, true, {});
  return port;
}

void Callers::SendRequest(Flow& flow) {
  flow.request = "request " + std::to_string(next_request_++);
  flow.requested_at = MonotonicNow();
  flow.interval = kFirstInterval;
  flow.next_copy_at = flow.requested_at + flow.interval;
  record_.Write("port " + std::to_string(flow.tuple.caller.port) + " sends " +
                flow.request);
  Send(flow, false, flow.request);
}

void Callers::Tick() {
  const TimePoint now = MonotonicNow();
  for (auto& [port, flow] : flows_) {
    if (flow.is_reset || now < flow.next_copy_at) continue;
    if (!flow.is_open) {
      const bool is_over = now - flow.opened_at >= kOpeningTimeout;
      if (is_over || flow.copies >= kMaxOpeningCopies) continue;
      ++flow.copies;
      flow.interval = flow.interval * 2;
      flow.next_copy_at = now + flow.interval;
      Send(flow, true, {});
      continue;
    }
    if (flow.request.empty()) continue;
    flow.interval = std::min(flow.interval * 2, kMaxInterval);
    flow.next_copy_at = now + flow.interval;
    Send(flow, false, flow.request);
  }
  timer_.expires_after(kTick);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Tick();
  });
}

void Callers::HandlePacket(std::span<uint8_t> datagram) {
  const std::optional<FlowPacket> packet = platform::DecodePacket(datagram);
  if (!packet.has_value()) return;
  const auto found = flows_.find(packet->destination.port);
  if (found == flows_.end() ||
      found->second.tuple != FlowFromUpstream(*packet)) {
    record_.Write("a packet of a flow that no caller opened");
    return;
  }
  Flow& flow = found->second;
  const std::string name = "port " + std::to_string(found->first);
  if (packet->is_reset) {
    if (flow.is_open && !IsInWindow(packet->sequence, flow.acknowledged)) {
      return;
    }
    if (!flow.is_reset) record_.Write(name + " gets a reset");
    flow.is_reset = true;
    return;
  }
  if (packet->is_syn) {
    if (flow.is_open || flow.is_reset) return;
    flow.is_open = true;
    ++flow.sequence;
    flow.acknowledged = packet->sequence + 1;
    Send(flow, false, {});
    return;
  }
  const std::string_view data = DataOf(datagram);
  if (data.empty() || packet->sequence != flow.acknowledged) return;
  flow.acknowledged += static_cast<uint32_t>(data.size());
  flow.sequence += static_cast<uint32_t>(flow.request.size());
  record_.Write(name + " gets " + std::string(data));
  flow.request.clear();
  ++flow.answers;
  Send(flow, false, {});
}

// A router forwards by a hash over the balancers in rotation.
void Callers::Send(const Flow& flow, bool is_syn, std::string_view data) {
  const std::vector<const SiteDaemon*> ready = site_.ReadyBalancers();
  if (ready.empty()) return;
  const SiteDaemon& balancer = *ready[HashFlow(flow.tuple) % ready.size()];
  FlowPacket packet;
  packet.source = flow.tuple.caller;
  packet.destination = flow.tuple.service_address;
  packet.is_syn = is_syn;
  packet.is_ack = !is_syn;
  packet.sequence = flow.sequence;
  packet.acknowledged = is_syn ? flow.copies : flow.acknowledged;
  socket_->Send(Endpoint{balancer.ip, kDatagramPort},
                EncodePacket(packet, data));
}

}  // namespace medlarwinch::review
