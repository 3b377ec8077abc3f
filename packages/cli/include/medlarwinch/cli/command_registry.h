#pragma once

#include <CLI/CLI.hpp>
#include <string>

#include "medlarwinch/cli/command_output.h"

namespace medlarwinch {

/// The subcommand given on the command line.
struct SelectedCommand {
  std::string name;
  /// False for commands that do not require --platform.
  bool needs_platform = true;
  CommandAction action;
};

/// Adds the subcommands that read or write documents: validate, apply, get,
/// history, drain. Parsing stores the one that was given in `selected`.
void AddDocumentCommands(CLI::App& app, SelectedCommand& selected);

/// Adds the subcommands that inspect the system (status, explain, metrics,
/// plot) and `keys rotate`. Parsing stores the one that was given in
/// `selected`.
void AddSystemCommands(CLI::App& app, SelectedCommand& selected);

}  // namespace medlarwinch
