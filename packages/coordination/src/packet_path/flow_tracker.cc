#include "medlarwinch/coordination/packet_path/flow_tracker.h"

#include <algorithm>
#include <cmath>

namespace medlarwinch {
namespace {

// Time constant of the moving average of outstanding requests.
constexpr double kAveragingTimeMs = 1'000;

void Integrate(FlowTracker& tracker, TimePoint now) {
  tracker.outstanding_integral +=
      static_cast<double>(tracker.outstanding) *
      static_cast<double>((now - tracker.integrated_until).value);
  tracker.integrated_until = now;
}

void SetOutstanding(FlowTracker& tracker, TrackedFlow& flow,
                    bool is_outstanding, TimePoint now) {
  if (flow.is_outstanding == is_outstanding) return;
  Integrate(tracker, now);
  flow.is_outstanding = is_outstanding;
  if (is_outstanding) {
    ++tracker.outstanding;
    flow.requests_at_start = tracker.outstanding;
    flow.outstanding_since = now;
  } else {
    --tracker.outstanding;
  }
}

void SetOpen(FlowTracker& tracker, TrackedFlow& flow, bool is_open) {
  if (flow.is_open == is_open) return;
  flow.is_open = is_open;
  if (is_open) {
    ++tracker.open;
  } else {
    --tracker.open;
  }
}

// Removes the flow from the counts of open flows and outstanding requests.
void RemoveFromCounts(FlowTracker& tracker, TrackedFlow& flow, TimePoint now) {
  SetOutstanding(tracker, flow, false, now);
  SetOpen(tracker, flow, false);
}

bool IsAfter(uint32_t a, uint32_t b) { return static_cast<int32_t>(a - b) > 0; }

}  // namespace

bool HasEnded(const TrackedFlow& flow) {
  return flow.caller_finished && flow.upstream_finished;
}

FlowOwnership RecordedOwnership(const FlowTracker& tracker,
                                const FlowTuple& flow, uint32_t acknowledged) {
  const auto found = tracker.flows.find(flow);
  if (found == tracker.flows.end()) return FlowOwnership::kUndetermined;
  const TrackedFlow& tracked = found->second;
  const uint32_t above_first = acknowledged - tracked.upstream_first_sequence;
  const uint32_t span =
      tracked.upstream_end_sequence - tracked.upstream_first_sequence;
  if (above_first <= span) return FlowOwnership::kOwned;
  return tracked.is_opening_seen ? FlowOwnership::kNotOwned
                                 : FlowOwnership::kUndetermined;
}

void ExtendAcknowledged(FlowTracker& tracker, const FlowTuple& flow,
                        uint32_t acknowledged) {
  const auto found = tracker.flows.find(flow);
  if (found == tracker.flows.end() || found->second.is_opening_seen) return;
  TrackedFlow& tracked = found->second;
  if (IsAfter(acknowledged, tracked.upstream_end_sequence)) {
    tracked.upstream_end_sequence = acknowledged;
  }
}

void DistrustFlows(FlowTracker& tracker) {
  for (auto& [tuple, flow] : tracker.flows) {
    flow.is_opening_seen = false;
    flow.request = RequestProgress{};
    // An empty range matches no acknowledgement but one, so that the next
    // packet goes to the upstream as a probe.
    flow.upstream_first_sequence = flow.upstream_end_sequence;
  }
}

void RecordCallerPacket(FlowTracker& tracker, const FlowPacket& packet,
                        TimePoint now) {
  const auto found = tracker.flows.find(FlowFromCaller(packet));
  if (found == tracker.flows.end()) return;
  TrackedFlow& flow = found->second;
  flow.last_used = now;
  if (packet.is_reset) {
    flow.caller_finished = true;
    flow.upstream_finished = true;
  }
  if (packet.is_fin) flow.caller_finished = true;
  if (!HasEnded(flow)) SetOpen(tracker, flow, true);
  const uint32_t end = packet.sequence + packet.data_bytes;
  const bool is_new =
      !flow.has_caller_end_sequence || IsAfter(end, flow.caller_end_sequence);
  if (is_new) {
    flow.caller_end_sequence = end;
    flow.has_caller_end_sequence = true;
    if (packet.data_bytes > 0) {
      flow.had_request = true;
      if (tracker.responses.has_value()) {
        RecordRequestData(*tracker.responses, packet.destination, flow.request,
                          packet, tracker.outstanding, now);
      }
      flow.last_caller_data = now;
      SetOutstanding(tracker, flow, true, now);
    }
  }
  if (tracker.responses.has_value() && (packet.is_fin || packet.is_reset)) {
    RecordCallerEnd(*tracker.responses, packet.destination, flow.request, now);
  }
  if (HasEnded(flow)) RemoveFromCounts(tracker, flow, now);
}

UpstreamPacketEffect RecordUpstreamPacket(FlowTracker& tracker,
                                          const FlowPacket& packet,
                                          TimePoint now) {
  UpstreamPacketEffect effect;
  const auto [position, is_new] =
      tracker.flows.try_emplace(FlowFromUpstream(packet));
  TrackedFlow& flow = position->second;
  // The caller reuses the port of an ended flow for a new one.
  if (packet.is_syn && HasEnded(flow)) flow = TrackedFlow{};
  const uint32_t end = packet.sequence + packet.data_bytes + 1;
  if (packet.is_syn && !flow.is_open) {
    flow.upstream_first_sequence = packet.sequence;
    flow.upstream_end_sequence = end;
    flow.is_opening_seen = true;
    if (is_new)
      tracker.recently_opened.emplace_back(now, FlowFromUpstream(packet));
  } else if (is_new) {
    // The agent has started after the flow was opened. The upstream may have
    // sent, and the caller acknowledged, up to a window before this packet.
    flow.upstream_first_sequence = packet.sequence - kSequenceWindow;
    flow.upstream_end_sequence = end;
    SetOpen(tracker, flow, true);
  }
  flow.last_used = now;
  if (IsAfter(end, flow.upstream_end_sequence))
    flow.upstream_end_sequence = end;
  if (packet.data_bytes > 0 && flow.is_outstanding) {
    effect.starts_response = true;
    effect.response_time = now - flow.outstanding_since;
    effect.time_since_request = now - flow.last_caller_data;
    effect.requests_at_start = flow.requests_at_start;
    effect.kind = flow.kind;
    SetOutstanding(tracker, flow, false, now);
  }
  if (tracker.responses.has_value()) {
    RecordResponsePacket(*tracker.responses, packet.source, flow.request,
                         packet, flow.is_opening_seen, now);
  }
  if (packet.is_reset) flow.caller_finished = true;
  if (packet.is_fin || packet.is_reset) flow.upstream_finished = true;
  if (HasEnded(flow)) RemoveFromCounts(tracker, flow, now);
  return effect;
}

uint32_t CommittedRequests(const FlowTracker& tracker, TimePoint now) {
  uint32_t committed = tracker.outstanding;
  for (const auto& [opened, tuple] : tracker.recently_opened) {
    if (now - opened >= kFirstRequestWindow) continue;
    const auto found = tracker.flows.find(tuple);
    if (found == tracker.flows.end() || found->second.had_request) continue;
    ++committed;
  }
  return committed;
}

void RemoveFlow(FlowTracker& tracker, const FlowTuple& flow, TimePoint now) {
  const auto found = tracker.flows.find(flow);
  if (found == tracker.flows.end()) return;
  RemoveFromCounts(tracker, found->second, now);
  tracker.flows.erase(found);
}

void RefreshFlows(FlowTracker& tracker, Millis idle, TimePoint now) {
  Integrate(tracker, now);
  const double span = static_cast<double>((now - tracker.averaged_until).value);
  if (span > 0) {
    const double mean = tracker.outstanding_integral / span;
    const double weight = 1 - std::exp(-span / kAveragingTimeMs);
    tracker.mean_outstanding += (mean - tracker.mean_outstanding) * weight;
    tracker.outstanding_integral = 0;
    tracker.averaged_until = now;
  }
  while (!tracker.recently_opened.empty() &&
         now - tracker.recently_opened.front().first >= kFirstRequestWindow) {
    tracker.recently_opened.pop_front();
  }
  std::vector<FlowTuple> expired;
  for (auto& [tuple, flow] : tracker.flows) {
    if (tracker.responses.has_value()) {
      AdvanceRequest(*tracker.responses, tuple.service_address, flow.request,
                     now);
    }
    const Millis unused = now - flow.last_used;
    const bool is_half_open = !flow.is_open && !HasEnded(flow);
    const bool is_over = (HasEnded(flow) && unused >= kEndedFlowRetention) ||
                         (is_half_open && unused >= kHalfOpenTimeout) ||
                         unused >= idle;
    if (is_over) expired.push_back(tuple);
  }
  for (const FlowTuple& tuple : expired) RemoveFlow(tracker, tuple, now);
}

}  // namespace medlarwinch
