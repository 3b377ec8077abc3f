#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/cli/log_records.h"

namespace medlarwinch {

/// State of one process according to its log.
struct LoggedProcess {
  std::string name;
  std::string role;
  size_t starts = 0;
  TimePoint started;
  /// Time of its `stop` event; nullopt while it runs or when it was killed.
  std::optional<TimePoint> stopped;
  TimePoint last_line;
  std::string configuration_version;
  std::string configuration_revision;
  /// Store watches that are interrupted, with the reason.
  std::map<std::string, std::string> lost_watches;
  /// Upstream of an agent, its phase, and when it entered that phase.
  std::string upstream;
  std::string phase;
  TimePoint phase_since;
};

/// Result of `medlarwinch status --logs`.
struct LogStatus {
  std::vector<LoggedProcess> processes;
  TimePoint until;
  size_t records = 0;
  std::map<std::string, uint64_t> suppressed;
};

/// Reconstructs the state of every process at `until` from its own records.
LogStatus StatusFromLogs(const LogCollection& logs, TimePoint until);

/// Always kExitOk; failures are returned as errors of the command.
ExitCode ExitCodeOf(const LogStatus& report);
/// Formats the report for a terminal.
std::string FormatText(const LogStatus& report);
/// Formats the report for `--output json`.
nlohmann::json ToJson(const LogStatus& report);

}  // namespace medlarwinch
