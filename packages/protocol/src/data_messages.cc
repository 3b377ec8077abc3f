#include "medlarwinch/protocol/data_messages.h"

namespace medlarwinch {

Bytes EncodeDataMessage(const SipKey& key, const DataMessage& message) {
  Bytes bytes = Encode(message);
  Seal(key, bytes);
  return bytes;
}

Result<DataMessage> DecodeDataMessage(const SipKey& key, ByteView bytes) {
  const Result<ByteView> opened = Unseal(key, bytes);
  if (!IsOk(opened)) return ErrorOf(opened);
  return Decode<DataMessage>(ValueOf(opened));
}

Bytes EncodeFabricPacket(const FabricPacket& packet) { return Encode(packet); }

Result<FabricPacket> DecodeFabricPacket(ByteView bytes) {
  return Decode<FabricPacket>(bytes);
}

}  // namespace medlarwinch
