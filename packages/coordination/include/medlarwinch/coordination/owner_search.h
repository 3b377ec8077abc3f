#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "medlarwinch/coordination/relay_types.h"
#include "medlarwinch/coordination/upstream_directory.h"

namespace medlarwinch {

/// Agents that are asked first for the owner of a flow. Services of this many
/// upstreams are searched in one round.
inline constexpr size_t kSearchWidth = 12;
/// Agents that are asked for one flow in all; bounds the cost at large sites.
inline constexpr size_t kMaxSearchedAgents = 64;
/// A search without an owner after this time is given up without a conclusion;
/// the caller's next packet starts another.
inline constexpr Millis kSearchTimeout{1'000};
/// Searches in progress; each keeps one packet of at most about 1.2 KB.
inline constexpr size_t kMaxSearches = 512;

/// A search for the agent whose upstream holds a flow.
struct OwnerSearch {
  TimePoint started;
  std::vector<Endpoint> asked;
  /// The part of `asked` that does not hold the flow.
  std::vector<Endpoint> denied;
  /// A packet of the flow, for the agents that are asked later.
  std::vector<uint8_t> packet;
  /// What the caller acknowledged last, for a reset.
  uint32_t acknowledged = 0;

  friend bool operator==(const OwnerSearch&, const OwnerSearch&) = default;
};

using OwnerSearches = std::map<FlowTuple, OwnerSearch>;

/// Returns the agents to ask next: of those that may hold flows and were not
/// asked, first those of the services in `allowed`, ordered by the flow's
/// rendezvous score.
std::vector<Endpoint> NextToAsk(const UpstreamDirectory& directory,
                                const OwnerSearch& search,
                                const FlowTuple& flow,
                                std::span<const ServiceId> allowed,
                                TimePoint now);

/// True when every agent that was asked has denied or holds no flows any more.
bool IsDeniedByAll(const UpstreamDirectory& directory,
                   const OwnerSearch& search, TimePoint now);

/// True when `agents` contains `agent`.
bool Contains(std::span<const Endpoint> agents, const Endpoint& agent);

}  // namespace medlarwinch
