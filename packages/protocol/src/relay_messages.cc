#include "medlarwinch/protocol/relay_messages.h"

namespace medlarwinch {

void EncodeRelayMessage(const RelayMessage& message, Bytes& bytes) {
  bytes.clear();
  EncodeTo(message, bytes);
}

Result<RelayMessage> DecodeRelayMessage(ByteView bytes) {
  return Decode<RelayMessage>(bytes);
}

}  // namespace medlarwinch
