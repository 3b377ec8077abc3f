#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Result of `medlarwinch get`.
struct GetReport {
  std::string service;
  uint64_t version = 0;
  /// The document as it was applied.
  std::string text;

  friend bool operator==(const GetReport&, const GetReport&) = default;
};

/// Reads the document of a service. Fails with kNotFound when there is none,
/// otherwise with the errors of PlatformClient::Get().
Result<GetReport> RunGet(const CommandContext& context,
                         const std::string& service);

/// Always kExitOk; failures are returned as errors of the command.
ExitCode ExitCodeOf(const GetReport& report);
/// The document after a header line with its version. The output can be edited
/// and passed to `apply`, which checks that version.
std::string FormatText(const GetReport& report);
/// Formats the report for `--output json`.
nlohmann::json ToJson(const GetReport& report);

}  // namespace medlarwinch
