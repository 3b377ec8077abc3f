#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "medlarwinch/coordination/relay_types.h"

namespace medlarwinch {

/// What an upstream says of itself in a heartbeat.
struct UpstreamHeartbeat {
  std::string id;
  /// Name of the service it belongs to.
  std::string service;
  /// Where it receives packets.
  Endpoint address;
  uint32_t slots = 0;
  bool is_draining = false;
  /// How much longer it is slow after its start.
  Millis cold_remaining{0};
  /// Grows with every heartbeat of one incarnation.
  uint64_t sequence = 0;
  /// Wall-clock time of the start of this incarnation; absent in heartbeats of
  /// platforms that don't send it.
  std::optional<int64_t> started_ms;

  friend bool operator==(const UpstreamHeartbeat&,
                         const UpstreamHeartbeat&) = default;
};

/// The upstream beside an agent, as its heartbeats describe it.
struct LocalUpstream {
  UpstreamPhase phase = UpstreamPhase::kUnknown;
  std::string id;
  int64_t started_ms = 0;
  uint64_t sequence = 0;
  uint32_t slots = 0;
  TimePoint cold_until;
  TimePoint last_heartbeat;
  /// When this incarnation gave notice that it leaves; it ends soon after the
  /// answer.
  std::optional<TimePoint> deregistered;

  friend bool operator==(const LocalUpstream&, const LocalUpstream&) = default;
};

enum class HeartbeatEffect : uint8_t {
  /// Late, or from an incarnation before the current one.
  kIgnored,
  kUnchanged,
  /// The first heartbeat this agent hears.
  kFirst,
  /// The upstream has started again: every flow of before is gone.
  kNewIncarnation,
  /// The upstream has begun to drain.
  kDraining,
};

/// Takes a heartbeat.
HeartbeatEffect ApplyHeartbeat(LocalUpstream& upstream,
                               const UpstreamHeartbeat& heartbeat,
                               TimePoint now);

/// Takes the notice that the incarnation `id` leaves, which takes no new flows
/// from then on; returns false when it is not the current one.
bool ApplyDeregistration(LocalUpstream& upstream, const std::string& id,
                         TimePoint now);

/// Highest sequence number of a heartbeat that proves that the upstream has
/// only just started.
inline constexpr uint64_t kFirstHeartbeatSequence = 1;

}  // namespace medlarwinch
