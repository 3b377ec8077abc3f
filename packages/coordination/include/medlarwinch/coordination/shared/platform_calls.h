#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Token bucket that limits one process to its share of the platform's call
/// rate.
struct CallBudget {
  /// Tokens added per second; one token admits one call.
  double rate = 2;
  /// Maximum number of tokens.
  double burst = 20;
  /// Tokens available at `updated`.
  double tokens = 20;
  TimePoint updated;

  friend bool operator==(const CallBudget&, const CallBudget&) = default;
};

/// Result of AdmitCall().
struct CallAdmission {
  /// The budget after the decision. A call that has to wait consumes no token.
  CallBudget budget;
  /// Time after which to call AdmitCall() again; 0 when the call may start now.
  Millis wait;

  friend bool operator==(const CallAdmission&, const CallAdmission&) = default;
};

/// Takes one token from `budget`, or returns the time until one is available.
CallAdmission AdmitCall(CallBudget budget, TimePoint now);

/// Exponential backoff between the attempts of one call.
struct BackoffPolicy {
  Millis first{50};
  Millis max{5'000};

  friend bool operator==(const BackoffPolicy&, const BackoffPolicy&) = default;
};

/// Returns the delay after the failed attempt number `attempt`, counted from 0.
/// The delay doubles with each attempt and is jittered by `random` within its
/// upper half, so that processes that failed together do not retry together.
Millis BackoffDelay(const BackoffPolicy& policy, uint32_t attempt,
                    uint64_t random);

/// Effect of a call, as far as its HTTP status indicates.
enum class CallOutcome {
  kAnswered,  ///< The platform handled the call.
  kRefused,   ///< 429 or 503: not handled; the call may be sent again.
  kUnknown,   ///< Any other status from 500: the call may have taken effect.
};
CallOutcome ClassifyStatus(int status);

/// A conditional write whose response was lost.
struct LostWrite {
  std::string operation;
  uint64_t if_version = 0;

  friend bool operator==(const LostWrite&, const LostWrite&) = default;
};

/// The object as it was read back; version 0 when it does not exist.
struct ObservedVersion {
  uint64_t version = 0;
  std::string operation;

  friend bool operator==(const ObservedVersion&,
                         const ObservedVersion&) = default;
};

enum class LostWriteResult {
  /// The write took effect and produced the latest version.
  kApplied,
  /// The object is unchanged. The write may be sent again: its version
  /// condition lets at most one copy take effect.
  kUnchanged,
  /// The latest version is from another write. This one may have taken effect
  /// before it.
  kUnknown,
};

/// Determines from the object as read back whether a write took effect whose
/// response was lost.
LostWriteResult ResolveLostWrite(const LostWrite& write,
                                 const ObservedVersion& observed);

}  // namespace medlarwinch
