#include "medlarwinch/cli/exit_code.h"

namespace medlarwinch {

ExitCode ExitCodeFor(const Error& error) {
  switch (error.code) {
    case ErrorCode::kConflict:
      return kExitConflict;
    case ErrorCode::kUnavailable:
    case ErrorCode::kTimeout:
      return kExitUnavailable;
    default:
      return kExitFailed;
  }
}

}  // namespace medlarwinch
