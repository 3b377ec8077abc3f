#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "medlarwinch/coordination/packet_path/relay_types.h"

namespace medlarwinch {

/// The content of an upstream's heartbeat.
struct UpstreamHeartbeat {
  std::string id;
  /// Name of the service that the upstream belongs to.
  std::string service;
  /// Address at which the upstream receives packets.
  Endpoint address;
  uint32_t slots = 0;
  bool is_draining = false;
  /// Remaining time for which the upstream is slow after its start.
  Millis cold_remaining{0};
  /// Increases with every heartbeat of an incarnation.
  uint64_t sequence = 0;
  /// Wall-clock start time of this incarnation; absent on platforms that do not
  /// send it.
  std::optional<int64_t> started_ms;

  friend bool operator==(const UpstreamHeartbeat&,
                         const UpstreamHeartbeat&) = default;
};

/// The upstream on the agent's machine, as described by its heartbeats.
struct LocalUpstream {
  UpstreamPhase phase = UpstreamPhase::kUnknown;
  std::string id;
  int64_t started_ms = 0;
  uint64_t sequence = 0;
  uint32_t slots = 0;
  TimePoint cold_until;
  TimePoint last_heartbeat;
  /// Time at which this incarnation announced its deregistration; it exits soon
  /// after the acknowledgement.
  std::optional<TimePoint> deregistered_at;
  /// Time at which this incarnation was found to have exited without a
  /// deregistration.
  std::optional<TimePoint> exited_at;

  friend bool operator==(const LocalUpstream&, const LocalUpstream&) = default;
};

enum class HeartbeatEffect : uint8_t {
  /// The heartbeat is late, or from an earlier incarnation.
  kIgnored,
  kUnchanged,
  /// The first heartbeat that this agent receives.
  kFirst,
  /// The upstream has restarted: all earlier flows are lost.
  kNewIncarnation,
  /// The upstream has begun to drain.
  kDraining,
};

/// Updates the upstream's state from a heartbeat.
HeartbeatEffect ApplyHeartbeat(LocalUpstream& upstream,
                               const UpstreamHeartbeat& heartbeat,
                               TimePoint now);

/// Records that incarnation `id` deregisters and accepts no new flows from now
/// on. Returns false when it is not the current incarnation.
bool ApplyDeregistration(LocalUpstream& upstream, const std::string& id,
                         TimePoint now);

/// Highest sequence number of a heartbeat that proves that the upstream has
/// just started.
inline constexpr uint64_t kFirstHeartbeatSequence = 1;

}  // namespace medlarwinch
