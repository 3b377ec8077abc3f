#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "medlarwinch/coordination/control_plane/document_context.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Requests that ended in one second.
struct OutcomeCount {
  TimePoint second;
  uint32_t finished = 0;
  uint32_t failed = 0;

  friend bool operator==(const OutcomeCount&, const OutcomeCount&) = default;
};

/// Recent outcomes of requests at one upstream, and its ejection state.
struct OutlierState {
  std::deque<OutcomeCount> window;
  bool ejected = false;
  TimePoint ejected_until;
  /// End of the last ejection, at which slow start begins; empty before the
  /// first.
  std::optional<TimePoint> returned_at;
  /// True once a refused ejection was reported for the current run of failures.
  bool refusal_reported = false;

  friend bool operator==(const OutlierState&, const OutlierState&) = default;
};

/// Slots of the service, by the roster that the agent holds.
struct ServiceSlots {
  uint32_t total = 0;
  /// Slots of the upstreams that are not ready, not counting the agent's own.
  uint32_t withdrawn = 0;
  uint32_t own = 0;

  friend bool operator==(const ServiceSlots&, const ServiceSlots&) = default;
};

/// Records the end of a request. `failed` is set when the upstream aborted
/// it, timed out or returned a server error.
OutlierState RecordOutcome(OutlierState state, bool failed,
                           const OutlierPolicy& policy, TimePoint now);

enum class OutlierAction : uint8_t {
  kNone,
  kEject,
  /// The error rate is above the threshold, but an ejection would exceed
  /// health.max_withdrawn_percent.
  kRefuseEjection,
  kReturn,
};

struct OutlierStep {
  OutlierState state;
  OutlierAction action = OutlierAction::kNone;
  Reason reason;
};

/// Ejects the upstream from new flows when its error rate reaches the
/// threshold, and returns it after the ejection time.
OutlierStep StepOutlier(OutlierState state, const ServiceSlots& slots,
                        const DocumentContext& context, TimePoint now);

}  // namespace medlarwinch
