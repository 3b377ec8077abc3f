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
  /// Time since the start of this incarnation by the wall clock of the VM,
  /// which the upstream and its agent share; empty if unknown.
  std::optional<Millis> age = std::nullopt;

  friend bool operator==(const UpstreamHeartbeat&,
                         const UpstreamHeartbeat&) = default;
};

/// A heartbeat of an incarnation that seems to have started before the present
/// one: a late message, or an upstream that started after its clock was set
/// back.
struct EarlierIncarnation {
  std::string id;
  int64_t started_ms = 0;
  uint64_t sequence = 0;
  TimePoint received_at;

  friend bool operator==(const EarlierIncarnation&,
                         const EarlierIncarnation&) = default;
};

/// The upstream on the agent's machine, as described by its heartbeats.
struct LocalUpstream {
  UpstreamPhase phase = UpstreamPhase::kUnknown;
  /// Number of heartbeats of this incarnation that this process has received.
  uint64_t heartbeats = 0;
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
  std::optional<EarlierIncarnation> earlier;

  friend bool operator==(const LocalUpstream&, const LocalUpstream&) = default;
};

enum class HeartbeatEffect : uint8_t {
  /// The heartbeat is older than one of the same incarnation that was applied.
  kIgnored,
  /// The heartbeat is not from the present incarnation and must not be
  /// acknowledged: it has no effect.
  kRefused,
  kUnchanged,
  /// The first heartbeat that this agent receives.
  kFirst,
  /// The present incarnation was considered exited and is not.
  kRevived,
  /// The upstream has restarted.
  kNewIncarnation,
  /// The upstream has begun to drain.
  kDraining,
};

/// Number of heartbeat intervals without a heartbeat of the present incarnation
/// after which an incarnation with an earlier start may replace it.
inline constexpr int64_t kReplaceableAfterIntervals = 2;

/// Updates the upstream's state from a heartbeat. An incarnation with an
/// earlier start than the present one, as after a clock was set back, replaces
/// it once the present one is silent and two heartbeats of the other have
/// arrived at least half of `interval` apart. A single late heartbeat is
/// refused.
HeartbeatEffect ApplyHeartbeat(LocalUpstream& upstream,
                               const UpstreamHeartbeat& heartbeat,
                               Millis interval, TimePoint now);

/// An upstream's notice that it is about to exit.
struct UpstreamDeregistration {
  std::string id;
  /// Wall-clock start time of the incarnation; absent on platforms that do not
  /// send it.
  std::optional<int64_t> started_ms;

  friend bool operator==(const UpstreamDeregistration&,
                         const UpstreamDeregistration&) = default;
};

/// Records that an incarnation deregisters and accepts no new flows from now
/// on. Returns false when it is not the present incarnation: the notice is
/// late.
bool ApplyDeregistration(LocalUpstream& upstream,
                         const UpstreamDeregistration& notice, TimePoint now);

}  // namespace medlarwinch
