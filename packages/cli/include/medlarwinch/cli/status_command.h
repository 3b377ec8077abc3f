#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/cli/daemon_status.h"
#include "medlarwinch/cli/exit_code.h"

namespace medlarwinch {

/// One upstream as the daemons see it.
struct UpstreamStatus {
  ObservedMember member;
  /// Flows and requests in progress, when the agent itself was asked.
  std::optional<double> flows;
  std::optional<double> requests;
  /// What began the drain and how long ago, when the agent itself was asked.
  std::string drain_trigger;
  Millis drain_elapsed;
  /// Daemons that hold another phase of it than the newest.
  size_t differing_daemons = 0;

  friend bool operator==(const UpstreamStatus&,
                         const UpstreamStatus&) = default;
};

/// Answer of `medlarwinch status`.
struct StatusReport {
  std::vector<DaemonStatus> daemons;
  /// Versions of the documents on the platform by service.
  std::map<std::string, uint64_t> platform_documents;
  /// Why the platform was not read; empty when it was.
  std::string platform_error;
  std::vector<UpstreamStatus> upstreams;

  friend bool operator==(const StatusReport&, const StatusReport&) = default;
};

/// Asks the daemons at the admin addresses of the context, or those found
/// through the platform. Fails with kInvalidInput when there is no address to
/// ask. An outage of the platform does not fail it.
Result<StatusReport> RunStatus(const CommandContext& context);

/// kExitUnavailable when a daemon did not answer.
ExitCode ExitCodeOf(const StatusReport& report);
/// The report as lines for a terminal.
std::string FormatText(const StatusReport& report);
/// The report for `--output json`.
nlohmann::json ToJson(const StatusReport& report);

}  // namespace medlarwinch
