// Input: a datagram between balancers and agents.
#include "fuzz_input.h"
#include "medlarwinch/protocol/relay_messages.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwinch;  // NOLINT(google-build-using-namespace)
  const Result<RelayMessage> decoded = DecodeRelayMessage(ByteView(data, size));
  if (!IsOk(decoded)) return 0;
  Bytes encoded;
  EncodeRelayMessage(ValueOf(decoded), encoded);
  const Result<RelayMessage> again = DecodeRelayMessage(encoded);
  Require(IsOk(again) && ValueOf(again) == ValueOf(decoded),
          "an encoded message decodes to the same fields");
  return 0;
}
