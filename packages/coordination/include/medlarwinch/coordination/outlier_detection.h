#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "medlarwinch/coordination/document_context.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Requests that ended in one second.
struct OutcomeCount {
  TimePoint second;
  uint32_t finished = 0;
  uint32_t failed = 0;

  friend bool operator==(const OutcomeCount&, const OutcomeCount&) = default;
};

/// Outcomes of real requests at one upstream and the ejection they led to.
struct OutlierState {
  std::deque<OutcomeCount> window;
  bool ejected = false;
  TimePoint ejected_until;
  /// End of the last ejection, where slow start begins; nothing before one.
  std::optional<TimePoint> returned_at;
  /// True once the refusal to eject was reported for the current failures.
  bool refusal_reported = false;

  friend bool operator==(const OutlierState&, const OutlierState&) = default;
};

/// Slots of the service by the roster that the agent sees.
struct ServiceSlots {
  uint32_t total = 0;
  /// Slots of upstreams that are not ready; without the agent's own.
  uint32_t withdrawn = 0;
  uint32_t own = 0;

  friend bool operator==(const ServiceSlots&, const ServiceSlots&) = default;
};

/// Counts a request that ended; `failed` when the upstream broke it, timed out
/// or answered with a server error.
OutlierState RecordOutcome(OutlierState state, bool failed,
                           const OutlierPolicy& policy, TimePoint now);

enum class OutlierAction : uint8_t {
  kNone,
  kEject,
  /// The share of failures is too high, but too much of the service is
  /// withdrawn already.
  kRefuseEjection,
  kReturn,
};

struct OutlierStep {
  OutlierState state;
  OutlierAction action = OutlierAction::kNone;
  Reason reason;
};

/// Ejects the upstream from new flows while too large a share of its requests
/// fails, and returns it after the ejection time.
OutlierStep StepOutlier(OutlierState state, const ServiceSlots& slots,
                        const DocumentContext& context, TimePoint now);

}  // namespace medlarwinch
