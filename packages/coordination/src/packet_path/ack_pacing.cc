#include "medlarwinch/coordination/packet_path/ack_pacing.h"

#include <algorithm>

#include "medlarwinch/coordination/packet_path/upload_flows.h"

namespace medlarwinch {
namespace {

// Figures of a balancer that has not polled for this long, eight poll
// intervals, are dropped.
constexpr Millis kLinkExpiry{2'000};
// Part of a link that the uploads under way use together. The rest is left to
// bursts of other traffic.
constexpr double kUploadLinkShare = 0.75;
// A caller retransmits a packet that is not acknowledged within 200 ms. A
// window that arrives at once waits up to 50 ms on a link of 10 Mbit/s with
// other traffic. What is left is for the round trip and the hold.
constexpr Millis kMaxHoldAndRoundTrip{150};
// Round trip of a flow whose own was not measured.
constexpr Millis kAssumedRoundTrip{50};
// A flow that is idle for this long is forgotten, and not paced afterwards.
// Callers wait for responses for less.
constexpr Millis kUploadIdleTimeout{10'000};
// Upstreams queue some 20 requests; the bound only limits memory.
constexpr size_t kMaxUploadFlowsAtAgent = 1'024;
constexpr size_t kMaxBalancerLinks = 4'096;
constexpr int64_t kMicrosPerMilli = 1'000;
constexpr double kBitsPerByte = 8;

bool IsAfter(uint32_t a, uint32_t b) { return static_cast<int32_t>(a - b) > 0; }

// Returns the time in which the flow's share of the link carries `bytes` of
// data.
int64_t MicrosOnShare(const BalancerLink& link, uint32_t bytes) {
  const double share_kbps =
      link.kbps * kUploadLinkShare / std::max(1U, link.upload_flows);
  const double bits = bytes * kLinkBytesPerDataByte * kBitsPerByte;
  return static_cast<int64_t>(bits * kMicrosPerMilli / share_kbps);
}

// Returns true if the flow can't exceed the link's share for uploads: at most
// one window is on the way in each round trip.
bool FitsWithoutPacing(const BalancerLink& link, Millis round_trip) {
  return link.upload_flows <= 1 && MicrosOnShare(link, kUploadWindowBytes) <=
                                       round_trip.value * kMicrosPerMilli;
}

const BalancerLink* FindLink(const AckPacing& pacing, const Endpoint& balancer,
                             TimePoint now) {
  const auto found = pacing.links.find(balancer);
  if (found == pacing.links.end()) return nullptr;
  return now - found->second.heard_at < kLinkExpiry ? &found->second : nullptr;
}

// Returns when an acknowledgement of `bytes` more is due, at `now` at the
// earliest, and reserves the time until the next one.
TimePoint ReserveDueTime(UploadFlow& flow, const BalancerLink& link,
                         uint32_t bytes, TimePoint now) {
  const Millis round_trip = flow.round_trip.value_or(kAssumedRoundTrip);
  const int64_t now_us = now.value * kMicrosPerMilli;
  if (FitsWithoutPacing(link, round_trip)) {
    flow.next_due_us = now_us;
    return now;
  }
  const int64_t max_hold_us =
      std::max<int64_t>(0, (kMaxHoldAndRoundTrip - round_trip).value) *
      kMicrosPerMilli;
  const int64_t due_us =
      std::clamp(flow.next_due_us, now_us, now_us + max_hold_us);
  flow.next_due_us = due_us + MicrosOnShare(link, bytes);
  return TimePoint{due_us / kMicrosPerMilli};
}

bool IsBareAcknowledgement(const FlowPacket& packet) {
  return packet.is_ack && !packet.is_syn && !packet.is_fin &&
         !packet.is_reset && packet.data_bytes == 0;
}

// Returns the time until which a packet of the flow is held, or nullopt.
std::optional<TimePoint> FindDueTime(const AckPacing& pacing, UploadFlow& flow,
                                     const FlowPacket& packet, TimePoint now) {
  if (!IsBareAcknowledgement(packet)) return std::nullopt;
  if (!IsAfter(packet.acknowledged, flow.acknowledged)) return std::nullopt;
  const BalancerLink* link = FindLink(pacing, flow.balancer, now);
  if (link == nullptr) return std::nullopt;
  const TimePoint due =
      ReserveDueTime(flow, *link, packet.acknowledged - flow.acknowledged, now);
  if (due <= now) return std::nullopt;
  return due;
}

}  // namespace

LinkChange RecordBalancerLink(AckPacing& pacing, const Endpoint& balancer,
                              uint32_t link_kbps, uint32_t upload_flows,
                              TimePoint now) {
  const auto known = pacing.links.find(balancer);
  const bool was_paced = known != pacing.links.end();
  if (!IsPacedLink(link_kbps)) {
    if (!was_paced) return LinkChange::kNone;
    pacing.links.erase(known);
    return LinkChange::kEnded;
  }
  const BalancerLink link{link_kbps, upload_flows, now};
  if (was_paced) {
    known->second = link;
    return LinkChange::kNone;
  }
  if (pacing.links.size() >= kMaxBalancerLinks) return LinkChange::kNone;
  pacing.links.emplace(balancer, link);
  return LinkChange::kStarted;
}

void RecordUploadOpened(AckPacing& pacing, const FlowTuple& flow,
                        const Endpoint& balancer, const FlowPacket& answer,
                        TimePoint now) {
  const bool is_known = pacing.flows.count(flow) != 0;
  if (!is_known && pacing.flows.size() >= kMaxUploadFlowsAtAgent) return;
  UploadFlow opened;
  opened.balancer = balancer;
  opened.opened_at = now;
  opened.acknowledged = answer.acknowledged;
  opened.last_used = now;
  pacing.flows.insert_or_assign(flow, opened);
}

void RecordUploadPath(AckPacing& pacing, const FlowPacket& packet,
                      const Endpoint& balancer, TimePoint now,
                      RelayActions& actions) {
  if (pacing.flows.empty() || packet.is_syn) return;
  const FlowTuple tuple = FlowFromCaller(packet);
  const auto found = pacing.flows.find(tuple);
  if (found == pacing.flows.end()) return;
  if (packet.is_reset) {
    if (found->second.held_until >= now) actions.push_back(DiscardHeld{tuple});
    pacing.flows.erase(found);
    return;
  }
  UploadFlow& flow = found->second;
  flow.balancer = balancer;
  flow.last_used = now;
  if (!flow.round_trip.has_value()) flow.round_trip = now - flow.opened_at;
}

void AddDelivery(AckPacing& pacing, const FlowPacket& packet, bool is_stopping,
                 TimePoint now, RelayActions& actions) {
  const FlowTuple tuple = FlowFromUpstream(packet);
  const auto found = pacing.flows.find(tuple);
  if (found == pacing.flows.end()) {
    actions.push_back(DeliverToCaller{tuple.caller});
    return;
  }
  UploadFlow& flow = found->second;
  flow.last_used = now;
  const std::optional<TimePoint> due =
      is_stopping ? std::nullopt : FindDueTime(pacing, flow, packet, now);
  if (IsAfter(packet.acknowledged, flow.acknowledged)) {
    flow.acknowledged = packet.acknowledged;
  }
  if (due.has_value()) {
    ++pacing.held_acknowledgements;
    flow.held_until = *due;
    actions.push_back(HoldPacket{tuple, *due});
    return;
  }
  if (flow.held_until >= now) {
    ++pacing.superseded;
    flow.held_until = TimePoint{};
    actions.push_back(DiscardHeld{tuple});
  }
  actions.push_back(DeliverToCaller{tuple.caller});
  if (packet.is_reset) pacing.flows.erase(found);
}

std::vector<Endpoint> RefreshAckPacing(AckPacing& pacing, TimePoint now) {
  std::vector<Endpoint> silent;
  for (const auto& [balancer, link] : pacing.links) {
    if (now - link.heard_at >= kLinkExpiry) silent.push_back(balancer);
  }
  for (const Endpoint& balancer : silent) pacing.links.erase(balancer);
  std::erase_if(pacing.flows, [now](const auto& entry) {
    return now - entry.second.last_used >= kUploadIdleTimeout;
  });
  return silent;
}

}  // namespace medlarwinch
