#pragma once

#include <cstdint>

#include "medlarwinch/coordination/control_plane/member_table.h"

namespace medlarwinch {

/// Slot totals of one service, for the withdrawal bound.
struct SlotCount {
  /// Slots of all upstreams that have not left.
  uint64_t total = 0;
  /// Slots of the upstreams recorded as failed.
  uint64_t failed = 0;
};

/// Slots that a member counts for the withdrawal bound; a balancer counts as
/// one. Bounding the balancers too keeps the smaller side of a partition from
/// recording the other side as failed, one monitor group after the other.
uint32_t SlotsOf(const MemberEntry& entry);

/// Counts the slots of a member's service, or the balancers, over the full
/// entries of the table.
SlotCount CountSlots(const MemberTable& table, const MemberEntry& member);

/// True when at most `max_percent` of the slots are withdrawn after one more
/// upstream with `slots` slots, already included in the total, is recorded as
/// failed.
bool MayWithdraw(const SlotCount& count, uint32_t slots, uint32_t max_percent);

}  // namespace medlarwinch
