#pragma once

#include <cstdint>
#include <functional>
#include <map>
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
  /// Agents in `asked` that may still own the flow, sorted.
  std::vector<Endpoint> pending;
  /// Agents in `pending` whose query is sent with the next batch.
  std::vector<Endpoint> unsent;
  /// Agents that replied kUndetermined, and to which the first packet was sent
  /// as a probe.
  std::vector<Endpoint> probed;
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

/// Records that `agent` does not own the flow.
void RecordDenial(OwnerSearch& search, const Endpoint& agent);

/// Removes the pending agents that own no flows any more.
void RemoveAbsentAgents(OwnerSearch& search, const UpstreamDirectory& directory,
                        TimePoint now);

/// Moves the unsent queries of all searches into batches for each agent.
/// `allowed_services` returns the services whose upstreams may own a flow.
std::vector<SendOwnershipBatchQuery> TakeBatchQueries(
    OwnerSearches& searches,
    const std::function<std::span<const ServiceId>(const FlowTuple&)>&
        allowed_services);

bool Contains(std::span<const Endpoint> agents, const Endpoint& agent);

}  // namespace medlarwinch
