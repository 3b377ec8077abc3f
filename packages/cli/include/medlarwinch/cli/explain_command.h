#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/state/account_entry.h"

namespace medlarwinch {

/// Arguments of `medlarwinch explain`.
struct ExplainQuery {
  /// Name of a service, address of an upstream or balancer, or identifier of a
  /// flow or request.
  std::string subject;
  /// Restricts the search to the account of this service. When empty, the
  /// account of `subject` is read if it is a service, otherwise all accounts.
  std::string service;
  TimePoint since;
  TimePoint until;

  friend bool operator==(const ExplainQuery&, const ExplainQuery&) = default;
};

/// One action with the document change that caused it.
struct ExplainedAction {
  AccountEntry entry;
  /// Who applied the document version that the action is based on, and when;
  /// empty when that version is not in the history.
  std::string applied_by;
  /// The current value of the document path that the action is based on, with
  /// its line; empty when the action is not based on a path.
  std::string current_text;

  friend bool operator==(const ExplainedAction&,
                         const ExplainedAction&) = default;
};

/// Result of `medlarwinch explain`.
struct ExplainReport {
  ExplainQuery query;
  /// Oldest first.
  std::vector<ExplainedAction> actions;
  size_t objects_read = 0;
  std::vector<std::string> warnings;

  friend bool operator==(const ExplainReport&, const ExplainReport&) = default;
};

/// Reads the account entries from `since` to `until` from the platform. When
/// daemons can be queried through their admin addresses, an upstream is found
/// under its listener, data and control address alike. Fails with the errors of
/// PlatformClient::List().
Result<ExplainReport> RunExplain(const CommandContext& context,
                                 const ExplainQuery& query);

/// True when the service, subject, process or a fact of the entry is one of the
/// names.
bool MatchesAnyName(const AccountEntry& entry,
                    const std::set<std::string>& names);

/// kExitFailed when no action was found.
ExitCode ExitCodeOf(const ExplainReport& report);
/// Formats the report for a terminal.
std::string FormatText(const ExplainReport& report);
/// Formats the report for `--output json`.
nlohmann::json ToJson(const ExplainReport& report);

}  // namespace medlarwinch
