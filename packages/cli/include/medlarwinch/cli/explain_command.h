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

/// What `medlarwinch explain` is asked.
struct ExplainQuery {
  /// Name of a service, an address of an upstream, or an identifier of a flow
  /// or request.
  std::string subject;
  /// Reads the account of this service only; empty reads all when `subject` is
  /// no service.
  std::string service;
  TimePoint since;
  TimePoint until;

  friend bool operator==(const ExplainQuery&, const ExplainQuery&) = default;
};

/// One action with what the platform knows of its cause.
struct ExplainedAction {
  AccountEntry entry;
  /// Who applied the version that the action followed, and when; empty when the
  /// history does not hold it.
  std::string applied_by;
  /// The value of the path in the current version of the document, with its
  /// line; empty when the action followed no path.
  std::string current_text;

  friend bool operator==(const ExplainedAction&,
                         const ExplainedAction&) = default;
};

/// Answer of `medlarwinch explain`.
struct ExplainReport {
  ExplainQuery query;
  /// Oldest first.
  std::vector<ExplainedAction> actions;
  size_t objects_read = 0;
  std::vector<std::string> warnings;

  friend bool operator==(const ExplainReport&, const ExplainReport&) = default;
};

/// Reads the account of the time from `since` to `until` from the platform.
/// With admin addresses in the context, an upstream's listener, data and
/// control address stand for each other. Fails as PlatformClient::List().
Result<ExplainReport> RunExplain(const CommandContext& context,
                                 const ExplainQuery& query);

/// True when the entry is about one of the names.
bool MatchesAnyName(const AccountEntry& entry,
                    const std::set<std::string>& names);

/// kExitFailed when nothing was found.
ExitCode ExitCodeOf(const ExplainReport& report);
/// The report as lines for a terminal.
std::string FormatText(const ExplainReport& report);
/// The report for `--output json`.
nlohmann::json ToJson(const ExplainReport& report);

}  // namespace medlarwinch
