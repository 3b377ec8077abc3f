#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/cli/exit_code.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Output and exit code of a command.
struct CommandOutput {
  ExitCode code = kExitOk;
  std::string text;
  nlohmann::json json;
};

/// A command with its arguments bound.
using CommandAction =
    std::function<Result<CommandOutput>(const CommandContext&)>;

/// Formats a report with its ExitCodeOf(), FormatText() and ToJson().
template <typename Report>
Result<CommandOutput> ToOutput(const Result<Report>& result) {
  if (!IsOk(result)) return ErrorOf(result);
  const Report& report = ValueOf(result);
  return CommandOutput{ExitCodeOf(report), FormatText(report), ToJson(report)};
}

}  // namespace medlarwinch
