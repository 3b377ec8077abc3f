#pragma once

#include <string_view>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/state/flow_packet.h"

namespace medlarwinch {

/// Port at which simulated callers and the balancers receive packets.
inline constexpr uint16_t kDatagramPort = 8172;

/// Encodes a packet as the two ends of a flow do, with a checksum over the
/// fields that the load balancer must not change.
Bytes EncodePacket(const FlowPacket& packet, std::string_view data);

/// True if the checksum matches, so that the packet is as its sender wrote it.
bool HasValidChecksum(ByteView datagram);

/// Returns the data after the header; empty if the datagram holds none.
std::string_view DataOf(ByteView datagram);

}  // namespace medlarwinch
