#include "medlarwinch/coordination/packet_path/local_upstream.h"

namespace medlarwinch {
namespace {

// Returns true if the incarnation of `heartbeat` replaces the present one,
// although it seems to have started before it.
bool ReplacesPresent(LocalUpstream& upstream,
                     const UpstreamHeartbeat& heartbeat, int64_t started,
                     Millis interval, TimePoint now) {
  const std::optional<EarlierIncarnation> before = upstream.earlier;
  const bool is_known = before.has_value() && before->id == heartbeat.id &&
                        before->started_ms == started;
  const bool is_present_silent =
      upstream.exited_at.has_value() ||
      now - upstream.last_heartbeat >= interval * kReplaceableAfterIntervals;
  const bool is_alive = is_known && heartbeat.sequence > before->sequence &&
                        (now - before->received_at) * 2 >= interval;
  if (is_present_silent && is_alive) return true;
  if (!is_known || is_alive) {
    upstream.earlier =
        EarlierIncarnation{heartbeat.id, started, heartbeat.sequence, now};
  }
  return false;
}

}  // namespace

HeartbeatEffect ApplyHeartbeat(LocalUpstream& upstream,
                               const UpstreamHeartbeat& heartbeat,
                               Millis interval, TimePoint now) {
  const int64_t started = heartbeat.started_ms.value_or(0);
  const bool is_first = upstream.heartbeats == 0;
  const bool is_same = !upstream.id.empty() && upstream.id == heartbeat.id &&
                       upstream.started_ms == started;
  if (is_same && !is_first && heartbeat.sequence <= upstream.sequence) {
    return HeartbeatEffect::kIgnored;
  }
  // A delayed heartbeat must not revive an upstream that has deregistered.
  if (is_same && upstream.deregistered_at.has_value()) {
    return HeartbeatEffect::kIgnored;
  }
  if (!is_first && !is_same && started < upstream.started_ms &&
      !ReplacesPresent(upstream, heartbeat, started, interval, now)) {
    return HeartbeatEffect::kRefused;
  }
  const UpstreamPhase before = upstream.phase;
  upstream.phase =
      heartbeat.is_draining ? UpstreamPhase::kDraining : UpstreamPhase::kReady;
  // A draining upstream does not become ready again in the same incarnation.
  if (is_same && before == UpstreamPhase::kDraining) {
    upstream.phase = UpstreamPhase::kDraining;
  }
  upstream.heartbeats = is_same ? upstream.heartbeats + 1 : 1;
  upstream.id = heartbeat.id;
  upstream.started_ms = started;
  upstream.sequence = heartbeat.sequence;
  upstream.slots = heartbeat.slots;
  upstream.cold_until = now + heartbeat.cold_remaining;
  upstream.last_heartbeat = now;
  upstream.exited_at.reset();
  upstream.earlier.reset();
  if (!is_same) upstream.deregistered_at.reset();
  if (is_first) return HeartbeatEffect::kFirst;
  if (!is_same) return HeartbeatEffect::kNewIncarnation;
  if (before == UpstreamPhase::kAbsent) return HeartbeatEffect::kRevived;
  if (upstream.phase != before) return HeartbeatEffect::kDraining;
  return HeartbeatEffect::kUnchanged;
}

bool ApplyDeregistration(LocalUpstream& upstream,
                         const UpstreamDeregistration& notice, TimePoint now) {
  const bool is_other_start = notice.started_ms.has_value() &&
                              *notice.started_ms != upstream.started_ms;
  const bool is_known = upstream.heartbeats > 0;
  if (is_known && (upstream.id != notice.id || is_other_start)) return false;
  // Before the first heartbeat nothing tells whether the notice is late, and
  // there is nothing to withdraw: the upstream gets no new flows yet.
  if (!is_known) return true;
  // The notice is repeated when its acknowledgement was lost.
  if (upstream.deregistered_at.has_value()) return true;
  upstream.deregistered_at = now;
  upstream.phase = UpstreamPhase::kDraining;
  return true;
}

}  // namespace medlarwinch
