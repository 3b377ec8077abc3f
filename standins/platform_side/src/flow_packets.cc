#include "medlarwinch/platform_side/flow_packets.h"

#include <xxhash.h>

#include <cstring>

#include "medlarwinch/platform/packet_format.h"

namespace medlarwinch {
namespace {

constexpr size_t kDataLengthOffset = 0;
constexpr size_t kAcknowledgementOffset = 6;
constexpr size_t kChecksumOffset = 10;
constexpr size_t kFlagsOffset = 26;
constexpr size_t kUnprotectedOffset = 27;
constexpr uint32_t kChecksumKey = 0x5eed;
constexpr uint8_t kBouncedFlag = 32;

void WriteBigEndian32(Bytes& bytes, size_t offset, uint32_t value) {
  for (size_t index = 0; index < 4; ++index) {
    bytes[offset + index] = static_cast<uint8_t>(value >> (24 - 8 * index));
  }
}

uint32_t ComputeChecksum(ByteView datagram) {
  Bytes protected_bytes(datagram.begin(), datagram.end());
  std::memset(protected_bytes.data() + kChecksumOffset, 0, 4);
  std::memset(protected_bytes.data() + kUnprotectedOffset, 0,
              platform::kPacketHeaderBytes - kUnprotectedOffset);
  protected_bytes[kFlagsOffset] &= static_cast<uint8_t>(~kBouncedFlag);
  return XXH32(protected_bytes.data(), protected_bytes.size(), kChecksumKey);
}

}  // namespace

Bytes EncodePacket(const FlowPacket& packet, std::string_view data) {
  // A reset has the same header layout as other packets, so its addresses and
  // sequence number are reused.
  Bytes bytes = platform::MakeReset(
      FlowTuple{packet.destination, packet.source}, packet.sequence);
  bytes[kDataLengthOffset] = static_cast<uint8_t>(data.size() >> 8);
  bytes[kDataLengthOffset + 1] = static_cast<uint8_t>(data.size());
  WriteBigEndian32(bytes, kAcknowledgementOffset, packet.acknowledged);
  bytes[kFlagsOffset] = static_cast<uint8_t>(
      (packet.is_syn ? 1 : 0) | (packet.is_ack ? 8 : 0) |
      (packet.is_fin ? 2 : 0) | (packet.is_reset ? 64 : 0));
  bytes.insert(bytes.end(), data.begin(), data.end());
  WriteBigEndian32(bytes, kChecksumOffset, ComputeChecksum(bytes));
  return bytes;
}

bool HasValidChecksum(ByteView datagram) {
  if (datagram.size() < platform::kPacketHeaderBytes) return false;
  uint32_t checksum = 0;
  for (size_t index = 0; index < 4; ++index) {
    checksum = checksum << 8 | datagram[kChecksumOffset + index];
  }
  return checksum == ComputeChecksum(datagram);
}

std::string_view DataOf(ByteView datagram) {
  if (datagram.size() <= platform::kPacketHeaderBytes) return {};
  return std::string_view(reinterpret_cast<const char*>(datagram.data()) +
                              platform::kPacketHeaderBytes,
                          datagram.size() - platform::kPacketHeaderBytes);
}

}  // namespace medlarwinch
