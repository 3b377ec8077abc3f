#pragma once

#include <cstdint>
#include <string>

#include "medlarwinch/coordination/member_table.h"

namespace medlarwinch {

/// Slots of one service that count for the bound.
struct SlotCount {
  /// Slots of all upstreams that have not left.
  uint64_t total = 0;
  /// Slots of those recorded as failed.
  uint64_t failed = 0;
};

/// Counts the slots of a service over whole entries of the table.
SlotCount CountSlots(const MemberTable& table, const std::string& service);

/// True when recording one more upstream with `slots` slots, already part of
/// the total, as failed leaves at most `max_percent` of the slots withdrawn.
bool MayWithdraw(const SlotCount& count, uint32_t slots, uint32_t max_percent);

}  // namespace medlarwinch
