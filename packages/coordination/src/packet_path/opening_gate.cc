#include "medlarwinch/coordination/packet_path/opening_gate.h"

#include <algorithm>
#include <cmath>

#include "medlarwinch/coordination/packet_path/agent_relay.h"
#include "medlarwinch/coordination/packet_path/evacuation.h"

namespace medlarwinch {
namespace {

// The limit stays for this long after the upstream has announced its end, since
// a heartbeat's delay shifts the agent's idea of the time.
constexpr Millis kColdTimeMargin{200};
// An upstream without a heartbeat for this many intervals may have restarted
// and be cold: an agent that was suspended reads the openings that waited
// before the first heartbeat of the new incarnation.
constexpr int64_t kOverdueIntervals = 2;

bool MayBeCold(const AgentRelay& relay, TimePoint now) {
  if (relay.gate.awaits_heartbeat) return true;
  const LocalUpstream& upstream = relay.upstream;
  if (now < upstream.cold_until + kColdTimeMargin) return true;
  return now - upstream.last_heartbeat >=
         relay.heartbeat_interval * kOverdueIntervals;
}

// Returns the limit at `now`. An earlier process of this agent may have
// delivered openings within the present span, which it can't count. Half of the
// limit keeps both together within the platform's bound of 1.5 times the limit.
std::optional<uint32_t> PresentLimit(const AgentRelay& relay, TimePoint now) {
  const std::optional<uint32_t> limit =
      ColdOpeningLimit(relay.gate.service_terms);
  if (!limit.has_value()) return limit;
  const bool may_miss_openings = now - relay.started <= kColdOpeningSpan &&
                                 !KnowsAllFlows(relay.flow_history, now);
  return may_miss_openings ? std::max<uint32_t>(*limit / 2, 1) : limit;
}

uint32_t CountDelivered(const OpeningGate& gate, TimePoint now) {
  return static_cast<uint32_t>(std::count_if(
      gate.delivered.begin(), gate.delivered.end(),
      [now](TimePoint time) { return now - time <= kColdOpeningSpan; }));
}

}  // namespace

std::optional<uint32_t> ColdOpeningLimit(const ServiceTerms& terms) {
  // Also false for a value that is not a number.
  if (!(terms.cold_openings_per_second > 0)) return std::nullopt;
  const double whole = std::floor(terms.cold_openings_per_second);
  return static_cast<uint32_t>(
      std::clamp(whole, 1.0, static_cast<double>(kMaxColdOpenings)));
}

bool ApplyBalancerTerms(OpeningGate& gate, const BalancerTerms& terms,
                        uint64_t configuration_version) {
  if (configuration_version > 0 &&
      configuration_version >= gate.terms_version) {
    gate.service_terms = terms.service;
    gate.terms_version = configuration_version;
  }
  if (!gate.requires_evacuations) return false;
  const bool was_evacuated = IsEvacuated(gate.evacuations, gate.failure_domain);
  const bool has_changed =
      MergeEvacuations(gate.evacuations, terms.evacuations);
  if (was_evacuated && !IsEvacuated(gate.evacuations, gate.failure_domain)) {
    gate.awaits_heartbeat = true;
  }
  return has_changed;
}

void RecordHeartbeat(OpeningGate& gate) { gate.awaits_heartbeat = false; }

std::optional<RefusalReason> CheckOpeningGate(AgentRelay& relay,
                                              TimePoint now) {
  OpeningGate& gate = relay.gate;
  const bool may_be_cold = MayBeCold(relay, now);
  if (gate.requires_evacuations) {
    const bool awaits_terms = may_be_cold && gate.terms_version == 0;
    if (!gate.evacuations.is_known || awaits_terms) {
      ++gate.refused_terms_unknown;
      return RefusalReason::kTermsUnknown;
    }
    if (IsEvacuated(gate.evacuations, gate.failure_domain)) {
      ++gate.refused_evacuated;
      return RefusalReason::kEvacuated;
    }
  }
  if (!may_be_cold) return std::nullopt;
  const std::optional<uint32_t> limit = PresentLimit(relay, now);
  if (!limit.has_value() || CountDelivered(gate, now) < *limit) {
    return std::nullopt;
  }
  ++gate.refused_cold;
  return RefusalReason::kColdLimit;
}

void RecordDeliveredOpening(OpeningGate& gate, TimePoint now) {
  while (!gate.delivered.empty() &&
         (now - gate.delivered.front() > kColdOpeningSpan ||
          gate.delivered.size() >= kMaxColdOpenings)) {
    gate.delivered.pop_front();
  }
  if (!ColdOpeningLimit(gate.service_terms).has_value()) return;
  gate.delivered.push_back(now);
}

uint32_t ColdOpeningsLeft(const AgentRelay& relay, TimePoint now) {
  const std::optional<uint32_t> limit = PresentLimit(relay, now);
  if (!limit.has_value()) return 0;
  const uint32_t delivered = CountDelivered(relay.gate, now);
  return delivered >= *limit ? 0 : *limit - delivered;
}

}  // namespace medlarwinch
