#include "medlarwinch/coordination/packet_path/balancer_search.h"

#include <utility>

#include "medlarwinch/coordination/packet_path/unlisted_agents.h"

namespace medlarwinch {
namespace {

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
        agent, MakeRelayHeader(relay, purpose, OwnerServicesOf(relay, flow)),
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
  const bool awaits_reply = !search.pending.empty() && !remaining.has_value();
  // The owner may not have been queried yet.
  const bool may_query_next =
      !awaits_reply || search.probed.size() >= kMaxProbesWhileUnanswered;
  std::vector<Endpoint> next;
  if (may_query_next) {
    next = NextAgentsToQuery(relay.directory, search, flow,
                             OwnerServicesOf(relay, flow), now);
  }
  if (awaits_reply && next.empty()) {
    ProbeNextAgent(relay, flow, search, now, actions);
    return;
  }
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
  // An agent that a restored store does not list may own the flow.
  if (!IsListProven(relay.directory)) return;
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
    OwnerSearchEvidence evidence =
        CollectEvidence(search, relay.directory, now);
    evidence.list_age = now - *relay.directory_requested_at;
    AddReset(ResetCaller{flow, search.acknowledged, FlowResetReason::kNoOwner,
                         evidence},
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

RelayHeader MakeRelayHeader(const BalancerRelay& relay, RelayPurpose purpose,
                            std::span<const ServiceId> allowed) {
  RelayHeader header;
  header.purpose = purpose;
  header.balancer = relay.self;
  header.allowed.assign(allowed.begin(), allowed.end());
  return header;
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
  // Another upstream may still return the probe, and the flow's own may be at
  // an agent that has not replied.
  const bool may_be_foreign =
      now - search.last_probed < kProbeTimeout && HasUnansweredQuery(search);
  if (may_be_foreign) return;
  for (const Endpoint& agent : SilentProbedAgents(search)) {
    actions.push_back(
        RelayToAgent{agent,
                     MakeRelayHeader(relay, RelayPurpose::kProbe,
                                     OwnerServicesOf(relay, flow)),
                     std::nullopt});
  }
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

void HandleSearchTick(BalancerRelay& relay, TimePoint now,
                      RelayActions& actions) {
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
}

}  // namespace medlarwinch
