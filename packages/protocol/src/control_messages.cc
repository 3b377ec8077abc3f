#include "medlarwinch/protocol/control_messages.h"

namespace medlarwinch {
namespace {

template <typename Message>
Bytes EncodeAuthenticated(const SipKey& key, const Message& message) {
  Bytes bytes = Encode(message);
  AppendMac(key, bytes);
  return bytes;
}

template <typename Message>
Result<Message> DecodeAuthenticated(const SipKey& key, ByteView bytes) {
  const Result<ByteView> verified = VerifyMac(key, bytes);
  if (!IsOk(verified)) return ErrorOf(verified);
  return Decode<Message>(ValueOf(verified));
}

}  // namespace

Bytes EncodeControlMessage(const SipKey& key, const ControlMessage& message) {
  return EncodeAuthenticated(key, message);
}

Result<ControlMessage> DecodeControlMessage(const SipKey& key, ByteView bytes) {
  return DecodeAuthenticated<ControlMessage>(key, bytes);
}

Bytes EncodeFetchRequest(const SipKey& key, const FetchRequest& request) {
  return EncodeAuthenticated(key, request);
}

Result<FetchRequest> DecodeFetchRequest(const SipKey& key, ByteView bytes) {
  return DecodeAuthenticated<FetchRequest>(key, bytes);
}

Bytes EncodeFetchReply(const SipKey& key, const FetchReply& reply) {
  return EncodeAuthenticated(key, reply);
}

Result<FetchReply> DecodeFetchReply(const SipKey& key, ByteView bytes) {
  return DecodeAuthenticated<FetchReply>(key, bytes);
}

}  // namespace medlarwinch
