#pragma once

#include <optional>

#include "medlarwinch/coordination/packet_path/agent_relay.h"

namespace medlarwinch {

/// Returns true if the agent admits the opening by its class: the settings ask
/// for it, and the route names a latency objective.
bool IsDecidedByClass(const AgentRelay& relay,
                      const std::optional<OpeningContext>& context);

/// Decides on an opening from the agent's state. `was_returned` is true if the
/// upstream has just returned it.
OpeningDecision DecideByClass(AgentRelay& relay, const RelayHeader& header,
                              const OpeningContext& context, bool was_returned,
                              TimePoint now);

/// Returns true if the decision is worth a log line: the opening waits, is
/// refused, or is taken by an exception.
bool IsNotable(const OpeningDecision& decision);

/// Records how long the upstream worked on a request.
void RecordResponse(AgentRelay& relay, const UpstreamPacketEffect& effect,
                    TimePoint now);

}  // namespace medlarwinch
