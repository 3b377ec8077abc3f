#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "medlarwinch/coordination/packet_path/flow_placement.h"
#include "medlarwinch/coordination/packet_path/relay_actions.h"
#include "medlarwinch/coordination/packet_path/relay_types.h"
#include "medlarwinch/coordination/packet_path/upstream_directory.h"

namespace medlarwinch {

/// Number of agents per service that are queried in the first round of a
/// search. A flow is placed among the kPlacementChoices best by hash; two more
/// cover upstreams that have joined since.
inline constexpr size_t kFirstRoundAgentsPerService = kPlacementChoices + 2;
/// Maximum number of agents that are queried in one round with a datagram for
/// each flow. After a loss of power, thousands of flows are searched for at all
/// agents; queries of larger rounds are batched.
inline constexpr size_t kMaxAgentsPerSearchRound = 16;
/// Maximum number of agents that are queried for one flow. Bounds the cost at
/// large sites; a flow that more agents may own is never proved to have no
/// owner.
inline constexpr size_t kMaxSearchedAgents = 1'024;
/// Time during which the queries of large rounds are collected. At 136 agents
/// it limits a balancer to 2,720 query datagrams a second, or about 3 Mbit/s;
/// the slowest links have 10 Mbit/s.
inline constexpr Millis kQueryBatchDelay{50};
/// An agent that has not replied within this time is queried again.
inline constexpr Millis kQueryRetryInterval{250};
/// An agent that could not determine the owner is probed after this time even
/// if other agents have not replied yet: one of them may know the owner.
inline constexpr Millis kProbeDelay{20};
/// An upstream that does not own a flow returns a probe within milliseconds.
/// One that is silent for this long may own the flow: it need not answer a bare
/// acknowledgement.
inline constexpr Millis kProbeTimeout{100};
/// Maximum number of agents that a search probes while an agent that may own
/// the flow has not replied, or a probed upstream is silent. Callers' packets
/// that reach several upstreams and not their own break the flow.
inline constexpr size_t kMaxProbesWhileUnanswered = 2;
/// A search that has found no owner after this time ends without a conclusion.
/// The caller's next packet starts a new search. Longer than kAgentTimeout, so
/// that a search outlasts the detection of a failed agent.
inline constexpr Millis kSearchTimeout{2'000};
/// Maximum number of concurrent searches, and of packets buffered for each; a
/// packet has at most about 1.2 KB.
inline constexpr size_t kMaxSearches = 512;
inline constexpr size_t kMaxBufferedPackets = 3;

/// A search for the agent whose upstream owns a flow.
struct OwnerSearch {
  TimePoint started;
  TimePoint last_queried;
  /// Agents that were queried or that denied ownership unasked, sorted.
  std::vector<Endpoint> asked;
  /// Agents that denied ownership, sorted.
  std::vector<Endpoint> denied;
  /// Agents in `asked` that may still own the flow, sorted.
  std::vector<Endpoint> pending;
  /// Agents in `pending` whose query is sent with the next batch.
  std::vector<Endpoint> unsent;
  /// Agents in `pending` that replied kUndetermined and get the first packet as
  /// a probe, one after the other.
  std::vector<Endpoint> undetermined;
  /// Agents that were sent the first packet as a probe.
  std::vector<Endpoint> probed;
  TimePoint last_probed;
  /// The first packets of the flow, buffered until the owner is found.
  std::vector<std::vector<uint8_t>> packets;
  /// The last acknowledged sequence number of the caller, used for a reset.
  uint32_t acknowledged = 0;

  friend bool operator==(const OwnerSearch&, const OwnerSearch&) = default;
};

using OwnerSearches = std::map<FlowTuple, OwnerSearch>;

/// Returns the agents to query next, among those that may own flows and were
/// not asked yet. The first round has the agents of the services in `allowed`
/// at which the flow was most likely placed; the next one has all others.
std::vector<Endpoint> NextAgentsToQuery(const UpstreamDirectory& directory,
                                        const OwnerSearch& search,
                                        const FlowTuple& flow,
                                        std::span<const ServiceId> allowed,
                                        TimePoint now);

/// Records that `agents` are queried.
void AddQueried(OwnerSearch& search, std::span<const Endpoint> agents,
                TimePoint now);

/// Records that `agent` could not determine whether its upstream owns the flow.
void RecordUndetermined(OwnerSearch& search, const Endpoint& agent);

/// Returns true if a queried agent has not replied.
bool HasUnansweredQuery(const OwnerSearch& search);

/// Returns the agent to probe now, if any. Probes go one at a time, first to
/// the agents of the services in `allowed`, in the order in which the flow was
/// most likely placed. The next one is sent when the upstream of the last one
/// has returned it or was silent for kProbeTimeout, and after
/// kMaxProbesWhileUnanswered only once every queried agent has replied and
/// every probed upstream has answered.
std::optional<Endpoint> TakeAgentToProbe(OwnerSearch& search,
                                         const UpstreamDirectory& directory,
                                         const FlowTuple& flow,
                                         std::span<const ServiceId> allowed,
                                         TimePoint now);

/// Returns the probed agents that have not denied the flow.
std::vector<Endpoint> SilentProbedAgents(const OwnerSearch& search);

/// Returns the agent that remains when all others have denied the flow and its
/// upstream is silent on a probe, if there is one.
std::optional<Endpoint> RemainingAgent(const OwnerSearch& search,
                                       TimePoint now);

/// Records that `agent` does not own the flow.
void RecordDenial(OwnerSearch& search, const Endpoint& agent);

/// Removes the pending agents that own no flows any more.
void RemoveAbsentAgents(OwnerSearch& search, const UpstreamDirectory& directory,
                        TimePoint now);

/// Returns what is known of the agents that the search does not wait for.
OwnerSearchEvidence CollectEvidence(const OwnerSearch& search,
                                    const UpstreamDirectory& directory,
                                    TimePoint now);

/// Moves the unsent queries of all searches into batches for each agent.
/// `allowed_services` returns the services whose upstreams may own a flow.
std::vector<SendOwnershipBatchQuery> TakeBatchQueries(
    OwnerSearches& searches,
    const std::function<std::span<const ServiceId>(const FlowTuple&)>&
        allowed_services);

bool Contains(std::span<const Endpoint> agents, const Endpoint& agent);

}  // namespace medlarwinch
