#include "medlarwinch/protocol/packet_header.h"

namespace medlarwinch {
namespace {

constexpr uint8_t kLongHeaderBit = 0x80;
// RFC 9000 requires this bit, and some networks drop packets without it.
constexpr uint8_t kFixedBit = 0x40;
constexpr size_t kVersionBytes = 4;

// Consumes a length-prefixed connection identifier from the front of
// `remaining`.
bool ConsumeConnectionId(ByteView& remaining, ByteView& identifier) {
  if (remaining.empty()) return false;
  const size_t length = remaining[0];
  if (length > kMaxConnectionIdBytes || remaining.size() < 1 + length)
    return false;
  identifier = remaining.subspan(1, length);
  remaining = remaining.subspan(1 + length);
  return true;
}

Result<PacketHeader> ParseLongHeader(ByteView packet) {
  PacketHeader header;
  header.is_long = true;
  ByteView remaining = packet.subspan(1);
  if (remaining.size() < kVersionBytes) {
    return Error{ErrorCode::kInvalidInput,
                 "long header is truncated before its version"};
  }
  for (size_t index = 0; index < kVersionBytes; ++index) {
    header.version = (header.version << 8) | remaining[index];
  }
  remaining = remaining.subspan(kVersionBytes);
  if (!ConsumeConnectionId(remaining, header.destination)) {
    return Error{ErrorCode::kInvalidInput,
                 "destination identifier is truncated or too long"};
  }
  if (!ConsumeConnectionId(remaining, header.source)) {
    return Error{ErrorCode::kInvalidInput,
                 "source identifier is truncated or too long"};
  }
  header.payload = remaining;
  return header;
}

void AppendConnectionId(ByteView identifier, Bytes& packet) {
  packet.push_back(static_cast<uint8_t>(identifier.size()));
  packet.insert(packet.end(), identifier.begin(), identifier.end());
}

}  // namespace

Result<PacketHeader> ParsePacketHeader(ByteView packet) {
  if (packet.empty()) {
    return Error{ErrorCode::kInvalidInput, "packet is empty"};
  }
  if ((packet[0] & kLongHeaderBit) != 0) return ParseLongHeader(packet);
  if (packet.size() < 1 + kFlowIdentifierBytes) {
    return Error{ErrorCode::kInvalidInput, "short header is truncated"};
  }
  PacketHeader header;
  header.destination = packet.subspan(1, kFlowIdentifierBytes);
  header.payload = packet.subspan(1 + kFlowIdentifierBytes);
  return header;
}

void AppendLongHeader(uint32_t version, ByteView destination, ByteView source,
                      Bytes& packet) {
  packet.push_back(kLongHeaderBit | kFixedBit);
  for (int shift = 24; shift >= 0; shift -= 8) {
    packet.push_back(static_cast<uint8_t>(version >> shift));
  }
  AppendConnectionId(destination, packet);
  AppendConnectionId(source, packet);
}

void AppendShortHeader(const FlowIdentifierBytes& destination, Bytes& packet) {
  packet.push_back(kFixedBit);
  packet.insert(packet.end(), destination.begin(), destination.end());
}

}  // namespace medlarwinch
