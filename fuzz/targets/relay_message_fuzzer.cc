// Input: a datagram between balancers and agents.
#include "fuzz_input.h"
#include "medlarwinch/protocol/relay_messages.h"

namespace medlarwinch {
namespace {

void CheckFigures(const RelayMessage& message) {
  if (const ExtendedStatus* status = std::get_if<ExtendedStatus>(&message)) {
    const double load = status->status.report.mean_outstanding;
    Require(load >= 0 && load <= kMaxDecodedCount, "the load is bounded");
    Require(status->load.suspected_failures >= 0 &&
                status->load.suspected_failures <= 1,
            "the share of failures is bounded");
  }
  if (const OpeningRefused* refused = std::get_if<OpeningRefused>(&message)) {
    Require(refused->context.relayed_at >= TimePoint{} &&
                refused->context.relayed_at <= TimePoint{kMaxDecodedTimeMs},
            "the time of an opening is bounded");
  }
}

}  // namespace
}  // namespace medlarwinch

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwinch;  // NOLINT(google-build-using-namespace)
  const Result<RelayMessage> decoded = DecodeRelayMessage(ByteView(data, size));
  if (!IsOk(decoded)) return 0;
  CheckFigures(ValueOf(decoded));
  Bytes encoded;
  EncodeRelayMessage(ValueOf(decoded), encoded);
  const Result<RelayMessage> again = DecodeRelayMessage(encoded);
  Require(IsOk(again) && ValueOf(again) == ValueOf(decoded),
          "an encoded message decodes to the same fields");
  return 0;
}
