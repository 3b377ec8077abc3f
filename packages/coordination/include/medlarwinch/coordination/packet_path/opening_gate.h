#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "medlarwinch/coordination/packet_path/relay_actions.h"
#include "medlarwinch/coordination/packet_path/relay_terms.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

struct AgentRelay;

/// Time over which the openings of a cold upstream are counted.
inline constexpr Millis kColdOpeningSpan{1'000};
/// Maximum number of openings that are counted; higher limits are reduced to
/// it.
inline constexpr uint32_t kMaxColdOpenings = 1'024;

/// Returns the number of openings that a cold upstream may get within
/// kColdOpeningSpan; nullopt if the configuration sets no limit. A limit below
/// one opening a second counts as one: an upstream without any would never
/// warm up.
std::optional<uint32_t> ColdOpeningLimit(const ServiceTerms& terms);

/// What keeps openings from an agent's upstream besides its state and load.
struct OpeningGate {
  /// True if the deployment's settings ask for evacuations. No opening is
  /// admitted then before a balancer has sent a view.
  bool requires_evacuations = false;
  /// Failure domain of the upstream.
  std::string failure_domain;
  EvacuationView evacuations;
  /// True from the end of an evacuation of the failure domain until the
  /// upstream's next heartbeat: it may have become cold meanwhile.
  bool awaits_heartbeat = false;
  ServiceTerms service_terms;
  /// Version of the configuration that the terms are from; 0 before the first
  /// one.
  uint64_t terms_version = 0;
  /// Times of the openings delivered within the last kColdOpeningSpan, in
  /// order, while the service limits cold openings.
  std::deque<TimePoint> delivered;
  uint64_t refused_evacuated = 0;
  uint64_t refused_terms_unknown = 0;
  uint64_t refused_cold = 0;
};

/// Applies what a balancer with the configuration of version
/// `configuration_version` says in a poll. Returns true if the evacuated
/// domains, or whether they are known, have changed.
bool ApplyBalancerTerms(OpeningGate& gate, const BalancerTerms& terms,
                        uint64_t configuration_version);

/// Records a heartbeat of the upstream, which says whether it is cold.
void RecordHeartbeat(OpeningGate& gate);

/// Returns why the gate refuses an opening, and counts the refusal; nullopt if
/// it does not.
std::optional<RefusalReason> CheckOpeningGate(AgentRelay& relay, TimePoint now);

/// Counts an opening that is delivered to the upstream.
void RecordDeliveredOpening(OpeningGate& gate, TimePoint now);

/// Number of openings that the upstream may still get at `now`; 0 if the
/// service has no limit.
uint32_t ColdOpeningsLeft(const AgentRelay& relay, TimePoint now);

}  // namespace medlarwinch
