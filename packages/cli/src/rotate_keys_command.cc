#include "medlarwinch/cli/rotate_keys_command.h"

#include <sodium.h>

#include "medlarwinch/protocol/key_ring.h"

namespace medlarwinch {
namespace {

constexpr const char* kKeyRingKey = "keys/ring";

}  // namespace

Result<RotateKeysReport> RunRotateKeys(const CommandContext& context) {
  PlatformClient client = MakePlatformClient(context);
  const Result<PlatformObject> object = client.Get(kKeyRingKey);
  KeyRing ring;
  uint64_t version = 0;
  if (IsOk(object)) {
    const Result<KeyRing> parsed = ParseKeyRing(ValueOf(object).value);
    if (!IsOk(parsed)) return ErrorOf(parsed);
    ring = ValueOf(parsed);
    version = ValueOf(object).version;
  } else if (ErrorOf(object).code != ErrorCode::kNotFound) {
    return ErrorOf(object);
  }
  EpochSeed seed{};
  randombytes_buf(seed.data(), seed.size());
  const KeyRing rotated = RotateKeyRing(ring, seed, kMaxRetainedEpochs);
  const Result<uint64_t> written = client.Put(
      kKeyRingKey, FormatKeyRing(rotated), version, NewOperationId(context));
  if (!IsOk(written)) return ErrorOf(written);
  return RotateKeysReport{ValueOf(written), ring.current_epoch,
                          rotated.current_epoch, rotated.epochs.size()};
}

ExitCode ExitCodeOf(const RotateKeysReport& /*report*/) { return kExitOk; }

std::string FormatText(const RotateKeysReport& report) {
  return "keys/ring: version " + std::to_string(report.version) +
         ", current epoch " + std::to_string(report.current_epoch) +
         ", previous epoch " + std::to_string(report.previous_epoch) + "; " +
         std::to_string(report.epochs) + " epochs accepted\n";
}

nlohmann::json ToJson(const RotateKeysReport& report) {
  return {{"version", report.version},
          {"previous_epoch", report.previous_epoch},
          {"current_epoch", report.current_epoch},
          {"epochs", report.epochs}};
}

}  // namespace medlarwinch
