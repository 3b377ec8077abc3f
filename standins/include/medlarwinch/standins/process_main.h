#pragma once

#include <string>

#include "medlarwinch/protocol/yaml_reader.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Blocks SIGTERM and SIGINT in the calling thread and those it starts, so that
/// WaitForTermination() receives them. Call it first in main.
void BlockTerminationSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForTermination();

/// Returns the value of `--settings FILE` on the command line, or an empty
/// text after a message on standard error.
std::string SettingsArgument(int argc, char** argv);

/// Reads a whole file; fails with kNotFound.
Result<std::string> ReadTextFile(const std::string& file);

}  // namespace medlarwinch
