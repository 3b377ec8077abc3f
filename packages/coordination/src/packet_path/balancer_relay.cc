#include "medlarwinch/coordination/packet_path/balancer_relay.h"

#include <algorithm>
#include <array>
#include <utility>

#include "medlarwinch/coordination/packet_path/flow_placement.h"
#include "medlarwinch/coordination/packet_path/outlier_weights.h"
#include "medlarwinch/coordination/packet_path/placement_limits.h"

namespace medlarwinch {
namespace {

// Number of flow cache slots that are swept in each tick.
constexpr size_t kSweepSlotsPerTick = 1'024;
// Idle timeout of flows when the configuration sets none.
constexpr Millis kDefaultFlowIdleTimeout{60'000};
// Time between a copy of an opening and the caller's next one, or the end of
// its attempt after the last one.
constexpr std::array<Millis, 3> kOpeningCopyIntervals = {
    Millis{200}, Millis{400}, Millis{800}};

RelayHeader MakeHeader(const BalancerRelay& relay, RelayPurpose purpose,
                       std::span<const ServiceId> allowed) {
  RelayHeader header;
  header.purpose = purpose;
  header.balancer = relay.self;
  header.allowed.assign(allowed.begin(), allowed.end());
  return header;
}

// Returns true if every agent that may get the opening reads the extended
// messages.
bool DoAllReadExtended(const UpstreamDirectory& directory,
                       const std::vector<PlacementCandidate>& ranked) {
  return std::all_of(
      ranked.begin(), ranked.end(), [&](const PlacementCandidate& candidate) {
        return directory.upstreams.at(candidate.agent).reads_extended;
      });
}

void OpenFlow(BalancerRelay& relay, const RelayRoute& route,
              const FlowPacket& packet, TimePoint now, RelayActions& actions) {
  const FlowTuple flow = FlowFromCaller(packet);
  const uint32_t retransmissions = packet.acknowledged;
  const CachedFlow* cached = relay.cache.Find(flow);
  const bool is_retransmission = retransmissions > 0;
  const bool was_tried = is_retransmission && cached != nullptr;
  std::vector<PlacementCandidate> ranked =
      RankUpstreams(relay.directory, route, flow, relay.random(),
                    kMaxRelayAlternates + 1, now);
  if (ranked.empty()) {
    if (MayAcceptSoon(relay.directory, route, now)) {
      ++relay.counters.waiting_for_upstream;
      actions.push_back(DropPackets{flow, PacketDropReason::kNoUpstreamYet});
      return;
    }
    if (was_tried && IsAgentEvacuated(relay.directory, cached->agent)) {
      // An earlier copy may have opened the flow before the evacuation.
      actions.push_back(
          DropPackets{flow, PacketDropReason::kLeftToRetransmission});
      return;
    }
    const FlowResetReason reason = IsEvacuatedEverywhere(relay.directory, route)
                                       ? FlowResetReason::kEvacuated
                                       : FlowResetReason::kNoUpstream;
    AddReset(ResetCaller{flow, 0, reason}, relay.counters.resets, actions);
    return;
  }
  if (was_tried && ranked.size() > 1) {
    // The upstream that was tried first has not responded; try another.
    const Endpoint tried = cached->agent;
    std::stable_partition(ranked.begin(), ranked.end(),
                          [&](const PlacementCandidate& candidate) {
                            return candidate.agent != tried;
                          });
  }
  RelayHeader header =
      MakeHeader(relay, RelayPurpose::kOpen,
                 std::span(route.owner_services).first(route.accepting_count));
  for (size_t index = 1; index < ranked.size(); ++index) {
    header.alternates.push_back(ranked[index].agent);
  }
  const Endpoint first = ranked.front().agent;
  KnownUpstream& chosen = relay.directory.upstreams.at(first);
  RecordPlacement(relay.directory, chosen);
  if (!is_retransmission && !chosen.is_local) {
    ++relay.counters.opened_outside_domain;
  }
  relay.cache.Put(flow, first, !is_retransmission, now);
  ++(is_retransmission ? relay.counters.open_retransmissions
                       : relay.counters.opened);
  RelayToAgent relayed{first, std::move(header), std::nullopt};
  if (DoAllReadExtended(relay.directory, ranked)) {
    relayed.context = OpeningContext{{}, retransmissions, route.terms};
  }
  actions.push_back(std::move(relayed));
}

std::span<const ServiceId> OwnerServicesOf(const BalancerRelay& relay,
                                           const FlowTuple& flow) {
  const RelayRoute* route = FindRoute(relay.routes, flow.service_address);
  if (route == nullptr) return {};
  return route->owner_services;
}

// Sends buffered packets of a search to one agent.
void SendBufferedPackets(const BalancerRelay& relay, const FlowTuple& flow,
                         std::span<const std::vector<uint8_t>> packets,
                         const Endpoint& agent, RelayPurpose purpose,
                         RelayActions& actions) {
  for (const std::vector<uint8_t>& packet : packets) {
    actions.push_back(RelayBufferedPacket{
        agent, MakeHeader(relay, purpose, OwnerServicesOf(relay, flow)),
        packet});
  }
}

// Queries the agents of a small round one by one, and leaves those of a large
// round to the next batch.
void QueryAgents(BalancerRelay& relay, const FlowTuple& flow,
                 OwnerSearch& search, std::span<const Endpoint> agents,
                 TimePoint now, RelayActions& actions) {
  AddQueried(search, agents, now);
  if (agents.size() > kMaxAgentsPerSearchRound) {
    search.unsent.assign(agents.begin(), agents.end());
    actions.push_back(ScheduleQueryFlush{});
    return;
  }
  const std::span<const ServiceId> allowed = OwnerServicesOf(relay, flow);
  for (const Endpoint& agent : agents) {
    actions.push_back(SendOwnershipQuery{
        agent,
        OwnershipQuery{
            flow, search.acknowledged, {allowed.begin(), allowed.end()}}});
  }
}

// Queries the agents again that have not replied.
void RetryQueries(BalancerRelay& relay, const FlowTuple& flow, TimePoint now,
                  RelayActions& actions) {
  OwnerSearch& search = relay.searches.at(flow);
  if (now - search.last_queried < kQueryRetryInterval) return;
  std::vector<Endpoint> unanswered;
  for (const Endpoint& agent : search.pending) {
    if (!Contains(search.undetermined, agent)) unanswered.push_back(agent);
  }
  if (unanswered.empty()) return;
  QueryAgents(relay, flow, search, unanswered, now, actions);
}

// Sends the first packet of the search to the next agent that could not
// determine the owner.
void ProbeNextAgent(BalancerRelay& relay, const FlowTuple& flow,
                    OwnerSearch& search, TimePoint now, RelayActions& actions) {
  const std::optional<Endpoint> agent = TakeAgentToProbe(
      search, relay.directory, flow, OwnerServicesOf(relay, flow), now);
  if (!agent.has_value()) return;
  ++relay.counters.probes;
  SendBufferedPackets(relay, flow, std::span(search.packets).first(1), *agent,
                      RelayPurpose::kProbe, actions);
}

// Ends the search with `agent` as the owner. `agent` has received the first
// packet if it was probed.
void ConcludeOwned(BalancerRelay& relay, const FlowTuple& flow,
                   const Endpoint& agent, TimePoint now,
                   RelayActions& actions) {
  relay.cache.Put(flow, agent, true, now);
  const auto found = relay.searches.find(flow);
  if (found == relay.searches.end()) return;
  ++relay.counters.owners_found;
  const size_t received = Contains(found->second.probed, agent) ? 1 : 0;
  SendBufferedPackets(relay, flow,
                      std::span(found->second.packets).subspan(received), agent,
                      RelayPurpose::kEstablished, actions);
  relay.searches.erase(found);
}

// Queries or probes the next agents, or concludes the search when none is left.
void ContinueSearch(BalancerRelay& relay, const FlowTuple& flow, TimePoint now,
                    RelayActions& actions) {
  const auto found = relay.searches.find(flow);
  if (found == relay.searches.end()) return;
  OwnerSearch& search = found->second;
  const std::optional<Endpoint> remaining = RemainingAgent(search, now);
  if (!search.pending.empty() && !remaining.has_value()) {
    ProbeNextAgent(relay, flow, search, now, actions);
    return;
  }
  const std::vector<Endpoint> next = NextAgentsToQuery(
      relay.directory, search, flow, OwnerServicesOf(relay, flow), now);
  if (!next.empty()) {
    QueryAgents(relay, flow, search, next, now, actions);
    return;
  }
  // If it does not own the flow, its upstream returns the next packet, and a
  // new search begins.
  if (remaining.has_value()) {
    ConcludeOwned(relay, flow, *remaining, now, actions);
    return;
  }
  // An agent that has registered since the last list may own the flow.
  const bool is_directory_recent =
      relay.directory_requested_at.has_value() &&
      *relay.directory_requested_at + kMaxDirectoryAge >= search.started;
  if (!is_directory_recent) {
    actions.push_back(RefreshDirectory{});
    return;
  }
  // While failure detection is suspended, unreachable agents count as possible
  // owners. Every agent has therefore denied ownership explicitly at this
  // point.
  const bool were_all_queried = search.asked.size() < kMaxSearchedAgents;
  if (were_all_queried) {
    AddReset(ResetCaller{flow, search.acknowledged, FlowResetReason::kNoOwner},
             relay.counters.resets, actions);
  } else {
    ++relay.counters.searches_unresolved;
    actions.push_back(DropPackets{flow, PacketDropReason::kOwnerUnproven});
  }
  relay.searches.erase(found);
}

void StartSearch(BalancerRelay& relay, const FlowTuple& flow,
                 const FlowPacket& packet, std::span<const uint8_t> raw,
                 std::span<const Endpoint> denied, TimePoint now,
                 RelayActions& actions) {
  if (relay.searches.size() >= kMaxSearches) {
    ++relay.counters.searches_refused;
    return;
  }
  OwnerSearch search;
  search.started = now;
  for (const Endpoint& agent : denied) RecordDenial(search, agent);
  search.packets.emplace_back(raw.begin(), raw.end());
  search.acknowledged = packet.acknowledged;
  ++relay.counters.searches;
  relay.searches.insert_or_assign(flow, std::move(search));
  ContinueSearch(relay, flow, now, actions);
}

void SearchOwner(BalancerRelay& relay, const FlowPacket& packet,
                 std::span<const uint8_t> raw, TimePoint now,
                 RelayActions& actions) {
  const FlowTuple flow = FlowFromCaller(packet);
  const auto found = relay.searches.find(flow);
  if (found == relay.searches.end()) {
    // A reset of a flow without a known owner does not justify a search.
    if (!packet.is_reset) {
      StartSearch(relay, flow, packet, raw, {}, now, actions);
    }
    return;
  }
  OwnerSearch& search = found->second;
  search.acknowledged = packet.acknowledged;
  if (search.packets.size() < kMaxBufferedPackets) {
    search.packets.emplace_back(raw.begin(), raw.end());
  }
  for (const Endpoint& agent : SilentProbedAgents(search)) {
    actions.push_back(RelayToAgent{
        agent,
        MakeHeader(relay, RelayPurpose::kProbe, OwnerServicesOf(relay, flow)),
        std::nullopt});
  }
}

void HandleUndetermined(BalancerRelay& relay, const OwnershipReply& reply,
                        const FlowPacket& packet, std::span<const uint8_t> raw,
                        TimePoint now, RelayActions& actions) {
  // The agent returns a packet that it got because of an outdated cache entry.
  if (relay.searches.count(reply.flow) == 0) {
    if (raw.empty() || packet.is_reset) return;
    relay.cache.Remove(reply.flow);
    StartSearch(relay, reply.flow, packet, raw, {}, now, actions);
  }
  const auto found = relay.searches.find(reply.flow);
  if (found == relay.searches.end()) return;
  RecordUndetermined(found->second, reply.agent);
  ContinueSearch(relay, reply.flow, now, actions);
}

void HandleNotOwned(BalancerRelay& relay, const OwnershipReply& reply,
                    const FlowPacket& packet, std::span<const uint8_t> raw,
                    TimePoint now, RelayActions& actions) {
  const CachedFlow* cached = relay.cache.Find(reply.flow);
  if (cached != nullptr && cached->agent == reply.agent) {
    relay.cache.Remove(reply.flow);
    cached = nullptr;
  }
  const auto found = relay.searches.find(reply.flow);
  if (found != relay.searches.end()) {
    RecordDenial(found->second, reply.agent);
    ContinueSearch(relay, reply.flow, now, actions);
    return;
  }
  // A cache entry means that another agent has claimed the flow in the
  // meantime; the caller retransmits the packet.
  if (raw.empty() || packet.is_reset || cached != nullptr) return;
  StartSearch(relay, reply.flow, packet, raw, std::span(&reply.agent, 1), now,
              actions);
}

}  // namespace

void HandleCallerPacket(BalancerRelay& relay, const FlowPacket& packet,
                        std::span<const uint8_t> raw, TimePoint now,
                        RelayActions& actions) {
  const FlowTuple flow = FlowFromCaller(packet);
  const RelayRoute* route = FindRoute(relay.routes, flow.service_address);
  if (route == nullptr) {
    const bool was_removed =
        relay.routes.removed.count(flow.service_address) != 0;
    if (packet.is_reset || !relay.routes.is_loaded ||
        (!packet.is_syn && !was_removed)) {
      // Another balancer may have a newer configuration with this route, so
      // open flows are not reset.
      ++relay.counters.dropped_no_route;
      actions.push_back(DropPackets{flow, PacketDropReason::kRouteNotKnown});
      return;
    }
    relay.cache.Remove(flow);
    const uint32_t sequence = packet.is_syn ? 0 : packet.acknowledged;
    const FlowResetReason reason = was_removed ? FlowResetReason::kRouteDropped
                                               : FlowResetReason::kNoRoute;
    AddReset(ResetCaller{flow, sequence, reason}, relay.counters.resets,
             actions);
    return;
  }
  if (packet.is_syn) {
    OpenFlow(relay, *route, packet, now, actions);
    return;
  }
  CachedFlow* cached = relay.cache.Find(flow);
  if (cached == nullptr || !cached->is_owner_confirmed) {
    SearchOwner(relay, packet, raw, now, actions);
    return;
  }
  FlowCache::Touch(*cached, now);
  ++relay.counters.relayed;
  actions.push_back(RelayToAgent{
      cached->agent,
      MakeHeader(relay, RelayPurpose::kEstablished, route->owner_services),
      std::nullopt});
}

void HandleOpeningRefused(BalancerRelay& relay, const FlowTuple& flow,
                          uint32_t copy, Millis age, RelayActions& actions) {
  const size_t last = kOpeningCopyIntervals.size() - 1;
  const Millis interval = kOpeningCopyIntervals[std::min<size_t>(copy, last)];
  if (age < Millis{0} || age >= interval) {
    ++relay.counters.outdated_refusals;
    actions.push_back(DropPackets{flow, PacketDropReason::kOutdatedRefusal});
    return;
  }
  relay.cache.Remove(flow);
  AddReset(ResetCaller{flow, 0, FlowResetReason::kNoUpstream},
           relay.counters.resets, actions);
}

void HandleOwnershipReply(BalancerRelay& relay, const OwnershipReply& reply,
                          const FlowPacket& packet,
                          std::span<const uint8_t> raw, TimePoint now,
                          RelayActions& actions) {
  switch (reply.ownership) {
    case FlowOwnership::kOwned:
      ConcludeOwned(relay, reply.flow, reply.agent, now, actions);
      return;
    case FlowOwnership::kNotOwned:
      HandleNotOwned(relay, reply, packet, raw, now, actions);
      return;
    case FlowOwnership::kUndetermined:
      HandleUndetermined(relay, reply, packet, raw, now, actions);
      return;
  }
}

void FlushOwnershipQueries(BalancerRelay& relay, RelayActions& actions) {
  const auto allowed_services = [&relay](const FlowTuple& flow) {
    return OwnerServicesOf(relay, flow);
  };
  for (SendOwnershipBatchQuery& batch :
       TakeBatchQueries(relay.searches, allowed_services)) {
    actions.push_back(std::move(batch));
  }
}

void HandleDirectoryRefreshed(BalancerRelay& relay, TimePoint requested_at,
                              TimePoint now, RelayActions& actions) {
  relay.directory_requested_at = requested_at;
  std::vector<FlowTuple> waiting;
  for (const auto& [flow, search] : relay.searches) waiting.push_back(flow);
  for (const FlowTuple& flow : waiting) {
    ContinueSearch(relay, flow, now, actions);
  }
}

void HandleBalancerTick(BalancerRelay& relay, Millis tick_delay, TimePoint now,
                        RelayActions& actions) {
  UpdateDetectionSuspension(relay.directory, tick_delay, now);
  std::vector<FlowTuple> waiting;
  for (auto position = relay.searches.begin();
       position != relay.searches.end();) {
    if (now - position->second.started < kSearchTimeout) {
      waiting.push_back(position->first);
      ++position;
      continue;
    }
    ++relay.counters.searches_unresolved;
    actions.push_back(
        DropPackets{position->first, PacketDropReason::kOwnerUnproven});
    position = relay.searches.erase(position);
  }
  // Agents that were queried may have become absent since.
  for (const FlowTuple& flow : waiting) {
    RemoveAbsentAgents(relay.searches.at(flow), relay.directory, now);
    RetryQueries(relay, flow, now, actions);
    ContinueSearch(relay, flow, now, actions);
  }
  const Millis configured = relay.routes.configuration.flow_idle_timeout;
  const Millis idle =
      configured > Millis{0} ? configured : kDefaultFlowIdleTimeout;
  relay.cache.RemoveIdle(now, idle, kSweepSlotsPerTick);
}

}  // namespace medlarwinch
