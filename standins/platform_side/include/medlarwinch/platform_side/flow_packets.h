#pragma once

#include <string_view>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/state/flow_packet.h"

namespace medlarwinch {

/// Port at which callers and balancers of the stand-in receive packets.
inline constexpr uint16_t kPacketPort = 8172;

/// Encodes a packet as its two ends do, with the sum over the fields that the
/// system must not change.
Bytes EncodePacket(const FlowPacket& packet, std::string_view data);

/// Whether the sum of a packet is that of its sender.
bool HasValidChecksum(ByteView datagram);

/// The data of a packet.
std::string_view DataOf(ByteView datagram);

}  // namespace medlarwinch
