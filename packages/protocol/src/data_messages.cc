#include "medlarwinch/protocol/data_messages.h"

namespace medlarwinch {

Bytes EncodeDataMessage(const SipKey& key, const DataMessage& message) {
  Bytes bytes = Encode(message);
  AppendMac(key, bytes);
  return bytes;
}

Result<DataMessage> DecodeDataMessage(const SipKey& key, ByteView bytes) {
  const Result<ByteView> verified = VerifyMac(key, bytes);
  if (!IsOk(verified)) return ErrorOf(verified);
  return Decode<DataMessage>(ValueOf(verified));
}

Bytes EncodeFabricPacket(const FabricPacket& packet) { return Encode(packet); }

Result<FabricPacket> DecodeFabricPacket(ByteView bytes) {
  return Decode<FabricPacket>(bytes);
}

}  // namespace medlarwinch
