#include "medlarwinch/coordination/packet_path/balancer_relay.h"

#include <algorithm>
#include <utility>

#include "medlarwinch/coordination/packet_path/balancer_search.h"
#include "medlarwinch/coordination/packet_path/flow_placement.h"
#include "medlarwinch/coordination/packet_path/opening_copies.h"
#include "medlarwinch/coordination/packet_path/outlier_weights.h"
#include "medlarwinch/coordination/packet_path/placement_limits.h"
#include "medlarwinch/coordination/packet_path/unlisted_agents.h"

namespace medlarwinch {
namespace {

// Number of flow cache slots that are swept in each tick.
constexpr size_t kSweepSlotsPerTick = 1'024;
// Idle timeout of flows when the configuration sets none.
constexpr Millis kDefaultFlowIdleTimeout{60'000};
uint8_t CopyBit(uint32_t copy) {
  constexpr uint32_t kHighestBit = 7;
  return static_cast<uint8_t>(1U << std::min(copy, kHighestBit));
}

// Returns the entry if it was used within an attempt of the caller to open the
// flow: an older one may be of an earlier flow on the same port.
CachedFlow* FindOpening(BalancerRelay& relay, const FlowTuple& flow,
                        TimePoint now) {
  CachedFlow* cached = relay.cache.Find(flow);
  if (cached == nullptr) return nullptr;
  return FlowCache::IdleTime(*cached, now) < kOpeningAttempt ? cached : nullptr;
}

// Returns true if no upstream can have taken a copy of the opening other than
// `copy`. Earlier copies that passed another balancer may have been taken.
bool AreOtherCopiesDeclined(const CachedFlow* cached, uint32_t copy) {
  const uint8_t relayed = cached == nullptr ? 0 : cached->relayed_copies;
  const uint8_t declined = cached == nullptr ? 0 : cached->declined_copies;
  const uint8_t earlier = static_cast<uint8_t>(CopyBit(copy) - 1);
  return (relayed & earlier) == earlier &&
         (relayed & ~declined & ~CopyBit(copy)) == 0;
}

// Returns true if the caller may have sent the next copy of an opening that
// arrived `age` ago, so that another balancer may have relayed it.
bool MayLaterCopyExist(uint32_t copy, Millis age) {
  return age < Millis{0} || age >= TimeToNextCopy(copy);
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
      RecordUnrelayedCopy(relay, flow, retransmissions, now);
      actions.push_back(DropPackets{flow, PacketDropReason::kNoUpstreamYet});
      return;
    }
    const bool may_other_copy_be_taken =
        MayLaterCopyExist(retransmissions, relay.arrival_delay) ||
        (is_retransmission && !AreOtherCopiesDeclined(cached, retransmissions));
    if (may_other_copy_be_taken) {
      RecordUnrelayedCopy(relay, flow, retransmissions, now);
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
  RelayHeader header = MakeRelayHeader(
      relay, RelayPurpose::kOpen,
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
  const CachedFlow* opening = FindOpening(relay, flow, now);
  // A first copy that was held may follow later ones, of which none was
  // relayed.
  const bool is_known =
      opening != nullptr && (is_retransmission || opening->agent == Endpoint{});
  const uint8_t relayed_before = is_known ? opening->relayed_copies : 0;
  const uint8_t declined_before = is_known ? opening->declined_copies : 0;
  relay.cache.Put(flow, first, !is_retransmission, now);
  CachedFlow& placed = *relay.cache.Find(flow);
  placed.relayed_copies = relayed_before | CopyBit(retransmissions);
  placed.declined_copies = declined_before;
  ++(is_retransmission ? relay.counters.open_retransmissions
                       : relay.counters.opened);
  RelayToAgent relayed{first, std::move(header), std::nullopt};
  if (DoAllReadExtended(relay.directory, ranked)) {
    relayed.context = OpeningContext{{}, retransmissions, route.terms};
  }
  actions.push_back(std::move(relayed));
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
      if (packet.is_syn) {
        RecordUnrelayedCopy(relay, flow, packet.acknowledged, now);
      }
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
      MakeRelayHeader(relay, RelayPurpose::kEstablished, route->owner_services),
      std::nullopt});
}

void RecordUnrelayedCopy(BalancerRelay& relay, const FlowTuple& flow,
                         uint32_t copy, TimePoint now) {
  if (relay.cache.Find(flow) == nullptr) {
    relay.cache.Put(flow, Endpoint{}, false, now);
  }
  CachedFlow& cached = *relay.cache.Find(flow);
  if (copy == 0 || FindOpening(relay, flow, now) == nullptr) {
    cached.relayed_copies = 0;
    cached.declined_copies = 0;
  }
  cached.relayed_copies |= CopyBit(copy);
  cached.declined_copies |= CopyBit(copy);
  FlowCache::Touch(cached, now);
}

void HandleOpeningDeclined(BalancerRelay& relay, const FlowTuple& flow,
                           uint32_t copy) {
  CachedFlow* cached = relay.cache.Find(flow);
  if (cached != nullptr) cached->declined_copies |= CopyBit(copy);
}

void HandleOpeningRefused(BalancerRelay& relay, const FlowTuple& flow,
                          uint32_t copy, Millis age, RelayActions& actions) {
  if (MayLaterCopyExist(copy, age) ||
      !AreOtherCopiesDeclined(relay.cache.Find(flow), copy)) {
    HandleOpeningDeclined(relay, flow, copy);
    ++relay.counters.outdated_refusals;
    actions.push_back(DropPackets{flow, PacketDropReason::kOutdatedRefusal});
    return;
  }
  relay.cache.Remove(flow);
  AddReset(ResetCaller{flow, 0, FlowResetReason::kNoUpstream},
           relay.counters.resets, actions);
}

void HandleBalancerTick(BalancerRelay& relay, Millis tick_delay, TimePoint now,
                        RelayActions& actions) {
  UpdateDetectionSuspension(relay.directory, tick_delay, now);
  HandleSearchTick(relay, now, actions);
  const Millis configured = relay.routes.configuration.flow_idle_timeout;
  const Millis idle =
      configured > Millis{0} ? configured : kDefaultFlowIdleTimeout;
  relay.cache.RemoveIdle(now, idle, kSweepSlotsPerTick);
}

}  // namespace medlarwinch
