#pragma once

#include <string>
#include <utility>
#include <variant>

namespace medlarwinch {

/// Classes of errors that callers distinguish.
enum class ErrorCode {
  kInvalidInput,   ///< Bytes, text or a setting that can't be accepted.
  kNotFound,       ///< The named thing does not exist.
  kConflict,       ///< Another writer was first.
  kUnavailable,    ///< The other side did not answer or refused for now.
  kTimeout,        ///< No answer within the deadline.
  kUnauthentic,    ///< A tag or key does not match.
  kLimitExceeded,  ///< A size, rate or count is above its bound.
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
