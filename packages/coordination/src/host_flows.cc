#include "medlarwinch/coordination/host_flows.h"

#include <algorithm>
#include <cmath>

namespace medlarwinch {
namespace {

// Time over which `busy` is averaged.
constexpr double kBusyAverageMs = 1'000;

void Integrate(HostFlows& flows, TimePoint now) {
  flows.busy_integral += static_cast<double>(flows.outstanding) *
                         static_cast<double>((now - flows.integrated).value);
  flows.integrated = now;
}

void SetWaiting(HostFlows& flows, HostFlow& flow, bool is_waiting,
                TimePoint now) {
  if (flow.is_waiting == is_waiting) return;
  Integrate(flows, now);
  flow.is_waiting = is_waiting;
  if (is_waiting) {
    ++flows.outstanding;
    flow.waiting_since = now;
  } else {
    --flows.outstanding;
  }
}

void SetOpen(HostFlows& flows, HostFlow& flow, bool is_open) {
  if (flow.is_open == is_open) return;
  flow.is_open = is_open;
  if (is_open) {
    ++flows.open;
  } else {
    --flows.open;
  }
}

// Takes the flow out of the counts of open flows and outstanding requests.
void Uncount(HostFlows& flows, HostFlow& flow, TimePoint now) {
  SetWaiting(flows, flow, false, now);
  SetOpen(flows, flow, false);
}

bool HasEnded(const HostFlow& flow) {
  return flow.caller_finished && flow.upstream_finished;
}

bool IsAfter(uint32_t a, uint32_t b) { return static_cast<int32_t>(a - b) > 0; }

}  // namespace

bool IsHeld(const HostFlows& flows, const FlowPacket& packet) {
  const auto found = flows.flows.find(FlowFromCaller(packet));
  if (found == flows.flows.end()) return false;
  if (packet.is_reset) return true;
  const HostFlow& flow = found->second;
  const uint32_t above_first = packet.acknowledged - flow.upstream_first;
  const uint32_t span = flow.upstream_end - flow.upstream_first;
  return above_first <= span;
}

void NoteCallerPacket(HostFlows& flows, const FlowPacket& packet,
                      TimePoint now) {
  const auto found = flows.flows.find(FlowFromCaller(packet));
  if (found == flows.flows.end()) return;
  HostFlow& flow = found->second;
  flow.used = now;
  if (packet.is_reset) {
    flow.caller_finished = true;
    flow.upstream_finished = true;
  }
  if (packet.is_fin) flow.caller_finished = true;
  if (!HasEnded(flow)) SetOpen(flows, flow, true);
  const uint32_t end = packet.sequence + packet.data_bytes;
  const bool is_new = !flow.has_caller_end || IsAfter(end, flow.caller_end);
  if (is_new) {
    flow.caller_end = end;
    flow.has_caller_end = true;
    if (packet.data_bytes > 0) {
      flow.had_request = true;
      SetWaiting(flows, flow, true, now);
    }
  }
  if (HasEnded(flow)) Uncount(flows, flow, now);
}

UpstreamPacketEffect NoteUpstreamPacket(HostFlows& flows,
                                        const FlowPacket& packet,
                                        TimePoint now) {
  UpstreamPacketEffect effect;
  const auto [position, is_new] =
      flows.flows.try_emplace(FlowFromUpstream(packet));
  HostFlow& flow = position->second;
  // The caller uses the port of an ended flow for a new one.
  if (packet.is_syn && HasEnded(flow)) flow = HostFlow{};
  const uint32_t end = packet.sequence + packet.data_bytes + 1;
  if (packet.is_syn && !flow.is_open) {
    flow.upstream_first = packet.sequence;
    flow.upstream_end = end;
    if (is_new) flows.fresh.emplace_back(now, FlowFromUpstream(packet));
  } else if (is_new) {
    // The agent has started after the flow; the upstream may have written and
    // the caller acknowledged up to a window before this packet.
    flow.upstream_first = packet.sequence - kSequenceWindow;
    flow.upstream_end = end;
    SetOpen(flows, flow, true);
  }
  flow.used = now;
  if (IsAfter(end, flow.upstream_end)) flow.upstream_end = end;
  if (packet.data_bytes > 0 && flow.is_waiting) {
    effect.begins_answer = true;
    effect.answer_time = now - flow.waiting_since;
    SetWaiting(flows, flow, false, now);
  }
  if (packet.is_reset) flow.caller_finished = true;
  if (packet.is_fin || packet.is_reset) flow.upstream_finished = true;
  if (HasEnded(flow)) Uncount(flows, flow, now);
  return effect;
}

uint32_t CommittedRequests(const HostFlows& flows, TimePoint now) {
  uint32_t committed = flows.outstanding;
  for (const auto& [opened, tuple] : flows.fresh) {
    if (now - opened >= kFirstRequestWait) continue;
    const auto found = flows.flows.find(tuple);
    if (found == flows.flows.end() || found->second.had_request) continue;
    ++committed;
  }
  return committed;
}

void ForgetFlow(HostFlows& flows, const FlowTuple& flow, TimePoint now) {
  const auto found = flows.flows.find(flow);
  if (found == flows.flows.end()) return;
  Uncount(flows, found->second, now);
  flows.flows.erase(found);
}

void RefreshFlows(HostFlows& flows, Millis idle, TimePoint now) {
  Integrate(flows, now);
  const double span = static_cast<double>((now - flows.averaged).value);
  if (span > 0) {
    const double mean = flows.busy_integral / span;
    const double weight = 1 - std::exp(-span / kBusyAverageMs);
    flows.busy += (mean - flows.busy) * weight;
    flows.busy_integral = 0;
    flows.averaged = now;
  }
  while (!flows.fresh.empty() &&
         now - flows.fresh.front().first >= kFirstRequestWait) {
    flows.fresh.pop_front();
  }
  std::vector<FlowTuple> forgotten;
  for (const auto& [tuple, flow] : flows.flows) {
    const Millis unused = now - flow.used;
    const bool is_half_open = !flow.is_open && !HasEnded(flow);
    const bool is_over = (HasEnded(flow) && unused >= kEndedLinger) ||
                         (is_half_open && unused >= kHalfOpenTimeout) ||
                         unused >= idle;
    if (is_over) forgotten.push_back(tuple);
  }
  for (const FlowTuple& tuple : forgotten) ForgetFlow(flows, tuple, now);
}

}  // namespace medlarwinch
