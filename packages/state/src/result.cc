#include "medlarwinch/state/result.h"

namespace medlarwinch {

const char* ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidInput:
      return "invalid_input";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kUnauthentic:
      return "unauthentic";
    case ErrorCode::kLimitExceeded:
      return "limit_exceeded";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "unknown";
}

}  // namespace medlarwinch
