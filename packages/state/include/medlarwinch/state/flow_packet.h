#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Identity of a flow: the caller's end and the address of the service that the
/// caller opened it to.
struct FlowTuple {
  Endpoint caller;
  Endpoint service_address;

  friend auto operator<=>(const FlowTuple&, const FlowTuple&) = default;
};

/// The fields of a packet that routing depends on. The packet's bytes are
/// forwarded unchanged; this is only what was read from them.
struct FlowPacket {
  /// The end that wrote the packet.
  Endpoint source;
  /// The end that the packet is for.
  Endpoint destination;
  bool is_syn = false;
  bool is_ack = false;
  bool is_fin = false;
  bool is_reset = false;
  /// An upstream returned the packet because it does not hold the flow or can't
  /// accept it.
  bool is_bounced = false;
  uint32_t sequence = 0;
  /// Next byte that the writer expects from the other end. In the opening
  /// packet of a caller: how many copies were sent before.
  uint32_t acknowledged = 0;
  /// Length of the data that follows the header.
  uint16_t data_bytes = 0;

  friend bool operator==(const FlowPacket&, const FlowPacket&) = default;
};

/// Returns the flow of a packet that a caller wrote.
constexpr FlowTuple FlowFromCaller(const FlowPacket& packet) {
  return FlowTuple{packet.source, packet.destination};
}

/// Returns the flow of a packet that an upstream wrote.
constexpr FlowTuple FlowFromUpstream(const FlowPacket& packet) {
  return FlowTuple{packet.destination, packet.source};
}

}  // namespace medlarwinch
