#include "medlarwinch/coordination/packet_path/held_packets.h"

#include <utility>

namespace medlarwinch {
namespace {

HeldPacket TakeFirst(HeldPackets& held) {
  HeldPacket packet = std::move(held.by_due_time.begin()->second);
  held.by_due_time.erase(held.by_due_time.begin());
  return packet;
}

}  // namespace

std::optional<HeldPacket> AddHeldPacket(HeldPackets& held, TimePoint due,
                                        HeldPacket packet) {
  std::optional<HeldPacket> released;
  if (held.by_due_time.size() >= kMaxHeldPackets) released = TakeFirst(held);
  held.by_due_time.emplace(due, std::move(packet));
  return released;
}

std::vector<HeldPacket> TakeDuePackets(HeldPackets& held, TimePoint now) {
  std::vector<HeldPacket> due;
  while (!held.by_due_time.empty() && held.by_due_time.begin()->first <= now) {
    due.push_back(TakeFirst(held));
  }
  return due;
}

std::vector<HeldPacket> TakeAllPackets(HeldPackets& held) {
  std::vector<HeldPacket> all;
  while (!held.by_due_time.empty()) all.push_back(TakeFirst(held));
  return all;
}

void RenewHeldPackets(HeldPackets& held, const FlowTuple& flow,
                      TimePoint received_at) {
  for (auto& [due, packet] : held.by_due_time) {
    if (packet.flow == flow) packet.received_at = received_at;
  }
}

void DiscardHeldPackets(HeldPackets& held, const FlowTuple& flow) {
  std::erase_if(held.by_due_time, [&flow](const auto& entry) {
    return entry.second.flow == flow;
  });
}

}  // namespace medlarwinch
