#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/cli/log_records.h"

namespace medlarwinch {

/// What `medlarwinch explain --logs` is asked.
struct LogQuery {
  /// A flow "CALLER>SERVICE_ADDRESS" or its caller, an upstream's id or
  /// address, an agent's address, a process, or KEY=VALUE of any field.
  std::string subject;
  TimePoint since;
  TimePoint until;
};

/// What a process believed when it made a decision, and for how long it had.
struct KnownState {
  LogRecord record;
  Millis age{0};
};

/// A record about the subject.
struct ExplainedRecord {
  LogRecord record;
  /// Filled in for the decisions that end or refuse a flow.
  std::vector<KnownState> known_state;
  /// What the reason in the record means; empty for other records.
  std::string meaning;
};

/// Answer of `medlarwinch explain --logs`.
struct LogExplanation {
  std::string subject;
  /// Other names of the subject, found in the logs.
  std::vector<std::string> aliases;
  std::vector<ExplainedRecord> records;
  /// Lines about flows that the processes left out, by event; the answer may
  /// miss some of them.
  std::map<std::string, uint64_t> suppressed;
};

/// Finds what was done with the subject, by whom, and on which facts. An
/// upstream is followed across its agent's address, which other processes name
/// it by, only for the time in which it was there.
LogExplanation ExplainFromLogs(const LogCollection& logs,
                               const LogQuery& query);

/// kExitFailed when nothing was found.
ExitCode ExitCodeOf(const LogExplanation& report);
/// The report as lines for a terminal.
std::string FormatText(const LogExplanation& report);
/// The report for `--output json`.
nlohmann::json ToJson(const LogExplanation& report);

}  // namespace medlarwinch
