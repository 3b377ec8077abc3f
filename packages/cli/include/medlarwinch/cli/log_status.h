#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/cli/log_records.h"

namespace medlarwinch {

/// The last state of one process that its log shows.
struct LoggedProcess {
  std::string name;
  std::string role;
  size_t starts = 0;
  TimePoint started;
  /// When it said that it ends; absent while it runs or when it was killed.
  std::optional<TimePoint> stopped;
  TimePoint last_line;
  std::string configuration_version;
  std::string configuration_revision;
  /// Watches of the store that are lost, with the reason.
  std::map<std::string, std::string> lost_watches;
  /// An agent's upstream, and when it entered its phase.
  std::string upstream;
  std::string phase;
  TimePoint phase_since;
};

/// Answer of `medlarwinch status --logs`.
struct LogStatus {
  std::vector<LoggedProcess> processes;
  TimePoint until;
  size_t records = 0;
  std::map<std::string, uint64_t> suppressed;
};

/// Reads the state of every process as of `until` from its own lines.
LogStatus StatusFromLogs(const LogCollection& logs, TimePoint until);

/// Always kExitOk; failures are errors of the command itself.
ExitCode ExitCodeOf(const LogStatus& report);
/// The report as lines for a terminal.
std::string FormatText(const LogStatus& report);
/// The report for `--output json`.
nlohmann::json ToJson(const LogStatus& report);

}  // namespace medlarwinch
