#pragma once

#include <memory>
#include <string>
#include <vector>

#include "medlarwinch/coordination/request_path/routing_decision.h"
#include "medlarwinch/protocol/data_messages.h"
#include "medlarwinch/protocol/key_ring.h"

namespace medlarwinch {

/// Kind of packet that was routed, for the counters.
enum class PacketKind : uint8_t {
  /// The service is unknown or the packet is malformed.
  kUnknown = 0,
  /// A verified identifier names the owning agent.
  kEstablished = 1,
  /// A long header without a valid identifier: opens a flow or repeats the
  /// opening.
  kNew = 2,
  /// A short header without a valid identifier.
  kWithoutIdentifier = 3,
};

/// A routing decision with its packet kind and service.
struct RoutedPacket {
  RoutingDecision decision;
  PacketKind kind = PacketKind::kUnknown;
  /// Set if kind != kUnknown, or if the packet was dropped after its service
  /// was found; otherwise kContestedAddress.
  ServiceIndex service = kContestedAddress;
};

/// Routes a packet from the fabric: finds the service by the destination
/// address, verifies the identifier for that service and calls DecideRoute().
/// Does not allocate memory, except for the error of a malformed header.
RoutedPacket RouteFabricPacket(const RoutingTables& tables, const KeySet& keys,
                               const Endpoint& service_address,
                               const Endpoint& caller, ByteView payload);

/// A datagram and the agent it is sent to.
struct AddressedDatagram {
  Endpoint agent;
  Bytes bytes;
};

/// Returns the sealed message that forwards `packet`. `fabric` is the address
/// of the fabric process that sent it. The decision must not be a drop.
AddressedDatagram MakeForwardedDatagram(const RoutingTables& tables,
                                        const KeySet& keys,
                                        const RoutedPacket& routed,
                                        const Endpoint& fabric,
                                        FabricPacket packet);

}  // namespace medlarwinch
