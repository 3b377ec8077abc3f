// Input: the settings file of a process, decoded for both roles.
#include "fuzz_input.h"
#include "medlarwinch/platform/settings_file.h"

namespace medlarwinch {
namespace {

void CheckSettings(const std::string& text, NodeRole role) {
  const Result<NodeSettings> decoded = platform::DecodeNodeSettings(text, role);
  if (!IsOk(decoded)) {
    Require(!ErrorOf(decoded).message.empty(), "an error names its field");
    return;
  }
  const NodeSettings& settings = ValueOf(decoded);
  Require(settings.role == role, "the settings are for the requested role");
  Require(settings.relay_address.port != 0 &&
              settings.relay_address.ip == settings.datagram_address.ip,
          "the relay address is complete");
  Require(settings.stop_grace_period > Millis{0} &&
              settings.heartbeat_interval > Millis{0},
          "durations are positive");
}

}  // namespace
}  // namespace medlarwinch

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwinch;  // NOLINT(google-build-using-namespace)
  const std::string text = ToText(data, size);
  CheckSettings(text, NodeRole::kBalancer);
  CheckSettings(text, NodeRole::kAgent);
  return 0;
}
