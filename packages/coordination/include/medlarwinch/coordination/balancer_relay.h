#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "medlarwinch/coordination/flow_cache.h"
#include "medlarwinch/coordination/owner_search.h"
#include "medlarwinch/coordination/random.h"
#include "medlarwinch/coordination/relay_actions.h"
#include "medlarwinch/coordination/relay_routes.h"
#include "medlarwinch/coordination/upstream_directory.h"

namespace medlarwinch {

/// Flows that a balancer remembers at most: 80 MB hold about 1.5 million, and
/// the smallest machines have that much memory for everything.
inline constexpr size_t kMaxCachedFlows = 262'144;

/// A list of agents asked for this long before a search began still proves that
/// no other agent holds the flow: an agent that registered meanwhile would have
/// had to get the flow, and the routers to move it here, within this time.
inline constexpr Millis kMaxDirectoryAge{150};

/// What a balancer counts, for its metrics.
struct BalancerCounters {
  uint64_t opened = 0;
  uint64_t open_retransmissions = 0;
  uint64_t relayed = 0;
  uint64_t searches = 0;
  uint64_t found = 0;
  /// Opening packets dropped because an upstream may accept soon.
  uint64_t waiting_for_upstream = 0;
  /// Packets without a route, before the first configuration or of a flow on an
  /// address that no configuration of this process named.
  uint64_t dropped_no_route = 0;
  /// Searches that ended without an owner and without a proof.
  uint64_t searches_unresolved = 0;
  /// Searches refused because kMaxSearches were in progress.
  uint64_t searches_refused = 0;
  FlowResetCounts resets{};
};

/// The state of a balancer's packet path. It routes any packet from this state
/// alone; what is lost with it is found again at the agents.
struct BalancerRelay {
  /// Where agents send their answers.
  Endpoint self;
  RouteTable routes;
  UpstreamDirectory directory;
  FlowCache cache{kMaxCachedFlows};
  OwnerSearches searches;
  Random random;
  /// When the newest list of agents that is in the directory was asked for;
  /// lists that may be stale don't count.
  std::optional<TimePoint> directory_requested_at;
  BalancerCounters counters;
};

/// Decides where a caller's packet goes.
void HandleCallerPacket(BalancerRelay& relay, const FlowPacket& packet,
                        std::span<const uint8_t> raw, TimePoint now,
                        RelayActions& actions);

/// What an agent says of a flow.
struct OwnershipReply {
  Endpoint agent;
  FlowTuple flow;
  FlowOwnership ownership = FlowOwnership::kNotOwned;
};

/// Takes an agent's answer. `raw` is the packet that came back with it, empty
/// if none did, and `packet` what it says.
void HandleOwnershipReply(BalancerRelay& relay, const OwnershipReply& answer,
                          const FlowPacket& packet,
                          std::span<const uint8_t> raw, TimePoint now,
                          RelayActions& actions);

/// Notes that a list of agents which was asked for at `asked` is in the
/// directory; concludes the searches that waited for it.
void HandleDirectoryRefreshed(BalancerRelay& relay, TimePoint requested_at,
                              TimePoint now, RelayActions& actions);

/// Ends searches that have waited long enough and forgets idle flows. Called
/// every 100 ms or so; `lateness` is by how much the call came late.
void HandleBalancerTick(BalancerRelay& relay, Millis tick_delay, TimePoint now,
                        RelayActions& actions);

}  // namespace medlarwinch
