#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "medlarwinch/coordination/packet_path/relay_types.h"

namespace medlarwinch {

/// Maximum number of packets that a process holds.
inline constexpr size_t kMaxHeldPackets = 512;

/// A packet that waits for its time.
struct HeldPacket {
  FlowTuple flow;
  /// Time of arrival, on the clock that also counts suspension.
  TimePoint received_at;
  std::vector<uint8_t> bytes;

  friend bool operator==(const HeldPacket&, const HeldPacket&) = default;
};

/// The packets that a process holds, by the time at which they are due. Those
/// due at the same time are in the order of their arrival.
struct HeldPackets {
  std::multimap<TimePoint, HeldPacket> by_due_time;
};

/// Adds a packet. Returns the packet that was due first if there were already
/// kMaxHeldPackets; the caller sends it at once.
std::optional<HeldPacket> AddHeldPacket(HeldPackets& held, TimePoint due,
                                        HeldPacket packet);

/// Removes and returns the packets that are due at `now`, in order.
std::vector<HeldPacket> TakeDuePackets(HeldPackets& held, TimePoint now);

/// Removes and returns all packets, in order.
std::vector<HeldPacket> TakeAllPackets(HeldPackets& held);

/// Sets the time of arrival of the flow's packets: a later copy has arrived.
void RenewHeldPackets(HeldPackets& held, const FlowTuple& flow,
                      TimePoint received_at);

/// Discards the packets of one flow.
void DiscardHeldPackets(HeldPackets& held, const FlowTuple& flow);

}  // namespace medlarwinch
