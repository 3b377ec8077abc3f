#include "medlarwinch/coordination/upstream_host.h"

namespace medlarwinch {

HeartbeatEffect ApplyHeartbeat(UpstreamHost& host,
                               const UpstreamHeartbeat& heartbeat,
                               TimePoint now) {
  const int64_t started = heartbeat.started_ms.value_or(0);
  const bool is_first = host.phase == UpstreamPhase::kUnknown;
  const bool is_same = host.id == heartbeat.id && host.started_ms == started;
  if (!is_first) {
    if (is_same && heartbeat.sequence <= host.sequence)
      return HeartbeatEffect::kIgnored;
    if (!is_same && started < host.started_ms) return HeartbeatEffect::kIgnored;
  }
  // A delayed heartbeat must not revive an upstream that has deregistered.
  if (is_same && host.phase == UpstreamPhase::kAbsent) {
    return HeartbeatEffect::kIgnored;
  }
  const UpstreamPhase before = host.phase;
  host.phase =
      heartbeat.is_draining ? UpstreamPhase::kDraining : UpstreamPhase::kReady;
  // An upstream that drains does not return in the same incarnation.
  if (is_same && before == UpstreamPhase::kDraining) {
    host.phase = UpstreamPhase::kDraining;
  }
  host.id = heartbeat.id;
  host.started_ms = started;
  host.sequence = heartbeat.sequence;
  host.slots = heartbeat.slots;
  host.cold_until = now + heartbeat.cold_remaining;
  host.last_heartbeat = now;
  if (!is_same) host.deregistered.reset();
  if (is_first) return HeartbeatEffect::kFirst;
  if (!is_same) return HeartbeatEffect::kNewIncarnation;
  if (host.phase != before) return HeartbeatEffect::kDraining;
  return HeartbeatEffect::kUnchanged;
}

bool ApplyDeregistration(UpstreamHost& host, const std::string& id,
                         TimePoint now) {
  if (host.phase != UpstreamPhase::kUnknown && host.id != id) return false;
  host.id = id;
  // The notice is repeated when its answer was lost.
  if (host.deregistered.has_value()) return true;
  host.deregistered = now;
  host.phase = UpstreamPhase::kDraining;
  return true;
}

}  // namespace medlarwinch
