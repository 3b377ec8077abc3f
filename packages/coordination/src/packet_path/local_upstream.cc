#include "medlarwinch/coordination/packet_path/local_upstream.h"

namespace medlarwinch {

HeartbeatEffect ApplyHeartbeat(LocalUpstream& upstream,
                               const UpstreamHeartbeat& heartbeat,
                               TimePoint now) {
  const int64_t started = heartbeat.started_ms.value_or(0);
  const bool is_first = upstream.phase == UpstreamPhase::kUnknown;
  const bool is_same =
      upstream.id == heartbeat.id && upstream.started_ms == started;
  if (!is_first) {
    if (is_same && heartbeat.sequence <= upstream.sequence)
      return HeartbeatEffect::kIgnored;
    if (!is_same && started < upstream.started_ms)
      return HeartbeatEffect::kIgnored;
  }
  // A delayed heartbeat must not revive an upstream that has deregistered.
  if (is_same && upstream.phase == UpstreamPhase::kAbsent &&
      upstream.deregistered_at.has_value()) {
    return HeartbeatEffect::kIgnored;
  }
  const UpstreamPhase before = upstream.phase;
  upstream.phase =
      heartbeat.is_draining ? UpstreamPhase::kDraining : UpstreamPhase::kReady;
  // A draining upstream does not become ready again in the same incarnation.
  if (is_same && before == UpstreamPhase::kDraining) {
    upstream.phase = UpstreamPhase::kDraining;
  }
  upstream.id = heartbeat.id;
  upstream.started_ms = started;
  upstream.sequence = heartbeat.sequence;
  upstream.slots = heartbeat.slots;
  upstream.cold_until = now + heartbeat.cold_remaining;
  upstream.last_heartbeat = now;
  upstream.exited_at.reset();
  if (!is_same) upstream.deregistered_at.reset();
  // The upstream was silent for long, but has not exited.
  const bool is_revived = is_same && before == UpstreamPhase::kAbsent;
  if (is_first || is_revived) return HeartbeatEffect::kFirst;
  if (!is_same) return HeartbeatEffect::kNewIncarnation;
  if (upstream.phase != before) return HeartbeatEffect::kDraining;
  return HeartbeatEffect::kUnchanged;
}

bool ApplyDeregistration(LocalUpstream& upstream, const std::string& id,
                         TimePoint now) {
  if (upstream.phase != UpstreamPhase::kUnknown && upstream.id != id)
    return false;
  upstream.id = id;
  // The notice is repeated when its acknowledgement was lost.
  if (upstream.deregistered_at.has_value()) return true;
  upstream.deregistered_at = now;
  upstream.phase = UpstreamPhase::kDraining;
  return true;
}

}  // namespace medlarwinch
