#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/cli/exit_code.h"

namespace medlarwinch {

/// Epochs that a ring keeps. Flows whose identifiers are of an older epoch
/// break, so it is the largest number that a ring may have.
inline constexpr size_t kMaxKeptEpochs = 16;

/// Answer of `medlarwinch keys rotate`.
struct RotateKeysReport {
  uint64_t version = 0;
  uint8_t previous_epoch = 0;
  uint8_t current_epoch = 0;
  size_t epochs = 0;

  friend bool operator==(const RotateKeysReport&,
                         const RotateKeysReport&) = default;
};

/// Adds an epoch with a random seed to `keys/ring` and makes it the current
/// one. Fails with kConflict when another operator rotates at the same time.
Result<RotateKeysReport> RunRotateKeys(const CommandContext& context);

/// Always kExitOk; failures are errors of the command itself.
ExitCode ExitCodeOf(const RotateKeysReport& report);
/// The report as lines for a terminal.
std::string FormatText(const RotateKeysReport& report);
/// The report for `--output json`.
nlohmann::json ToJson(const RotateKeysReport& report);

}  // namespace medlarwinch
