#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/coordination/control_plane/change_checks.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

enum class ApplyOutcome {
  kApplied,
  kUnchanged,  ///< The platform already has this text; nothing was written.
  kRefused,    ///< A change check failed; nothing was written.
  kConflict,   ///< Changed concurrently on the platform; nothing was written.
};

/// Result of `medlarwinch apply`.
struct ApplyReport {
  ApplyOutcome outcome = ApplyOutcome::kApplied;
  std::string service;
  /// Current version of the document on the platform.
  uint64_t version = 0;
  /// Version that the write was conditional on.
  uint64_t expected_version = 0;
  /// Differences from the document on the platform to the new one.
  std::vector<FieldChange> changes;
  uint32_t moved_percent = 0;
  size_t known_upstreams = 0;
  std::vector<ChangeRefusal> refusals;
  std::vector<std::string> warnings;

  friend bool operator==(const ApplyReport&, const ApplyReport&) = default;
};

/// Checks a document and writes it if its version on the platform is still the
/// expected one: `if_version` if given, otherwise the version in the header
/// line that `get` printed, otherwise the version that the change checks ran
/// against. Fails with kInvalidInput when the text is invalid, and with the
/// errors of PlatformClient::Put().
Result<ApplyReport> ApplyText(const CommandContext& context,
                              const std::string& file, std::string text,
                              std::optional<uint64_t> if_version);

/// Calls ApplyText() with the contents of a file.
Result<ApplyReport> RunApply(const CommandContext& context,
                             const std::string& file,
                             std::optional<uint64_t> if_version);

/// Removes the header line that `get` prints before a document and returns the
/// version in it; nullopt, with `text` unchanged, when there is no such line.
std::optional<uint64_t> ExtractVersionLine(const std::string& service,
                                           std::string& text);

/// kExitFailed for a refused change, kExitConflict for a version conflict.
ExitCode ExitCodeOf(const ApplyReport& report);
/// Formats the report for a terminal.
std::string FormatText(const ApplyReport& report);
/// Formats the report for `--output json`.
nlohmann::json ToJson(const ApplyReport& report);

}  // namespace medlarwinch
