#include "medlarwinch/coordination/control_plane/member_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "medlarwinch/coordination/shared/rendezvous.h"

namespace medlarwinch {
namespace {

bool IsInService(MemberPhase phase) {
  return phase == MemberPhase::kReady || phase == MemberPhase::kDraining;
}

void AddChange(MemberTable& table, const MemberChange& change) {
  table.history.push_back(change);
  if (table.history.size() > kMaxMemberChanges) table.history.pop_front();
}

void MergeKnown(MergeOutcome& outcome, MemberRecord& record,
                const MemberEntry& entry, TimePoint now) {
  const MemberVersion known = record.entry.version;
  if (entry.version < known) outcome.newer.push_back(record.entry);
  if (entry.version <= known) return;
  const bool is_same_boot = entry.version.boot == known.boot;
  if (!IsInService(known.phase) || !is_same_boot) record.ready_since = now;
  record.entry = entry;
  record.changed = now;
  AddChange(outcome.table, MemberChange{now, entry.id, known, entry.version});
  outcome.accepted.push_back(entry);
}

void MergeUnknown(MergeOutcome& outcome, const MemberEntry& entry,
                  TimePoint now) {
  MemberTable& table = outcome.table;
  MemberVersion known;
  const std::map<Endpoint, Tombstone>::iterator tombstone =
      table.tombstones.find(entry.id);
  if (tombstone != table.tombstones.end()) {
    known = tombstone->second.version;
    if (entry.version < known) {
      MemberEntry newer = entry;
      newer.version = known;
      outcome.newer.push_back(newer);
    }
    if (entry.version <= known) return;
  }
  if (table.members.size() >= kMaxTableMembers) {
    ++table.refused;
    return;
  }
  if (tombstone != table.tombstones.end()) table.tombstones.erase(tombstone);
  table.members[entry.id] = MemberRecord{entry, now, now};
  AddChange(table, MemberChange{now, entry.id, known, entry.version});
  outcome.accepted.push_back(entry);
}

void EvictOldestTombstones(std::map<Endpoint, Tombstone>& tombstones) {
  while (tombstones.size() > kMaxTombstones) {
    tombstones.erase(
        std::min_element(tombstones.begin(), tombstones.end(),
                         [](const std::pair<const Endpoint, Tombstone>& a,
                            const std::pair<const Endpoint, Tombstone>& b) {
                           return a.second.created < b.second.created;
                         }));
  }
}

}  // namespace

bool IsWithdrawn(MemberPhase phase) { return phase >= MemberPhase::kLeft; }

MergeOutcome MergeEntries(MemberTable table,
                          const std::vector<MemberEntry>& entries,
                          TimePoint now) {
  MergeOutcome outcome;
  outcome.table = std::move(table);
  for (const MemberEntry& entry : entries) {
    const std::map<Endpoint, MemberRecord>::iterator known =
        outcome.table.members.find(entry.id);
    if (known != outcome.table.members.end()) {
      MergeKnown(outcome, known->second, entry, now);
    } else {
      MergeUnknown(outcome, entry, now);
    }
  }
  return outcome;
}

MemberTable PurgeWithdrawnEntries(MemberTable table, TimePoint now) {
  for (std::map<Endpoint, MemberRecord>::iterator it = table.members.begin();
       it != table.members.end();) {
    const MemberRecord& record = it->second;
    const bool is_old = now - record.changed > kWithdrawnRetention;
    if (!IsWithdrawn(record.entry.version.phase) || !is_old) {
      ++it;
      continue;
    }
    table.tombstones[it->first] = Tombstone{record.entry.version, now};
    it = table.members.erase(it);
  }
  EvictOldestTombstones(table.tombstones);
  return table;
}

MemberVersion RefutingVersion(const MemberVersion& own,
                              const MemberVersion& recorded) {
  if (recorded <= own || IsWithdrawn(own.phase)) return own;
  if (recorded.boot > own.boot) {
    return MemberVersion{recorded.boot + 1, 0, own.phase};
  }
  return MemberVersion{own.boot, recorded.incarnation + 1, own.phase};
}

std::vector<Endpoint> ReadyBalancers(const MemberTable& table) {
  std::vector<Endpoint> balancers;
  for (const auto& [id, record] : table.members) {
    if (record.entry.kind != MemberKind::kBalancer) continue;
    if (record.entry.version.phase != MemberPhase::kReady) continue;
    balancers.push_back(id);
  }
  return balancers;
}

std::vector<RosterEntry> RosterOf(const MemberTable& table,
                                  const std::string& service) {
  std::vector<RosterEntry> roster;
  for (const auto& [id, record] : table.members) {
    const MemberEntry& entry = record.entry;
    if (entry.kind != MemberKind::kAgent || entry.service != service) continue;
    if (IsWithdrawn(entry.version.phase)) continue;
    roster.push_back(RosterEntry{entry.data, entry.version.boot,
                                 entry.version.phase, entry.slots});
  }
  std::sort(roster.begin(), roster.end(),
            [](const RosterEntry& a, const RosterEntry& b) {
              return std::tie(a.data, a.boot) < std::tie(b.data, b.boot);
            });
  if (roster.size() > kMaxFetchedRosterEntries) {
    roster.resize(kMaxFetchedRosterEntries);
  }
  return roster;
}

uint64_t HashRoster(const std::vector<RosterEntry>& roster) {
  uint64_t hash = 1;
  for (const RosterEntry& entry : roster) {
    hash = HashKeyWithNode(hash, entry.data);
    const int64_t fields[3] = {entry.boot, static_cast<int64_t>(entry.phase),
                               entry.slots};
    hash = HashKey(
        std::string_view(reinterpret_cast<const char*>(fields), sizeof(fields)),
        hash);
  }
  return hash == 0 ? 1 : hash;
}

}  // namespace medlarwinch
