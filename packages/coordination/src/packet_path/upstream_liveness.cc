#include "medlarwinch/coordination/packet_path/upstream_liveness.h"

#include <algorithm>

#include "medlarwinch/coordination/packet_path/flow_ownership.h"

namespace medlarwinch {
namespace {

// Unanswered openings and probes are removed after this time.
constexpr Millis kPendingTimeout{3'000};

TimePoint LastContact(const AgentRelay& relay) {
  return relay.upstream_last_contact.value_or(relay.started);
}

bool HasMissedHeartbeats(const AgentRelay& relay, TimePoint now) {
  return now - std::max(LastContact(relay), relay.late_until) >=
         relay.heartbeat_interval * kMaxMissedHeartbeats + kHeartbeatAckTimeout;
}

// Returns true if an upstream that runs would have sent its first heartbeat.
bool IsFirstHeartbeatOverdue(const AgentRelay& relay, TimePoint now) {
  // Half an interval more than a running upstream needs at most.
  return relay.upstream.phase == UpstreamPhase::kUnknown &&
         (now - std::max(relay.started, relay.late_until)) * 2 >=
             relay.heartbeat_interval * 3;
}

bool MayHaveDeparted(const AgentRelay& relay, TimePoint now) {
  if (!relay.upstream.deregistered_at.has_value()) return false;
  return now - std::max(*relay.upstream.deregistered_at, LastContact(relay)) >=
         kDepartureCheckDelay;
}

void RecordAbsence(AgentRelay& relay, TimePoint now, RelayActions& actions) {
  relay.upstream.phase = UpstreamPhase::kAbsent;
  relay.unanswered_since.reset();
  DenyProbes(relay, actions);
  ResetAllFlows(relay, now, actions);
}

}  // namespace

bool IsUnresponsive(const AgentRelay& relay, TimePoint now) {
  return relay.unanswered_since.has_value() &&
         now - *relay.unanswered_since >= kOpeningResponseTimeout;
}

UpstreamPhase ReportedPhase(const AgentRelay& relay, TimePoint now) {
  // An absent upstream owns no flow, even if its agent restarts.
  if (relay.upstream.phase == UpstreamPhase::kAbsent)
    return relay.upstream.phase;
  if (relay.is_stopping) return UpstreamPhase::kAgentRestarting;
  if (relay.upstream.phase == UpstreamPhase::kReady &&
      (IsUnresponsive(relay, now) || HasMissedHeartbeats(relay, now))) {
    return UpstreamPhase::kUnknown;
  }
  return relay.upstream.phase;
}

bool NeedsUpstreamCheck(const AgentRelay& relay, TimePoint now) {
  if (relay.upstream.phase == UpstreamPhase::kAbsent) return false;
  if (!relay.upstream_checked_at.has_value()) return true;
  if (now - *relay.upstream_checked_at < kMinUpstreamCheckInterval) {
    return false;
  }
  return relay.is_stopping || IsFirstHeartbeatOverdue(relay, now) ||
         IsUnresponsive(relay, now) || MayHaveDeparted(relay, now) ||
         HasMissedHeartbeats(relay, now);
}

void BeginUpstreamCheck(AgentRelay& relay, TimePoint now) {
  relay.upstream_checked_at = now;
  relay.was_heard_since_check = false;
}

void HandleConnectionAccepted(AgentRelay& relay, TimePoint now) {
  relay.upstream_accepted_at = now;
}

bool HandleConnectionRefused(AgentRelay& relay, TimePoint now,
                             RelayActions& actions) {
  if (relay.was_heard_since_check) return false;
  if (relay.upstream.phase == UpstreamPhase::kAbsent) return false;
  RecordNoUpstream(relay.flow_history, now);
  const bool may_start_soon = relay.upstream.phase == UpstreamPhase::kUnknown &&
                              !relay.is_stopping &&
                              !IsFirstHeartbeatOverdue(relay, now);
  if (may_start_soon) {
    DenyProbes(relay, actions);
    return false;
  }
  relay.upstream.exited_at = now;
  RecordAbsence(relay, now, actions);
  return true;
}

bool HandleConnectionTimeout(AgentRelay& relay, TimePoint now,
                             RelayActions& actions) {
  if (relay.was_heard_since_check) return false;
  if (relay.upstream.phase == UpstreamPhase::kAbsent) return false;
  if (!HasMissedHeartbeats(relay, now)) return false;
  RecordAbsence(relay, now, actions);
  return true;
}

void HandleAgentTick(AgentRelay& relay, Millis tick_delay, TimePoint now) {
  if (tick_delay >= kMaxAgentTickDelay) relay.late_until = now;
  if (relay.flow_tracker.responses.has_value()) {
    relay.flow_tracker.responses->condition =
        UpstreamCondition{relay.upstream.slots, now < relay.upstream.cold_until,
                          relay.late_until};
  }
  RefreshFlows(relay.flow_tracker, kMaxFlowLifetime, now);
  std::erase_if(relay.openings, [&](const auto& entry) {
    return now - entry.second.delivered_at >= kPendingTimeout;
  });
  std::erase_if(relay.probes, [&](const auto& entry) {
    return now - entry.second.delivered_at >= kPendingTimeout;
  });
}

}  // namespace medlarwinch
