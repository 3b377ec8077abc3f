#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Answer of `medlarwinch validate`.
struct ValidateReport {
  std::string file;
  std::string service;
  /// One line for each mistake; empty when the document is valid.
  std::vector<std::string> errors;

  friend bool operator==(const ValidateReport&,
                         const ValidateReport&) = default;
};

/// Parses and checks a document without any call. Fails with kNotFound when the
/// file can't be read.
Result<ValidateReport> RunValidate(const std::string& file);

/// kExitFailed when there are mistakes.
ExitCode ExitCodeOf(const ValidateReport& report);
/// The report as lines for a terminal.
std::string FormatText(const ValidateReport& report);
/// The report for `--output json`.
nlohmann::json ToJson(const ValidateReport& report);

}  // namespace medlarwinch
