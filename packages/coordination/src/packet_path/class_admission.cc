#include "medlarwinch/coordination/packet_path/class_admission.h"

#include <algorithm>

#include "medlarwinch/coordination/packet_path/agent_openings.h"

namespace medlarwinch {
namespace {

// Openings that were delivered within this time and are not answered yet. A
// healthy upstream answers within a millisecond.
constexpr Millis kUnansweredWindow{100};

uint32_t UnansweredOpenings(const AgentRelay& relay, TimePoint now) {
  uint32_t unanswered = 0;
  for (const auto& [flow, opening] : relay.openings) {
    if (now - opening.delivered_at < kUnansweredWindow) ++unanswered;
  }
  return unanswered;
}

}  // namespace

bool IsDecidedByClass(const AgentRelay& relay,
                      const std::optional<OpeningContext>& context) {
  return relay.admits_by_class && context.has_value() &&
         context->terms.latency_objective > Millis{0};
}

OpeningDecision DecideByClass(AgentRelay& relay, const RelayHeader& header,
                              const OpeningContext& context, bool was_returned,
                              TimePoint now) {
  OfferedOpening opening;
  opening.terms = context.terms;
  opening.copy = context.copy;
  opening.hops = header.hops;
  opening.has_alternate =
      !header.alternates.empty() && header.hops < kMaxRelayHops;
  opening.was_returned = was_returned;
  UpstreamRoom room;
  room.slots = relay.upstream.slots;
  room.committed = CommittedRequests(relay.flow_tracker, now) +
                   UnansweredOpenings(relay, now);
  room.mean_outstanding = relay.flow_tracker.mean_outstanding;
  // A flow whose opening is not completed may have an outstanding request.
  const FlowTracker& tracker = relay.flow_tracker;
  room.idle_flows = tracker.open - std::min(tracker.open, tracker.outstanding);
  room.is_cold = now < relay.upstream.cold_until;
  RecordOffered(relay.admission, context.terms, now);
  return DecideOpening(opening, room, relay.work_time, relay.admission, now);
}

bool IsNotable(const OpeningDecision& decision) {
  return decision.verdict != OpeningVerdict::kPassOn &&
         decision.reason != AdmissionReason::kInTime;
}

void RecordResponse(AgentRelay& relay, const UpstreamPacketEffect& effect,
                    TimePoint now) {
  if (!effect.starts_response) return;
  const TimePoint started = now - effect.time_since_request;
  RecordWork(relay.work_time,
             MeasuredRequest{effect.kind, effect.time_since_request,
                             effect.requests_at_start,
                             started < relay.upstream.cold_until},
             relay.upstream.slots);
}

}  // namespace medlarwinch
