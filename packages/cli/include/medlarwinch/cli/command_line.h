#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace medlarwinch {

/// Parses the arguments (without the program name), runs the command, prints
/// its report to `out` and errors to `err`, and returns the exit code. With
/// `--output json` a failed command prints {"error": {...}} to `out`.
int RunCommandLine(const std::vector<std::string>& arguments, std::ostream& out,
                   std::ostream& err);

}  // namespace medlarwinch
