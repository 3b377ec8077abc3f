// Input: a datagram of a caller or of an upstream.
#include "fuzz_input.h"
#include "medlarwinch/platform/packet_format.h"
#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/protocol/relay_messages.h"

namespace medlarwinch {
namespace {

void CheckReencoded(const FlowPacket& packet, ByteView datagram) {
  FlowPacket expected = packet;
  // Only the upstream that returns a packet sets this flag.
  expected.is_bounced = false;
  const Bytes encoded = EncodePacket(packet, DataOf(datagram));
  Require(platform::DecodePacket(encoded) == expected,
          "an encoded packet decodes to the same fields");
}

void CheckRestored(const FlowPacket& packet, ByteView datagram) {
  Bytes restored(datagram.begin(), datagram.end());
  platform::RestoreBouncedPacket(restored);
  FlowPacket expected = packet;
  expected.is_bounced = false;
  Require(platform::DecodePacket(restored) == expected,
          "a restored packet differs in the bounced flag only");
}

void CheckRelayed(ByteView datagram) {
  Bytes message;
  EncodeRelayMessage(RelayedPacket{{}, Bytes(datagram.begin(), datagram.end())},
                     message);
  Require(message.size() <= kMaxRelayMessageBytes,
          "each decoded packet fits one relay message");
}

void CheckReset(const FlowPacket& packet) {
  const std::optional<FlowPacket> reset = platform::DecodePacket(
      platform::MakeReset(FlowFromCaller(packet), packet.sequence));
  Require(reset.has_value() && reset->is_reset &&
              FlowFromUpstream(*reset) == FlowFromCaller(packet) &&
              reset->sequence == packet.sequence,
          "a reset belongs to the flow of its packet");
}

}  // namespace
}  // namespace medlarwinch

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwinch;  // NOLINT(google-build-using-namespace)
  const ByteView datagram(data, size);
  const std::optional<FlowPacket> packet = platform::DecodePacket(datagram);
  if (!packet.has_value()) {
    Bytes restored(data, data + size);
    platform::RestoreBouncedPacket(restored);
    return 0;
  }
  CheckReencoded(*packet, datagram);
  CheckRestored(*packet, datagram);
  CheckRelayed(datagram);
  CheckReset(*packet);
  return 0;
}
