#pragma once

#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Exit codes of the operators' command.
enum ExitCode : int {
  kExitOk = 0,
  /// The command ran and the answer is negative, such as an invalid document.
  kExitFailed = 1,
  /// The command line or an argument is wrong.
  kExitUsage = 2,
  /// Another writer was first.
  kExitConflict = 3,
  /// The platform or a daemon did not answer.
  kExitUnavailable = 4,
};

/// Returns the exit code for an error of a command.
ExitCode ExitCodeFor(const Error& error);

}  // namespace medlarwinch
