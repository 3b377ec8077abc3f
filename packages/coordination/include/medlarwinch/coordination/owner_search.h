#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "medlarwinch/coordination/flow_placement.h"
#include "medlarwinch/coordination/relay_types.h"
#include "medlarwinch/coordination/upstream_directory.h"

namespace medlarwinch {

/// Number of agents per service that are queried in the first round of a
/// search. A flow is placed among the kPlacementChoices best by hash; two more
/// cover upstreams that have joined since.
inline constexpr size_t kFirstRoundAgentsPerService = kPlacementChoices + 2;
/// Maximum number of agents that are queried in one round.
inline constexpr size_t kMaxAgentsPerSearchRound = 16;
/// Maximum number of agents that are queried for one flow. Bounds the cost at
/// large sites.
inline constexpr size_t kMaxSearchedAgents = 64;
/// A search that has found no owner after this time ends without a conclusion.
/// The caller's next packet starts a new search.
inline constexpr Millis kSearchTimeout{1'000};
/// Maximum number of concurrent searches, and of packets buffered for each; a
/// packet has at most about 1.2 KB.
inline constexpr size_t kMaxSearches = 512;
inline constexpr size_t kMaxBufferedPackets = 3;

/// A search for the agent whose upstream owns a flow.
struct OwnerSearch {
  TimePoint started;
  std::vector<Endpoint> queried;
  /// Agents in `queried` that do not own the flow.
  std::vector<Endpoint> denied;
  /// Agents in `queried` that replied kUndetermined, and to which the packets
  /// are sent as probes.
  std::vector<Endpoint> probed;
  /// The first packets of the flow, buffered until the owner is found.
  std::vector<std::vector<uint8_t>> packets;
  /// The last acknowledged sequence number of the caller, used for a reset.
  uint32_t acknowledged = 0;

  friend bool operator==(const OwnerSearch&, const OwnerSearch&) = default;
};

using OwnerSearches = std::map<FlowTuple, OwnerSearch>;

/// Returns the agents to query next. Of the agents that may own flows and were
/// not queried yet, those of the services in `allowed` come first, in the order
/// in which the flow would have been placed there.
std::vector<Endpoint> NextAgentsToQuery(const UpstreamDirectory& directory,
                                        const OwnerSearch& search,
                                        const FlowTuple& flow,
                                        std::span<const ServiceId> allowed,
                                        TimePoint now);

/// Returns true if every queried agent has denied ownership or owns no flows
/// any more.
bool IsDeniedByAllQueried(const UpstreamDirectory& directory,
                          const OwnerSearch& search, TimePoint now);

bool Contains(std::span<const Endpoint> agents, const Endpoint& agent);

}  // namespace medlarwinch
