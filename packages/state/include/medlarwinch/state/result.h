#pragma once

#include <string>
#include <utility>
#include <variant>

namespace medlarwinch {

/// Classes of errors that callers distinguish.
enum class ErrorCode {
  kInvalidInput,   ///< Bytes, text or a setting that is not valid.
  kNotFound,       ///< The named object does not exist.
  kConflict,       ///< A concurrent writer was first.
  kUnavailable,    ///< The peer did not respond, or refused temporarily.
  kTimeout,        ///< No response within the deadline.
  kUnauthentic,    ///< An authentication tag or key does not match.
  kLimitExceeded,  ///< A size, rate or count exceeds its limit.
  kInternal,       ///< A fault of this program or of the operating system.
};

/// Returns the name of `code` in lower case, as used in log lines.
const char* ErrorCodeName(ErrorCode code);

/// An error with a message for the operator.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;

  friend bool operator==(const Error&, const Error&) = default;
};

/// Either a value or an error.
template <typename T>
using Result = std::variant<T, Error>;

/// The value of a result without content.
struct Ok {
  friend bool operator==(const Ok&, const Ok&) = default;
};

template <typename T>
bool IsOk(const Result<T>& result) {
  return result.index() == 0;
}

/// Requires IsOk(result).
template <typename T>
const T& ValueOf(const Result<T>& result) {
  return std::get<0>(result);
}

/// Requires IsOk(result); moves the value out.
template <typename T>
T TakeValue(Result<T>&& result) {
  return std::get<0>(std::move(result));
}

/// Requires !IsOk(result).
template <typename T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<1>(result);
}

}  // namespace medlarwinch
