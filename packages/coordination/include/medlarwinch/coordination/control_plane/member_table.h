#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/control_types.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/member_entry.h"

namespace medlarwinch {

/// Maximum number of members in a table, including withdrawn ones.
inline constexpr size_t kMaxTableMembers = kMaxFetchedMembers;
/// Time for which a withdrawn member stays in the table with its full entry.
/// Its slots count as withdrawn slots of the service for that time.
inline constexpr Millis kWithdrawnRetention{600'000};
/// Maximum number of tombstones.
inline constexpr size_t kMaxTombstones = 16'384;
/// Maximum number of changes in the recent history.
inline constexpr size_t kMaxMemberChanges = 256;

/// A member's entry, with the timestamps that decisions depend on.
struct MemberRecord {
  MemberEntry entry;
  /// Monotonic time of the last change of the entry.
  TimePoint changed;
  /// Monotonic time at which the member became ready. Valid in the phases ready
  /// and draining.
  TimePoint ready_since;
};

/// A version change of a member, for the recent history.
struct MemberChange {
  TimePoint at;
  Endpoint id;
  MemberVersion from;
  MemberVersion to;
};

/// Last version of a member whose entry was purged. It keeps delayed messages
/// with older versions from restoring the member.
struct Tombstone {
  MemberVersion version;
  TimePoint created;
};

/// All known members. Copies of the table converge because entries are merged
/// by the maximum of MemberVersion.
struct MemberTable {
  std::map<Endpoint, MemberRecord> members;
  std::map<Endpoint, Tombstone> tombstones;
  /// Recent changes, oldest first.
  std::deque<MemberChange> history;
  /// Number of entries of unknown members that were refused because the table
  /// was full.
  uint64_t refused = 0;
};

/// Result of MergeEntries().
struct MergeOutcome {
  MemberTable table;
  /// Entries that changed the table; they are gossiped further.
  std::vector<MemberEntry> accepted;
  /// Entries of the table that are newer than those received; the sender needs
  /// them.
  std::vector<MemberEntry> newer;
};

/// True for the phases left and failed.
bool IsWithdrawn(MemberPhase phase);

/// Merges entries by the maximum of their versions. An entry whose version is
/// not above the last known one has no effect, also when only a tombstone of
/// the member is left.
MergeOutcome MergeEntries(MemberTable table,
                          const std::vector<MemberEntry>& entries,
                          TimePoint now);

/// Replaces entries withdrawn for longer than kWithdrawnRetention with
/// tombstones, and evicts the oldest tombstones above kMaxTombstones. A member
/// without a tombstone can reappear only through a balancer that missed its
/// withdrawal; its monitors then withdraw it again.
MemberTable PurgeWithdrawnEntries(MemberTable table, TimePoint now);

/// Returns the version with which a live process refutes `recorded`: one above
/// `recorded` when that is higher than its own, else its own. A process that
/// has left does not refute.
MemberVersion RefutingVersion(const MemberVersion& own,
                              const MemberVersion& recorded);

/// Control addresses of the ready balancers, in ascending order.
std::vector<Endpoint> ReadyBalancers(const MemberTable& table);

/// Upstreams of a service that are not withdrawn, ordered by data address.
std::vector<RosterEntry> RosterOf(const MemberTable& table,
                                  const std::string& service);

/// Hash of a roster. Never 0, which stands for no roster.
uint64_t HashRoster(const std::vector<RosterEntry>& roster);

}  // namespace medlarwinch
