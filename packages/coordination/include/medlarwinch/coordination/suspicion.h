#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "medlarwinch/coordination/member_table.h"
#include "medlarwinch/coordination/monitored_members.h"

namespace medlarwinch {

/// Time in which the answers of the other keepers are collected.
inline constexpr Millis kSuspicionQueryTimeout{500};
/// Shortest time between two suspicions of the same member.
inline constexpr Millis kMinSuspicionInterval{250};
/// Pause after a suspicion that no other keeper answered.
inline constexpr Millis kUnansweredSuspicionDelay{1'000};
/// Suspicions that are open at the same time at most; others wait. At two
/// queries of 80 bytes in 1.5 s each, a partition costs a keeper 3.4 KB/s.
inline constexpr size_t kMaxOpenSuspicions = 32;

/// A member that this keeper has not heard from, while the others are asked.
struct Suspicion {
  Endpoint subject;
  MemberVersion version;
  TimePoint started;
  /// Age of the last heartbeat at the start.
  Millis age;
  std::vector<Endpoint> queried;
  /// Keepers that have not heard from it either.
  std::set<Endpoint> confirmed_by;
  /// Keepers that have heard from it.
  std::set<Endpoint> denied_by;
  /// Smallest age that a denial gave.
  Millis min_denied_age;
};

/// Open suspicions by query number, and when a member may be suspected again.
struct SuspicionState {
  std::map<uint64_t, Suspicion> open;
  std::map<Endpoint, TimePoint> not_before;
  uint64_t last_query = 0;
};

/// A query and its receiver.
struct OutgoingSuspicionQuery {
  Endpoint to;
  SuspicionQuery query;
};

/// Outcome of a check for silent members.
struct StartedSuspicions {
  SuspicionState state;
  std::vector<OutgoingSuspicionQuery> queries;
};

/// Suspicions whose answers are in.
struct ResolvedSuspicions {
  SuspicionState state;
  /// Members that a majority has lost; the bound of the service still applies.
  std::vector<Suspicion> confirmed;
  /// Members that stay in service.
  std::vector<Suspicion> unconfirmed;
};

/// Suspects each kept member that was silent for the fail_after time of its
/// service, and asks the other keepers of its group.
StartedSuspicions StartSuspicions(SuspicionState state,
                                  const MonitoredMembers& monitored,
                                  const MemberTable& table,
                                  const HealthPolicies& policies,
                                  const Endpoint& self,
                                  const std::vector<Endpoint>& ready_balancers,
                                  TimePoint now);

/// Takes the answer of a keeper that was asked; any other changes nothing.
SuspicionState ApplySuspicionReply(SuspicionState state, const Endpoint& from,
                                   const SuspicionReply& reply);

/// Ends the suspicion of a member that was heard from.
SuspicionState ClearSuspicion(SuspicionState state, const Endpoint& subject);

/// True when the keepers that answered agree that the member is lost: this one
/// and, in a group of several, at least one other, with no denial.
bool IsConfirmed(const Suspicion& suspicion);

/// Ends the suspicions that have all answers or whose window has passed. One
/// without agreement is opened again, at the earliest when the denial's age
/// reaches fail_after.
ResolvedSuspicions ResolveSuspicions(SuspicionState state,
                                     const MemberTable& table,
                                     const HealthPolicies& policies,
                                     TimePoint now);

}  // namespace medlarwinch
