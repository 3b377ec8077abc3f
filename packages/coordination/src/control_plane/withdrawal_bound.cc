#include "medlarwinch/coordination/control_plane/withdrawal_bound.h"

namespace medlarwinch {

uint32_t SlotsOf(const MemberEntry& entry) {
  return entry.kind == MemberKind::kBalancer ? 1 : entry.slots;
}

SlotCount CountSlots(const MemberTable& table, const MemberEntry& member) {
  SlotCount count;
  for (const auto& [id, record] : table.members) {
    const MemberEntry& entry = record.entry;
    if (entry.kind != member.kind || entry.service != member.service) continue;
    if (entry.version.phase == MemberPhase::kLeft) continue;
    count.total += SlotsOf(entry);
    if (entry.version.phase != MemberPhase::kFailed) continue;
    count.failed += SlotsOf(entry);
  }
  return count;
}

bool MayWithdraw(const SlotCount& count, uint32_t slots, uint32_t max_percent) {
  return (count.failed + slots) * 100 <= count.total * max_percent;
}

}  // namespace medlarwinch
