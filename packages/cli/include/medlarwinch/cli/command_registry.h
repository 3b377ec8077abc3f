#pragma once

#include <CLI/CLI.hpp>
#include <string>

#include "medlarwinch/cli/command_output.h"

namespace medlarwinch {

/// The command that was chosen on the command line.
struct SelectedCommand {
  std::string name;
  /// False for commands that work without the platform.
  bool needs_platform = true;
  CommandAction action;
};

/// Adds the commands that read or write documents: validate, apply, get,
/// history, drain. The chosen one is stored in `chosen`.
void AddDocumentCommands(CLI::App& app, SelectedCommand& selected);

/// Adds the commands that read the system: status, explain, metrics, plot, and
/// `keys rotate`.
void AddSystemCommands(CLI::App& app, SelectedCommand& selected);

}  // namespace medlarwinch
