#pragma once

#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Exit codes of the `medlarwinch` command.
enum ExitCode : int {
  kExitOk = 0,
  /// The command ran with a negative result, such as an invalid document.
  kExitFailed = 1,
  /// The command line or one of its arguments is invalid.
  kExitUsage = 2,
  /// The document was changed by another writer in the meantime.
  kExitConflict = 3,
  /// The platform or a daemon did not answer.
  kExitUnavailable = 4,
};

/// Maps an error of a command to its exit code.
ExitCode ExitCodeFor(const Error& error);

}  // namespace medlarwinch
