#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/cli/history_object.h"

namespace medlarwinch {

/// Answer of `medlarwinch history`.
struct HistoryReport {
  std::string service;
  /// Newest first.
  std::vector<HistoryEntry> entries;

  friend bool operator==(const HistoryReport&, const HistoryReport&) = default;
};

/// Reads the newest `count` entries of a service's history. Fails with
/// kNotFound when there is none, otherwise as PlatformClient::Get().
Result<HistoryReport> RunHistory(const CommandContext& context,
                                 const std::string& service, size_t count);

/// Always kExitOk; failures are errors of the command itself.
ExitCode ExitCodeOf(const HistoryReport& report);
/// The report as lines for a terminal.
std::string FormatText(const HistoryReport& report);
/// The report for `--output json`.
nlohmann::json ToJson(const HistoryReport& report);

}  // namespace medlarwinch
