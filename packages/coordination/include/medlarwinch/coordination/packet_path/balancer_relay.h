#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "medlarwinch/coordination/packet_path/flow_cache.h"
#include "medlarwinch/coordination/packet_path/owner_search.h"
#include "medlarwinch/coordination/packet_path/relay_actions.h"
#include "medlarwinch/coordination/packet_path/relay_routes.h"
#include "medlarwinch/coordination/packet_path/upload_flows.h"
#include "medlarwinch/coordination/packet_path/upstream_directory.h"
#include "medlarwinch/coordination/shared/random.h"

namespace medlarwinch {

/// Maximum number of flows in a balancer's cache. 80 MB hold about 1.5 million
/// flows, and the smallest machines have 80 MB for the whole process.
inline constexpr size_t kMaxCachedFlows = 262'144;

/// A list of agents requested at most this long before a search began still
/// proves that no other agent owns the flow: an agent that registered later
/// would have had to accept the flow, and the routers would have had to move
/// the flow here, within this time.
inline constexpr Millis kMaxDirectoryAge{150};

/// Counters that a balancer exports as metrics.
struct BalancerCounters {
  uint64_t opened = 0;
  uint64_t open_retransmissions = 0;
  /// Openings, without copies, placed outside the balancer's failure domain.
  uint64_t opened_outside_domain = 0;
  uint64_t relayed = 0;
  uint64_t searches = 0;
  uint64_t owners_found = 0;
  /// Packets that were sent to an upstream to find out whether it owns the
  /// flow.
  uint64_t probes = 0;
  /// Opening packets dropped because an upstream may accept flows soon.
  uint64_t waiting_for_upstream = 0;
  /// Packets without a route: received before the first configuration, or part
  /// of a flow to an address that no configuration of this process named.
  uint64_t dropped_no_route = 0;
  /// Searches that found no owner and could not prove that there is none.
  uint64_t searches_unresolved = 0;
  /// Searches refused because kMaxSearches were in progress.
  uint64_t searches_refused = 0;
  /// Refusals of openings that came too late for a reset.
  uint64_t outdated_refusals = 0;
  FlowResetCounts resets{};
};

/// The state of a balancer's packet path. Every routing decision depends on
/// this state alone. Lost state is recovered from the agents.
struct BalancerRelay {
  /// Address to which agents send their replies.
  Endpoint self;
  RouteTable routes;
  UpstreamDirectory directory;
  FlowCache cache{kMaxCachedFlows};
  OwnerSearches searches;
  UploadFlows uploads;
  Random random;
  /// Request time of the newest list of agents that was applied to the
  /// directory. Lists that may be stale do not count.
  std::optional<TimePoint> directory_requested_at;
  /// How long the current opening may have waited unread.
  Millis arrival_delay{0};
  BalancerCounters counters;
};

/// Decides where a caller's packet is sent. An opening's OpeningContext has
/// `relayed_at` 0: the caller of this function sets it when it sends the
/// message.
void HandleCallerPacket(BalancerRelay& relay, const FlowPacket& packet,
                        std::span<const uint8_t> raw, TimePoint now,
                        RelayActions& actions);

/// Records that this balancer relays a copy of an opening to no agent.
void RecordUnrelayedCopy(BalancerRelay& relay, const FlowTuple& flow,
                         uint32_t copy, TimePoint now);

/// Records that no upstream has taken a copy of an opening, without a refusal:
/// the caller's next copy is awaited.
void HandleOpeningDeclined(BalancerRelay& relay, const FlowTuple& flow,
                           uint32_t copy);

/// Processes the refusal of an opening that this balancer relayed `age` ago.
/// Resets the flow if no other copy can have opened it at an upstream: the
/// caller can't have sent a later copy yet, and every earlier one passed this
/// balancer and was taken by no upstream.
void HandleOpeningRefused(BalancerRelay& relay, const FlowTuple& flow,
                          uint32_t copy, Millis age, RelayActions& actions);

/// Ends searches that have timed out and removes idle flows from the cache. To
/// be called about every 100 ms; `tick_delay` is how late the call is.
void HandleBalancerTick(BalancerRelay& relay, Millis tick_delay, TimePoint now,
                        RelayActions& actions);

}  // namespace medlarwinch
