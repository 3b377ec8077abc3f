#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "medlarwinch/coordination/control_plane/member_table.h"
#include "medlarwinch/coordination/control_plane/monitored_members.h"

namespace medlarwinch {

/// Time to wait for the replies of the other monitors.
inline constexpr Millis kSuspicionQueryTimeout{500};
/// Minimum time between two suspicions of the same member.
inline constexpr Millis kMinSuspicionInterval{250};
/// Delay before a member is suspected again when no other monitor replied.
inline constexpr Millis kUnansweredSuspicionDelay{1'000};
/// Maximum number of suspicions open at the same time; further ones wait. At
/// two queries of 80 bytes in 1.5 s each, a partition costs a monitor 3.4 KB/s.
inline constexpr size_t kMaxOpenSuspicions = 32;

/// A member whose heartbeats have stopped arriving here, while the other
/// monitors of its group are queried.
struct Suspicion {
  Endpoint subject;
  MemberVersion version;
  TimePoint started;
  /// Age of the last heartbeat at the start.
  Millis heartbeat_age;
  std::vector<Endpoint> queried;
  /// Monitors that have not received a recent heartbeat either.
  std::set<Endpoint> confirmed_by;
  /// Monitors that have received a recent heartbeat.
  std::set<Endpoint> denied_by;
  /// Smallest heartbeat age reported in a denial.
  Millis min_denied_age;
};

/// Open suspicions by query number, and the earliest time at which each member
/// may be suspected again.
struct SuspicionState {
  std::map<uint64_t, Suspicion> open;
  std::map<Endpoint, TimePoint> not_before;
  uint64_t last_query = 0;
};

/// A query and its recipient.
struct OutgoingSuspicionQuery {
  Endpoint to;
  SuspicionQuery query;
};

/// Result of StartSuspicions().
struct StartedSuspicions {
  SuspicionState state;
  std::vector<OutgoingSuspicionQuery> queries;
};

/// Suspicions that have ended, by result.
struct ResolvedSuspicions {
  SuspicionState state;
  /// Members that a majority of the replying monitors considers failed. The
  /// withdrawal bound of the service still applies.
  std::vector<Suspicion> confirmed;
  /// Members that stay in service.
  std::vector<Suspicion> unconfirmed;
};

/// Opens a suspicion of each monitored member that sent no heartbeat for the
/// fail_after time of its service, and queries the other monitors of its group.
StartedSuspicions StartSuspicions(SuspicionState state,
                                  const MonitoredMembers& monitored,
                                  const MemberTable& table,
                                  const HealthPolicies& policies,
                                  const Endpoint& self,
                                  const std::vector<Endpoint>& ready_balancers,
                                  TimePoint now);

/// Applies the reply of a monitor. Has no effect if that monitor was not
/// queried.
SuspicionState ApplySuspicionReply(SuspicionState state, const Endpoint& from,
                                   const SuspicionReply& reply);

/// Drops the open suspicion of a member that has sent a heartbeat.
SuspicionState ClearSuspicion(SuspicionState state, const Endpoint& subject);

/// True when all monitors that replied confirm the failure: this one and, in a
/// group of several, at least one other, with no denial.
bool IsConfirmed(const Suspicion& suspicion);

/// Ends the suspicions that have all replies or have reached
/// kSuspicionQueryTimeout. An unconfirmed one may be opened again, at the
/// earliest when the age in the denial reaches fail_after.
ResolvedSuspicions ResolveSuspicions(SuspicionState state,
                                     const MemberTable& table,
                                     const HealthPolicies& policies,
                                     TimePoint now);

}  // namespace medlarwinch
