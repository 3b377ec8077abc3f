#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Answer of `medlarwinch get`.
struct GetReport {
  std::string service;
  uint64_t version = 0;
  /// The document as it was applied.
  std::string text;

  friend bool operator==(const GetReport&, const GetReport&) = default;
};

/// Reads the document of a service. Fails with kNotFound when there is none,
/// otherwise as PlatformClient::Get().
Result<GetReport> RunGet(const CommandContext& context,
                         const std::string& service);

/// Always kExitOk; failures are errors of the command itself.
ExitCode ExitCodeOf(const GetReport& report);
/// The text alone, so that it can be edited and applied.
std::string FormatText(const GetReport& report);
/// The report for `--output json`.
nlohmann::json ToJson(const GetReport& report);

}  // namespace medlarwinch
