#pragma once

#include <cstdint>

#include "medlarwinch/coordination/member_table.h"

namespace medlarwinch {

/// Slots of one service that count for the bound.
struct SlotCount {
  /// Slots of all upstreams that have not left.
  uint64_t total = 0;
  /// Slots of those recorded as failed.
  uint64_t failed = 0;
};

/// Slots of a member for the bound; a balancer counts as one. Bounding the
/// balancers too keeps the smaller side of a partition from recording the other
/// side as failed, group by group.
uint32_t SlotsOf(const MemberEntry& entry);

/// Counts the slots of a member's service, or the balancers, over whole entries
/// of the table.
SlotCount CountSlots(const MemberTable& table, const MemberEntry& member);

/// True when recording one more upstream with `slots` slots, already part of
/// the total, as failed leaves at most `max_percent` of the slots withdrawn.
bool MayWithdraw(const SlotCount& count, uint32_t slots, uint32_t max_percent);

}  // namespace medlarwinch
