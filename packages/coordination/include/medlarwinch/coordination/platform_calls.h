#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Token bucket for one process's share of the platform's calls.
struct CallBudget {
  /// Calls per second that are added.
  double rate = 2;
  /// Largest number of calls that may be made at once.
  double burst = 20;
  /// Calls that may be made now.
  double tokens = 20;
  TimePoint updated;

  friend bool operator==(const CallBudget&, const CallBudget&) = default;
};

/// Whether a call may start.
struct CallAdmission {
  /// The budget after the decision; a call that has to wait takes no token.
  CallBudget budget;
  /// Time after which to ask again; 0 when the call may start now.
  Millis wait;

  friend bool operator==(const CallAdmission&, const CallAdmission&) = default;
};

/// Takes one call from `budget` or says how long to wait for it.
CallAdmission AdmitCall(CallBudget budget, TimePoint now);

/// Delays between the attempts of one call.
struct BackoffPolicy {
  Millis first{50};
  Millis max{5'000};

  friend bool operator==(const BackoffPolicy&, const BackoffPolicy&) = default;
};

/// Returns the delay after the failed attempt number `attempt` (from 0): the
/// doubled delay of the attempt before, spread by `random` over its upper half,
/// so that processes that failed together don't return together.
Millis BackoffDelay(const BackoffPolicy& policy, uint32_t attempt,
                    uint64_t random);

/// What an HTTP status says about the call.
enum class CallOutcome {
  kAnswered,  ///< The platform handled the call.
  kRefused,   ///< 429 or 503: not handled; the call may be sent again.
  kUnknown,   ///< Any other status from 500: the call may have taken effect.
};
CallOutcome ClassifyStatus(int status);

/// A conditional write whose answer was lost.
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
  /// The write took effect and is the newest version.
  kApplied,
  /// The object is unchanged. The write may be sent again: its condition lets
  /// at most one copy take effect.
  kUnchanged,
  /// Another write is the newest; this one may have taken effect before it.
  kUnknown,
};

/// Decides what became of a write whose answer was lost.
LostWriteResult ResolveLostWrite(const LostWrite& write,
                                 const ObservedVersion& observed);

}  // namespace medlarwinch
