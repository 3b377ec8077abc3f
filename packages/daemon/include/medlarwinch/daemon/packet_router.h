#pragma once

#include <memory>
#include <string>
#include <vector>

#include "medlarwinch/coordination/routing_decision.h"
#include "medlarwinch/protocol/data_messages.h"
#include "medlarwinch/protocol/key_ring.h"

namespace medlarwinch {

/// What kind of packet a decision was about, for the counters.
enum class PacketKind : uint8_t {
  /// The service is unknown or the packet is malformed.
  kUnknown = 0,
  /// A verified identifier names the owner.
  kEstablished = 1,
  /// A long header without a valid identifier; it opens a flow or repeats that.
  kNew = 2,
  /// A short header without a valid identifier.
  kWithoutIdentifier = 3,
};

/// A decision and what it was based on.
struct RoutedPacket {
  RoutingDecision decision;
  PacketKind kind = PacketKind::kUnknown;
  /// Requires kind != kUnknown or a drop after the service was found; otherwise
  /// kContestedAddress.
  ServiceIndex service = kContestedAddress;
};

/// Decides where a packet from the fabric goes: finds the service by the
/// destination address, verifies the identifier for that service and calls
/// DecideRoute(). Does not allocate, except for the error of a malformed
/// header.
RoutedPacket RouteFabricPacket(const RoutingTables& tables, const KeySet& keys,
                               const Endpoint& service_address,
                               const Endpoint& caller, ByteView payload);

/// A datagram for an agent.
struct AddressedDatagram {
  Endpoint agent;
  Bytes bytes;
};

/// Returns the sealed message that forwards `packet`. `fabric` is the address
/// of the fabric's process that sent it. Requires that the decision is not a
/// drop.
AddressedDatagram MakeForwardedDatagram(const RoutingTables& tables,
                                        const KeySet& keys,
                                        const RoutedPacket& routed,
                                        const Endpoint& fabric,
                                        FabricPacket packet);

}  // namespace medlarwinch
