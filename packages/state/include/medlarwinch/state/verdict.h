#pragma once

namespace medlarwinch {

/// What is known about the execution of a request at an upstream.
enum class Verdict {
  /// The request was never sent to an upstream and never will be. Reported only
  /// by the process that holds the proof.
  kNotRun,
  /// The request may have run or may still run. A non-repeatable request is
  /// never sent again after this verdict.
  kMayHaveRun,
  /// The request ran and its complete response is known.
  kRan,
};

/// Returns "not_run", "may_have_run" or "ran".
const char* VerdictName(Verdict verdict);

}  // namespace medlarwinch
