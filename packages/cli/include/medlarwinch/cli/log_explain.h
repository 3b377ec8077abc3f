#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/cli/log_records.h"

namespace medlarwinch {

/// Arguments of `medlarwinch explain --logs`.
struct LogQuery {
  /// A flow "CALLER>SERVICE_ADDRESS" or its caller, the id or address of an
  /// upstream, the address of an agent, a process, or KEY=VALUE of any field.
  std::string subject;
  TimePoint since;
  TimePoint until;
};

/// A record of state that a process had when it made a decision, with the age
/// of the record at that time.
struct KnownState {
  LogRecord record;
  Millis age{0};
};

/// A record that matches the subject.
struct ExplainedRecord {
  LogRecord record;
  /// The process's state; set only for decisions that end or refuse a flow.
  std::vector<KnownState> known_state;
  /// Description of the record's reason; empty for other records.
  std::string meaning;
};

/// Result of `medlarwinch explain --logs`.
struct LogExplanation {
  std::string subject;
  /// Other names of the subject that the logs show.
  std::vector<std::string> aliases;
  std::vector<ExplainedRecord> records;
  /// Number of log lines suppressed by rate limits, by event; the result may
  /// lack these lines.
  std::map<std::string, uint64_t> suppressed;
};

/// Finds the records about the subject, with the state that each decision was
/// based on. Other processes log an upstream under the address of its agent, so
/// that address counts as an alias for as long as the upstream ran there.
LogExplanation ExplainFromLogs(const LogCollection& logs,
                               const LogQuery& query);

/// kExitFailed when no record was found.
ExitCode ExitCodeOf(const LogExplanation& report);
/// Formats the report for a terminal.
std::string FormatText(const LogExplanation& report);
/// Formats the report for `--output json`.
nlohmann::json ToJson(const LogExplanation& report);

}  // namespace medlarwinch
