#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/cli/exit_code.h"

namespace medlarwinch {

/// Number of epochs that a ring keeps. Flows whose identifiers belong to an
/// older epoch break, so this is the maximum number of epochs that a ring can
/// hold.
inline constexpr size_t kMaxRetainedEpochs = 16;

/// Result of `medlarwinch keys rotate`.
struct RotateKeysReport {
  uint64_t version = 0;
  uint8_t previous_epoch = 0;
  uint8_t current_epoch = 0;
  size_t epochs = 0;

  friend bool operator==(const RotateKeysReport&,
                         const RotateKeysReport&) = default;
};

/// Adds an epoch with a random seed to `keys/ring` and makes it the current
/// one. Fails with kConflict when the ring was changed concurrently.
Result<RotateKeysReport> RunRotateKeys(const CommandContext& context);

/// Always kExitOk; failures are returned as errors of the command.
ExitCode ExitCodeOf(const RotateKeysReport& report);
/// Formats the report for a terminal.
std::string FormatText(const RotateKeysReport& report);
/// Formats the report for `--output json`.
nlohmann::json ToJson(const RotateKeysReport& report);

}  // namespace medlarwinch
