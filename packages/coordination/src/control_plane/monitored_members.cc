#include "medlarwinch/coordination/control_plane/monitored_members.h"

#include <utility>

#include "medlarwinch/coordination/control_plane/monitor_selection.h"

namespace medlarwinch {

VersionedHealthPolicy HealthPolicyOf(const HealthPolicies& policies,
                                     const MemberEntry& entry) {
  const HealthPolicies::const_iterator found = policies.find(entry.service);
  return found == policies.end() ? VersionedHealthPolicy{} : found->second;
}

MonitoredMembers UpdateMonitoredMembers(
    MonitoredMembers monitored, const MemberTable& table, const Endpoint& self,
    const std::vector<Endpoint>& ready_balancers, TimePoint now) {
  MonitoredMembers updated;
  // All agents of a service have the same monitors.
  std::map<std::string, bool> monitors_service;
  for (const auto& [id, record] : table.members) {
    if (IsWithdrawn(record.entry.version.phase)) continue;
    if (record.entry.kind == MemberKind::kAgent) {
      const std::string& service = record.entry.service;
      std::map<std::string, bool>::iterator found =
          monitors_service.find(service);
      if (found == monitors_service.end()) {
        const bool is_monitor =
            IsMonitorOf(self, record.entry, ready_balancers);
        found = monitors_service.emplace(service, is_monitor).first;
      }
      if (!found->second) continue;
    } else if (!IsMonitorOf(self, record.entry, ready_balancers)) {
      continue;
    }
    const MonitoredMembers::iterator known = monitored.find(id);
    if (known == monitored.end()) {
      updated.emplace_hint(updated.end(), id, MonitoredMember{now});
    } else {
      updated.emplace_hint(updated.end(), id, known->second);
    }
  }
  return updated;
}

MonitoredMembers UpdateMonitoredMember(
    MonitoredMembers monitored, const MemberEntry& entry, const Endpoint& self,
    const std::vector<Endpoint>& ready_balancers, TimePoint now) {
  if (IsWithdrawn(entry.version.phase)) {
    monitored.erase(entry.id);
    return monitored;
  }
  if (monitored.count(entry.id) > 0) return monitored;
  if (!IsMonitorOf(self, entry, ready_balancers)) return monitored;
  monitored[entry.id] = MonitoredMember{now};
  return monitored;
}

MonitoredMembers RecordHeartbeat(MonitoredMembers monitored, const Endpoint& id,
                                 const UpstreamLoad& load, TimePoint now) {
  const MonitoredMembers::iterator member = monitored.find(id);
  if (member == monitored.end()) return monitored;
  member->second.last_heartbeat = now;
  member->second.has_heartbeat = true;
  member->second.load = load;
  return monitored;
}

MonitoredMembers ResetHeartbeatTimes(MonitoredMembers monitored,
                                     TimePoint now) {
  for (auto& [id, member] : monitored) member.last_heartbeat = now;
  return monitored;
}

std::vector<SuspicionReply> ReplyToSuspicionQuery(
    const MonitoredMembers& monitored, const SuspicionQuery& query,
    Millis fail_after, TimePoint now) {
  const MonitoredMembers::const_iterator member = monitored.find(query.subject);
  if (member == monitored.end()) return {};
  const Millis age = now - member->second.last_heartbeat;
  const bool is_recent = age < fail_after;
  if (is_recent && !member->second.has_heartbeat) return {};
  return {SuspicionReply{query.query, query.subject, is_recent,
                         static_cast<uint32_t>(age.value)}};
}

}  // namespace medlarwinch
