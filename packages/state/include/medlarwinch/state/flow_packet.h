#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Identity of a flow: the caller's endpoint and the service address that it
/// connected to.
struct FlowTuple {
  Endpoint caller;
  Endpoint service_address;

  friend auto operator<=>(const FlowTuple&, const FlowTuple&) = default;
};

/// The header fields that routing depends on. The packet itself is forwarded
/// unchanged.
struct FlowPacket {
  /// The endpoint that sent the packet.
  Endpoint source;
  /// The endpoint to which the packet is addressed.
  Endpoint destination;
  bool is_syn = false;
  bool is_ack = false;
  bool is_fin = false;
  bool is_reset = false;
  /// An upstream returned the packet because it does not own the flow or
  /// cannot accept it.
  bool is_bounced = false;
  uint32_t sequence = 0;
  /// Next sequence number that the sender expects from the other end. In a
  /// caller's opening packet: the number of copies sent before.
  uint32_t acknowledged = 0;
  /// Length of the data after the header.
  uint16_t data_bytes = 0;

  friend bool operator==(const FlowPacket&, const FlowPacket&) = default;
};

/// Returns the flow of a packet sent by a caller.
constexpr FlowTuple FlowFromCaller(const FlowPacket& packet) {
  return FlowTuple{packet.source, packet.destination};
}

/// Returns the flow of a packet sent by an upstream.
constexpr FlowTuple FlowFromUpstream(const FlowPacket& packet) {
  return FlowTuple{packet.destination, packet.source};
}

}  // namespace medlarwinch
