#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "medlarwinch/coordination/document_context.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

enum class DrainPhase : uint8_t {
  kServing,
  kDraining,
  /// Nothing is in progress; the process may end.
  kLeft,
};

/// What starts a drain.
enum class DrainTrigger : uint8_t { kDocument, kSignal, kUpstream };

struct DrainState {
  DrainPhase phase = DrainPhase::kServing;
  DrainTrigger trigger = DrainTrigger::kDocument;
  TimePoint started;
  /// True once the deadline has cut what was in progress.
  bool aborted = false;

  friend bool operator==(const DrainState&, const DrainState&) = default;
};

/// What the agent observes; every field is as of now.
struct DrainInput {
  /// Listener of the agent's upstream, which the document's list names.
  Endpoint upstream;
  bool termination_signal = false;
  /// The upstream asked for its drain.
  bool upstream_drains = false;
  /// Requests, feeds and unacknowledged responses.
  size_t in_progress = 0;
  /// Every flow was told GoAway, and key records were handed over.
  bool is_announced = false;
};

enum class DrainAction : uint8_t {
  /// Announce the phase and stop taking new work.
  kStart,
  /// The deadline of the document has passed: cut what is in progress.
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

/// Starts and ends a drain. It is final: a member's phase never goes back, so
/// an upstream that the document lists no longer returns with a new process. No
/// further trigger or signal cuts anything; only `drain.deadline_ms` does.
DrainStep StepDrain(DrainState state, const DrainInput& input,
                    const DocumentContext& context, TimePoint now);

}  // namespace medlarwinch
