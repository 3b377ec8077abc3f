#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/cli/daemon_status.h"
#include "medlarwinch/cli/exit_code.h"

namespace medlarwinch {

/// State of one upstream as reported by the daemons.
struct UpstreamStatus {
  ObservedMember member;
  /// OpenSuspicion flows and requests in flight; set when its agent was
  /// queried.
  std::optional<double> flows;
  std::optional<double> requests;
  /// What triggered the drain and how long ago; set when its agent was queried.
  std::string drain_trigger;
  Millis drain_elapsed;
  /// Number of daemons that report another phase than the newest entry.
  size_t differing_daemons = 0;

  friend bool operator==(const UpstreamStatus&,
                         const UpstreamStatus&) = default;
};

/// Result of `medlarwinch status`.
struct StatusReport {
  std::vector<DaemonStatus> daemons;
  /// Versions of the documents on the platform, by service.
  std::map<std::string, uint64_t> platform_documents;
  /// Why the platform could not be read; empty on success.
  std::string platform_error;
  std::vector<UpstreamStatus> upstreams;

  friend bool operator==(const StatusReport&, const StatusReport&) = default;
};

/// Queries the daemons at the admin addresses of the context, or at those
/// discovered through the platform. Fails with kInvalidInput when there is no
/// address. With addresses in the context, a platform outage is reported in
/// `platform_error` and is not a failure.
Result<StatusReport> RunStatus(const CommandContext& context);

/// kExitUnavailable when a daemon did not answer.
ExitCode ExitCodeOf(const StatusReport& report);
/// Formats the report for a terminal.
std::string FormatText(const StatusReport& report);
/// Formats the report for `--output json`.
nlohmann::json ToJson(const StatusReport& report);

}  // namespace medlarwinch
