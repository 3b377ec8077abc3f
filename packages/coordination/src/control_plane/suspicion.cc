#include "medlarwinch/coordination/control_plane/suspicion.h"

#include <algorithm>
#include <utility>

#include "medlarwinch/coordination/control_plane/monitor_selection.h"

namespace medlarwinch {
namespace {

bool IsOpen(const SuspicionState& state, const Endpoint& subject) {
  return std::any_of(state.open.begin(), state.open.end(),
                     [&](const std::pair<const uint64_t, Suspicion>& open) {
                       return open.second.subject == subject;
                     });
}

bool IsDeferred(const SuspicionState& state, const Endpoint& subject,
                TimePoint now) {
  const std::map<Endpoint, TimePoint>::const_iterator found =
      state.not_before.find(subject);
  return found != state.not_before.end() && now < found->second;
}

void OpenSuspicion(StartedSuspicions& start, const MemberEntry& entry,
                   Millis age, const Endpoint& self,
                   const std::vector<Endpoint>& ready_balancers,
                   TimePoint now) {
  const uint64_t number = ++start.state.last_query;
  Suspicion suspicion;
  suspicion.subject = entry.id;
  suspicion.version = entry.version;
  suspicion.started = now;
  suspicion.heartbeat_age = age;
  for (const Endpoint& monitor : MonitorsOf(entry, ready_balancers)) {
    if (monitor == self) continue;
    suspicion.queried.push_back(monitor);
    start.queries.push_back(OutgoingSuspicionQuery{
        monitor, SuspicionQuery{number, entry.id, entry.version}});
  }
  start.state.open[number] = std::move(suspicion);
}

Millis RetryDelay(const Suspicion& suspicion, Millis fail_after) {
  if (suspicion.denied_by.empty()) return kUnansweredSuspicionDelay;
  return std::max(kMinSuspicionInterval, fail_after - suspicion.min_denied_age);
}

}  // namespace

StartedSuspicions StartSuspicions(SuspicionState state,
                                  const MonitoredMembers& monitored,
                                  const MemberTable& table,
                                  const HealthPolicies& policies,
                                  const Endpoint& self,
                                  const std::vector<Endpoint>& ready_balancers,
                                  TimePoint now) {
  StartedSuspicions start;
  start.state = std::move(state);
  std::erase_if(start.state.not_before,
                [now](const std::pair<const Endpoint, TimePoint>& wait) {
                  return wait.second <= now;
                });
  for (const auto& [id, member] : monitored) {
    if (start.state.open.size() >= kMaxOpenSuspicions) break;
    const std::map<Endpoint, MemberRecord>::const_iterator record =
        table.members.find(id);
    if (record == table.members.end()) continue;
    const MemberEntry& entry = record->second.entry;
    const Millis age = now - member.last_heartbeat;
    if (age < HealthPolicyOf(policies, entry).policy.fail_after) continue;
    if (IsWithdrawn(entry.version.phase)) continue;
    if (IsDeferred(start.state, id, now) || IsOpen(start.state, id)) continue;
    OpenSuspicion(start, entry, age, self, ready_balancers, now);
  }
  return start;
}

SuspicionState ApplySuspicionReply(SuspicionState state, const Endpoint& from,
                                   const SuspicionReply& reply) {
  const std::map<uint64_t, Suspicion>::iterator found =
      state.open.find(reply.query);
  if (found == state.open.end()) return state;
  Suspicion& suspicion = found->second;
  if (suspicion.subject != reply.subject) return state;
  if (std::find(suspicion.queried.begin(), suspicion.queried.end(), from) ==
      suspicion.queried.end()) {
    return state;
  }
  if (!reply.has_recent_heartbeat) {
    suspicion.confirmed_by.insert(from);
    return state;
  }
  const Millis age{reply.age_ms};
  const bool is_first = suspicion.denied_by.empty();
  suspicion.min_denied_age =
      is_first ? age : std::min(suspicion.min_denied_age, age);
  suspicion.denied_by.insert(from);
  return state;
}

SuspicionState ClearSuspicion(SuspicionState state, const Endpoint& subject) {
  std::erase_if(state.open,
                [&](const std::pair<const uint64_t, Suspicion>& open) {
                  return open.second.subject == subject;
                });
  state.not_before.erase(subject);
  return state;
}

bool IsConfirmed(const Suspicion& suspicion) {
  if (!suspicion.denied_by.empty()) return false;
  return suspicion.queried.empty() || !suspicion.confirmed_by.empty();
}

ResolvedSuspicions ResolveSuspicions(SuspicionState state,
                                     const MemberTable& table,
                                     const HealthPolicies& policies,
                                     TimePoint now) {
  ResolvedSuspicions outcome;
  outcome.state = std::move(state);
  std::map<uint64_t, Suspicion>& open = outcome.state.open;
  for (std::map<uint64_t, Suspicion>::iterator it = open.begin();
       it != open.end();) {
    const Suspicion& suspicion = it->second;
    const size_t replies =
        suspicion.confirmed_by.size() + suspicion.denied_by.size();
    const bool is_complete = replies >= suspicion.queried.size();
    if (!is_complete && now - suspicion.started < kSuspicionQueryTimeout) {
      ++it;
      continue;
    }
    const std::map<Endpoint, MemberRecord>::const_iterator record =
        table.members.find(suspicion.subject);
    const bool is_current = record != table.members.end() &&
                            record->second.entry.version == suspicion.version;
    if (is_current) {
      const Millis fail_after =
          HealthPolicyOf(policies, record->second.entry).policy.fail_after;
      outcome.state.not_before[suspicion.subject] =
          now + RetryDelay(suspicion, fail_after);
      (IsConfirmed(suspicion) ? outcome.confirmed : outcome.unconfirmed)
          .push_back(suspicion);
    }
    it = open.erase(it);
  }
  return outcome;
}

}  // namespace medlarwinch
