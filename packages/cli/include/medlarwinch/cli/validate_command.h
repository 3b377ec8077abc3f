#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Result of `medlarwinch validate`.
struct ValidateReport {
  std::string file;
  std::string service;
  /// One message per error; empty when the document is valid.
  std::vector<std::string> errors;

  friend bool operator==(const ValidateReport&,
                         const ValidateReport&) = default;
};

/// Parses and validates a document locally, without any network call. Fails
/// with kNotFound when the file cannot be read.
Result<ValidateReport> RunValidate(const std::string& file);

/// kExitFailed when the document has errors.
ExitCode ExitCodeOf(const ValidateReport& report);
/// Formats the report for a terminal.
std::string FormatText(const ValidateReport& report);
/// Formats the report for `--output json`.
nlohmann::json ToJson(const ValidateReport& report);

}  // namespace medlarwinch
