#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/coordination/change_checks.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

enum class ApplyOutcome {
  kApplied,
  kUnchanged,  ///< The platform holds this text already; nothing was written.
  kRefused,    ///< A change check failed; nothing was written.
  kConflict,   ///< Another writer was first; nothing was written.
};

/// Answer of `medlarwinch apply`.
struct ApplyReport {
  ApplyOutcome outcome = ApplyOutcome::kApplied;
  std::string service;
  /// Version of the document on the platform now.
  uint64_t version = 0;
  /// Version that the write was for.
  uint64_t expected_version = 0;
  /// Changes from the document on the platform to the new one.
  std::vector<FieldChange> changes;
  uint32_t moved_percent = 0;
  size_t known_upstreams = 0;
  std::vector<ChangeRefusal> refusals;
  std::vector<std::string> warnings;

  friend bool operator==(const ApplyReport&, const ApplyReport&) = default;
};

/// Writes a document if its version on the platform is still `if_version` or,
/// without one, the version named in the first line that `get` printed or,
/// without that, the version that the checks were made against. Fails with
/// kInvalidInput when the text is invalid, and as PlatformClient::Put().
Result<ApplyReport> ApplyText(const CommandContext& context,
                              const std::string& file, std::string text,
                              std::optional<uint64_t> if_version);

/// ApplyText() with the text of a file.
Result<ApplyReport> RunApply(const CommandContext& context,
                             const std::string& file,
                             std::optional<uint64_t> if_version);

/// Removes the line that `get` printed in front of a document and returns the
/// version that it names.
std::optional<uint64_t> ExtractVersionLine(const std::string& service,
                                           std::string& text);

/// kExitFailed for a refused change, kExitConflict when another writer was
/// first.
ExitCode ExitCodeOf(const ApplyReport& report);
/// The report as lines for a terminal.
std::string FormatText(const ApplyReport& report);
/// The report for `--output json`.
nlohmann::json ToJson(const ApplyReport& report);

}  // namespace medlarwinch
