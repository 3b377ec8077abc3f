#pragma once

#include <cstddef>
#include <cstdint>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/state/flow_identifier.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Version field of the thin request protocol.
inline constexpr uint32_t kThinProtocolVersion = 0x4D4C5701;
/// Largest packet between caller and agent, in bytes.
inline constexpr size_t kMaxPacketBytes = 1'400;
/// Bytes of the identifiers that a caller of the thin protocol chooses.
inline constexpr size_t kCallerIdentifierBytes = 8;
/// RFC 8999 allows longer identifiers; version 1 of QUIC and ours do not.
inline constexpr size_t kMaxConnectionIdBytes = 20;

/// The version-independent part of a packet (RFC 8999). Views point into the
/// packet.
struct PacketHeader {
  bool is_long = false;
  uint32_t version = 0;
  ByteView destination;
  /// Empty for a short header.
  ByteView source;
  /// What follows the header.
  ByteView payload;
};

/// Reads the header of `packet`. Fails with kInvalidInput when it is truncated
/// or an identifier is longer than kMaxConnectionIdBytes. Allocates only for
/// the error.
Result<PacketHeader> ParsePacketHeader(ByteView packet);

/// Appends a long header to `packet`.
void AppendLongHeader(uint32_t version, ByteView destination, ByteView source,
                      Bytes& packet);

/// Appends a short header to `packet`; the destination has exactly
/// kFlowIdentifierBytes bytes.
void AppendShortHeader(const FlowIdentifierBytes& destination, Bytes& packet);

}  // namespace medlarwinch
