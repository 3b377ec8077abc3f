#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/cli/history_object.h"

namespace medlarwinch {

/// Result of `medlarwinch history`.
struct HistoryReport {
  std::string service;
  /// Newest first.
  std::vector<HistoryEntry> entries;

  friend bool operator==(const HistoryReport&, const HistoryReport&) = default;
};

/// Reads the newest `count` entries of a service's history. Fails with
/// kNotFound when there is no history, otherwise with the errors of
/// PlatformClient::Get().
Result<HistoryReport> RunHistory(const CommandContext& context,
                                 const std::string& service, size_t count);

/// Always kExitOk; failures are returned as errors of the command.
ExitCode ExitCodeOf(const HistoryReport& report);
/// Formats the report for a terminal.
std::string FormatText(const HistoryReport& report);
/// Formats the report for `--output json`.
nlohmann::json ToJson(const HistoryReport& report);

}  // namespace medlarwinch
