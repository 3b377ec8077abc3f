#include "medlarwinch/coordination/upstream_host.h"

namespace medlarwinch {

BeatEffect ApplyBeat(UpstreamHost& host, const UpstreamBeat& beat,
                     TimePoint now) {
  const int64_t started = beat.started_ms.value_or(0);
  const bool is_first = host.phase == UpstreamPhase::kUnknown;
  const bool is_same = host.id == beat.id && host.started_ms == started;
  if (!is_first) {
    if (is_same && beat.sequence <= host.sequence) return BeatEffect::kIgnored;
    if (!is_same && started < host.started_ms) return BeatEffect::kIgnored;
  }
  // A delayed heartbeat must not revive an upstream that has deregistered.
  if (is_same && host.phase == UpstreamPhase::kAbsent) {
    return BeatEffect::kIgnored;
  }
  const UpstreamPhase before = host.phase;
  host.phase =
      beat.is_draining ? UpstreamPhase::kDraining : UpstreamPhase::kReady;
  // An upstream that drains does not return in the same incarnation.
  if (is_same && before == UpstreamPhase::kDraining) {
    host.phase = UpstreamPhase::kDraining;
  }
  host.id = beat.id;
  host.started_ms = started;
  host.sequence = beat.sequence;
  host.slots = beat.slots;
  host.cold_until = now + beat.cold_left;
  host.last_beat = now;
  if (!is_same) host.deregistered.reset();
  if (is_first) return BeatEffect::kFirst;
  if (!is_same) return BeatEffect::kNewIncarnation;
  if (host.phase != before) return BeatEffect::kDraining;
  return BeatEffect::kUnchanged;
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
