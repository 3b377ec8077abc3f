#pragma once

namespace medlarwinch {

/// What is known about whether a request ran at an upstream.
enum class Verdict {
  /// The request was never handed to an upstream and never will be. Only the
  /// process that holds the proof says this.
  kNotRun,
  /// The request may have run, or may still run. A request that may not be
  /// repeated is never sent again after this verdict.
  kMayHaveRun,
  /// The request ran and its whole answer is known.
  kRan,
};

/// Returns "not_run", "may_have_run" or "ran".
const char* VerdictName(Verdict verdict);

}  // namespace medlarwinch
