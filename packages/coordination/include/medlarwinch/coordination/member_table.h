#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_types.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/member_entry.h"

namespace medlarwinch {

/// Members that a table holds at most, withdrawn ones included.
inline constexpr size_t kMaxTableMembers = kMaxFetchedMembers;
/// Time for which a withdrawn member stays in the table as a whole entry. It
/// counts as withdrawn slots of its service for that time.
inline constexpr Millis kWithdrawnRetention{600'000};
/// Members whose last version is remembered after their entry was dropped.
inline constexpr size_t kMaxTombstones = 16'384;
/// Changes kept as recent history.
inline constexpr size_t kMaxMemberChanges = 256;

/// One member with the times that matter to decisions.
struct MemberRecord {
  MemberEntry entry;
  /// Monotonic time of the last change of the entry.
  TimePoint changed;
  /// Monotonic time at which the member became ready; meaningful in the phases
  /// ready and draining.
  TimePoint ready_since;
};

/// A change of a member, for the recent history.
struct MemberChange {
  TimePoint at;
  Endpoint id;
  MemberVersion from;
  MemberVersion to;
};

/// Last version of a member whose entry was dropped.
struct Tombstone {
  MemberVersion version;
  TimePoint created;
};

/// All known members. Copies converge because entries are merged by the maximum
/// of MemberVersion.
struct MemberTable {
  std::map<Endpoint, MemberRecord> members;
  std::map<Endpoint, Tombstone> tombstones;
  /// Newest change last.
  std::deque<MemberChange> history;
  /// Entries of unknown members that were refused because the table was full.
  uint64_t refused = 0;
};

/// Outcome of a merge.
struct MergeOutcome {
  MemberTable table;
  /// Entries that were new to the table; they are passed on.
  std::vector<MemberEntry> accepted;
  /// Entries of the table that are newer than those received; the sender needs
  /// them.
  std::vector<MemberEntry> newer;
};

/// True for the phases left and failed.
bool IsWithdrawn(MemberPhase phase);

/// Merges entries by the maximum of their versions. An entry that is not above
/// the last known version changes nothing, even after that member's entry was
/// dropped.
MergeOutcome MergeEntries(MemberTable table,
                          const std::vector<MemberEntry>& entries,
                          TimePoint now);

/// Drops entries withdrawn for longer than kWithdrawnRetention and keeps their
/// versions, at most kMaxTombstones, the oldest being forgotten first. A
/// member forgotten so can return only through a balancer that missed its
/// withdrawal, and its keepers withdraw it again.
MemberTable PurgeWithdrawnEntries(MemberTable table, TimePoint now);

/// Returns the version that a live process takes when `recorded` is on record
/// for it: above `recorded` when that is higher than its own, else its own. A
/// process that left does not object.
MemberVersion RefutingVersion(const MemberVersion& own,
                              const MemberVersion& recorded);

/// Control addresses of the ready balancers, in order.
std::vector<Endpoint> ReadyBalancers(const MemberTable& table);

/// Upstreams of a service that are not withdrawn, ordered by data address.
std::vector<RosterEntry> RosterOf(const MemberTable& table,
                                  const std::string& service);

/// Hash of a roster; never 0, which stands for "none".
uint64_t HashRoster(const std::vector<RosterEntry>& roster);

}  // namespace medlarwinch
