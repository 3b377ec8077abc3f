#pragma once

#include <cstddef>
#include <cstdint>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/state/flow_identifier.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Value of the version field in the thin request protocol.
inline constexpr uint32_t kThinProtocolVersion = 0x4D4C5701;
/// Maximum packet size between caller and agent, in bytes.
inline constexpr size_t kMaxPacketBytes = 1'400;
/// Size of the connection identifiers that callers of the thin protocol choose,
/// in bytes.
inline constexpr size_t kCallerIdentifierBytes = 8;
/// Limit of QUIC version 1 and of the thin protocol. RFC 8999 allows longer
/// connection identifiers.
inline constexpr size_t kMaxConnectionIdBytes = 20;

/// The version-independent header of a packet (RFC 8999). The views point into
/// the packet.
struct PacketHeader {
  bool is_long = false;
  uint32_t version = 0;
  ByteView destination;
  /// Empty for a short header.
  ByteView source;
  /// The bytes after the header.
  ByteView payload;
};

/// Parses the header of `packet`. Fails with kInvalidInput if it is truncated
/// or an identifier is longer than kMaxConnectionIdBytes. Allocates only on
/// failure.
Result<PacketHeader> ParsePacketHeader(ByteView packet);

/// Appends a long header to `packet`.
void AppendLongHeader(uint32_t version, ByteView destination, ByteView source,
                      Bytes& packet);

/// Appends a short header to `packet`.
void AppendShortHeader(const FlowIdentifierBytes& destination, Bytes& packet);

}  // namespace medlarwinch
