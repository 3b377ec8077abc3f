#include "medlarwinch/coordination/kept_members.h"

#include <utility>

#include "medlarwinch/coordination/monitor_selection.h"

namespace medlarwinch {

ServiceHealth HealthOf(const HealthPolicies& policies,
                       const MemberEntry& entry) {
  const HealthPolicies::const_iterator found = policies.find(entry.service);
  return found == policies.end() ? ServiceHealth{} : found->second;
}

KeptMembers UpdateKept(KeptMembers kept, const MemberTable& table,
                       const Endpoint& self,
                       const std::vector<Endpoint>& ready_balancers,
                       TimePoint now) {
  KeptMembers updated;
  // All agents of a service have the same keepers.
  std::map<std::string, bool> monitors_service;
  for (const auto& [id, record] : table.members) {
    if (IsWithdrawn(record.entry.version.phase)) continue;
    if (record.entry.kind == MemberKind::kAgent) {
      const std::string& service = record.entry.service;
      std::map<std::string, bool>::iterator keeps =
          monitors_service.find(service);
      if (keeps == monitors_service.end()) {
        const bool is_monitor =
            IsMonitorOf(self, record.entry, ready_balancers);
        keeps = monitors_service.emplace(service, is_monitor).first;
      }
      if (!keeps->second) continue;
    } else if (!IsMonitorOf(self, record.entry, ready_balancers)) {
      continue;
    }
    const KeptMembers::iterator known = kept.find(id);
    if (known == kept.end()) {
      updated.emplace_hint(updated.end(), id, KeptMember{now});
    } else {
      updated.emplace_hint(updated.end(), id, known->second);
    }
  }
  return updated;
}

KeptMembers FollowMember(KeptMembers kept, const MemberEntry& entry,
                         const Endpoint& self,
                         const std::vector<Endpoint>& ready_balancers,
                         TimePoint now) {
  if (IsWithdrawn(entry.version.phase)) {
    kept.erase(entry.id);
    return kept;
  }
  if (kept.count(entry.id) > 0) return kept;
  if (!IsMonitorOf(self, entry, ready_balancers)) return kept;
  kept[entry.id] = KeptMember{now};
  return kept;
}

KeptMembers NoteHeartbeat(KeptMembers kept, const Endpoint& id,
                          const UpstreamLoad& load, TimePoint now) {
  const KeptMembers::iterator member = kept.find(id);
  if (member == kept.end()) return kept;
  member->second.last_heard = now;
  member->second.heard = true;
  member->second.load = load;
  return kept;
}

KeptMembers CountAllAsHeard(KeptMembers kept, TimePoint now) {
  for (auto& [id, member] : kept) member.last_heard = now;
  return kept;
}

std::vector<SuspicionReply> AnswerQuery(const KeptMembers& kept,
                                        const SuspicionQuery& query,
                                        Millis fail_after, TimePoint now) {
  const KeptMembers::const_iterator member = kept.find(query.subject);
  if (member == kept.end()) return {};
  const Millis age = now - member->second.last_heard;
  const bool is_recent = age < fail_after;
  if (is_recent && !member->second.heard) return {};
  return {SuspicionReply{query.query, query.subject, is_recent,
                         static_cast<uint32_t>(age.value)}};
}

}  // namespace medlarwinch
