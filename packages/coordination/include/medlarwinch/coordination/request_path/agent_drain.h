#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "medlarwinch/coordination/control_plane/document_context.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

enum class DrainPhase : uint8_t {
  kServing,
  kDraining,
  /// No work is in progress; the process may exit.
  kLeft,
};

/// The source of the drain request.
enum class DrainTrigger : uint8_t { kDocument, kSignal, kUpstream };

struct DrainState {
  DrainPhase phase = DrainPhase::kServing;
  DrainTrigger trigger = DrainTrigger::kDocument;
  TimePoint started;
  /// True once the work in progress was aborted because the drain deadline
  /// passed.
  bool aborted = false;

  friend bool operator==(const DrainState&, const DrainState&) = default;
};

/// A snapshot of what the agent observes at the current time.
struct DrainInput {
  /// Listener address of the agent's upstream, matched against
  /// `drain.upstreams` in the document.
  Endpoint upstream;
  bool termination_signal = false;
  /// The upstream itself requested the drain.
  bool upstream_drains = false;
  /// Number of requests, feeds and unacknowledged responses.
  size_t in_progress = 0;
  /// GoAway was sent on every flow, and the key records were transferred.
  bool is_announced = false;
};

enum class DrainAction : uint8_t {
  /// Announce the draining phase and stop accepting new work.
  kStart,
  /// The drain deadline of the document has passed: abort the work in progress.
  kAbort,
  kLeave,
};

struct DrainDecision {
  DrainAction action = DrainAction::kStart;
  Reason reason;

  friend bool operator==(const DrainDecision&, const DrainDecision&) = default;
};

struct DrainStep {
  DrainState state;
  std::vector<DrainDecision> actions;
};

/// Advances the drain by one step. A drain is final: a member's phase never
/// goes back, so an upstream that is removed from the document's drain list
/// returns only with a new process. Further triggers or signals do not abort
/// work; only `drain.deadline_ms` does.
DrainStep StepDrain(DrainState state, const DrainInput& input,
                    const DocumentContext& context, TimePoint now);

}  // namespace medlarwinch
