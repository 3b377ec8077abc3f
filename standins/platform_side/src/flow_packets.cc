#include "medlarwinch/platform_side/flow_packets.h"

#include <xxhash.h>

#include <cstring>

#include "medlarwinch/platform/packet_format.h"

namespace medlarwinch {
namespace {

constexpr size_t kDataBytesAt = 0;
constexpr size_t kAcknowledgedAt = 6;
constexpr size_t kSumAt = 10;
constexpr size_t kFlagsAt = 26;
constexpr size_t kUnsummedAt = 27;
constexpr uint32_t kSumKey = 0x5eed;
constexpr uint8_t kBouncedFlag = 32;

void Write32(Bytes& bytes, size_t at, uint32_t value) {
  for (size_t index = 0; index < 4; ++index) {
    bytes[at + index] = static_cast<uint8_t>(value >> (24 - 8 * index));
  }
}

uint32_t SumOf(ByteView datagram) {
  Bytes summed(datagram.begin(), datagram.end());
  std::memset(summed.data() + kSumAt, 0, 4);
  std::memset(summed.data() + kUnsummedAt, 0,
              platform::kPacketHeaderBytes - kUnsummedAt);
  summed[kFlagsAt] &= static_cast<uint8_t>(~kBouncedFlag);
  return XXH32(summed.data(), summed.size(), kSumKey);
}

}  // namespace

Bytes EncodePacket(const FlowPacket& packet, std::string_view data) {
  // A reset has the layout of any packet: the ends' addresses and a sequence.
  Bytes bytes = platform::MakeReset(
      FlowTuple{packet.destination, packet.source}, packet.sequence);
  bytes[kDataBytesAt] = static_cast<uint8_t>(data.size() >> 8);
  bytes[kDataBytesAt + 1] = static_cast<uint8_t>(data.size());
  Write32(bytes, kAcknowledgedAt, packet.acknowledged);
  bytes[kFlagsAt] = static_cast<uint8_t>(
      (packet.is_syn ? 1 : 0) | (packet.is_ack ? 8 : 0) |
      (packet.is_fin ? 2 : 0) | (packet.is_reset ? 64 : 0));
  bytes.insert(bytes.end(), data.begin(), data.end());
  Write32(bytes, kSumAt, SumOf(bytes));
  return bytes;
}

bool HasValidSum(ByteView datagram) {
  if (datagram.size() < platform::kPacketHeaderBytes) return false;
  uint32_t sum = 0;
  for (size_t index = 0; index < 4; ++index) {
    sum = sum << 8 | datagram[kSumAt + index];
  }
  return sum == SumOf(datagram);
}

std::string_view DataOf(ByteView datagram) {
  if (datagram.size() <= platform::kPacketHeaderBytes) return {};
  return std::string_view(reinterpret_cast<const char*>(datagram.data()) +
                              platform::kPacketHeaderBytes,
                          datagram.size() - platform::kPacketHeaderBytes);
}

}  // namespace medlarwinch
