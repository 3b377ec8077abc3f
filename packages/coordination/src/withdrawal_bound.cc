#include "medlarwinch/coordination/withdrawal_bound.h"

namespace medlarwinch {

SlotCount CountSlots(const MemberTable& table, const std::string& service) {
  SlotCount count;
  for (const auto& [id, record] : table.members) {
    const MemberEntry& entry = record.entry;
    if (entry.kind != MemberKind::kAgent || entry.service != service) continue;
    if (entry.version.phase == MemberPhase::kLeft) continue;
    count.total += entry.slots;
    if (entry.version.phase == MemberPhase::kFailed)
      count.failed += entry.slots;
  }
  return count;
}

bool MayWithdraw(const SlotCount& count, uint32_t slots, uint32_t max_percent) {
  return (count.failed + slots) * 100 <= count.total * max_percent;
}

}  // namespace medlarwinch
