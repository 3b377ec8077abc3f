#include "medlarwinch/coordination/packet_path/flow_history.h"

namespace medlarwinch {

bool KnowsAllFlows(const FlowHistory& history, TimePoint now) {
  return history.is_complete || now - history.seen_since >= kMaxFlowLifetime;
}

void RecordNoUpstream(FlowHistory& history, TimePoint now) {
  history.is_complete = true;
  history.seen_since = now;
  history.awaits_second_heartbeat = false;
}

void RecordDiscardedFlows(FlowHistory& history, TimePoint now) {
  history.is_complete = false;
  history.seen_since = now;
  history.awaits_second_heartbeat = false;
}

bool IsFirstHeartbeat(uint64_t sequence, std::optional<Millis> age,
                      Millis interval) {
  if (sequence == kLowestSequence) return true;
  if (sequence > kLowestSequence + 1) return false;
  return !age.has_value() || (*age >= Millis{0} && *age * 2 < interval);
}

bool HasJustStarted(uint64_t sequence, std::optional<Millis> age,
                    Millis interval) {
  if (!age.has_value() || *age < Millis{0}) return false;
  if (sequence == kLowestSequence) return *age < kHeartbeatAckTimeout;
  return sequence <= kMaxRepeatedFirstHeartbeats && *age * 2 < interval;
}

void RecordIncarnation(FlowHistory& history, uint64_t sequence,
                       bool is_start_seen) {
  history.is_complete = is_start_seen;
  history.awaits_second_heartbeat =
      !is_start_seen && sequence == kLowestSequence;
}

void RecordNextHeartbeat(FlowHistory& history, uint64_t sequence,
                         uint64_t previous) {
  if (!history.awaits_second_heartbeat) return;
  history.awaits_second_heartbeat = false;
  // An earlier process of the agent would have received the heartbeats between.
  history.is_complete = sequence == previous + 1;
}

}  // namespace medlarwinch
