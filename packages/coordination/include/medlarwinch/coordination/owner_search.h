#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "medlarwinch/coordination/flow_placement.h"
#include "medlarwinch/coordination/relay_types.h"
#include "medlarwinch/coordination/upstream_directory.h"

namespace medlarwinch {

/// Agents of each service that are asked first for the owner of a flow. A flow
/// is placed among the kPlacementChoices best by its hash; two more cover
/// upstreams that have joined since.
inline constexpr size_t kFirstRoundAgentsPerService = kPlacementChoices + 2;
/// Agents that are asked in each later round.
inline constexpr size_t kMaxAgentsPerSearchRound = 16;
/// Agents that are asked for one flow in all; bounds the cost at large sites.
inline constexpr size_t kMaxSearchedAgents = 64;
/// A search without an owner after this time is given up without a conclusion;
/// the caller's next packet starts another.
inline constexpr Millis kSearchTimeout{1'000};
/// Searches in progress, and packets kept for each; a packet has at most about
/// 1.2 KB.
inline constexpr size_t kMaxSearches = 512;
inline constexpr size_t kMaxBufferedPackets = 3;

/// A search for the agent whose upstream holds a flow.
struct OwnerSearch {
  TimePoint started;
  std::vector<Endpoint> queried;
  /// The part of `asked` that does not hold the flow.
  std::vector<Endpoint> denied;
  /// The part of `asked` that can't tell and is sent the packets instead.
  std::vector<Endpoint> probed;
  /// The first packets of the flow, for the owner once it is found.
  std::vector<std::vector<uint8_t>> packets;
  /// What the caller acknowledged last, for a reset.
  uint32_t acknowledged = 0;

  friend bool operator==(const OwnerSearch&, const OwnerSearch&) = default;
};

using OwnerSearches = std::map<FlowTuple, OwnerSearch>;

/// Returns the agents to ask next: of those that may hold flows and were not
/// asked, those of the services in `allowed` first, in the order in which the
/// flow would have been placed there.
std::vector<Endpoint> NextAgentsToQuery(const UpstreamDirectory& directory,
                                        const OwnerSearch& search,
                                        const FlowTuple& flow,
                                        std::span<const ServiceId> allowed,
                                        TimePoint now);

/// True when every agent that was asked has denied or holds no flows any more.
bool IsDeniedByAllQueried(const UpstreamDirectory& directory,
                          const OwnerSearch& search, TimePoint now);

/// True when `agents` contains `agent`.
bool Contains(std::span<const Endpoint> agents, const Endpoint& agent);

}  // namespace medlarwinch
