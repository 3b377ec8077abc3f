#include "medlarwinch/protocol/control_messages.h"

namespace medlarwinch {
namespace {

template <typename Message>
Bytes EncodeSealed(const SipKey& key, const Message& message) {
  Bytes bytes = Encode(message);
  Seal(key, bytes);
  return bytes;
}

template <typename Message>
Result<Message> DecodeSealed(const SipKey& key, ByteView bytes) {
  const Result<ByteView> opened = Unseal(key, bytes);
  if (!IsOk(opened)) return ErrorOf(opened);
  return Decode<Message>(ValueOf(opened));
}

}  // namespace

Bytes EncodeControlMessage(const SipKey& key, const ControlMessage& message) {
  return EncodeSealed(key, message);
}

Result<ControlMessage> DecodeControlMessage(const SipKey& key, ByteView bytes) {
  return DecodeSealed<ControlMessage>(key, bytes);
}

Bytes EncodeFetchRequest(const SipKey& key, const FetchRequest& request) {
  return EncodeSealed(key, request);
}

Result<FetchRequest> DecodeFetchRequest(const SipKey& key, ByteView bytes) {
  return DecodeSealed<FetchRequest>(key, bytes);
}

Bytes EncodeFetchReply(const SipKey& key, const FetchReply& reply) {
  return EncodeSealed(key, reply);
}

Result<FetchReply> DecodeFetchReply(const SipKey& key, ByteView bytes) {
  return DecodeSealed<FetchReply>(key, bytes);
}

}  // namespace medlarwinch
